#include "usage_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace medlarwalk {

bool UsageTable::Key::operator<(const Key& o) const {
  return std::tie(window, process, account) <
         std::tie(o.window, o.process, o.account);
}

void UsageTable::RaiseCount(Key key, int64_t count) {
  if (key.window <= dropped_through_) return;
  auto it = cells_.find(key);
  if (it == cells_.end()) {
    if (cells_.size() >= max_records_) return;
    it = cells_.emplace(key, Cell{}).first;
  } else if (count <= it->second.count) {
    return;
  }
  by_seq_.erase(it->second.seq);
  it->second = {count, ++seq_};
  by_seq_[seq_] = std::move(key);
}

void UsageTable::CountRequest(uint64_t process, int64_t window,
                              const std::string& account) {
  Key key{window, process, account};
  auto it = cells_.find(key);
  int64_t previous = it == cells_.end() ? 0 : it->second.count;
  RaiseCount(std::move(key), previous + 1);
}

void UsageTable::MergeRecords(absl::Span<const UsageRecord> records) {
  for (const UsageRecord& r : records) {
    RaiseCount({r.window, r.process, r.account}, r.count);
  }
}

void UsageTable::DropWindowsThrough(int64_t window) {
  dropped_through_ = std::max(dropped_through_, window);
  while (!cells_.empty() && cells_.begin()->first.window <= dropped_through_) {
    by_seq_.erase(cells_.begin()->second.seq);
    cells_.erase(cells_.begin());
  }
}

UsageCounts UsageTable::SumByAccount(int64_t window) const {
  UsageCounts sum;
  for (auto it = cells_.lower_bound({window, 0, ""});
       it != cells_.end() && it->first.window == window; ++it) {
    sum[it->first.account] += it->second.count;
  }
  return sum;
}

std::vector<uint64_t> UsageTable::ProcessesIn(int64_t window) const {
  std::vector<uint64_t> out;
  for (auto it = cells_.lower_bound({window, 0, ""});
       it != cells_.end() && it->first.window == window; ++it) {
    uint64_t process = it->first.process;
    if (out.empty() || out.back() != process) out.push_back(process);
  }
  return out;
}

size_t UsageTable::CountProcesses(int64_t window) const {
  return ProcessesIn(window).size();
}

std::map<uint64_t, int64_t> UsageTable::OldestWindowsChangedSince(
    uint64_t seq) const {
  std::map<uint64_t, int64_t> out;
  for (auto it = by_seq_.upper_bound(seq); it != by_seq_.end(); ++it) {
    const Key& k = it->second;
    auto [found, inserted] = out.emplace(k.process, k.window);
    if (!inserted) found->second = std::min(found->second, k.window);
  }
  return out;
}

std::optional<int64_t> UsageTable::first_window() const {
  if (cells_.empty()) return std::nullopt;
  return cells_.begin()->first.window;
}

std::vector<UsageRecord> UsageTable::ChangedSince(uint64_t seq,
                                                  size_t max_records,
                                                  uint64_t* through) const {
  std::vector<UsageRecord> out;
  *through = seq;
  for (auto it = by_seq_.upper_bound(seq);
       it != by_seq_.end() && out.size() < max_records; ++it) {
    const Key& k = it->second;
    out.push_back({k.process, k.window, k.account, cells_.at(k).count});
    *through = it->first;
  }
  return out;
}

std::vector<UsageRecord> UsageReportTracker::RecordsToReport(
    const std::string& target, TimePoint now) {
  if (target != target_) OnTargetLost();
  target_ = target;
  sent_ = confirmed_;
  if (last_report_at_ && now - *last_report_at_ < interval_) return {};
  std::vector<UsageRecord> report =
      table_.ChangedSince(confirmed_, kMaxRecordsPerReport, &sent_);
  if (!report.empty()) last_report_at_ = now;
  return report;
}

void UsageReportTracker::OnTargetLost() {
  confirmed_ = sent_ = 0;
  last_report_at_.reset();
}

}  // namespace medlarwalk
