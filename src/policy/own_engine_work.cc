#include "own_engine_work.h"

#include <algorithm>

namespace medlarwalk {
namespace {

int64_t& PendingPrefill(const AttemptWork& work, UpstreamState& u) {
  return u.own_work.pending_prefill[static_cast<size_t>(work.level)];
}

int& Streams(const AttemptWork& work, UpstreamState& u) {
  return u.own_work.streams[static_cast<size_t>(work.level)];
}

// Adds `change` to the number of streams with this event gap target.
void ChangeGapTargetCount(Millis target, int change, UpstreamState& u) {
  if (target == Millis::zero()) return;
  auto& counts = u.own_gap_targets;
  auto it = std::find_if(counts.begin(), counts.end(),
                         [&](const auto& c) { return c.target == target; });
  if (it == counts.end()) it = counts.insert(it, {target, 0});
  it->streams += change;
  if (it->streams <= 0) counts.erase(it);
  u.own_work.tightest_gap_target = Millis::zero();
  for (const GapTargetCount& c : counts) {
    Millis& tightest = u.own_work.tightest_gap_target;
    if (tightest == Millis::zero() || c.target < tightest) tightest = c.target;
  }
}

}  // namespace

void CountSentWork(AttemptWork* work, UpstreamState& u) {
  work->engine = u.engine_key;
  work->first_event = false;
  PendingPrefill(*work, u) += work->pending_prefill;
  ++u.own_work.awaiting_first_event;
  ++Streams(*work, u);
  u.own_work.memory_tokens += work->memory_tokens;
  ChangeGapTargetCount(work->gap_target, 1, u);
}

void CountFirstEvent(AttemptWork* work, UpstreamState& u) {
  if (work->engine == 0 || work->first_event) return;
  work->first_event = true;
  if (work->engine != u.engine_key) return;
  PendingPrefill(*work, u) -= work->pending_prefill;
  --u.own_work.awaiting_first_event;
  ++u.own_work.generating;
}

void CountEndedWork(AttemptWork* work, UpstreamState& u) {
  EngineKey engine = work->engine;
  work->engine = 0;
  if (engine == 0 || engine != u.engine_key) return;
  --Streams(*work, u);
  if (work->first_event) {
    --u.own_work.generating;
  } else {
    PendingPrefill(*work, u) -= work->pending_prefill;
    --u.own_work.awaiting_first_event;
  }
  u.own_work.memory_tokens -= work->memory_tokens;
  ChangeGapTargetCount(work->gap_target, -1, u);
}

}  // namespace medlarwalk
