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

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "types.h"

namespace medlarwalk {

struct WaitingPolicy {
  // Longest wait for a place, in shares of the request's latency target. In
  // overload everyone served has waited this long, so it is taken off the time
  // that the engine has; a caller told at once to come back has most of its
  // target left at another entry.
  double most_target_share = 0.1;
  // Most requests that wait for one service.
  size_t most_waiting = 256;
  // Most urgent tier first; otherwise first come, first served.
  bool tiered = true;
  // Refuses a request at its arrival that will not get a place in time, by
  // the rate at which places were given of late.
  bool refuse_unmeetable = false;
  // A request starves once it has waited for this long, or for this share of
  // its own time. While any does, one place in floor_every goes to the one
  // whose time ends first, whatever its tier: higher tiers lose at most
  // 1 / floor_every to it. Zero: never.
  Duration starvation_bound{};
  double starving_share = 0.5;
  int floor_every = 8;
};

// One request that waits.
struct WaitingRequest {
  uint64_t seq = 0;
  Tier tier = 0;
  TimePoint since{};
  TimePoint until{};  // Refused then.
  std::string service;
};

// When `w` has waited for so long that it starves.
TimePoint StarvesAt(const WaitingRequest& w, const WaitingPolicy& policy);

// The requests that wait, by service. Thread safety: loop thread only.
class WaitingRoom {
 public:
  explicit WaitingRoom(WaitingPolicy policy) : policy_(policy) {}

  // Lets `w` wait from `w.since` on; `*shed` gets the one that made room for
  // it, if any. Errors: kOverloaded when the room for its service is full of
  // requests that go before it, kTargetUnmeetable.
  absl::Status Enter(WaitingRequest w, std::optional<uint64_t>* shed);
  // It has got a place, or is gone.
  void Served(uint64_t seq, TimePoint now);
  void Leave(uint64_t seq);
  // A place of `service` was given, to whomever.
  void NotePlace(const std::string& service, TimePoint now);
  // Services for which any request waits.
  std::vector<std::string> Services() const;
  // The requests that wait for `service` in serving order: most urgent tier
  // first, then longest waiting; a starving one first when it is its turn.
  std::vector<uint64_t> InOrder(const std::string& service,
                                TimePoint now) const;
  // Those whose time is up.
  std::vector<uint64_t> Expired(TimePoint now) const;
  size_t size(const std::string& service) const;

 private:
  struct Room {
    std::deque<WaitingRequest> waiting;  // Kept in serving order.
    int since_floor = 0;  // Places given since a starving request got one.
    // Places given a second, smoothed; 0 until two were given.
    double places_rate = 0;
    std::optional<TimePoint> place_at;
  };
  const WaitingRequest* Starving(const Room& room, TimePoint now) const;
  Duration ExpectedWait(const Room& room, Tier tier) const;

  WaitingPolicy policy_;
  std::map<std::string, Room> rooms_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_WAITING_H_
