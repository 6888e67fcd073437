// Network addresses as written in settings and in other systems' documents.
#ifndef MEDLARWALK_ENDPOINT_H_
#define MEDLARWALK_ENDPOINT_H_

#include <string>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"

namespace medlarwalk {

// An IPv4 address and port.
struct Endpoint {
  std::string ip;
  int port = 0;
  std::string ToString() const;
  bool operator==(const Endpoint& o) const {
    return ip == o.ip && port == o.port;
  }
};

// Parses "ip:port". Errors: InvalidArgument.
absl::Status ParseEndpoint(absl::string_view text, Endpoint* out);

}  // namespace medlarwalk

#endif  // MEDLARWALK_ENDPOINT_H_
