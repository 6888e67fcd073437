// HTTP/2 streams between medlarwalk's own processes (entry to agent), with
// nghttp2 over non-blocking sockets in the libev loop. The client pings the
// connection and opens no new streams on it when nothing is received in time.
// Otherwise the streams of a connection that has failed silently would hang
// until their own timeouts, although new connections work.
#ifndef MEDLARWALK_H2_H_
#define MEDLARWALK_H2_H_

#include <ev.h>
#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "http_server.h"
#include "payload.h"
#include "poll_clock.h"
#include "tcp.h"
#include "types.h"

namespace medlarwalk {

class H2Connection;

// One request received over HTTP/2; header names are lower case.
struct H2Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> headers;
  std::string body;
  std::string Header(const std::string& name) const;
};

// The server side of one HTTP/2 stream: sends the answer. The HTTP/1.1
// counterpart is HttpExchange. Thread safety: loop thread only.
class H2Stream {
 public:
  void Respond(int status, const HeaderList& headers, Payload body);
  void Respond(int status, const HeaderList& headers, std::string body) {
    Respond(status, headers, Payload(std::move(body)));
  }
  void StartStream(int status, const HeaderList& headers);
  void Write(absl::string_view data);
  void FinishStream();
  // Ends the stream with RST_STREAM, so that the peer treats the answer as
  // incomplete.
  void Abort();
  bool closed() const { return closed_; }
  // Sets a callback that runs once if the stream ends (reset, connection lost)
  // before FinishStream().
  void set_on_close(std::function<void()> f) { on_close_ = std::move(f); }

 private:
  friend class H2Connection;
  H2Connection* connection_ = nullptr;
  int32_t id_ = 0;
  bool started_ = false;
  bool finished_ = false;
  bool closed_ = false;
  bool send_deferred_ = false;
  Payload unsent_body_;
  std::function<void()> on_close_;
};

using H2Handler =
    std::function<void(const H2Request&, std::shared_ptr<H2Stream>)>;

// Accepts HTTP/2 (prior knowledge, no TLS) connections.
// Thread safety: loop thread only.
class H2Server {
 public:
  H2Server(struct ev_loop* loop, H2Handler handler);
  // Closes all streams without their callbacks: the objects that these use may
  // be destroyed already.
  ~H2Server();
  H2Server(const H2Server&) = delete;
  H2Server& operator=(const H2Server&) = delete;

  // Errors: Unavailable when the port cannot be bound.
  absl::Status Listen(const std::string& address, int port);
  // Accepts the connections of the listen backlog, closes the listening socket
  // and sends GOAWAY on all connections, so that peers open no new streams.
  // Streams in progress finish.
  void StopAccepting();
  // Returns the number of streams with an unfinished answer, over all
  // connections.
  int open_streams() const;
  // Returns the number of bytes of answers that wait to be sent.
  size_t queued_bytes() const;
  // Returns the number of bytes sent that the peers' hosts have not
  // acknowledged. They may be lost if this server is destroyed now.
  size_t unacknowledged_bytes() const;

 private:
  void OnAccepted(int fd);
  void RemoveConnection(H2Connection* c);

  struct ev_loop* loop_;
  H2Handler handler_;
  Acceptor acceptor_;
  size_t body_bytes_ = 0;  // Of requests that are not complete yet.
  std::map<H2Connection*, std::unique_ptr<H2Connection>> connections_;
  friend class H2Connection;
};

// One HTTP/2 call, with the callbacks that receive its answer.
struct H2Call {
  std::string method = "POST";
  std::string path;
  HeaderList headers;
  Payload body;
  // Size in bytes beyond which the answer's body ends the call as failed. A
  // call that keeps the body has to set it.
  size_t max_body_bytes = std::numeric_limits<size_t>::max();
  std::function<void(int status, const std::map<std::string, std::string>&)>
      on_response;
  std::function<void(absl::string_view)> on_data;
  // Called once at the end. `status` is Ok when the stream ended normally, else
  // Unavailable. `never_sent` is true when the request provably was not
  // processed by the peer: the connection was not established, or the peer
  // refused the stream. It is false when the request may have been processed.
  std::function<void(absl::Status status, bool never_sent)> on_close;
};

// An HTTP/2 connection to one peer, re-established on demand. A connection that
// is silent for the ping timeout is replaced, but its calls go on: a sound peer
// may be silent for a while. They fail once the connection proves lost, that is
// if it stays silent for the ping timeout after the peer has answered on
// another one, or for `max_silence` in all.
// Thread safety: loop thread only.
class H2Client {
 public:
  // `max_silence`: at least `ping_timeout` is used.
  H2Client(struct ev_loop* loop, const Clock& clock, std::string address,
           int port, Millis ping_interval, Millis ping_timeout,
           Millis max_silence = Millis(0));
  ~H2Client();
  H2Client(const H2Client&) = delete;
  H2Client& operator=(const H2Client&) = delete;

  // Opens a stream for `call` and returns its handle. Returns 0 when the call
  // failed immediately; its on_close has then already run.
  int32_t Submit(H2Call call);
  // Resets the stream without calling its on_close.
  void Cancel(int32_t handle);
  // Returns whether a connection is established and not silent.
  bool healthy() const;
  // Returns whether new streams should be sent to the peer. After a failure the
  // peer is suspect and gets no new streams until it answers a PING on a new
  // connection. An established connection is not enough: the kernel accepts
  // connections for a process that is frozen.
  bool usable() const;
  // Called when the peer has proved in another way that it is running, such as
  // by a request of its own. Ends the wait before the next attempt to connect.
  void OnPeerAlive();
  // Returns the number of open streams on the current connection.
  int open_streams() const;
  // Returns the number of bytes of requests that wait to be sent.
  size_t queued_bytes() const;
  // Returns the number of connections replaced because the peer did not answer
  // a ping or the connection was not established in time.
  int dead_connections() const { return dead_connections_; }

 private:
  static void OnPingTimer(struct ev_loop* loop, ev_timer* w, int revents);
  // Opens a socket that starts to connect to the peer. Returns -1 when no
  // socket can be created. Sets `connecting` unless the connection is
  // established.
  int OpenSocket(bool* connecting) const;
  // Sends a ping on `c` if none is outstanding and one is due.
  void PingIfDue(H2Connection& c, TimePoint now);
  // Starts to connect. Returns false when no socket can be created; the peer is
  // then suspect.
  bool Connect();
  // Removes the closed connection `c` and fails its calls.
  void OnConnectionLost(H2Connection* c);
  // Returns whether the peer has been silent for longer than the ping timeout,
  // up to the last time at which this process looked for input.
  bool IsSilent() const;
  // Records that the current connection is given up because of `why`.
  void RecordSilence(absl::string_view why);
  // Stops using the silent current connection. Its calls go on.
  void RetireSilentConnection();
  // Ends the attempt to connect and fails its calls, which were never sent.
  void AbandonConnect();
  // Records that the peer answered a ping on `c`.
  void OnPingAnswered(H2Connection* c);
  // Pings the retired connections, and removes those that have no calls left or
  // prove lost. The calls of the latter fail.
  void CloseRetiredConnections(TimePoint now);

  struct ev_loop* loop_;
  const Clock& clock_;
  PollClock poll_clock_;
  std::string address_;
  int port_;
  // Time limit of a connection attempt: initial value and current value.
  const Millis initial_connect_timeout_;
  Millis connect_timeout_;
  Millis ping_interval_;
  Millis ping_timeout_;
  Millis max_silence_;
  std::unique_ptr<H2Connection> connection_;
  // The connection of an open stream, and the stream's id on that connection.
  struct StreamLocation {
    H2Connection* connection = nullptr;
    int32_t id = 0;
  };
  std::map<int32_t, StreamLocation> streams_;
  int32_t next_handle_ = 0;
  // A connection that gets no new streams: the peer sent GOAWAY on it, or it
  // fell silent. Its open streams run to the end, because a draining agent
  // finishes its answers, and a silent one may go on.
  struct RetiredConnection {
    std::unique_ptr<H2Connection> connection;
    // Time when the peer first answered on another connection since this one
    // fell silent.
    std::optional<TimePoint> peer_answered_at;
    // The peer sent GOAWAY. A process that answers on another connection may be
    // its successor, so it proves nothing about this one.
    bool draining = false;
  };
  // Returns whether `r` is silent and the peer cannot be expected to go on.
  bool IsLost(RetiredConnection& r, TimePoint now) const;
  std::vector<RetiredConnection> retired_connections_;
  ev_timer ping_timer_{};
  int dead_connections_ = 0;
  std::optional<TimePoint> last_failure_;
  bool suspect_ = false;
  friend class H2Connection;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_H2_H_
