// Table of usage counts: requests that started to run, by window of the group's
// time and client account. An entry process holds its own counts; a control
// process holds the counts of all processes that report to it. Counts are kept
// per process and only grow, and merging keeps the larger value. Therefore
// counts may be reported any number of times and through any other process.
#ifndef MEDLARWALK_USAGE_TABLE_H_
#define MEDLARWALK_USAGE_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "types.h"

namespace medlarwalk {

// Number of requests by client account.
using UsageCounts = std::map<std::string, int64_t>;

// The request count of one process since its start, for one window and account.
struct UsageRecord {
  uint64_t process = 0;  // Random id of the process, drawn at each start.
  int64_t window = 0;
  std::string account;
  int64_t count = 0;
};

// The counts of all known processes. Thread safety: loop thread only.
class UsageTable {
 public:
  // `max_records`: maximum number of records; further records are ignored.
  explicit UsageTable(size_t max_records = 65536) : max_records_(max_records) {}

  // Adds one request to the count of `process`.
  void CountRequest(uint64_t process, int64_t window,
                    const std::string& account);
  // Merges the counts of other processes.
  void MergeRecords(absl::Span<const UsageRecord> records);
  // Removes the counts of `window`, which is committed, and of all earlier
  // windows. Later counts for these windows are ignored.
  void DropWindowsThrough(int64_t window);

  // Returns the counts of all processes in `window`, by account.
  UsageCounts SumByAccount(int64_t window) const;
  // Returns the number of processes with counts in `window`. A restarted
  // process counts as another process.
  size_t CountProcesses(int64_t window) const;
  // Returns the ids of the processes with counts in `window`, ascending.
  std::vector<uint64_t> ProcessesIn(int64_t window) const;
  // Returns the oldest window with counts that changed after `seq`, by process.
  std::map<uint64_t, int64_t> OldestWindowsChangedSince(uint64_t seq) const;
  // Returns the oldest window with counts; nullopt if there is none.
  std::optional<int64_t> first_window() const;
  size_t size() const { return cells_.size(); }

  // Returns the sequence number of the last change.
  uint64_t seq() const { return seq_; }
  // Returns the first `max_records` records that changed after `seq`, in the
  // order of their last change. Sets `*through` to the sequence number of the
  // last returned change, or to `seq` if there is none.
  std::vector<UsageRecord> ChangedSince(uint64_t seq, size_t max_records,
                                        uint64_t* through) const;

 private:
  struct Key {
    int64_t window = 0;
    uint64_t process = 0;
    std::string account;
    bool operator<(const Key& o) const;
  };
  struct Cell {
    int64_t count = 0;
    uint64_t seq = 0;
  };
  // Sets the count of `key` to `count` if that is larger.
  void RaiseCount(Key key, int64_t count);

  size_t max_records_;
  std::map<Key, Cell> cells_;
  // Keys by the sequence number of their last change.
  std::map<uint64_t, Key> by_seq_;
  int64_t dropped_through_ = 0;
  uint64_t seq_ = 0;
};

// Tracks which usage records are not yet confirmed by the process that receives
// the reports (the target). Thread safety: loop thread only.
class UsageReportTracker {
 public:
  // `interval`: minimum time between two reports. Counts that this process has
  // not yet reported are lost if it fails. Precondition: `table` outlives this.
  UsageReportTracker(const UsageTable& table, Duration interval)
      : table_(table), interval_(interval) {}

  // Returns the records to report to `target` next. Returns none before the
  // minimum interval between reports has passed.
  std::vector<UsageRecord> RecordsToReport(const std::string& target,
                                           TimePoint now);
  // Has the next report begin without regard to the minimum interval.
  void SkipInterval() { last_report_at_.reset(); }
  // Returns the oldest window with counts that neither the last report nor a
  // confirmed one holds, by process.
  std::map<uint64_t, int64_t> OldestUnreportedWindows() const {
    return table_.OldestWindowsChangedSince(sent_);
  }
  // Records that the target has received the last report.
  void OnDelivered() { confirmed_ = sent_; }
  // Records that the target failed. It may have lost all earlier reports, so
  // all records are reported again.
  void OnTargetLost();

 private:
  static constexpr size_t kMaxRecordsPerReport = 1024;

  const UsageTable& table_;
  Duration interval_;
  std::string target_;
  std::optional<TimePoint> last_report_at_;
  uint64_t sent_ = 0;       // Sequence number of the last reported change.
  uint64_t confirmed_ = 0;  // Sequence number of the last confirmed change.
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_USAGE_TABLE_H_
