// Selects what a process reports of its engine load: all of it, or what has
// changed since the last report that arrived.
//
// Load pattern: a process has work at most engines of a service, and at each of
// them a little of it changes between two reports, ten times a second. Paces
// take a third of a record and change slowly, so they are sent less often.
#ifndef MEDLARWALK_ENGINE_REPORTER_H_
#define MEDLARWALK_ENGINE_REPORTER_H_

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "engine_load.h"
#include "engine_load_table.h"

namespace medlarwalk {

// Leaves out paces that the receiver knows well enough. One for each receiver.
// Thread safety: loop thread only.
class PaceThrottle {
 public:
  // Clears those paces in `records` that differ little from the one sent last
  // and were sent within the last few messages. Records without work and pace
  // remain.
  void Apply(std::vector<EngineRecord>* records);
  // Forgets what was sent: the receiver may not have it.
  void Reset() { sent_.clear(); }

 private:
  struct Sent {
    EnginePace pace;
    uint64_t message = 0;
  };
  uint64_t message_ = 0;
  absl::flat_hash_map<EngineKey, Sent> sent_;
};

// The reports of one process. One report is in flight at a time. Thread safety:
// loop thread only.
class EngineReporter {
 public:
  // `process`: random id of this process, new at each start.
  explicit EngineReporter(uint64_t process) : process_(process) {}

  // Returns the next report of the work `own`.
  EngineLoadReport Next(absl::Span<const EngineRecord> own);
  // Records that the last report arrived. `send_complete`: the receiver lacks
  // the report to which it was the changes.
  void OnAnswer(bool send_complete);
  // Records that the last report may be lost, or that the next one goes to
  // another receiver. The next one is complete.
  void OnLost();

 private:
  using Works = absl::flat_hash_map<EngineKey, EngineWork>;

  const uint64_t process_;
  uint64_t seq_ = 0;
  uint64_t base_seq_ = 0;  // Last report that arrived; 0: none.
  Works arrived_;          // The work as of that report.
  Works in_flight_;        // The work as of the last report.
  PaceThrottle paces_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_ENGINE_REPORTER_H_
