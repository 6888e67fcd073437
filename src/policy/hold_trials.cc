#include "hold_trials.h"

#include <algorithm>
#include <iterator>

namespace medlarwalk {
namespace {

// The processes try one after the other, so that each learns of the crash in
// the trial before its own: kTrialSpacing apart, or closer if the last of them
// would try later than kMaxTrialDelay.
constexpr auto kTrialSpacing = Millis(500);
constexpr Duration kMaxTrialDelay = std::chrono::seconds(10);

}  // namespace

TimePoint HoldTime(TimePoint now, int index, int processes) {
  Duration spacing =
      std::min<Duration>(kTrialSpacing, kMaxTrialDelay / processes);
  return now - index * spacing;
}

bool HoldTrials::Start(absl::Span<const PartHold> holds, uint64_t request,
                       TimePoint now) {
  if (holds.empty()) return true;
  RemoveOld(now);
  for (const PartHold& hold : holds) {
    const Trial* t = Find(hold);
    if (t && now < t->ends_at) return false;
  }
  for (const PartHold& hold : holds) {
    if (HasPassed(hold, now)) continue;
    trials_[hold.key] = {hold.held_until, now + policy_.max_trial_time, request,
                         false, false};
  }
  return true;
}

void HoldTrials::End(uint64_t request, TrialEnd end, TimePoint now) {
  for (auto it = trials_.begin(); it != trials_.end();) {
    Trial& t = it->second;
    if (t.request != request || t.ended) {
      ++it;
    } else if (end == TrialEnd::kNotSent) {
      it = trials_.erase(it);
    } else {
      t.ended = true;
      t.answered = end == TrialEnd::kAnswered;
      t.ends_at = now + policy_.crash_notice_time;
      ++it;
    }
  }
}

bool HoldTrials::IsUndecided(absl::Span<const PartHold> holds,
                             TimePoint now) const {
  return std::any_of(holds.begin(), holds.end(), [&](const PartHold& hold) {
    return !HasPassed(hold, now);
  });
}

const HoldTrials::Trial* HoldTrials::Find(const PartHold& hold) const {
  auto it = trials_.find(hold.key);
  bool found = it != trials_.end() && it->second.held_until == hold.held_until;
  return found ? &it->second : nullptr;
}

bool HoldTrials::HasPassed(const PartHold& hold, TimePoint now) const {
  const Trial* t = Find(hold);
  return t && t->answered && now >= t->ends_at;
}

void HoldTrials::RemoveOld(TimePoint now) {
  for (auto it = trials_.begin(); it != trials_.end();) {
    bool old = now - it->second.held_until > policy_.outcome_memory;
    it = old ? trials_.erase(it) : std::next(it);
  }
}

}  // namespace medlarwalk
