// Counts the unfinished work that this process has sent to each engine, from
// the sending of a request to the end of its attempt. Pure.
//
// Load pattern: dozens of entries send to the same engines; each tells the
// others what it has sent (engine_load.h). A request that ends in an unusual
// way, or whose engine restarts meanwhile, must leave nothing behind in these
// counts: other entries would avoid an idle engine for as long as the entry
// runs.
#ifndef MEDLARWALK_OWN_ENGINE_WORK_H_
#define MEDLARWALK_OWN_ENGINE_WORK_H_

#include <cstdint>

#include "engine_load.h"
#include "placement.h"
#include "types.h"

namespace medlarwalk {

// Work of one attempt of a request at its engine.
struct AttemptWork {
  // Incarnation of the engine; 0: the attempt is not counted.
  EngineKey engine = 0;
  int level = 0;  // Urgency level, below kUrgencyLevels.
  // Prompt tokens that the engine is expected to prefill.
  int64_t pending_prefill = 0;
  int64_t memory_tokens = 0;  // See EngineWork::memory_tokens.
  Millis gap_target{};        // Event gap target; zero: not a stream.
  bool first_event = false;   // The first event has arrived.
};

// Adds the attempt `work`, sent to `u` now, to the own work of `u`, and sets
// `work->engine`. Precondition: work->engine == 0.
void CountSentWork(AttemptWork* work, UpstreamState& u);
// Records the first event of the attempt `work` at `u`: its prompt is
// prefilled. No effect on an attempt that is not counted or whose first event
// was recorded before.
void CountFirstEvent(AttemptWork* work, UpstreamState& u);
// Removes the attempt `work`, which has ended, from the own work of `u`. No
// effect on an attempt that is not counted. `u` may be another incarnation.
void CountEndedWork(AttemptWork* work, UpstreamState& u);

}  // namespace medlarwalk

#endif  // MEDLARWALK_OWN_ENGINE_WORK_H_
