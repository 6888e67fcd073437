// Trials at the end of the hold of a prompt part or an account that crashed
// upstreams.
//
// Load pattern: while a part is held, its callers return again and again, so
// that when the hold ends a burst of requests with it arrives within
// milliseconds at each entry process. Whether the part still crashes upstreams
// shows only tens of milliseconds after the first of them has reached one. If
// all are sent until then, each crashes another upstream.
//
// Therefore each process sends one request, the trial, and rejects the others
// until the outcome is known, and the processes try one after the other.
#ifndef MEDLARWALK_HOLD_TRIALS_H_
#define MEDLARWALK_HOLD_TRIALS_H_

#include <chrono>
#include <cstdint>
#include <map>

#include "absl/types/span.h"
#include "types.h"

namespace medlarwalk {

// The hold of a prompt part or an account that is blamed for crashes.
struct PartHold {
  uint64_t key = 0;  // Id of the part or key of the account.
  TimePoint held_until{};
};

// Returns the time at which a process judges the end of a hold, if its clock
// shows `now` and it has index `index` among `processes` entry processes.
// Precondition: `processes` is positive. Thread safe.
TimePoint HoldTime(TimePoint now, int index, int processes);

enum class TrialEnd {
  kNotSent,   // No upstream has received the request.
  kUnknown,   // It was sent, and there is no complete answer.
  kAnswered,  // An upstream has answered it with success.
};

struct HoldTrialPolicy {
  // Time after the start of a trial when the next one may start, although the
  // first one has not ended.
  Duration max_trial_time = std::chrono::seconds(10);
  // Time after the end of a trial within which this process learns that an
  // upstream has crashed under it.
  Duration crash_notice_time = std::chrono::seconds(1);
  // Time after the end of a hold for which the outcome of its trial is kept.
  Duration outcome_memory = std::chrono::hours(1);
};

// The trials of one entry process. A part that a trial clears is no longer
// blamed, and a crash renews the hold: both show in the holds that are passed
// in. Thread safety: loop thread only.
class HoldTrials {
 public:
  explicit HoldTrials(HoldTrialPolicy policy = {}) : policy_(policy) {}

  // Returns whether `request` may be sent, which has what `holds` stand for. If
  // so, it is the trial of those that still need one. Precondition: `holds`
  // have ended.
  bool Start(absl::Span<const PartHold> holds, uint64_t request, TimePoint now);
  // Records the end of `request`, which need not be a trial. Only the first
  // call for a request counts.
  void End(uint64_t request, TrialEnd end, TimePoint now);
  // Returns whether it is still unknown whether requests with what `holds`
  // stand for crash upstreams.
  bool IsUndecided(absl::Span<const PartHold> holds, TimePoint now) const;

 private:
  struct Trial {
    TimePoint held_until{};
    TimePoint ends_at{};  // The outcome is known then, or another trial starts.
    uint64_t request = 0;
    bool ended = false;
    bool answered = false;
  };
  // Returns the last trial of `hold`, or null.
  const Trial* Find(const PartHold& hold) const;
  // Returns whether a trial has shown that `hold` need not be renewed.
  bool HasPassed(const PartHold& hold, TimePoint now) const;
  void RemoveOld(TimePoint now);

  HoldTrialPolicy policy_;
  std::map<uint64_t, Trial> trials_;  // By key.
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_HOLD_TRIALS_H_
