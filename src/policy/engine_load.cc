#include "engine_load.h"

#include <algorithm>
#include <cmath>

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
  for (size_t i = 0; i < streams.size(); ++i) streams[i] += other.streams[i];
  awaiting_first_event += other.awaiting_first_event;
  generating += other.generating;
  memory_tokens += other.memory_tokens;
  if (other.tightest_gap_target == Millis::zero()) return;
  tightest_gap_target =
      tightest_gap_target == Millis::zero()
          ? other.tightest_gap_target
          : std::min(tightest_gap_target, other.tightest_gap_target);
}

void EngineWork::Scale(double factor) {
  auto scaled = [factor](int64_t n) {
    return std::llround(static_cast<double>(n) * factor);
  };
  for (int64_t& n : pending_prefill) n = scaled(n);
  for (int& n : streams) n = static_cast<int>(scaled(n));
  awaiting_first_event = static_cast<int>(scaled(awaiting_first_event));
  generating = static_cast<int>(scaled(generating));
  memory_tokens = scaled(memory_tokens);
  if (awaiting_first_event == 0 && generating == 0) {
    tightest_gap_target = Millis::zero();
  }
}

bool EngineWork::empty() const {
  return awaiting_first_event == 0 && generating == 0 && memory_tokens == 0 &&
         std::all_of(pending_prefill.begin(), pending_prefill.end(),
                     [](int64_t n) { return n == 0; });
}

int EngineWork::LessUrgentThan(int level) const {
  int n = 0;
  for (size_t i = static_cast<size_t>(level) + 1; i < streams.size(); ++i)
    n += streams[i];
  return std::clamp(n, 0, std::max(0, awaiting_first_event + generating));
}

bool EngineWork::operator==(const EngineWork& other) const {
  return pending_prefill == other.pending_prefill &&
         awaiting_first_event == other.awaiting_first_event &&
         generating == other.generating && streams == other.streams &&
         tightest_gap_target == other.tightest_gap_target &&
         memory_tokens == other.memory_tokens;
}

void EnginePace::Merge(const EnginePace& other) {
  if (other.empty()) return;
  if (empty()) {
    *this = other;
    return;
  }
  // Time that EnginePace::longest_event_gap covers.
  constexpr auto kGapWindow = Millis(1000);
  const EnginePace newer = other.age < age ? other : *this;
  const EnginePace older = other.age < age ? *this : other;
  *this = newer;
  if (prefill_tokens_per_ms == 0)
    prefill_tokens_per_ms = older.prefill_tokens_per_ms;
  if (idle_event_gap == Millis::zero()) idle_event_gap = older.idle_event_gap;
  if (longest_event_gap == Millis::zero() || older.age < kGapWindow) {
    longest_event_gap = std::max(longest_event_gap, older.longest_event_gap);
  }
}

bool EnginePace::empty() const {
  return prefill_tokens_per_ms == 0 && idle_event_gap == Millis::zero() &&
         longest_event_gap == Millis::zero();
}

double DecayFactor(Duration age) {
  if (age <= kWholeUntil) return 1;
  if (age >= kGoneAfter) return 0;
  return ToSeconds(kGoneAfter - age) / ToSeconds(kGoneAfter - kWholeUntil);
}

}  // namespace medlarwalk
