#include "endpoint.h"

#include <arpa/inet.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace medlarwalk {

std::string Endpoint::ToString() const { return absl::StrCat(ip, ":", port); }

absl::Status ParseEndpoint(absl::string_view text, Endpoint* out) {
  size_t colon = text.rfind(':');
  in_addr addr{};
  if (colon == absl::string_view::npos ||
      !absl::SimpleAtoi(text.substr(colon + 1), &out->port) || out->port <= 0 ||
      out->port > 65535) {
    return absl::InvalidArgumentError(absl::StrCat("bad address ", text));
  }
  out->ip = std::string(text.substr(0, colon));
  if (inet_pton(AF_INET, out->ip.c_str(), &addr) != 1) {
    return absl::InvalidArgumentError(absl::StrCat("bad address ", text));
  }
  return absl::OkStatus();
}

}  // namespace medlarwalk
