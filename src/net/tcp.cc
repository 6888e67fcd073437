#include "tcp.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "absl/strings/str_cat.h"
#include "log.h"
#include "loop_order.h"

namespace medlarwalk {
namespace {

constexpr size_t kReadBlock = size_t{32} * 1024;
constexpr int kListenBacklog = 1024;
// Bound of DiscardReceived(): more than a socket buffer holds.
constexpr size_t kMaxDiscardedBytes = size_t{8} << 20;
// Delay before the next accept after one failed for lack of file descriptors.
constexpr double kAcceptRetrySeconds = 0.1;
// Time without acknowledgement after which a connection fails. With the default
// of the kernel, a write to a silent connection would wait for minutes.
constexpr unsigned kUserTimeoutMs = 5000;
// Time between two looks for a reset after the end of the peer's side, and
// their number: 250 ms. A lost reset comes again with the first retransmission,
// 200 ms later.
constexpr double kEndCheckSeconds = 0.01;
constexpr int kEndChecks = 25;
// Limit of the unsent bytes that the kernel queues per connection: two read
// blocks.
constexpr int kMaxUnsentBytes = 64 * 1024;
constexpr char kResetAfterEnd[] = "reset after its end";

}  // namespace

bool ToSockaddr(const Endpoint& e, sockaddr_in* out) {
  *out = {};
  out->sin_family = AF_INET;
  out->sin_port = htons(static_cast<uint16_t>(e.port));
  return inet_pton(AF_INET, e.ip.c_str(), &out->sin_addr) == 1;
}

int BoundPort(int fd) {
  sockaddr_in addr{};
  socklen_t len = sizeof(addr);
  if (fd < 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&addr), &len) != 0) {
    return 0;
  }
  return ntohs(addr.sin_port);
}

void SetNonBlocking(int fd) {
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL, 0) | O_NONBLOCK);
  int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

size_t UnacknowledgedBytes(int fd) {
  int n = 0;
  if (ioctl(fd, SIOCOUTQ, &n) != 0) return 0;
  return static_cast<size_t>(n);
}

void PrepareConnection(int fd) {
  SetNonBlocking(fd);
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs,
             sizeof(kUserTimeoutMs));
  setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &kMaxUnsentBytes,
             sizeof(kMaxUnsentBytes));
}

std::shared_ptr<TcpConnection> TcpConnection::FromAcceptedSocket(
    struct ev_loop* loop, int fd) {
  PrepareConnection(fd);
  auto c = std::make_shared<TcpConnection>(loop, fd, false);
  c->UpdateWatchedEvents();
  return c;
}

std::shared_ptr<TcpConnection> TcpConnection::Connect(struct ev_loop* loop,
                                                      const Endpoint& to,
                                                      Duration timeout) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd >= 0) PrepareConnection(fd);
  auto c = std::make_shared<TcpConnection>(loop, fd, true);
  sockaddr_in addr;
  bool address_valid = fd >= 0 && ToSockaddr(to, &addr);
  bool ok = address_valid && (connect(fd, reinterpret_cast<sockaddr*>(&addr),
                                      sizeof(addr)) == 0 ||
                              errno == EINPROGRESS);
  c->refused_ = address_valid && !ok && errno == ECONNREFUSED;
  // A connection attempt that fails immediately is reported through the timer,
  // so that the caller can set its callbacks first. The loop's clock is updated
  // before the timer is set, because the clock otherwise shows the start of the
  // current iteration. Without the update, a timer set late in a long iteration
  // would expire before the loop polls the socket again.
  ev_now_update(loop);
  ev_timer_set(&c->timer_, ok ? ToSeconds(timeout) : 0., 0.);
  ev_timer_start(loop, &c->timer_);
  if (ok) c->UpdateWatchedEvents();
  return c;
}

TcpConnection::TcpConnection(struct ev_loop* loop, int fd, bool connecting)
    : loop_(loop), fd_(fd), connected_(!connecting) {
  ev_io_init(&io_, OnIo, fd, EV_READ);
  io_.data = this;
  ev_init(&timer_, OnConnectFailure);
  ev_set_priority(&timer_, kTimerPriority);
  timer_.data = this;
  InitTimer(&end_timer_, OnEndCheck, kEndCheckSeconds, kEndCheckSeconds);
  end_timer_.data = this;
}

TcpConnection::~TcpConnection() { Close(); }

void TcpConnection::UpdateWatchedEvents() {
  int wanted_events = 0;
  if (fd_ >= 0) {
    if (!connected_) {
      wanted_events = EV_WRITE;
    } else {
      if (!paused_ && !peer_ended_) wanted_events |= EV_READ;
      if (unsent() > 0) wanted_events |= EV_WRITE;
    }
  }
  if (wanted_events == io_events_) return;
  if (io_events_) ev_io_stop(loop_, &io_);
  io_events_ = wanted_events;
  if (!wanted_events) return;
  ev_io_set(&io_, fd_, wanted_events);
  ev_io_start(loop_, &io_);
}

void TcpConnection::Write(absl::string_view data) {
  if (fd_ < 0 || close_after_writes_ || shutdown_after_writes_) return;
  data.remove_prefix(SendNow(data));
  if (data.empty()) return;
  out_.Append(data);
  UpdateWatchedEvents();
}

void TcpConnection::Write(Document data) {
  if (fd_ < 0 || close_after_writes_ || shutdown_after_writes_) return;
  size_t n = SendNow(*data);
  if (n == data->size()) return;
  out_.Append(std::move(data));
  out_.RemovePrefix(n);
  UpdateWatchedEvents();
}

size_t TcpConnection::SendNow(absl::string_view data) {
  if (!connected_ || unsent() > 0) return 0;
  ssize_t n = send(fd_, data.data(), data.size(), MSG_NOSIGNAL);
  // A failed send is not reported here. It also causes an event on the socket,
  // which the loop handles, so that no callback runs inside Write().
  return n > 0 ? static_cast<size_t>(n) : 0;
}

void TcpConnection::CloseAfterWrites() {
  close_after_writes_ = true;
  if (unsent() == 0) Close();
}

void TcpConnection::ShutdownAfterWrites() {
  shutdown_after_writes_ = true;
  if (fd_ >= 0 && unsent() == 0) shutdown(fd_, SHUT_WR);
}

void TcpConnection::Close() {
  if (io_events_) ev_io_stop(loop_, &io_);
  io_events_ = 0;
  ev_timer_stop(loop_, &timer_);
  ev_timer_stop(loop_, &end_timer_);
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
  events_ = {};
}

void TcpConnection::DiscardReceived() {
  char buf[kReadBlock];
  for (size_t n = 0; n < kMaxDiscardedBytes && fd_ >= 0;) {
    ssize_t r = recv(fd_, buf, sizeof(buf), MSG_DONTWAIT);
    if (r <= 0) return;
    n += static_cast<size_t>(r);
  }
}

void TcpConnection::CloseWithReset() {
  linger reset_on_close{1, 0};
  if (fd_ >= 0) {
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset_on_close,
               sizeof(reset_on_close));
  }
  Close();
}

void TcpConnection::SetReadPaused(bool paused) {
  if (paused_ == paused) return;
  paused_ = paused;
  UpdateWatchedEvents();
}

void TcpConnection::OnIo(struct ev_loop*, ev_io* w, int revents) {
  auto self = static_cast<TcpConnection*>(w->data)->shared_from_this();
  if (revents & EV_WRITE) self->OnWritable();
  if (self->fd_ >= 0 && (revents & EV_READ)) self->OnReadable();
}

void TcpConnection::OnConnectFailure(struct ev_loop*, ev_timer* w, int) {
  auto self = static_cast<TcpConnection*>(w->data)->shared_from_this();
  self->CloseAndNotify(absl::UnavailableError("connect timed out or failed"));
}

void TcpConnection::OnReadable() {
  char buf[kReadBlock];
  ssize_t n = read(fd_, buf, sizeof(buf));
  if (n < 0) {
    if (errno == EAGAIN || errno == EINTR) return;
    CloseAndNotify(absl::UnavailableError(std::strerror(errno)));
    return;
  }
  if (n == 0) {
    OnPeerEnd();
    return;
  }
  if (close_after_writes_) return;
  // Copied because the callback may close the connection, which clears events_.
  auto f = events_.on_data;
  if (f) f(absl::string_view(buf, static_cast<size_t>(n)));
}

void TcpConnection::OnPeerEnd() {
  if (HasError()) {
    CloseAndNotify(absl::UnavailableError(kResetAfterEnd));
  } else if (confirm_end_ && (unsent() > 0 || unacknowledged() > 0)) {
    peer_ended_ = true;
    end_checks_left_ = kEndChecks;
    UpdateWatchedEvents();
    ev_timer_again(loop_, &end_timer_);
  } else {
    CloseAndNotify(absl::OkStatus());
  }
}

void TcpConnection::OnEndCheck(struct ev_loop*, ev_timer* w, int) {
  auto self = static_cast<TcpConnection*>(w->data)->shared_from_this();
  if (self->HasError()) {
    self->CloseAndNotify(absl::UnavailableError(kResetAfterEnd));
  } else if (--self->end_checks_left_ == 0) {
    self->CloseAndNotify(absl::OkStatus());
  }
}

void TcpConnection::OnWritable() {
  if (!connected_) {
    int err = 0;
    socklen_t len = sizeof(err);
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &err, &len);
    if (err != 0) {
      refused_ = err == ECONNREFUSED;
      CloseAndNotify(absl::UnavailableError(std::strerror(err)));
      return;
    }
    connected_ = true;
    ev_timer_stop(loop_, &timer_);
    auto f = events_.on_connected;
    if (f) f();
    if (fd_ < 0) return;
  }
  while (unsent() > 0) {
    absl::string_view front = out_.Front();
    ssize_t n = send(fd_, front.data(), front.size(), MSG_NOSIGNAL);
    if (n < 0) {
      if (errno == EAGAIN || errno == EINTR) break;
      CloseAndNotify(absl::UnavailableError(std::strerror(errno)));
      return;
    }
    out_.RemovePrefix(static_cast<size_t>(n));
  }
  if (unsent() == 0) {
    if (close_after_writes_) {
      Close();
      return;
    }
    if (shutdown_after_writes_) shutdown(fd_, SHUT_WR);
    auto f = events_.on_drained;
    if (f) f();
    if (fd_ < 0) return;
  }
  UpdateWatchedEvents();
}

void TcpConnection::CloseAndNotify(absl::Status status) {
  auto f = events_.on_closed;
  Close();
  if (f) f(std::move(status));
}

bool TcpConnection::HasUnreadData() const {
  char c;
  return fd_ >= 0 && recv(fd_, &c, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

size_t TcpConnection::unread() const {
  int n = 0;
  if (fd_ < 0 || ioctl(fd_, FIONREAD, &n) != 0) return 0;
  return static_cast<size_t>(n);
}

bool TcpConnection::HasError() const {
  pollfd p{fd_, 0, 0};
  return poll(&p, 1, 0) > 0 && (p.revents & POLLERR);
}

bool TcpConnection::PeerClosed() const {
  pollfd p{fd_, POLLRDHUP, 0};
  return fd_ >= 0 && poll(&p, 1, 0) > 0;
}

Acceptor::Acceptor(struct ev_loop* loop, std::function<void(int fd)> on_accept,
                   int priority)
    : loop_(loop), on_accept_(std::move(on_accept)), priority_(priority) {
  InitTimer(&retry_, OnAcceptRetry, kAcceptRetrySeconds, 0.);
  retry_.data = this;
}

Acceptor::~Acceptor() { Stop(); }

absl::Status Acceptor::Listen(const Endpoint& at) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in addr;
  if (!ToSockaddr(at, &addr) ||
      bind(fd_, reinterpret_cast<sockaddr*>(&addr), sizeof(addr)) != 0 ||
      listen(fd_, kListenBacklog) != 0) {
    absl::Status s = absl::UnavailableError(absl::StrCat(
        "cannot listen on ", at.ToString(), ": ", std::strerror(errno)));
    close(fd_);
    fd_ = -1;
    return s;
  }
  SetNonBlocking(fd_);
  ev_io_init(&io_, OnIo, fd_, EV_READ);
  ev_set_priority(&io_, priority_);
  io_.data = this;
  UpdateWatcher();
  return absl::OkStatus();
}

void Acceptor::UpdateWatcher() {
  if (fd_ < 0) return;
  if (paused_ || ev_is_active(&retry_)) {
    ev_io_stop(loop_, &io_);
  } else {
    ev_io_start(loop_, &io_);
  }
}

int Acceptor::port() const { return BoundPort(fd_); }

void Acceptor::Stop() {
  ev_timer_stop(loop_, &retry_);
  if (fd_ < 0) return;
  ev_io_stop(loop_, &io_);
  close(fd_);
  fd_ = -1;
}

void Acceptor::SetPaused(bool paused) {
  paused_ = paused;
  UpdateWatcher();
}

void Acceptor::OnAcceptRetry(struct ev_loop*, ev_timer* w, int) {
  static_cast<Acceptor*>(w->data)->UpdateWatcher();
}

void Acceptor::OnIo(struct ev_loop*, ev_io* w, int) {
  static_cast<Acceptor*>(w->data)->AcceptPending();
}

void Acceptor::AcceptPending() {
  while (fd_ >= 0 && !paused_) {
    int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0) {
      on_accept_(fd);
      continue;
    }
    // The call was interrupted, or the peer has already disconnected: accept
    // the next connection.
    if (errno == EINTR || errno == ECONNABORTED) continue;
    if (errno == EAGAIN || errno == EWOULDBLOCK) return;
    LogWarn("accept_refused", {{"why", std::strerror(errno)}});
    ev_timer_set(&retry_, kAcceptRetrySeconds, 0.);
    ev_timer_start(loop_, &retry_);
    UpdateWatcher();
    return;
  }
}

TcpListener::TcpListener(
    struct ev_loop* loop,
    std::function<void(std::shared_ptr<TcpConnection>)> on_accept)
    : acceptor_(loop, [loop, f = std::move(on_accept)](int fd) {
        f(TcpConnection::FromAcceptedSocket(loop, fd));
      }) {}

}  // namespace medlarwalk
