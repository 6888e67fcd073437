// The work of all other processes at each engine, as an entry knows it.
//
// Load pattern: a burst reaches dozens of entries at once, and each of them
// sends to the engines that its last load reports showed idle. An entry that
// adds the others' work to its own sees that an engine has filled up 0.3 s
// later, before the burst is over.
#ifndef MEDLARWALK_SHARED_ENGINE_LOAD_H_
#define MEDLARWALK_SHARED_ENGINE_LOAD_H_

#include "absl/container/flat_hash_map.h"
#include "absl/types/span.h"
#include "engine_load.h"
#include "types.h"

namespace medlarwalk {

// The newest answer of a control process. Thread safety: loop thread only.
class SharedEngineLoad {
 public:
  // Replaces the known work by `others`, the sums over all other processes.
  // `oldest_part`: age of the oldest report that counts wholly in these sums,
  // at the time `now`. Paces of engines that `others` does not name are kept
  // for a while.
  void Apply(absl::Span<const EngineRecord> others, Duration oldest_part,
             TimePoint now);

  // Returns the work of all other processes at `engine`, less what has decayed
  // since the answer; empty if none is known.
  EngineWork OthersAt(EngineKey engine, TimePoint now) const;
  // Returns the pace of `engine` that others observed, with its present age;
  // empty if none is known.
  EnginePace PaceOf(EngineKey engine, TimePoint now) const;
  // Returns the time since the newest answer plus the age stated in it;
  // Duration::max() if there was no answer.
  Duration Age(TimePoint now) const;
  // Returns whether the answer is young enough to rely on. If not, the others'
  // work is to be estimated (EstimateOthersWork).
  bool usable(TimePoint now) const { return Age(now) < kUsableAge; }

 private:
  // Ten missed answers.
  static constexpr auto kUsableAge = Millis(1000);
  // Time for which an engine's pace is kept; an engine that was slow gets
  // requests again afterwards.
  static constexpr auto kPaceMemory = Millis(10000);

  struct Pace {
    EnginePace observed;
    TimePoint received_at{};
  };

  absl::flat_hash_map<EngineKey, EngineWork> others_;
  absl::flat_hash_map<EngineKey, Pace> paces_;
  bool answered_ = false;
  TimePoint answered_at_{};
  Duration oldest_part_{};
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_SHARED_ENGINE_LOAD_H_
