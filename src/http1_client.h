// A persistent HTTP/1.1 connection to one upstream.
#ifndef MEDLARWALK_HTTP1_CLIENT_H_
#define MEDLARWALK_HTTP1_CLIENT_H_

#include <ev.h>

#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "http1.h"
#include "tcp.h"
#include "types.h"
#include "upstream_link.h"

namespace medlarwalk {

// Returns `r` in the HTTP/1.1 wire format. The headers of `r` must state the
// length of its body.
std::string EncodeRequest(const OutgoingRequest& r);

// A persistent HTTP/1.1 connection that carries one call at a time. Held by
// shared_ptr. Thread safety: loop thread only.
class Http1Client : public UpstreamLink,
                    public std::enable_shared_from_this<Http1Client> {
 public:
  // Starts to connect to `to`.
  static std::shared_ptr<Http1Client> Open(struct ev_loop* loop,
                                           const Clock& clock,
                                           const Endpoint& to,
                                           Duration connect_timeout);
  Http1Client(struct ev_loop* loop, const Clock& clock);
  ~Http1Client() override;

  void Start(UpstreamCall call) override;
  // Ends the call without its on_end and closes the connection.
  void Cancel() override;
  void Close() override;
  bool idle() const override { return !busy_; }
  bool open() const override { return tcp_ && tcp_->open(); }
  bool established() const override {
    return tcp_ && tcp_->open() && tcp_->connected();
  }
  bool refused() const override { return tcp_ && tcp_->refused(); }
  bool sent() const override { return sent_; }
  void SetReadPaused(bool paused) override;
  TimePoint idle_since() const override { return idle_since_; }
  // Returns how long the idle connection may be reused, as stated by the
  // upstream or by default.
  Duration max_idle_time() const override { return keep_alive_time_; }

 private:
  void OnConnected();
  void OnData(absl::string_view data);
  void OnClosed(const absl::Status& status);
  void OnMessageEnd();
  // Closes the connection and ends the call, whose answer cannot be read.
  void FailCall(absl::string_view why);
  // Counts `bytes` that were read while no answer to the call had begun.
  // Returns whether the call may still wait for its answer.
  bool MaySkip(size_t bytes);
  void EndCall(CallEnd end, absl::string_view why);
  // Frees the request; what is not written yet never will be.
  void ReleaseRequest();

  const Clock& clock_;
  std::shared_ptr<TcpConnection> tcp_;
  Http1Parser parser_;
  std::string received_;
  UpstreamCall call_;
  // Encoded request without shared_body_; null once it is written.
  Document request_;
  // Large body of the request, if its owner shares it; null once it is written.
  Document shared_body_;
  bool is_head_request_ = false;  // HEAD request: its answer has no body.
  bool busy_ = false;
  bool sent_ = false;
  bool answers_call_ = false;  // The answer being read belongs to call_.
  bool message_end_ = false;
  size_t skipped_bytes_ = 0;  // Bytes of other answers during this call.
  int skipped_answers_ = 0;   // Interim answers and those to other requests.
  bool in_callback_ = false;  // A callback of call_ is on the stack.
  bool reusable_ = true;
  TimePoint idle_since_{};
  Duration keep_alive_time_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_HTTP1_CLIENT_H_
