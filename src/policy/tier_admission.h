// Decides which tiers of a service may start requests.
//
// Load pattern: more requests of all tiers at once than the engines can serve.
// Each entry rejects its more urgent requests after a short wait, and the slot
// that becomes free a moment later goes to a less urgent request that may wait
// longer. In a burst of six times the traffic, 74% of a tier are rejected while
// one slot in ten goes to the tier below it. Therefore, while a tier has
// rejections, all less urgent tiers wait.
#ifndef MEDLARWALK_TIER_ADMISSION_H_
#define MEDLARWALK_TIER_ADMISSION_H_

#include <map>

#include "types.h"

namespace medlarwalk {

// Parameters of tier admission.
struct TierAdmissionPolicy {
  // While the rejected share of a tier is at least this, all less urgent tiers
  // wait. The rejected share is the smoothed share of the tier's requests that
  // find no slot. A single rejection blocks other tiers only briefly.
  double min_rejected_share = 0.02;
  // The rejected share is smoothed over smoothing_requests requests of the
  // tier, so that entries with few and with many requests per second decide
  // alike. It decays with the time constant decay_s, so that it fades when the
  // tier gets no more requests.
  double smoothing_requests = 30;
  double decay_s = 1.5;
  // Upper bound of the rejected share. The bound limits the time until the
  // share has decayed below min_rejected_share, so that blocked tiers continue
  // within three seconds after the last rejection.
  double max_rejected_share = 0.12;
};

// Tier admission at one service. Thread safety: loop thread only.
class TierAdmission {
 public:
  explicit TierAdmission(const TierAdmissionPolicy& policy) : policy_(policy) {}

  // Records that a request of `tier` got a slot.
  void RecordDispatch(Tier tier, TimePoint now) {
    RecordOutcome(tier, false, now);
  }
  // Records that a request of `tier` was rejected for lack of a slot.
  void RecordRejection(Tier tier, TimePoint now) {
    RecordOutcome(tier, true, now);
  }
  // Returns whether a request of `tier` may start.
  bool MayStart(Tier tier, TimePoint now) const;
  // Returns whether the rejected share of any tier is at least
  // min_rejected_share. If so, sets `*tier` to the most urgent such tier.
  bool MostUrgentRejectedTier(TimePoint now, Tier* tier) const;

 private:
  struct RejectedShare {
    double value = 0;
    TimePoint at{};
  };
  void RecordOutcome(Tier tier, bool rejected, TimePoint now);
  // Returns the rejected share `s` decayed to the time `now`.
  double CurrentShare(const RejectedShare& s, TimePoint now) const;

  TierAdmissionPolicy policy_;
  std::map<Tier, RejectedShare> shares_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_TIER_ADMISSION_H_
