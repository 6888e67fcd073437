#include "shared_engine_load.h"

#include <algorithm>

namespace medlarwalk {

void SharedEngineLoad::Apply(absl::Span<const EngineRecord> others,
                             Duration oldest_part, TimePoint now) {
  answered_ = true;
  answered_at_ = now;
  oldest_part_ = oldest_part;
  others_.clear();
  absl::erase_if(paces_, [&](const auto& p) {
    return now - p.second.received_at + p.second.observed.age >= kPaceMemory;
  });
  for (const EngineRecord& r : others) {
    if (!r.work.empty()) others_[r.engine].Add(r.work);
    if (!r.pace.empty()) paces_[r.engine] = Pace{r.pace, now};
  }
}

EngineWork SharedEngineLoad::OthersAt(EngineKey engine, TimePoint now) const {
  auto it = others_.find(engine);
  if (it == others_.end()) return {};
  EngineWork w = it->second;
  double factor = DecayFactor(Age(now));
  if (factor < 1) w.Scale(factor);
  return w;
}

EnginePace SharedEngineLoad::PaceOf(EngineKey engine, TimePoint now) const {
  auto it = paces_.find(engine);
  if (it == paces_.end()) return {};
  EnginePace p = it->second.observed;
  p.age += Millis(ToMs(now - it->second.received_at));
  return p.age < kPaceMemory ? p : EnginePace{};
}

Duration SharedEngineLoad::Age(TimePoint now) const {
  if (!answered_) return Duration::max();
  return now - answered_at_ + oldest_part_;
}

}  // namespace medlarwalk
