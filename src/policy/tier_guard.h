// Which tiers may begin work at a service. Load pattern: more work than the
// engines can do, of all tiers at once. Each entry turns its more urgent
// requests away after a short wait, and the place that comes free a moment
// later goes to a less urgent one that may wait longer: in a burst of six times
// the traffic 74% of a tier were refused while one place in ten began work of
// the tier below it. So what is less urgent than a tier that is being turned
// away waits, until that has ended.
#ifndef MEDLARWALK_TIER_GUARD_H_
#define MEDLARWALK_TIER_GUARD_H_

#include <map>

#include "types.h"

namespace medlarwalk {

struct TierGuardPolicy {
  // A tier is being turned away while this share of its requests finds no
  // place: one lost now and then holds nobody up for long.
  double turned_away_share = 0.02;
  // The share is smoothed over so many requests of the tier, so that an entry
  // with few requests a second knows as much as one with many, and over this
  // time, so that it is forgotten where no more come.
  double smoothed_over = 30;
  double memory_s = 1.5;
  // It counts for no more than this, so that what waits may go on within three
  // seconds after the last was turned away.
  double most_share = 0.12;
};

// Of one service. Thread safety: loop thread only.
class TierGuard {
 public:
  explicit TierGuard(const TierGuardPolicy& policy) : policy_(policy) {}

  // A request of `tier` got a place, or was turned away for want of one.
  void NotePlace(Tier tier, TimePoint now) { Note(tier, false, now); }
  void NoteTurnedAway(Tier tier, TimePoint now) { Note(tier, true, now); }
  // Whether a request of `tier` may begin.
  bool Admits(Tier tier, TimePoint now) const;
  // The most urgent tier that is being turned away, or nothing.
  bool TurningAway(TimePoint now, Tier* tier) const;

 private:
  struct Share {
    double turned_away = 0;
    TimePoint at{};
  };
  void Note(Tier tier, bool turned_away, TimePoint now);
  double Now(const Share& s, TimePoint now) const;

  TierGuardPolicy policy_;
  std::map<Tier, Share> shares_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_TIER_GUARD_H_
