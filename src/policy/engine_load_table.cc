#include "engine_load_table.h"

#include <algorithm>

namespace medlarwalk {
namespace {

// Bound the memory that reports can take, and keep sums within the range of an
// int.
constexpr size_t kMaxProcesses = 4096;
constexpr size_t kMaxControls = 64;
// Time for which totals are used again: a minimum, and a time for each summed
// record, about ten times what it takes to add one. Without it, each of many
// reporters would cost a sum over all of them.
constexpr auto kMinTotalsLifetime = Millis(20);
constexpr auto kTotalsLifetimePerRecord = std::chrono::microseconds(1);
// Time for which an engine's pace is kept without another observation.
constexpr auto kPaceMemory = Millis(5000);
// Time for which other control processes are told of a new reporter: as long as
// its part elsewhere may count.
constexpr auto kArrivalTime = kGoneAfter;

void Subtract(const EngineWork& part, EngineWork* from) {
  for (size_t i = 0; i < part.pending_prefill.size(); ++i)
    from->pending_prefill[i] -= part.pending_prefill[i];
  for (size_t i = 0; i < part.streams.size(); ++i)
    from->streams[i] -= part.streams[i];
  from->awaiting_first_event -= part.awaiting_first_event;
  from->generating -= part.generating;
  from->memory_tokens -= part.memory_tokens;
}

EnginePace PaceAt(const EnginePace& pace, TimePoint observed_at,
                  TimePoint now) {
  EnginePace p = pace;
  p.age += Millis(ToMs(now - observed_at));
  return p.age < kPaceMemory ? p : EnginePace{};
}

}  // namespace

// Stores the records of a report. What a complete report does not name has
// ended; paces outlive the work.
void EngineLoadTable::StoreRecords(absl::Span<const EngineRecord> records,
                                   bool complete, TimePoint now, Part* p) {
  if (complete) {
    for (auto& [key, e] : p->engines) e.work = {};
  }
  for (const EngineRecord& r : records) {
    Engine& e = p->engines[r.engine];
    e.work = r.work;
    if (r.pace.empty()) continue;
    e.pace = r.pace;
    e.pace_at = now;
  }
  absl::erase_if(p->engines, [&](const auto& item) {
    const Engine& e = item.second;
    return e.work.empty() && e.counted.empty() &&
           PaceAt(e.pace, e.pace_at, now).empty();
  });
  p->has_work =
      std::any_of(p->engines.begin(), p->engines.end(),
                  [](const auto& item) { return !item.second.work.empty(); });
}

EngineLoadTable::Result EngineLoadTable::ApplyReport(const EngineLoadReport& r,
                                                     TimePoint now) {
  auto it = direct_.find(r.process);
  bool known = it != direct_.end();
  if (known && r.seq <= it->second.seq) return Result::kOutdated;
  bool complete = r.base_seq == 0;
  if (!complete && (!known || it->second.seq != r.base_seq))
    return Result::kNeedsComplete;
  if (!known && direct_.size() >= kMaxProcesses) return Result::kFull;
  Part& p = direct_[r.process];
  // A process that changes to another control process reports completely.
  if (complete) p.arrived_at = now;
  p.seq = r.seq;
  p.received_at = now;
  StoreRecords(r.records, complete, now, &p);
  return Result::kApplied;
}

bool EngineLoadTable::ApplySum(uint64_t control, uint64_t seq,
                               const EngineLoadSum& sum,
                               absl::Span<const ReportingProcess> arrivals,
                               TimePoint now) {
  for (const ReportingProcess& a : arrivals) {
    auto it = direct_.find(a.process);
    if (it == direct_.end() || it->second.seq >= a.seq) continue;
    direct_.erase(it);
    totals_known_ = false;
  }
  auto it = controls_.find(control);
  if (it == controls_.end() && controls_.size() >= kMaxControls) return false;
  if (it != controls_.end() && seq <= it->second.seq) return false;
  Part& p = controls_[control];
  p.seq = seq;
  p.received_at = now;
  p.stated_age = sum.oldest;
  p.processes = sum.processes;
  StoreRecords(sum.records, true, now, &p);
  return true;
}

EngineWork EngineLoadTable::CountedWork(const Engine& e, double factor) {
  EngineWork w = e.work;
  if (factor < 1) w.Scale(factor);
  return w;
}

EngineLoadSum EngineLoadTable::DirectSum(TimePoint now) const {
  EngineLoadSum sum;
  absl::flat_hash_map<EngineKey, EngineRecord> records;
  for (const auto& [process, p] : direct_) {
    Duration age = AgeOf(p, now);
    double factor = DecayFactor(age);
    if (p.has_work) ++sum.processes;
    if (p.has_work && age <= kWholeUntil)
      sum.oldest = std::max(sum.oldest, age);
    for (const auto& [key, e] : p.engines) {
      EngineRecord& r = records[key];
      r.work.Add(CountedWork(e, factor));
      r.pace.Merge(PaceAt(e.pace, e.pace_at, now));
    }
  }
  for (auto& [key, r] : records) {
    if (r.work.empty() && r.pace.empty()) continue;
    r.engine = key;
    sum.records.push_back(r);
  }
  return sum;
}

std::vector<ReportingProcess> EngineLoadTable::Arrivals(TimePoint now) const {
  std::vector<ReportingProcess> out;
  for (const auto& [process, p] : direct_) {
    if (now - p.arrived_at < kArrivalTime) out.push_back({process, p.seq});
  }
  return out;
}

void EngineLoadTable::AddToTotals(uint64_t process, Part& p, TimePoint now) {
  Duration age = AgeOf(p, now);
  double factor = DecayFactor(age);
  totals_records_ += p.engines.size();
  p.is_counted = p.has_work && factor > 0;
  if (p.is_counted) totals_processes_ += p.processes;
  if (p.has_work && age <= kWholeUntil)
    totals_oldest_ = std::max(totals_oldest_, age);
  for (auto& [key, e] : p.engines) {
    Total& t = totals_[key];
    t.pace.Merge(PaceAt(e.pace, e.pace_at, now));
    e.counted = CountedWork(e, factor);
    if (e.counted.empty()) continue;
    t.work.Add(e.counted);
    Millis gap = e.counted.tightest_gap_target;
    if (gap == Millis::zero()) continue;
    if (t.tightest == Millis::zero() || gap < t.tightest) {
      t.second_tightest = t.tightest;
      t.tightest = gap;
      t.tightest_process = process;
    } else if (t.second_tightest == Millis::zero() || gap < t.second_tightest) {
      t.second_tightest = gap;
    }
  }
}

void EngineLoadTable::UpdateTotals(TimePoint now) {
  Duration lifetime = std::max<Duration>(
      kMinTotalsLifetime,
      kTotalsLifetimePerRecord * static_cast<int64_t>(totals_records_));
  if (totals_known_ && now - totals_at_ < lifetime) return;
  totals_known_ = true;
  totals_at_ = now;
  totals_records_ = 0;
  totals_.clear();
  totals_oldest_ = {};
  totals_processes_ = 0;
  for (auto& [process, p] : direct_) AddToTotals(process, p, now);
  for (auto& [control, p] : controls_) AddToTotals(control, p, now);
}

EngineLoadSum EngineLoadTable::SumWithout(uint64_t process, TimePoint now) {
  UpdateTotals(now);
  EngineLoadSum sum;
  sum.oldest = totals_oldest_ + (now - totals_at_);
  sum.processes = totals_processes_;
  auto own = direct_.find(process);
  const Part* part = own == direct_.end() ? nullptr : &own->second;
  if (part && part->is_counted) --sum.processes;
  sum.records.reserve(totals_.size());
  for (const auto& [key, t] : totals_) {
    EngineRecord r{key, t.work, t.pace};
    r.work.tightest_gap_target =
        t.tightest_process == process ? t.second_tightest : t.tightest;
    if (part) {
      auto e = part->engines.find(key);
      if (e != part->engines.end()) Subtract(e->second.counted, &r.work);
    }
    if (!r.work.empty() || !r.pace.empty()) sum.records.push_back(r);
  }
  return sum;
}

int EngineLoadTable::processes() const {
  int n = 0;
  for (const auto& [process, p] : direct_) n += p.has_work;
  for (const auto& [control, p] : controls_) n += p.processes;
  return n;
}

void EngineLoadTable::RemoveExpiredParts(TimePoint now, Parts* parts) {
  for (auto it = parts->begin(); it != parts->end();) {
    it = now - it->second.received_at >= kGoneAfter ? parts->erase(it)
                                                    : std::next(it);
  }
}

void EngineLoadTable::RemoveExpired(TimePoint now) {
  RemoveExpiredParts(now, &direct_);
  RemoveExpiredParts(now, &controls_);
}

}  // namespace medlarwalk
