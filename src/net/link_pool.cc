#include "link_pool.h"

#include "log.h"
#include "tcp.h"

namespace medlarwalk {
namespace {

// Interval of pings on a link, and time without received bytes after which the
// link is closed. A host that lost power or its network sends no reset, so its
// loss would go unnoticed without pings.
constexpr Millis kPingInterval(300);
constexpr Millis kPingTimeout(900);

}  // namespace

H2Client& LinkPool::LinkTo(const std::string& address) {
  std::unique_ptr<H2Client>& c = clients_[address];
  if (!c) {
    Endpoint e;
    absl::Status s = ParseEndpoint(address, &e);
    if (!s.ok()) LogWarn("bad_address", {{"address", address}});
    c = std::make_unique<H2Client>(loop_, clock_, e.ip, e.port, kPingInterval,
                                   kPingTimeout);
  }
  return *c;
}

int32_t LinkPool::Post(const std::string& address, absl::string_view path,
                       Payload body, Done done,
                       std::function<void()> progress) {
  auto status = std::make_shared<int>(0);
  auto answer = std::make_shared<std::string>();
  H2Call call;
  call.path = std::string(path);
  call.body = std::move(body);
  call.max_body_bytes = kMaxLinkBodyBytes;
  call.on_response = [status](int s, const auto&) { *status = s; };
  call.on_data = [answer, progress](absl::string_view d) {
    answer->append(d.data(), d.size());
    if (progress) progress();
  };
  call.on_close = [status, answer, done, destroyed = destroyed_](absl::Status s,
                                                                 bool) {
    if (done && !*destroyed) done(s.ok() ? *status : 0, *answer);
  };
  return LinkTo(address).Submit(std::move(call));
}

size_t LinkPool::queued_bytes() const {
  size_t n = 0;
  for (const auto& [address, c] : clients_) n += c->queued_bytes();
  return n;
}

}  // namespace medlarwalk
