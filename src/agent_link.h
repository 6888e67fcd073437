// One call to an upstream through the agent next to it: a stream on the HTTP/2
// connection that all calls to that agent share.
#ifndef MEDLARWALK_AGENT_LINK_H_
#define MEDLARWALK_AGENT_LINK_H_

#include <memory>
#include <string>

#include "h2.h"
#include "upstream_link.h"

namespace medlarwalk {

// Carries one call and is not reused. Thread safety: loop thread only.
class AgentLink : public UpstreamLink,
                  public std::enable_shared_from_this<AgentLink> {
 public:
  // `agent` must outlive the link.
  explicit AgentLink(H2Client& agent) : agent_(agent) {}
  ~AgentLink() override { Cancel(); }
  AgentLink(const AgentLink&) = delete;
  AgentLink& operator=(const AgentLink&) = delete;

  void Start(UpstreamCall call) override;
  void Cancel() override;
  void Close() override { Cancel(); }
  bool idle() const override { return !call_active_; }
  bool open() const override { return false; }
  bool sent() const override { return sent_; }
  // Has no effect. Flow control towards agents is not needed, because they are
  // few and close by. If a caller is slow, this process buffers the part of the
  // answer that the caller has not read yet.
  void SetReadPaused(bool) override {}
  TimePoint idle_since() const override { return {}; }
  Duration max_idle_time() const override { return {}; }

 private:
  void OnStreamClose(const absl::Status& status, bool never_sent);
  void EndCall(CallEnd end, absl::string_view reason);

  H2Client& agent_;
  UpstreamCall call_;
  int32_t stream_handle_ = 0;
  bool call_active_ = false;
  bool sent_ = false;
  bool head_received_ = false;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_AGENT_LINK_H_
