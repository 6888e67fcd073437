#include "tier_admission.h"

#include <algorithm>
#include <cmath>

namespace medlarwalk {

double TierAdmission::CurrentShare(const RejectedShare& s,
                                   TimePoint now) const {
  return s.value * std::exp(-ToSeconds(now - s.at) / policy_.decay_s);
}

void TierAdmission::RecordOutcome(Tier tier, bool rejected, TimePoint now) {
  RejectedShare& s = shares_[tier];
  double before = CurrentShare(s, now);
  double event = rejected ? 1 : 0;
  s.value = std::min(policy_.max_rejected_share,
                     before + (event - before) / policy_.smoothing_requests);
  s.at = now;
}

bool TierAdmission::MostUrgentRejectedTier(TimePoint now, Tier* tier) const {
  for (const auto& [t, s] : shares_) {
    if (CurrentShare(s, now) < policy_.min_rejected_share) continue;
    *tier = t;
    return true;
  }
  return false;
}

bool TierAdmission::MayStart(Tier tier, TimePoint now) const {
  Tier most_urgent_rejected;
  return !MostUrgentRejectedTier(now, &most_urgent_rejected) ||
         tier <= most_urgent_rejected;
}

}  // namespace medlarwalk
