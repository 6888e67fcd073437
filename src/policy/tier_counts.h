// Counts requests by tier.
#ifndef MEDLARWALK_TIER_COUNTS_H_
#define MEDLARWALK_TIER_COUNTS_H_

#include <algorithm>
#include <utility>
#include <vector>

#include "types.h"

namespace medlarwalk {

// Number of requests of each tier. There are few tiers, so that a search is
// linear. Thread safety: loop thread only.
class TierCounts {
 public:
  void Add(Tier tier) { ++CountOf(tier); }
  // Precondition: a request of `tier` is counted.
  void Remove(Tier tier) { --CountOf(tier); }
  // Returns the number of requests that are less urgent than `tier`.
  int LessUrgentThan(Tier tier) const {
    int n = 0;
    for (const auto& [t, count] : counts_) n += t > tier ? count : 0;
    return n;
  }

 private:
  int& CountOf(Tier tier) {
    auto it = std::find_if(counts_.begin(), counts_.end(),
                           [&](const auto& c) { return c.first == tier; });
    if (it != counts_.end()) return it->second;
    return counts_.emplace_back(tier, 0).second;
  }

  std::vector<std::pair<Tier, int>> counts_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_TIER_COUNTS_H_
