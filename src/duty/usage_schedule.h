// Schedule of usage reports: when the counts of a window are committed, and
// which report is sent next. Sends and commits nothing itself; callers pass the
// current time.
//
// Load pattern: entries that a partition cut off return with their counts
// seconds after the end of a window.
#ifndef MEDLARWALK_USAGE_SCHEDULE_H_
#define MEDLARWALK_USAGE_SCHEDULE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "duty_log.h"
#include "types.h"
#include "usage_processes.h"
#include "usage_table.h"

namespace medlarwalk {

// The subject of usage reports in the duty log. The sequence number of a report
// is the number of its window.
inline constexpr char kUsageSubject[] = "usage";

struct UsagePolicy {
  Duration window{};  // Length of a window; 0: usage is not reported.
  Duration due{};  // Deadline of a report, counted from the end of its window.
  // Time for a quorum to write a record.
  Duration commit_time = Millis(100);
  // Time from the loss of a leader to the election of the next one.
  Duration election_time = Millis(1200);
  // Time that a new leader waits before it takes what it knows for complete.
  // Covers two watch intervals and two report intervals.
  Duration settle_time = Millis(1600);
  // Time for control processes to report what they hold to a new leader. They
  // do so as soon as they know it.
  Duration regather_time = Millis(400);
  // Number of calls, each failed one followed by its retry delay, that fit
  // before the deadline of a report.
  int calls_before_due = 3;
  // Time for the outside system to answer a call.
  Duration call_time = Millis(50);
  // Processes that have not reported are waited for at least during this share
  // of `due`, also where the times above leave less.
  double min_wait_share = 0.25;
  // Maximum number of past windows that are still reported after an outage of
  // the group.
  int64_t max_windows_behind = 32;
  // Delay before a failed report is sent again; doubles with each failure.
  Duration first_retry_delay = Millis(300);
  Duration max_retry_delay = Millis(2400);
};

// Returns the window that contains `unix_ms`.
int64_t WindowAt(int64_t unix_ms, const UsagePolicy& policy);
// Returns the time from the end of `window` to `unix_ms`; negative if `unix_ms`
// is earlier.
Millis TimeSinceWindowEnd(int64_t window, int64_t unix_ms,
                          const UsagePolicy& policy);

// Returns the last moment for the commit of a window, counted from its end.
// Afterwards there is still time for this leader to be lost at that moment, for
// the next one to collect what control processes hold and to commit it, and for
// several calls. The wait of a new duty holder (DutyLeadershipPolicy) is not
// included.
Duration LastMoment(const UsagePolicy& policy);

// Who has reported a window to its end.
struct WindowReports {
  // Number of processes that a watch served in the window or that have counts
  // in it.
  size_t expected = 0;
  std::vector<uint64_t> missing;  // Those that have not finished the window.
  // A window without known processes is not complete: processes may be alive
  // that nobody has heard of yet.
  bool complete() const { return expected > 0 && missing.empty(); }
};
WindowReports ReportsOf(int64_t window, const UsageLedger& ledger);

enum class CommitReason { kComplete, kLastMoment };

// A window to be committed now.
struct WindowCommit {
  int64_t window = 0;
  CommitReason reason = CommitReason::kComplete;
  WindowReports reports;
};

// Returns the window whose counts are to be committed now, if any: once every
// process alive in it has reported it to its end, or at the last moment. All
// windows from the first window with counts on are committed, except that
// windows older than the last `max_windows_behind` are skipped. There are no
// other gaps, because the receiver could not distinguish a skipped report from
// a lost one. `led_for`: time since this process became the leader.
std::optional<WindowCommit> WindowToCommit(const DutyLog::Subject& subject,
                                           const UsageLedger& ledger,
                                           Duration led_for, int64_t unix_ms,
                                           const UsagePolicy& policy);

// Encodes the content of a usage report, as CBOR.
Document EncodeUsage(const UsageCounts& counts);
// Decodes the content of a usage report. Errors: InvalidArgument.
absl::StatusOr<UsageCounts> DecodeUsage(absl::string_view bytes);

// Tracks the delivery of committed reports during one term of the duty holder.
// Thread safety: loop thread only.
class UsageDeliveries {
 public:
  explicit UsageDeliveries(UsagePolicy policy) : policy_(policy) {}

  // Returns the window of the oldest open report that is due to be sent.
  // Returns nullopt if each open report is accepted or waits for a retry.
  std::optional<int64_t> NextToSend(const DutyLog::Subject& subject,
                                    TimePoint now) const;
  // Records that the report of `window` was accepted.
  void RecordAccepted(int64_t window);
  // Records that sending the report of `window` failed, and schedules a retry.
  void RecordFailed(int64_t window, TimePoint now);
  // Forgets all deliveries. Called when the term changes: another leader may
  // have sent reports in the meantime, and the duty log shows which of them
  // were accepted.
  void ClearDeliveries();
  // Returns the window up to which all reports are accepted, according to the
  // log and to the deliveries recorded here.
  int64_t AcceptedThrough(const DutyLog::Subject& subject) const;

 private:
  struct Delivery {
    Duration retry_delay{};
    TimePoint retry_at{};
    bool accepted = false;
  };
  UsagePolicy policy_;
  std::map<int64_t, Delivery> deliveries_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_USAGE_SCHEDULE_H_
