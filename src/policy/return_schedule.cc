#include "return_schedule.h"

#include <algorithm>
#include <cmath>

namespace medlarwalk {

double ReturnSchedule::places_per_s(TimePoint now) const {
  double window = ToSeconds(policy_.rate_smoothing);
  double age = std::max(0.0, ToSeconds(now - places_at_));
  return places_ * std::exp(-age / window) / window;
}

void ReturnSchedule::RecordPlace(TimePoint now) {
  places_ = places_per_s(now) * ToSeconds(policy_.rate_smoothing) + 1;
  places_at_ = now;
}

size_t ReturnSchedule::CountFrom(TimePoint from, Tier tier) const {
  auto first = promises_.lower_bound({from, Tier{0}});
  return static_cast<size_t>(std::count_if(
      first, promises_.end(), [&](const auto& p) { return p.second <= tier; }));
}

Duration ReturnSchedule::Promise(const ReturnRequest& request, TimePoint now,
                                 double draw) {
  Duration earliest = std::max(request.place_delay, policy_.min_delay);
  // A delay of more than max_delay is possible only where the place itself is
  // expected that late.
  Duration latest =
      std::min(std::chrono::duration_cast<Duration>(
                   request.time_left * policy_.max_time_left_share),
               std::max(policy_.max_delay, 2 * earliest));
  latest = std::max(Duration::zero(), latest);
  // The requests that get the places that come free after `earliest` first.
  size_t ahead = CountFrom(now + earliest, request.tier);
  double rate = places_per_s(now);
  double interval_s =
      rate > 0 ? std::min(1 / rate, ToSeconds(latest)) : ToSeconds(latest);
  double jitter_s = draw * std::min(interval_s, ToSeconds(policy_.max_jitter));
  Duration delay =
      earliest +
      ClampedSeconds(static_cast<double>(ahead) * interval_s + jitter_s);
  if (delay > latest) {
    // More were rejected than the places for which the caller can wait. The
    // later half of its time gives the burst the most time to end.
    delay = std::chrono::duration_cast<Duration>(latest * (1 + draw) / 2);
  }
  size_t n = pending(now);
  if (n < policy_.max_promises) promises_.emplace(now + delay, request.tier);
  return delay;
}

size_t ReturnSchedule::pending(TimePoint now) {
  promises_.erase(promises_.begin(), promises_.lower_bound({now, Tier{0}}));
  return promises_.size();
}

}  // namespace medlarwalk
