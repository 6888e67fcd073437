// Limits the long prompts that one entry process has in prefill at all engines
// of a service together.
//
// Load pattern: more long prompts than the engines can prefill, of several
// tiers, from many entries. Each entry uses a single engine too seldom to learn
// a limit for it. Prompts beyond the capacity of the engines queue there in
// order of arrival, where they can be neither ordered by tier nor rejected. The
// limit follows the first events of all engines together: each late one lowers
// it, and each timely one raises it while the limit is reached.
#ifndef MEDLARWALK_PREFILL_LIMITER_H_
#define MEDLARWALK_PREFILL_LIMITER_H_

#include <algorithm>
#include <map>

#include "types.h"

namespace medlarwalk {

// Parameters of the prefill limit.
struct PrefillLimiterPolicy {
  double initial_limit = 16;  // Initial limit.
  // Lower bound of the limit: an entry that sends nothing learns nothing.
  double min_limit = 2;
  double max_limit = 512;  // Upper bound of the limit.
  // A first event is late if it took more than this share of its latency
  // target. An engine that always has a prompt to prefill adds a chunk of it to
  // every step: tokens then take ten times as long, and streams reach their
  // deadline.
  double late_share = 0.3;
  // Factor that lowers the limit at each late first event.
  double backoff_factor = 0.97;
  // Step that raises the limit at each timely first event while it is reached.
  double limit_step = 0.2;
  // Factor of the limit for prompts more urgent than the least urgent tier seen
  // so far. At the limit only the least urgent prompts wait, instead of all
  // alike.
  double urgent_headroom = 2;
};

// Adaptive limit of concurrent prefills of one service. Thread safety: loop
// thread only.
class PrefillLimiter {
 public:
  explicit PrefillLimiter(const PrefillLimiterPolicy& policy)
      : policy_(policy), limit_(policy.initial_limit) {}

  // Returns whether a prompt of `tier` may be sent. Less urgent prompts in
  // flight do not count against the limit, so that they never block a more
  // urgent one.
  bool MaySend(Tier tier) const {
    int n = 0;
    for (const auto& [t, count] : in_flight_) {
      if (t <= tier) n += count;
    }
    bool least_urgent =
        in_flight_.empty() || tier >= in_flight_.rbegin()->first;
    double tier_limit =
        least_urgent ? limit_ : limit_ * policy_.urgent_headroom;
    return n < static_cast<int>(tier_limit);
  }
  // Records that a prompt of `tier` was sent.
  void RecordSent(Tier tier) { ++in_flight_[tier]; }
  // Records that a prefill of `tier` or its request ended.
  void RecordPrefillEnd(Tier tier) { --in_flight_[tier]; }
  // Records a first event that came `took` after its prompt was sent.
  void RecordFirstEvent(Duration took, Duration target) {
    double share = ToSeconds(took) / std::max(1e-3, ToSeconds(target));
    if (share > policy_.late_share) {
      limit_ = std::max(policy_.min_limit, limit_ * policy_.backoff_factor);
    } else if (in_flight() + 1 >= static_cast<int>(limit_)) {
      limit_ = std::min(policy_.max_limit, limit_ + policy_.limit_step);
    }
  }
  double limit() const { return limit_; }
  // Returns the number of prompts in flight.
  int in_flight() const {
    int n = 0;
    for (const auto& [t, count] : in_flight_) n += count;
    return n;
  }

 private:
  PrefillLimiterPolicy policy_;
  double limit_;
  std::map<Tier, int> in_flight_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_PREFILL_LIMITER_H_
