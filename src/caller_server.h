// HTTP/1.1 toward callers and operators, on sockets this process owns: a
// caller that leaves is noticed at once, also while its answer is being
// prepared, and no header is added that the answer does not carry.
#ifndef MEDLARWALK_CALLER_SERVER_H_
#define MEDLARWALK_CALLER_SERVER_H_

#include <ev.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "http1.h"
#include "tcp.h"
#include "types.h"

namespace medlarwalk {

class CallerConnection;

// One request and the way to answer it. Exactly one of Respond, or StartAnswer
// with Write and then Finish or Abort. Calls after the caller left do nothing.
class CallerExchange {
 public:
  MessageHead head;
  std::string body;
  TimePoint arrived{};  // When the request had been read whole.

  // Sends a whole answer.
  void Respond(int status, const HeaderList& headers, absl::string_view body);
  // Before StartAnswer: the answer's end is that of its connection, as for a
  // caller that cannot read chunks (done for such a one without being asked).
  void EndWithConnection();
  // Begins an answer whose length is not known: chunked.
  void StartAnswer(int status, absl::string_view reason,
                   const HeaderList& headers);
  void Write(absl::string_view data);
  void Finish();
  // Closes the connection without the answer's end, so that a cut answer
  // cannot look complete.
  void Abort();
  bool gone() const { return connection_ == nullptr; }
  bool started() const { return started_; }
  // Bytes not yet taken by the caller's connection.
  size_t unsent() const;
  // Called once if the caller leaves before the answer's end.
  void set_on_gone(std::function<void()> f) { on_gone_ = std::move(f); }
  // Called when unsent() has gone down to 0.
  void set_on_drained(std::function<void()> f) { on_drained_ = std::move(f); }

 private:
  friend class CallerConnection;
  void SendHead(int status, absl::string_view reason, const HeaderList& headers,
                absl::string_view framing);

  CallerConnection* connection_ = nullptr;
  bool started_ = false;
  bool bodyless_ = false;  // Answers a HEAD request.
  bool chunked_ = true;    // Otherwise ends with its connection.
  std::function<void()> on_gone_;
  std::function<void()> on_drained_;
};

// How many callers' connections a process may hold that may have
// `descriptors` open: each may need one more to an upstream, and a few links to
// our own processes must always come back.
size_t CallersFor(size_t descriptors);

// The descriptors that the host lets this process open.
size_t DescriptorLimit();

// The server. Thread safety: loop thread only.
class CallerServer {
 public:
  using Handler = std::function<void(std::shared_ptr<CallerExchange>)>;

  CallerServer(struct ev_loop* loop, const Clock& clock, Handler handler);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  // Errors: Unavailable when the address cannot be bound.
  absl::Status Listen(const Endpoint& at);
  // The port bound.
  int port() const { return listener_.port(); }
  // Applies to messages that begin from now on.
  void set_limits(const CallerLimits& limits) { limits_ = limits; }
  // Holds no more than about `n` connections: past it those idle longest make
  // room; where all are busy, newcomers wait in the listening queue.
  void set_most_connections(size_t n) { most_connections_ = n; }
  // Planned stop, first step: answers from now on close their connection.
  void CloseAfterAnswers() { closing_ = true; }
  // Planned stop, second step: takes no new connection, closes idle ones.
  void StopAccepting();
  // Closes every connection on which no request is in progress.
  void CloseIdle();
  // Requests being read or answered.
  int busy() const;
  size_t connections() const { return connections_.size(); }

 private:
  friend class CallerConnection;
  static void OnSweep(struct ev_loop* loop, ev_timer* w, int revents);
  static void OnRoom(struct ev_loop* loop, ev_timer* w, int revents);
  void MakeRoom();
  // Those that may be closed for a newcomer's sake, longest idle first.
  std::vector<std::shared_ptr<CallerConnection>> Closable() const;

  struct ev_loop* loop_;
  const Clock& clock_;
  Handler handler_;
  CallerLimits limits_;
  TcpListener listener_;
  bool closing_ = false;
  size_t most_connections_ = SIZE_MAX;
  ev_timer sweep_{};
  ev_timer room_{};  // Runs while newcomers wait.
  std::unordered_map<CallerConnection*, std::shared_ptr<CallerConnection>>
      connections_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_CALLER_SERVER_H_
