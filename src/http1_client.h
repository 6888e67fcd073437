// One kept HTTP/1.1 connection to one upstream, one call at a time.
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

// `r` as it is written to a connection. Its headers say how long its body is.
std::string EncodeRequest(const OutgoingRequest& r);

// The connection. Held by shared_ptr. Thread safety: loop thread only.
class Http1Client : public UpstreamLink,
                    public std::enable_shared_from_this<Http1Client> {
 public:
  // Begins to connect to `to`.
  static std::shared_ptr<Http1Client> Open(struct ev_loop* loop,
                                           const Clock& clock,
                                           const Endpoint& to,
                                           Duration connect_timeout);
  Http1Client(struct ev_loop* loop, const Clock& clock);
  ~Http1Client() override;

  void Start(UpstreamCall call) override;
  // Closes the connection.
  void Cancel() override;
  void Close() override;
  bool idle() const override { return !busy_; }
  bool open() const override { return tcp_ && tcp_->open(); }
  bool established() const override {
    return tcp_ && tcp_->open() && tcp_->connected();
  }
  bool refused() const override { return tcp_ && tcp_->refused(); }
  bool sent() const override { return sent_; }
  void PauseRead(bool paused) override;
  TimePoint idle_since() const override { return idle_since_; }
  // As the upstream said, if it did.
  Duration keep_for() const override { return keep_for_; }

 private:
  void OnConnected();
  void OnData(absl::string_view data);
  void OnClosed(const absl::Status& status);
  void OnMessageEnd();
  void End(CallEnd end, absl::string_view why);

  const Clock& clock_;
  std::shared_ptr<TcpConnection> tcp_;
  Http1Parser parser_;
  std::string in_;
  UpstreamCall call_;
  std::string request_;       // Encoded, until it is sent.
  bool head_method_ = false;  // The answer has no body.
  bool busy_ = false;
  bool sent_ = false;
  bool ours_ = false;  // The message being read answers our call.
  bool message_end_ = false;
  bool in_callback_ = false;  // call_ is in use further up the stack.
  bool reusable_ = true;
  TimePoint idle_since_{};
  Duration keep_for_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_HTTP1_CLIENT_H_
