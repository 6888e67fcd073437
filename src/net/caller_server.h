// HTTP/1.1 server for callers and operators, on sockets that this process owns.
// The server notices at once that a caller has disconnected, even while the
// answer is being prepared. It adds only framing headers to an answer.
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
#include "poll_clock.h"
#include "request_memory.h"
#include "tcp.h"
#include "types.h"

namespace medlarwalk {

class CallerConnection;

// One request and the methods to answer it. Call either Respond, or first
// StartAnswer, then Write any number of times, then FinishAnswer or Abort.
// Calls after the caller has disconnected do nothing.
class CallerExchange {
 public:
  MessageHead head;
  std::string body;
  TimePoint arrived{};  // When the complete request had been read.

  // Sends a complete answer.
  void Respond(int status, const HeaderList& headers, absl::string_view body);
  // Sends the answer without chunks and marks its end by closing the
  // connection. Must be called before StartAnswer. Not needed for a caller that
  // cannot read chunks: it gets such an answer anyway.
  void EndAnswerWithClose();
  // Begins an answer of unknown length, which is sent in chunks.
  void StartAnswer(int status, absl::string_view reason,
                   const HeaderList& headers);
  void Write(absl::string_view data);
  void FinishAnswer();
  // Closes the connection without the end of the answer, so that an interrupted
  // answer cannot look complete.
  void Abort();
  bool disconnected() const { return connection_ == nullptr; }
  // Returns whether the caller has disconnected, even if the loop has not
  // reported it yet. Costs a system call.
  bool CallerLeft() const;
  bool started() const { return started_; }
  // Returns the number of bytes not yet written to the caller's socket.
  size_t unsent() const;
  // Sets `f`, which is called once if the caller disconnects before the end of
  // the answer.
  void set_on_disconnect(std::function<void()> f) {
    on_disconnect_ = std::move(f);
  }
  // Sets `f`, which is called when unsent() has dropped to 0.
  void set_on_drained(std::function<void()> f) { on_drained_ = std::move(f); }

 private:
  friend class CallerConnection;
  void SendHead(int status, absl::string_view reason, const HeaderList& headers,
                absl::string_view framing);

  CallerConnection* connection_ = nullptr;
  bool started_ = false;
  bool bodyless_ = false;  // The request method is HEAD.
  bool chunked_ = true;    // If false, closing the connection ends the answer.
  std::function<void()> on_disconnect_;
  std::function<void()> on_drained_;
};

// Returns how many caller connections a process may hold if it may have
// `descriptors` open. Each caller may need a second descriptor, for a
// connection to an upstream. Links to other medlarwalk processes must always
// find a free descriptor to reconnect.
size_t MaxCallerConnections(size_t descriptors);

// Returns the number of descriptors that the host lets this process open.
size_t DescriptorLimit();

// Accepts caller connections and passes their requests to a handler. Thread
// safety: loop thread only.
class CallerServer {
 public:
  using Handler = std::function<void(std::shared_ptr<CallerExchange>)>;

  CallerServer(struct ev_loop* loop, const Clock& clock, Handler handler);
  // Closes all connections without a callback; their exchanges are then
  // disconnected.
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  // Starts listening. Errors: Unavailable when the address cannot be bound.
  absl::Status Listen(const Endpoint& at);
  int port() const { return listener_.port(); }
  // Sets the limits for requests and idle periods that begin from now on. A
  // longer timeout also applies to those that have begun.
  void set_limits(const CallerLimits& limits) { limits_ = limits; }
  // Limits the number of connections to about `n`. If there are more, those
  // idle longest are closed, then those whose request has been arriving for the
  // longest time. If all are being answered, new callers wait in the listen
  // backlog.
  void set_max_connections(size_t n) { max_connections_ = n; }
  // Sets the limits for a server of probes and metrics: few connections, and
  // requests without a body to speak of. It then takes little of what the
  // process needs to serve callers.
  void LimitToProbes();
  // Limits the bytes of all answers that are not yet written to their callers'
  // sockets. Beyond it, callers that read nothing of a complete answer are
  // given up, the longest first.
  void set_max_unsent_bytes(size_t n) { max_unsent_bytes_ = n; }
  // Limits the memory of all requests that are being read, wait or are being
  // answered, with what their callers have sent ahead, to about `n` bytes; a
  // request within the limits always fits (RequestMemoryLimit). Beyond it,
  // requests are refused as ChooseRefused and MayPassOn say, with 503 and a
  // time to return. They have not run.
  void set_max_request_bytes(size_t n) { max_request_bytes_ = n; }
  // Sets `f`, which is called with the reason for each request that is refused
  // because it is malformed, exceeds a limit or finds no memory.
  void set_on_refused(std::function<void(absl::string_view reason)> f) {
    on_refused_ = std::move(f);
  }
  // First step of a planned stop: every answer from now on closes its
  // connection.
  void CloseAfterAnswers() { closing_after_answers_ = true; }
  // Second step of a planned stop: accepts those that wait in the backlog, then
  // no new connections, and closes idle ones.
  void StopAccepting();
  // Closes every connection without a request in progress whose caller has read
  // its answers, or has read nothing of them for seconds. A connection with
  // unread bytes stays open until they are read.
  void CloseIdleConnections();
  // Returns the number of requests that are being read or answered or have
  // arrived unread, of answers being read by their callers, and of callers that
  // send on after their last answer.
  int requests_in_progress() const;
  // Returns the number of connections with bytes of answers that the caller's
  // host has not acknowledged.
  int undelivered_answers() const;
  size_t connections() const { return connections_.size(); }

 private:
  friend class CallerConnection;
  void LimitUnsentBytes();
  // Refuses requests while all together take too much memory.
  void LimitRequestBytes();
  // Returns whether a complete request of `bytes` may go to the handler.
  bool MayPassOnRequest(size_t bytes) const;
  size_t RequestBytesLimit() const {
    return RequestMemoryLimit(max_request_bytes_, limits_.body_bytes);
  }
  static void OnTimeoutCheck(struct ev_loop* loop, ev_timer* w, int revents);
  static void OnEvictionTimer(struct ev_loop* loop, ev_timer* w, int revents);
  // Closes idle connections if the maximum number is reached, and pauses
  // accepting while none can be closed.
  void EvictIdleConnections();
  // Gives up some of the requests that have been arriving for the longest time.
  void EvictUnfinishedRequests();
  // Returns the idle connections that may be closed to accept new callers, the
  // longest idle first.
  std::vector<std::shared_ptr<CallerConnection>> EvictableConnections() const;

  struct ev_loop* loop_;
  const Clock& clock_;
  PollClock poll_clock_;  // Callers' silence is judged at this time.
  Handler handler_;
  CallerLimits limits_;
  TcpListener listener_;
  std::function<void(absl::string_view reason)> on_refused_;
  bool closing_after_answers_ = false;
  size_t max_connections_ = SIZE_MAX;
  size_t max_unsent_bytes_ = SIZE_MAX;
  size_t max_request_bytes_ = kDefaultRequestMemory;
  size_t request_bytes_ = 0;  // Sum of CallerConnection::held_bytes().
  ev_timer timeout_check_timer_{};
  // Timer of eviction attempts; active while new callers wait for a connection.
  ev_timer eviction_timer_{};
  std::unordered_map<CallerConnection*, std::shared_ptr<CallerConnection>>
      connections_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_CALLER_SERVER_H_
