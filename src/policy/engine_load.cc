#include "engine_load.h"

#include <algorithm>

namespace medlarwalk {

EngineKey KeyOfEngine(const UpstreamInfo& engine) {
  // Without a start time, a new address is the sign of a restart.
  uint64_t start = engine.started_unix_ms
                       ? static_cast<uint64_t>(engine.started_unix_ms)
                       : StableHash(engine.address.ToString());
  return static_cast<EngineKey>(StableHash(engine.id, start));
}

void EngineWork::Add(const EngineWork& other) {
  for (size_t i = 0; i < pending_prefill.size(); ++i)
    pending_prefill[i] += other.pending_prefill[i];
  awaiting_first_event += other.awaiting_first_event;
  generating += other.generating;
  memory_tokens += other.memory_tokens;
  if (other.tightest_gap_target == Millis::zero()) return;
  tightest_gap_target =
      tightest_gap_target == Millis::zero()
          ? other.tightest_gap_target
          : std::min(tightest_gap_target, other.tightest_gap_target);
}

bool EngineWork::empty() const {
  return awaiting_first_event == 0 && generating == 0 && memory_tokens == 0 &&
         std::all_of(pending_prefill.begin(), pending_prefill.end(),
                     [](int64_t n) { return n == 0; });
}

}  // namespace medlarwalk
