#include "usage_processes.h"

#include <algorithm>
#include <limits>

#include "absl/strings/str_cat.h"

namespace medlarwalk {
namespace {

// Merges `from` into `to`. Returns whether `to` has changed.
bool MergeState(const UsageProcessState& from, UsageProcessState* to) {
  UsageProcessState before = *to;
  to->first_window = std::min(to->first_window, from.first_window);
  to->last_window = std::max(to->last_window, from.last_window);
  to->finished_through = std::max(to->finished_through, from.finished_through);
  return before.first_window != to->first_window ||
         before.last_window != to->last_window ||
         before.finished_through != to->finished_through;
}

}  // namespace

std::string UsageProcessName(uint64_t process) {
  return absl::StrCat(absl::Hex(process, absl::kZeroPad16));
}

void UsageProcesses::RecordServed(uint64_t process, int64_t window) {
  MergeStates({{process, window, window, 0}});
}

void UsageProcesses::RecordFinished(uint64_t process, int64_t window) {
  const UsageProcessState* known = Find(process);
  if (!known) return;
  UsageProcessState s = *known;
  s.finished_through = window;
  MergeStates({s});
}

void UsageProcesses::MergeStates(absl::Span<const UsageProcessState> states) {
  for (const UsageProcessState& s : states) {
    if (s.last_window <= dropped_through_) continue;
    auto it = cells_.find(s.process);
    if (it == cells_.end()) {
      if (cells_.size() >= max_processes_) continue;
      cells_[s.process] = {s, ++seq_};
    } else if (MergeState(s, &it->second.state)) {
      it->second.seq = ++seq_;
    }
  }
}

void UsageProcesses::DropWindowsThrough(int64_t window) {
  if (window <= dropped_through_) return;
  dropped_through_ = window;
  for (auto it = cells_.begin(); it != cells_.end();) {
    bool dropped = it->second.state.last_window <= window;
    it = dropped ? cells_.erase(it) : std::next(it);
  }
}

const UsageProcessState* UsageProcesses::Find(uint64_t process) const {
  auto it = cells_.find(process);
  return it == cells_.end() ? nullptr : &it->second.state;
}

std::vector<UsageProcessState> UsageProcesses::ChangedSince(
    uint64_t seq, std::vector<uint64_t>* changed_at) const {
  std::vector<UsageProcessState> out;
  if (seq == seq_) return out;
  for (const auto& [process, cell] : cells_) {
    if (cell.seq <= seq) continue;
    out.push_back(cell.state);
    changed_at->push_back(cell.seq);
  }
  return out;
}

std::vector<uint64_t> UsageProcesses::ServedIn(int64_t window) const {
  std::vector<uint64_t> out;
  for (const auto& [process, cell] : cells_) {
    const UsageProcessState& s = cell.state;
    if (s.first_window <= window && window <= s.last_window) {
      out.push_back(process);
    }
  }
  return out;
}

void MergeReport(const UsageReport& report, UsageLedger* ledger) {
  ledger->counts.MergeRecords(report.records);
  ledger->processes.MergeStates(report.states);
}

void MergeLedger(const UsageLedger& from, UsageLedger* to) {
  constexpr size_t kAll = std::numeric_limits<size_t>::max();
  uint64_t through = 0;
  std::vector<uint64_t> changed_at;
  to->counts.MergeRecords(from.counts.ChangedSince(0, kAll, &through));
  to->processes.MergeStates(from.processes.ChangedSince(0, &changed_at));
}

UsageReport UsageLedgerTracker::NextReport(const std::string& target,
                                           TimePoint now) {
  if (target != target_) OnTargetLost();
  target_ = target;
  UsageReport report;
  report.records = counts_.RecordsToReport(target, now);
  std::vector<uint64_t> changed_at;
  report.states = ledger_.processes.ChangedSince(confirmed_, &changed_at);
  sent_ = ledger_.processes.seq();
  if (report.states.empty()) return report;
  // Counts may be left for the next report. A state must not call a window
  // finished before all counts in it are reported; it is reported again with
  // the last of them.
  std::map<uint64_t, int64_t> left = counts_.OldestUnreportedWindows();
  for (size_t i = 0; i < report.states.size(); ++i) {
    UsageProcessState& s = report.states[i];
    auto it = left.find(s.process);
    if (it == left.end() || it->second > s.finished_through) continue;
    s.finished_through = it->second - 1;
    sent_ = std::min(sent_, changed_at[i] - 1);
  }
  return report;
}

void UsageLedgerTracker::OnDelivered() {
  counts_.OnDelivered();
  confirmed_ = sent_;
}

void UsageLedgerTracker::OnTargetLost() {
  counts_.OnTargetLost();
  confirmed_ = sent_ = 0;
}

}  // namespace medlarwalk
