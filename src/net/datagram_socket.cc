#include "datagram_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

#include "absl/strings/str_cat.h"
#include "tcp.h"

namespace medlarwalk {
namespace {

constexpr size_t kMaxDatagramBytes = 2048;
// Datagrams read in one iteration of the loop. More remain in the socket until
// the next iteration, so that a flood does not hold up other work.
constexpr int kMaxReadsPerIteration = 64;

}  // namespace

DatagramSocket::DatagramSocket(struct ev_loop* loop, OnDatagram on_datagram)
    : loop_(loop), on_datagram_(std::move(on_datagram)) {}

DatagramSocket::~DatagramSocket() {
  if (fd_ < 0) return;
  ev_io_stop(loop_, &io_);
  close(fd_);
}

absl::Status DatagramSocket::Bind(const Endpoint& at) {
  sockaddr_in addr{};
  if (!ToSockaddr(at, &addr))
    return absl::UnavailableError(absl::StrCat("no address: ", at.ip));
  fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd_ < 0 ||
      bind(fd_, reinterpret_cast<sockaddr*>(&addr), sizeof(addr)) != 0) {
    std::string why = std::strerror(errno);
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
    return absl::UnavailableError(
        absl::StrCat("cannot bind ", at.ToString(), ": ", why));
  }
  ev_io_init(&io_, OnIo, fd_, EV_READ);
  io_.data = this;
  ev_io_start(loop_, &io_);
  return absl::OkStatus();
}

int DatagramSocket::port() const { return BoundPort(fd_); }

void DatagramSocket::Send(const Endpoint& to, absl::string_view data) {
  sockaddr_in addr{};
  if (fd_ < 0 || !ToSockaddr(to, &addr)) return;
  // A datagram that cannot be sent is lost like one on the network.
  static_cast<void>(sendto(fd_, data.data(), data.size(), MSG_NOSIGNAL,
                           reinterpret_cast<sockaddr*>(&addr), sizeof(addr)));
}

void DatagramSocket::OnIo(struct ev_loop*, ev_io* w, int) {
  static_cast<DatagramSocket*>(w->data)->ReceiveAll();
}

void DatagramSocket::ReceiveAll() {
  std::array<char, kMaxDatagramBytes> buf;
  for (int i = 0; i < kMaxReadsPerIteration; ++i) {
    sockaddr_in addr{};
    socklen_t len = sizeof(addr);
    ssize_t n = recvfrom(fd_, buf.data(), buf.size(), 0,
                         reinterpret_cast<sockaddr*>(&addr), &len);
    // An error other than "no more data" concerns one earlier send, such as to
    // a port without a listener. The next datagram follows it.
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    if (n < 0) continue;
    std::array<char, INET_ADDRSTRLEN> ip{};
    inet_ntop(AF_INET, &addr.sin_addr, ip.data(), ip.size());
    on_datagram_(absl::string_view(buf.data(), static_cast<size_t>(n)),
                 Endpoint{ip.data(), ntohs(addr.sin_port)});
  }
}

}  // namespace medlarwalk
