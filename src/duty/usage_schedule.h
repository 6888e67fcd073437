// Schedule of usage reports: when the counts of a window are committed, and
// which report is sent next. Sends and commits nothing itself; callers pass the
// current time.
#ifndef MEDLARWALK_USAGE_SCHEDULE_H_
#define MEDLARWALK_USAGE_SCHEDULE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "duty_log.h"
#include "types.h"
#include "usage_table.h"

namespace medlarwalk {

// The subject of usage reports in the duty log. The sequence number of a report
// is the number of its window.
inline constexpr char kUsageSubject[] = "usage";

struct UsagePolicy {
  Duration window{};  // Length of a window; 0: usage is not reported.
  Duration due{};  // Deadline of a report, counted from the end of its window.
  // The counts of a window are committed when this share of `due` has passed
  // since the end of the window. That is late enough for delayed counts of
  // entries to arrive, and early enough for a new leader, which has to wait
  // before it may send the report. Until the commit, the counts exist only in
  // the memory of processes.
  double commit_delay_share = 0.25;
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

// Returns the window whose counts are to be committed now, if any. All windows
// from the first window with counts on are committed, except that windows older
// than the last `max_windows_behind` are skipped. There are no other gaps,
// because the receiver could not distinguish a skipped report from a lost one.
std::optional<int64_t> WindowToCommit(const DutyLog::Subject& subject,
                                      const UsageTable& table, int64_t unix_ms,
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
