// When the usage of a window is fixed, and which report is sent next. Pure; the
// time is passed in.
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
#include "usage_book.h"

namespace medlarwalk {

// The subject of usage reports in the duty log; their numbers are windows.
inline constexpr char kUsageSubject[] = "usage";

struct UsagePolicy {
  Duration window{};  // Length; zero: no usage is reported.
  Duration due{};     // After a window's end its report must have been sent.
  // A window is fixed this share of `due` after its end: late enough for what
  // entries tell late, early enough for a new leader to wait for its turn.
  // Until then its counts are in the memory of processes alone.
  double fix_share = 0.25;
  // Windows that are made up for after the group was away.
  int64_t most_behind = 32;
  // Between two sendings of one report.
  Duration first_pause = Millis(300);
  Duration most_pause = Millis(2400);
};

// The window that `unix_ms` lies in.
int64_t WindowAt(int64_t unix_ms, const UsagePolicy& policy);
// From the end of `window` to `unix_ms`; negative before it.
Millis SinceEnd(int64_t window, int64_t unix_ms, const UsagePolicy& policy);

// The window to be fixed now, if any. Windows follow each other without a gap
// from the first in which anything was counted; none is left out, as a report
// that is missing cannot be told from one that was lost.
std::optional<int64_t> WindowToFix(const DutyLog::Subject& fixed,
                                   const UsageBook& book, int64_t unix_ms,
                                   const UsagePolicy& policy);

// The content of a usage record, and back.
Document EncodeUsage(const UsageCounts& counts);
// Errors: InvalidArgument.
absl::StatusOr<UsageCounts> DecodeUsage(absl::string_view bytes);

// The sendings of one leader's turn. Thread safety: loop thread only.
class UsageSendings {
 public:
  explicit UsageSendings(UsagePolicy policy) : policy_(policy) {}

  // The open report to be sent now, oldest first; nothing while all wait for
  // their next try.
  std::optional<int64_t> Next(const DutyLog::Subject& fixed,
                              TimePoint now) const;
  void NoteAccepted(int64_t window);
  void NoteFailed(int64_t window, TimePoint now);
  // Another leader may have had its turn: what it learnt is in the log.
  void Reset();
  // All up to it is accepted, by the log and by what was noted here.
  int64_t DoneThrough(const DutyLog::Subject& fixed) const;

 private:
  struct Try {
    Duration pause{};
    TimePoint next{};
    bool accepted = false;
  };
  UsagePolicy policy_;
  std::map<int64_t, Try> tries_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_USAGE_SCHEDULE_H_
