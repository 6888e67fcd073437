// Non-blocking TCP connections and listeners over libev. Thread safety: loop
// thread only.
#ifndef MEDLARWALK_TCP_H_
#define MEDLARWALK_TCP_H_

#include <ev.h>
#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "endpoint.h"
#include "payload.h"
#include "types.h"

namespace medlarwalk {

// Converts `e` for socket calls. Returns false if its ip is not an IPv4
// address.
bool ToSockaddr(const Endpoint& e, sockaddr_in* out);

// Returns the port that socket `fd` is bound to; 0 if it is negative or not
// bound.
int BoundPort(int fd);

// Makes socket `fd` non-blocking and disables Nagle's algorithm, so that small
// writes are sent immediately.
void SetNonBlocking(int fd);

// Calls SetNonBlocking() and sets two limits of a connection. The connection
// fails within seconds if its peer acknowledges nothing. The kernel queues few
// unsent bytes, because urgent data cannot overtake queued data.
void PrepareConnection(int fd);

// Returns the number of bytes written to socket `fd` that the peer's host has
// not acknowledged; 0 if the connection has failed.
size_t UnacknowledgedBytes(int fd);

class TcpConnection;

// Callbacks of a connection. Each of them may close the connection.
struct TcpEvents {
  std::function<void()> on_connected;
  std::function<void(absl::string_view)> on_data;
  // Called after the connection was closed: with Ok when the peer closed its
  // side in an orderly way, else with the error. A reset that is seen by then
  // is an error.
  std::function<void(absl::Status)> on_closed;
  // Called when the write buffer has become empty.
  std::function<void()> on_drained;
};

// One TCP connection. Held by shared_ptr so that a callback may release it.
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
 public:
  // Takes ownership of an accepted socket.
  static std::shared_ptr<TcpConnection> FromAcceptedSocket(struct ev_loop* loop,
                                                           int fd);
  // Starts to connect. The connection fails with Unavailable if it is not
  // established within `timeout`.
  static std::shared_ptr<TcpConnection> Connect(struct ev_loop* loop,
                                                const Endpoint& to,
                                                Duration timeout);
  TcpConnection(struct ev_loop* loop, int fd, bool connecting);
  ~TcpConnection();
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  void set_events(TcpEvents events) { events_ = std::move(events); }
  // Sends `data`; buffers the bytes that the socket does not accept yet.
  void Write(absl::string_view data);
  // Sends the shared `data`, of which unsent bytes are not copied.
  void Write(Document data);
  // Closes the connection once all buffered bytes are sent; discards received
  // data until then.
  void CloseAfterWrites();
  // Closes the sending side once all buffered bytes are sent. Received data
  // still goes to on_data, until the peer closes its side.
  void ShutdownAfterWrites();
  // Closes the connection immediately, without a callback.
  void Close();
  // Reads and discards what the peer has sent, up to a bound. A close with
  // unread bytes resets the connection, and written bytes are lost with it.
  void DiscardReceived();
  // Closes the connection immediately with a TCP reset, so that the peer cannot
  // mistake it for an orderly end. No callback follows.
  void CloseWithReset();
  // Sets whether the end of the peer's side is reported later, if bytes sent by
  // then are not acknowledged: a reset within the next 250 ms makes it an
  // error. A peer that has gone, or that gives up the connection, answers them
  // with a reset, which may arrive just after the end.
  void set_confirm_end(bool confirm) { confirm_end_ = confirm; }
  // Pauses or resumes reading, for backpressure.
  void SetReadPaused(bool paused);
  bool open() const { return fd_ >= 0; }
  bool connected() const { return connected_; }
  // Returns whether the peer refused the connection: its host is up, but
  // nothing listens on the port.
  bool refused() const { return refused_; }
  // Returns whether received bytes wait in the socket.
  bool HasUnreadData() const;
  // Returns whether the peer has closed its side or the connection has failed.
  // Also true while received bytes wait, and while reading is paused.
  bool PeerClosed() const;
  size_t unsent() const { return out_.size(); }
  // Returns the number of received bytes that wait in the socket.
  size_t unread() const;
  // Returns UnacknowledgedBytes() of the socket.
  size_t unacknowledged() const { return UnacknowledgedBytes(fd_); }

 private:
  static void OnIo(struct ev_loop* loop, ev_io* w, int revents);
  static void OnConnectFailure(struct ev_loop* loop, ev_timer* w, int revents);
  static void OnEndCheck(struct ev_loop* loop, ev_timer* w, int revents);
  // Sends as much of `data` as the socket accepts, if nothing waits before it.
  // Returns the number of bytes sent.
  size_t SendNow(absl::string_view data);
  // Watches the socket for the events that the current state needs.
  void UpdateWatchedEvents();
  void OnReadable();
  void OnWritable();
  // Reports the end of the peer's side, or starts to wait for a reset.
  void OnPeerEnd();
  // Returns whether the connection has failed with an error that is not read.
  bool HasError() const;
  // Closes the connection and passes `status` to on_closed.
  void CloseAndNotify(absl::Status status);

  struct ev_loop* loop_;
  int fd_;
  bool connected_;
  bool close_after_writes_ = false;
  bool shutdown_after_writes_ = false;
  bool paused_ = false;
  bool refused_ = false;
  bool confirm_end_ = false;
  bool peer_ended_ = false;  // The end of the peer's side was read.
  int end_checks_left_ = 0;
  int io_events_ = 0;
  ev_io io_{};
  ev_timer timer_{};
  ev_timer end_timer_{};
  Payload out_;
  TcpEvents events_;
};

// Listens on a socket and accepts connections. Thread safety: loop thread only.
class Acceptor {
 public:
  // `priority` orders new connections within a loop iteration (loop_order.h).
  Acceptor(struct ev_loop* loop, std::function<void(int fd)> on_accept,
           int priority = 0);
  ~Acceptor();
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;

  // Starts to listen; port 0 selects any free port. Errors: Unavailable when
  // the address cannot be bound.
  absl::Status Listen(const Endpoint& at);
  // Accepts the connections that wait in the listen backlog, unless paused.
  void AcceptPending();
  // Closes the listener; connections in its backlog are reset.
  void Stop();
  // Pauses or resumes accepting. While paused, new connections wait in the
  // listen backlog.
  void SetPaused(bool paused);
  // Returns the bound port; 0 when not listening.
  int port() const;

 private:
  static void OnIo(struct ev_loop* loop, ev_io* w, int revents);
  static void OnAcceptRetry(struct ev_loop* loop, ev_timer* w, int revents);
  // Starts or stops watching the socket, according to paused_ and retry_.
  void UpdateWatcher();

  struct ev_loop* loop_;
  std::function<void(int fd)> on_accept_;
  int priority_;
  int fd_ = -1;
  bool paused_ = false;
  ev_io io_{};
  // Resumes accepting some time after accept has failed for lack of file
  // descriptors. Without a delay the loop would spin, because the socket stays
  // readable.
  ev_timer retry_{};
};

// Accepts connections and wraps them as TcpConnection. Thread safety: loop
// thread only.
class TcpListener {
 public:
  TcpListener(struct ev_loop* loop,
              std::function<void(std::shared_ptr<TcpConnection>)> on_accept);

  // Starts to listen; port 0 selects any free port. Errors: Unavailable when
  // the address cannot be bound.
  absl::Status Listen(const Endpoint& at) { return acceptor_.Listen(at); }
  void AcceptPending() { acceptor_.AcceptPending(); }
  void Stop() { acceptor_.Stop(); }
  void SetPaused(bool paused) { acceptor_.SetPaused(paused); }
  int port() const { return acceptor_.port(); }

 private:
  Acceptor acceptor_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_TCP_H_
