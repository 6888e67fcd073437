// One call to an upstream through the agent beside it: a stream on the
// HTTP/2 connection that all calls to that agent share.
#ifndef MEDLARWALK_AGENT_LINK_H_
#define MEDLARWALK_AGENT_LINK_H_

#include <memory>
#include <string>

#include "h2.h"
#include "upstream_link.h"

namespace medlarwalk {

// Carries one call and is not kept after it. Thread safety: loop thread only.
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
  bool idle() const override { return !busy_; }
  bool open() const override { return false; }
  bool sent() const override { return sent_; }
  // The stream's window bounds nothing here: what a slow caller has not taken
  // is held by the process, as the agents are few and near.
  void PauseRead(bool) override {}
  TimePoint idle_since() const override { return {}; }
  Duration keep_for() const override { return {}; }

 private:
  void OnClose(const absl::Status& status, bool never_sent);
  void End(CallEnd end, absl::string_view why);

  H2Client& agent_;
  UpstreamCall call_;
  int32_t stream_ = 0;
  bool busy_ = false;
  bool sent_ = false;
  bool have_head_ = false;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_AGENT_LINK_H_
