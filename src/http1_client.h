// One kept HTTP/1.1 connection to one upstream, one call at a time. It knows
// how far a call got, which decides what the caller may be told: never
// written, perhaps run, answered.
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

namespace medlarwalk {

// How a call ended.
enum class CallEnd {
  kWhole,      // The answer is complete.
  kNotSent,    // No byte of the request left this process.
  kNoAnswer,   // Sent at least in part; ended before an answer's head.
  kBrokenOff,  // Ended after the answer's head, before its end.
};

// One call. Callbacks run on the loop thread and may cancel the call.
struct UpstreamCall {
  std::string request;       // Head and body, encoded.
  bool head_method = false;  // The answer has no body.
  // The head of an answer. Returns false when it belongs to another request:
  // that answer is skipped and the next one on the connection awaited.
  std::function<bool(const MessageHead&)> on_head;
  std::function<void(absl::string_view)> on_body;
  // Called once, last. `why` says what happened, for the log.
  std::function<void(CallEnd end, absl::string_view why)> on_end;
};

// The connection. Held by shared_ptr. Thread safety: loop thread only.
class Http1Client : public std::enable_shared_from_this<Http1Client> {
 public:
  // Begins to connect to `to`.
  static std::shared_ptr<Http1Client> Open(struct ev_loop* loop,
                                           const Clock& clock,
                                           const Endpoint& to,
                                           Duration connect_timeout);
  Http1Client(struct ev_loop* loop, const Clock& clock);
  ~Http1Client();

  // Starts `call`. Precondition: idle().
  void Start(UpstreamCall call);
  // Ends the call without its on_end and closes the connection, so that the
  // upstream can drop the work.
  void Cancel();
  void Close();
  bool idle() const { return !busy_; }
  bool open() const { return tcp_ && tcp_->open(); }
  bool connected() const { return tcp_ && tcp_->connected(); }
  // Whether any byte of the current call was handed to the socket.
  bool sent() const { return sent_; }
  // Stops or resumes reading the answer (a slow caller).
  void PauseRead(bool paused);
  // Calls that went over this connection before, and when it became idle.
  int calls() const { return calls_; }
  TimePoint idle_since() const { return idle_since_; }
  // How long the upstream keeps this connection while idle, if it said so.
  Duration keep_for() const { return keep_for_; }
  // Called when the connection closes while idle.
  void set_on_idle_close(std::function<void()> f) {
    on_idle_close_ = std::move(f);
  }

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
  bool busy_ = false;
  bool sent_ = false;
  bool ours_ = false;  // The message being read answers our call.
  bool message_end_ = false;
  bool in_callback_ = false;  // call_ is in use further up the stack.
  bool reusable_ = true;
  int calls_ = 0;
  TimePoint idle_since_{};
  Duration keep_for_;
  std::function<void()> on_idle_close_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_HTTP1_CLIENT_H_
