#include "waiting.h"

#include <algorithm>

#include "errors.h"

namespace medlarwalk {
namespace {

// Weight of the newest interval in the smoothed rate of places.
constexpr double kRateSmoothing = 0.1;

}  // namespace

// The time until a request of `tier` that comes now gets a place, if places
// go on coming free at the rate of late. Unknown rate: no time.
Duration WaitingRoom::ExpectedWait(const Room& room, Tier tier) const {
  if (room.places_rate <= 0) return Duration::zero();
  auto ahead = std::count_if(room.waiting.begin(), room.waiting.end(),
                             [&](const auto& w) { return w.tier <= tier; });
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(ahead) / room.places_rate));
}

absl::Status WaitingRoom::Enter(WaitingRequest w,
                                std::optional<uint64_t>* shed) {
  Room& room = rooms_[w.service];
  std::deque<WaitingRequest>& q = room.waiting;
  shed->reset();
  if (!policy_.tiered) w.tier = 0;
  if (policy_.refuse_unmeetable &&
      ExpectedWait(room, w.tier) > w.until - w.since) {
    return MakeError(ErrorKind::kTargetUnmeetable,
                     "expected wait exceeds the class target");
  }
  if (q.size() >= policy_.most_waiting) {
    if (q.back().tier <= w.tier) {
      return MakeError(ErrorKind::kOverloaded, "waiting room full");
    }
    *shed = q.back().seq;
    q.pop_back();
  }
  auto at = std::find_if(q.begin(), q.end(),
                         [&](const auto& o) { return o.tier > w.tier; });
  q.insert(at, std::move(w));
  return absl::OkStatus();
}

void WaitingRoom::Leave(uint64_t seq) {
  for (auto& [service, room] : rooms_) {
    auto it = std::find_if(room.waiting.begin(), room.waiting.end(),
                           [&](const auto& w) { return w.seq == seq; });
    if (it == room.waiting.end()) continue;
    room.waiting.erase(it);
    return;
  }
}

void WaitingRoom::Served(uint64_t seq, TimePoint now) {
  for (auto& [service, room] : rooms_) {
    const WaitingRequest* starving = Starving(room, now);
    bool here = std::any_of(room.waiting.begin(), room.waiting.end(),
                            [&](const auto& w) { return w.seq == seq; });
    if (!here) continue;
    room.since_floor =
        starving && starving->seq != seq ? room.since_floor + 1 : 0;
    break;
  }
  Leave(seq);
}

void WaitingRoom::NotePlace(const std::string& service, TimePoint now) {
  Room& room = rooms_[service];
  if (room.place_at && now > *room.place_at) {
    double rate = 1 / ToSeconds(now - *room.place_at);
    room.places_rate += room.places_rate == 0
                            ? rate
                            : kRateSmoothing * (rate - room.places_rate);
  }
  room.place_at = now;
}

TimePoint StarvesAt(const WaitingRequest& w, const WaitingPolicy& policy) {
  if (policy.starvation_bound <= Duration::zero()) return TimePoint::max();
  auto share = std::chrono::duration_cast<Duration>((w.until - w.since) *
                                                    policy.starving_share);
  return w.since + std::min(policy.starvation_bound, share);
}

// Of those that starve, the one whose time ends first.
const WaitingRequest* WaitingRoom::Starving(const Room& room,
                                            TimePoint now) const {
  const WaitingRequest* first = nullptr;
  for (const WaitingRequest& w : room.waiting) {
    if (now < StarvesAt(w, policy_)) continue;
    if (!first || w.until < first->until) first = &w;
  }
  return first;
}

std::vector<std::string> WaitingRoom::Services() const {
  std::vector<std::string> out;
  for (const auto& [service, room] : rooms_) {
    if (!room.waiting.empty()) out.push_back(service);
  }
  return out;
}

std::vector<uint64_t> WaitingRoom::InOrder(const std::string& service,
                                           TimePoint now) const {
  std::vector<uint64_t> out;
  auto it = rooms_.find(service);
  if (it == rooms_.end()) return out;
  const Room& room = it->second;
  const WaitingRequest* first = Starving(room, now);
  if (room.since_floor + 1 < policy_.floor_every) first = nullptr;
  if (first) out.push_back(first->seq);
  for (const WaitingRequest& w : room.waiting) {
    if (&w != first) out.push_back(w.seq);
  }
  return out;
}

std::vector<uint64_t> WaitingRoom::Expired(TimePoint now) const {
  std::vector<uint64_t> out;
  for (const auto& [service, room] : rooms_) {
    for (const WaitingRequest& w : room.waiting) {
      if (now >= w.until) out.push_back(w.seq);
    }
  }
  return out;
}

size_t WaitingRoom::size(const std::string& service) const {
  auto it = rooms_.find(service);
  return it == rooms_.end() ? 0 : it->second.waiting.size();
}

}  // namespace medlarwalk
