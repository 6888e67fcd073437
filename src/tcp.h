// Non-blocking TCP over libev: one connection, and a listener. Everything
// runs on the loop thread.
#ifndef MEDLARWALK_TCP_H_
#define MEDLARWALK_TCP_H_

#include <ev.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "endpoint.h"
#include "types.h"

namespace medlarwalk {

// Makes calls on socket `fd` return at once and its small writes leave at once.
void SetNonBlocking(int fd);

// SetNonBlocking for a connection; besides, a peer that takes nothing any more
// ends it within seconds, and little of what is written waits in the kernel,
// where what is urgent could not overtake it.
void PrepareConnection(int fd);

class TcpConnection;

// What a connection tells its owner. Any callback may close the connection.
struct TcpEvents {
  std::function<void()> on_connected;
  std::function<void(absl::string_view)> on_data;
  // The peer closed its side (Ok) or the connection failed; it is closed.
  std::function<void(absl::Status)> on_closed;
  // The write buffer has become empty.
  std::function<void()> on_drained;
};

// One connection. Held by shared_ptr so that a callback may drop it.
class TcpConnection : public std::enable_shared_from_this<TcpConnection> {
 public:
  // Takes over an accepted socket.
  static std::shared_ptr<TcpConnection> Accepted(struct ev_loop* loop, int fd);
  // Begins to connect. The connection fails with Unavailable if it is not
  // established within `timeout`.
  static std::shared_ptr<TcpConnection> Connect(struct ev_loop* loop,
                                                const Endpoint& to,
                                                Duration timeout);
  TcpConnection(struct ev_loop* loop, int fd, bool connecting);
  ~TcpConnection();
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  void set_events(TcpEvents events) { events_ = std::move(events); }
  // Sends `data`, buffering what the socket does not take now.
  void Write(absl::string_view data);
  // Closes once the buffer is written out; reads nothing more.
  void CloseAfterWrites();
  // Closes now. No callback follows.
  void Close();
  // Closes now with a reset, so that the peer cannot take it for an orderly
  // end. No callback follows.
  void Reset();
  // Stops or resumes reading (backpressure).
  void PauseRead(bool paused);
  bool open() const { return fd_ >= 0; }
  bool connected() const { return connected_; }
  // The host is there and nobody listens at the port.
  bool refused() const { return refused_; }
  // Whether bytes have come that were not read yet.
  bool HasUnread() const;
  size_t unsent() const { return out_.size() - sent_; }

 private:
  static void OnIo(struct ev_loop* loop, ev_io* w, int revents);
  static void OnTimer(struct ev_loop* loop, ev_timer* w, int revents);
  void UpdateIo();
  void Readable();
  void Writable();
  void Fail(absl::Status status);

  struct ev_loop* loop_;
  int fd_;
  bool connected_;
  bool closing_ = false;
  bool paused_ = false;
  bool refused_ = false;
  int io_events_ = 0;
  ev_io io_{};
  ev_timer timer_{};
  std::string out_;
  size_t sent_ = 0;
  TcpEvents events_;
};

// Takes connections in as they come. Thread safety: loop thread only.
class Acceptor {
 public:
  // `priority`: of newcomers within a turn (loop_order.h).
  Acceptor(struct ev_loop* loop, std::function<void(int fd)> on_accept,
           int priority = 0);
  ~Acceptor();
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;

  // Port 0 takes any free one. Errors: Unavailable when the address cannot be
  // bound.
  absl::Status Listen(const Endpoint& at);
  void Stop();
  // Leaves newcomers in the listening queue, or takes them in again.
  void Pause(bool paused);
  // The port bound; 0 when not listening.
  int port() const;

 private:
  static void OnIo(struct ev_loop* loop, ev_io* w, int revents);
  static void OnRetry(struct ev_loop* loop, ev_timer* w, int revents);
  // Listens to the socket or not, as paused_ and retry_ say.
  void Update();

  struct ev_loop* loop_;
  std::function<void(int fd)> on_accept_;
  int priority_;
  int fd_ = -1;
  bool paused_ = false;
  ev_io io_{};
  // Runs while accept is refused for want of descriptors: the socket stays
  // readable, and the loop would turn as fast as the host allows.
  ev_timer retry_{};
};

// Accepts connections as TcpConnection.
class TcpListener {
 public:
  TcpListener(struct ev_loop* loop,
              std::function<void(std::shared_ptr<TcpConnection>)> on_accept);

  // As Acceptor's.
  absl::Status Listen(const Endpoint& at) { return acceptor_.Listen(at); }
  void Stop() { acceptor_.Stop(); }
  void Pause(bool paused) { acceptor_.Pause(paused); }
  int port() const { return acceptor_.port(); }

 private:
  Acceptor acceptor_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_TCP_H_
