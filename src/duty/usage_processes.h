// Processes that count usage, and the windows that each of them has reported to
// their end. With this, the leader knows whether the counts of a window are
// complete before it commits them.
//
// Load pattern: a partition cuts off some entries together with the leader.
// They return seconds later, with counts of windows that are over.
#ifndef MEDLARWALK_USAGE_PROCESSES_H_
#define MEDLARWALK_USAGE_PROCESSES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "types.h"
#include "usage_table.h"

namespace medlarwalk {

// State of one process that counts usage.
struct UsageProcessState {
  uint64_t process = 0;  // Random id of the process, drawn at each start.
  // First and last window in which a watch served the process.
  int64_t first_window = 0;
  int64_t last_window = 0;
  // The process counts no more requests in windows up to this one, and whoever
  // holds this state holds all its counts in them. 0: none.
  int64_t finished_through = 0;
};

// Returns the id of a process as text, for logs.
std::string UsageProcessName(uint64_t process);

// The states of all known processes. States only grow, and merging keeps the
// larger value, so they may be reported any number of times. Thread safety:
// loop thread only.
class UsageProcesses {
 public:
  // `max_processes`: maximum number of states; further ones are ignored.
  explicit UsageProcesses(size_t max_processes = 8192)
      : max_processes_(max_processes) {}

  // Records that a watch served `process` in `window`.
  void RecordServed(uint64_t process, int64_t window);
  // Records that `process` counts no more requests in windows up to `window`.
  // Does nothing if the process is unknown.
  void RecordFinished(uint64_t process, int64_t window);
  // Merges the states that another process reports.
  void MergeStates(absl::Span<const UsageProcessState> states);
  // Removes the processes that were last served in `window`, which is
  // committed, or earlier. Later reports of them are ignored.
  void DropWindowsThrough(int64_t window);

  // Returns the state of `process`; null if it is unknown. The pointer is valid
  // until the next change.
  const UsageProcessState* Find(uint64_t process) const;
  // Returns all states that changed after `seq`. Adds to `*changed_at` the
  // sequence number of the last change of each.
  std::vector<UsageProcessState> ChangedSince(
      uint64_t seq, std::vector<uint64_t>* changed_at) const;
  // Returns the processes that a watch served in `window`.
  std::vector<uint64_t> ServedIn(int64_t window) const;
  // Returns the sequence number of the last change.
  uint64_t seq() const { return seq_; }
  size_t size() const { return cells_.size(); }

 private:
  struct Cell {
    UsageProcessState state;
    uint64_t seq = 0;
  };

  size_t max_processes_;
  std::map<uint64_t, Cell> cells_;
  int64_t dropped_through_ = 0;
  uint64_t seq_ = 0;
};

// Counts and states, as a process holds them.
struct UsageLedger {
  UsageTable counts;
  UsageProcesses processes;
  void DropWindowsThrough(int64_t window) {
    counts.DropWindowsThrough(window);
    processes.DropWindowsThrough(window);
  }
};

// What one message reports. The counts of a process that its state calls
// finished are in this or in earlier messages to the same target.
struct UsageReport {
  std::vector<UsageRecord> records;
  std::vector<UsageProcessState> states;
  bool empty() const { return records.empty() && states.empty(); }
};

// Merges `report` into `ledger`.
void MergeReport(const UsageReport& report, UsageLedger* ledger);
// Merges all of `from` into `to`.
void MergeLedger(const UsageLedger& from, UsageLedger* to);

// Tracks what of a ledger is not yet confirmed by the process that receives the
// reports (the target). Thread safety: loop thread only.
class UsageLedgerTracker {
 public:
  // `interval`: minimum time between two reports with counts. Precondition:
  // `ledger` outlives this.
  UsageLedgerTracker(const UsageLedger& ledger, Duration interval)
      : ledger_(ledger), counts_(ledger.counts, interval) {}

  // Returns what to report to `target` next.
  UsageReport NextReport(const std::string& target, TimePoint now);
  // Records that the target has received the last report.
  void OnDelivered();
  // Records that the target failed. It may have lost all earlier reports, so
  // everything is reported again.
  void OnTargetLost();
  // Has the next report carry counts, however short the time since the last.
  void SkipInterval() { counts_.SkipInterval(); }

 private:
  const UsageLedger& ledger_;
  UsageReportTracker counts_;
  std::string target_;
  uint64_t sent_ = 0;       // Sequence number of the last reported state.
  uint64_t confirmed_ = 0;  // Sequence number of the last confirmed state.
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_USAGE_PROCESSES_H_
