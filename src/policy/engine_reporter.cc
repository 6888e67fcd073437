#include "engine_reporter.h"

#include <cmath>
#include <utility>

namespace medlarwalk {
namespace {

// A pace is sent again after this many messages even if it is unchanged, as the
// receiver forgets it after a while.
constexpr uint64_t kPaceInterval = 10;
// Relative change of a value from which a pace is sent at once.
constexpr double kPaceChange = 0.25;

bool Differs(double a, double b) {
  return std::abs(a - b) > kPaceChange * std::max(a, b);
}

bool Differs(Millis a, Millis b) {
  return Differs(static_cast<double>(a.count()),
                 static_cast<double>(b.count()));
}

bool Differs(const EnginePace& a, const EnginePace& b) {
  return Differs(a.prefill_tokens_per_ms, b.prefill_tokens_per_ms) ||
         Differs(a.idle_event_gap, b.idle_event_gap) ||
         Differs(a.longest_event_gap, b.longest_event_gap);
}

}  // namespace

void PaceThrottle::Apply(std::vector<EngineRecord>* records) {
  ++message_;
  for (EngineRecord& r : *records) {
    if (r.pace.empty()) continue;
    auto [it, first] = sent_.try_emplace(r.engine);
    Sent& s = it->second;
    if (first || message_ - s.message >= kPaceInterval ||
        Differs(s.pace, r.pace)) {
      s = {r.pace, message_};
    } else {
      r.pace = {};
    }
  }
  // Engines that no longer have a pace, such as those that have ended.
  absl::erase_if(sent_, [&](const auto& item) {
    return message_ - item.second.message > 2 * kPaceInterval;
  });
}

EngineLoadReport EngineReporter::Next(absl::Span<const EngineRecord> own) {
  std::vector<EngineRecord> records(own.begin(), own.end());
  paces_.Apply(&records);
  in_flight_.clear();
  for (const EngineRecord& r : records) in_flight_[r.engine].Add(r.work);
  EngineLoadReport report{process_, ++seq_, base_seq_, {}};
  for (EngineRecord& r : records) {
    auto before = arrived_.find(r.engine);
    bool changed = before == arrived_.end() || !(before->second == r.work);
    if (base_seq_ == 0 || changed || !r.pace.empty())
      report.records.push_back(r);
  }
  if (base_seq_ == 0) return report;
  for (const auto& [engine, work] : arrived_) {
    if (!in_flight_.contains(engine))
      report.records.push_back({engine, {}, {}});
  }
  return report;
}

void EngineReporter::OnAnswer(bool send_complete) {
  if (send_complete) {
    OnLost();
    return;
  }
  base_seq_ = seq_;
  arrived_ = std::move(in_flight_);
  in_flight_.clear();
}

void EngineReporter::OnLost() {
  base_seq_ = 0;
  arrived_.clear();
  in_flight_.clear();
  paces_.Reset();
}

}  // namespace medlarwalk
