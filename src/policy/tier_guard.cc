#include "tier_guard.h"

#include <algorithm>
#include <cmath>

namespace medlarwalk {

double TierGuard::Now(const Share& s, TimePoint now) const {
  return s.turned_away * std::exp(-ToSeconds(now - s.at) / policy_.memory_s);
}

void TierGuard::Note(Tier tier, bool turned_away, TimePoint now) {
  Share& s = shares_[tier];
  double before = Now(s, now);
  double event = turned_away ? 1 : 0;
  s.turned_away = std::min(policy_.most_share,
                           before + (event - before) / policy_.smoothed_over);
  s.at = now;
}

bool TierGuard::TurningAway(TimePoint now, Tier* tier) const {
  for (const auto& [t, s] : shares_) {
    if (Now(s, now) < policy_.turned_away_share) continue;
    *tier = t;
    return true;
  }
  return false;
}

bool TierGuard::Admits(Tier tier, TimePoint now) const {
  Tier turning_away;
  return !TurningAway(now, &turning_away) || tier <= turning_away;
}

}  // namespace medlarwalk
