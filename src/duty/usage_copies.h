// Second copies of the usage that entries report directly to the leader. Until
// its window is committed, one more control process, the keeper, holds it.
//
// Load pattern: a host is lost with the leader and with entries on it. What
// entries report to another control process is held there and by the leader,
// and needs no copy.
#ifndef MEDLARWALK_USAGE_COPIES_H_
#define MEDLARWALK_USAGE_COPIES_H_

#include <cstdint>
#include <string>

#include "types.h"
#include "usage_processes.h"

namespace medlarwalk {

// A part of the leader's usage, for the keeper.
struct UsageCopy {
  UsageReport report;
  // Number of the copy; the keeper's next watch states it. 0: no copy.
  int64_t number = 0;
};

// The leader's side. Every control process records what it receives, because it
// may become the leader. Thread safety: loop thread only.
class UsageCopySender {
 public:
  // `first_number`: number of the first copy, above 0. Differs between starts,
  // so that no keeper confirms copies of an earlier start.
  explicit UsageCopySender(int64_t first_number)
      : tracker_(source_, kInterval), next_number_(first_number) {}

  // Records what a process reports. `direct`: the reporting process counts
  // usage itself. Otherwise the reporting process holds the counts, and only
  // the existence of the processes is copied.
  void RecordReport(const UsageReport& report, bool direct);
  // Records that a watch served `process`, which reports directly, in `window`.
  void RecordServed(uint64_t process, int64_t window) {
    source_.processes.RecordServed(process, window);
  }
  // Records all of `copies`, which a keeper held for an earlier leader.
  void RecordCopies(const UsageLedger& copies) {
    MergeLedger(copies, &source_);
  }
  // Records a watch of a control process that may be the keeper, with the
  // number of the last copy that it has received. The first such process
  // becomes the keeper, until it is silent for kKeeperTimeout. A keeper that
  // states another number than expected has lost its memory, and everything is
  // copied again.
  void OnWatch(const std::string& name, int64_t received, TimePoint now);
  // Returns the copy to send to process `name` now, if any.
  UsageCopy NextCopy(const std::string& name, TimePoint now);
  // Forgets the keeper. Called while this process does not lead.
  void ForgetKeeper() { keeper_.clear(); }
  void DropWindowsThrough(int64_t window) {
    source_.DropWindowsThrough(window);
  }
  const std::string& keeper() const { return keeper_; }

 private:
  // Minimum time between two copies with counts.
  static constexpr auto kInterval = Millis(300);
  // Exceeds the time for which a watch is held open, with two failed attempts.
  static constexpr auto kKeeperTimeout = Millis(1500);

  UsageLedger source_;
  UsageLedgerTracker tracker_;
  std::string keeper_;
  TimePoint keeper_seen_at_{};
  int64_t next_number_;
  int64_t sent_number_ = 0;       // Number of the last copy sent.
  int64_t confirmed_number_ = 0;  // Number of the last copy confirmed.
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_USAGE_COPIES_H_
