// Waiting and turning away: which request that has no place yet is served
// next, and which is refused at once and told when to come back. Pure; the
// clock is passed in as a time.
#ifndef MEDLARWALK_WAITING_H_
#define MEDLARWALK_WAITING_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "types.h"

namespace medlarwalk {

struct WaitingPolicy {
  // Longest wait for a place, in shares of the request's latency target: past
  // it the answer would come late, and the caller does better to come back.
  double most_target_share = 0.5;
  // Most requests that wait for one service.
  size_t most_waiting = 256;
};

// One request that waits.
struct WaitingRequest {
  uint64_t seq = 0;
  Tier tier = 0;
  TimePoint since{};
  TimePoint until{};  // Refused then.
  std::string service;
};

// The requests that wait, by service. Thread safety: loop thread only.
class WaitingRoom {
 public:
  explicit WaitingRoom(WaitingPolicy policy) : policy_(policy) {}

  // Lets `w` wait. Returns false when the room for its service is full of
  // requests that go before it; `*shed` gets the one that made room, if any.
  bool Enter(WaitingRequest w, std::optional<uint64_t>* shed);
  void Leave(uint64_t seq);
  // Services for which any request waits.
  std::vector<std::string> Services() const;
  // The requests that wait for `service` in serving order: most urgent tier
  // first, then longest waiting.
  std::vector<uint64_t> InOrder(const std::string& service) const;
  // Those whose time is up.
  std::vector<uint64_t> Expired(TimePoint now) const;
  size_t size(const std::string& service) const;

 private:
  WaitingPolicy policy_;
  // Kept in serving order.
  std::map<std::string, std::deque<WaitingRequest>> rooms_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_WAITING_H_
