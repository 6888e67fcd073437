// HTTP/2 streams between the system's own processes (entry to agent), with
// nghttp2 over non-blocking sockets in the libev loop. The client side pings
// the connection and declares it dead when no answer comes in time: a
// connection can go silent for good while new ones work, and without the ping
// its streams would hang until their own timeouts.
#ifndef MEDLARWALK_H2_H_
#define MEDLARWALK_H2_H_

#include <ev.h>
#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <functional>
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

// The answer side of one HTTP/2 stream, as HttpExchange is for HTTP/1.1.
// Thread safety: loop thread.
class H2Stream {
 public:
  void Respond(int status, const HeaderList& headers, Payload body);
  void Respond(int status, const HeaderList& headers, std::string body) {
    Respond(status, headers, Payload(std::move(body)));
  }
  void StartStream(int status, const HeaderList& headers);
  void Write(absl::string_view data);
  void Finish();
  // Ends the stream with RST_STREAM: the peer sees the answer as not whole.
  void Reset();
  bool closed() const { return closed_; }
  // Called once if the stream ends (reset, connection lost) before Finish.
  void set_on_close(std::function<void()> f) { on_close_ = std::move(f); }

 private:
  friend class H2Connection;
  H2Connection* connection_ = nullptr;
  int32_t id_ = 0;
  bool started_ = false;
  bool finished_ = false;
  bool closed_ = false;
  bool deferred_ = false;
  Payload out_;
  std::function<void()> on_close_;
};

using H2Handler =
    std::function<void(const H2Request&, std::shared_ptr<H2Stream>)>;

// Accepts HTTP/2 (prior knowledge, no TLS) connections. Loop thread only.
class H2Server {
 public:
  H2Server(struct ev_loop* loop, H2Handler handler);
  ~H2Server();
  H2Server(const H2Server&) = delete;
  H2Server& operator=(const H2Server&) = delete;

  // Errors: Unavailable when the port cannot be bound.
  absl::Status Listen(const std::string& address, int port);
  // Closes the listening socket and sends GOAWAY on open connections, so
  // peers send no new streams; streams in progress finish.
  void StopAccepting();
  // Streams whose answer is not finished, over all connections.
  int open_streams() const;
  // Bytes of answers that their askers have not taken yet.
  size_t queued_bytes() const;

 private:
  void Accepted(int fd);
  void Forget(H2Connection* c);

  struct ev_loop* loop_;
  H2Handler handler_;
  Acceptor acceptor_;
  std::map<H2Connection*, std::unique_ptr<H2Connection>> connections_;
  friend class H2Connection;
};

// The answer to one HTTP/2 call, as seen by the client.
struct H2Call {
  std::string method = "POST";
  std::string path;
  HeaderList headers;
  Payload body;
  std::function<void(int status, const std::map<std::string, std::string>&)>
      on_response;
  std::function<void(absl::string_view)> on_data;
  // Ok when the stream ended normally. Unavailable with never_sent when the
  // request provably did not reach the peer (connect failed, or the peer
  // refused the stream unprocessed); Unavailable otherwise when it may have.
  std::function<void(absl::Status status, bool never_sent)> on_close;
};

// One HTTP/2 connection to one peer, reconnecting on demand. Loop thread only.
class H2Client {
 public:
  H2Client(struct ev_loop* loop, const Clock& clock, std::string address,
           int port, Millis ping_interval, Millis ping_timeout);
  ~H2Client();
  H2Client(const H2Client&) = delete;
  H2Client& operator=(const H2Client&) = delete;

  // Opens a stream for `call`; returns its handle (0 when it failed at once,
  // in which case on_close has already run).
  int32_t Submit(H2Call call);
  // Resets the stream; its on_close is not called.
  void Cancel(int32_t handle);
  // Whether a connection is up and has answered its last ping in time.
  bool healthy() const;
  // Whether new streams should be sent. After a failure the peer is suspect
  // and gets none until a probe connection answers a PING: a frozen process
  // still has its kernel accept connections, so "connect worked" proves
  // nothing.
  bool usable() const;
  // Streams open on the current connection.
  int open_streams() const;
  // Bytes of requests that the peer has not taken yet.
  size_t queued_bytes() const;
  // Connections declared dead because a ping went unanswered.
  int dead_connections() const { return dead_connections_; }

 private:
  static void OnPingTimer(struct ev_loop* loop, ev_timer* w, int revents);
  // False when there is no socket to be had: the peer is then suspect.
  bool Connect();
  void Drop(H2Connection* c);
  // Whether the current connection has said nothing for too long.
  bool Silent() const;
  // Gives up the current connection, which answers nothing.
  void DropSilent(absl::string_view why);

  struct ev_loop* loop_;
  const Clock& clock_;
  std::string address_;
  int port_;
  // How long an attempt to connect may take, at first and now.
  const Millis first_connect_limit_;
  Millis connect_limit_;
  Millis ping_interval_;
  Millis ping_timeout_;
  std::unique_ptr<H2Connection> connection_;
  // Where each open stream is: its number is its connection's own.
  struct Placed {
    H2Connection* connection = nullptr;
    int32_t id = 0;
  };
  std::map<int32_t, Placed> streams_;
  int32_t next_handle_ = 0;
  // Connections the peer sent GOAWAY on: no new streams, but the streams
  // they carry run to their end (a draining agent finishes its answers).
  std::vector<std::unique_ptr<H2Connection>> retiring_;
  ev_timer ping_timer_{};
  int dead_connections_ = 0;
  std::optional<TimePoint> last_failure_;
  bool suspect_ = false;
  friend class H2Connection;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_H2_H_
