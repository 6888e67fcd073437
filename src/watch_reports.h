// Reports that a process sends with its watch requests: crashes, limits and
// usage, both its own and those of its followers.
#ifndef MEDLARWALK_WATCH_REPORTS_H_
#define MEDLARWALK_WATCH_REPORTS_H_

#include <string>

#include "control_wire.h"
#include "group_time.h"
#include "quarantine.h"
#include "rate_limit_table.h"
#include "usage_processes.h"

namespace medlarwalk {

// Tracks which records the followed control process has not confirmed yet.
// Thread safety: loop thread only.
class WatchReports {
 public:
  // Precondition: the referenced arguments outlive this object.
  WatchReports(const Quarantine& quarantine, const RateLimitTable& limits,
               const UsageLedger& usage, const WallClock& wall)
      : crashes_(quarantine),
        limits_(limits),
        usage_(usage, kUsageInterval),
        wall_(wall) {}

  // Adds to `r` the records that `target` has not confirmed, and this host's
  // wall clock time.
  void AttachPendingRecords(const std::string& target, TimePoint now,
                            WatchRequest* r);
  // Marks the records added last as confirmed, because the target has received
  // them.
  void OnDelivered();
  // Marks all records as unconfirmed: a target that failed may have lost its
  // state.
  void OnTargetLost();
  // Returns whether there are unreported crash or limit records. These are
  // reported without delay.
  bool has_urgent() const {
    return crashes_.has_unreported() || limits_.has_unreported();
  }
  // Has the next report carry usage, however short the time since the last one.
  void ReportUsageNext() { usage_.SkipInterval(); }

 private:
  // Time between usage reports. A killed process loses at most the usage that
  // it counted within this time.
  static constexpr auto kUsageInterval = Millis(300);

  CrashReportTracker crashes_;
  LimitReportTracker limits_;
  UsageLedgerTracker usage_;
  const WallClock& wall_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_WATCH_REPORTS_H_
