// Limits the number of long prompts that one entry process has in prefill at
// all engines of a service together.
//
// Load pattern: many entries send more long prompts, of several tiers, than the
// engines can prefill. Each entry uses a single engine too seldom to learn a
// limit for that engine. Prompts beyond the capacity of the engines queue there
// in order of arrival, where they can be neither ordered by tier nor rejected.
// Therefore the limit follows the first events of all engines together: each
// late first event lowers it, and each timely one raises it while the number of
// prompts is at the limit.
#ifndef MEDLARWALK_PREFILL_LIMITER_H_
#define MEDLARWALK_PREFILL_LIMITER_H_

#include <algorithm>
#include <map>

#include "types.h"

namespace medlarwalk {

// Parameters of the prefill limit.
struct PrefillLimiterPolicy {
  double initial_limit = 16;  // Initial limit, in prompts.
  // Lower bound of the limit, in prompts. It is above 0 because an entry that
  // sends no prompts cannot observe any first events.
  double min_limit = 2;
  double max_limit = 512;  // Upper bound of the limit, in prompts.
  // A first event is late if it took more than this share of its latency
  // target. With a larger share, prompts queue and the engine always has one to
  // prefill: it then adds a chunk of it to every decoding step, each token
  // takes ten times as long, and streams exceed their deadline.
  double late_share = 0.3;
  // Factor by which each late first event multiplies the limit.
  double backoff_factor = 0.97;
  // Step by which each timely first event raises the limit, while the number of
  // prompts in flight is at the limit.
  double limit_step = 0.2;
  // Factor that raises the limit for prompts more urgent than the least urgent
  // tier seen so far. At the limit only prompts of the least urgent tier wait,
  // instead of the prompts of all tiers.
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
        least_urgent ? limit() : limit() * policy_.urgent_headroom;
    return n < static_cast<int>(tier_limit);
  }
  // Records that a prompt of `tier` was sent.
  void RecordSent(Tier tier) { ++in_flight_[tier]; }
  // Records that the prefill of a prompt of `tier` ended, or that its request
  // ended.
  void RecordPrefillEnd(Tier tier) { --in_flight_[tier]; }
  // Records a first event that came `took` after its prompt was sent; `target`:
  // its latency target.
  void RecordFirstEvent(Duration took, Duration target) {
    double share = ToSeconds(took) / std::max(1e-3, ToSeconds(target));
    if (share > policy_.late_share) {
      limit_ = std::max(policy_.min_limit, limit_ * policy_.backoff_factor);
    } else if (in_flight() + 1 >= static_cast<int>(limit())) {
      limit_ = std::min(policy_.max_limit, limit_ + policy_.limit_step);
    }
  }
  // Sets the factor of the limit for a process that sends more than its equal
  // share of the prompts: the limit that first events lead to is the same in
  // each process, however many prompts it gets. Precondition: factor >= 1.
  void set_factor(double factor) { factor_ = factor; }
  double limit() const { return limit_ * factor_; }
  // Returns the number of prompts in flight.
  int in_flight() const {
    int n = 0;
    for (const auto& [t, count] : in_flight_) n += count;
    return n;
  }

 private:
  PrefillLimiterPolicy policy_;
  double limit_;
  double factor_ = 1;
  std::map<Tier, int> in_flight_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_PREFILL_LIMITER_H_
