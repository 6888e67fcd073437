// A non-blocking UDP socket over libev.
#ifndef MEDLARWALK_DATAGRAM_SOCKET_H_
#define MEDLARWALK_DATAGRAM_SOCKET_H_

#include <ev.h>

#include <functional>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "endpoint.h"

namespace medlarwalk {

// Sends and receives datagrams, any of which may be lost, duplicated or
// reordered. Thread safety: loop thread only.
class DatagramSocket {
 public:
  using OnDatagram =
      std::function<void(absl::string_view data, const Endpoint& from)>;

  DatagramSocket(struct ev_loop* loop, OnDatagram on_datagram);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  // Binds to `at`; port 0 selects any free port. Errors: Unavailable when the
  // address cannot be bound.
  absl::Status Bind(const Endpoint& at);
  // Returns the bound port; 0 when not bound.
  int port() const;
  // Sends `data` to `to`, or drops it if the socket accepts no more data.
  void Send(const Endpoint& to, absl::string_view data);

 private:
  static void OnIo(struct ev_loop* loop, ev_io* w, int revents);
  void ReceiveAll();

  struct ev_loop* loop_;
  OnDatagram on_datagram_;
  int fd_ = -1;
  ev_io io_{};
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_DATAGRAM_SOCKET_H_
