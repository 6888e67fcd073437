#include "watch_reports.h"

#include <vector>

namespace medlarwalk {

void WatchReports::AttachPendingRecords(const std::string& target,
                                        TimePoint now, WatchRequest* r) {
  std::vector<CrashRecord> crashes = crashes_.RecordsToReport(target);
  r->crashes = crashes.empty() ? "" : EncodeCrashRecords(crashes, now);
  std::vector<LimitRecord> limits = limits_.RecordsToReport(target);
  r->limits = limits.empty() ? "" : EncodeLimitRecords(limits, now);
  UsageReport usage = usage_.NextReport(target, now);
  r->usage = usage.records.empty() ? "" : EncodeUsageRecords(usage.records);
  r->usage_states = usage.states.empty() ? "" : EncodeUsageStates(usage.states);
  r->unix_ms = wall_.UnixNow().count();
}

void WatchReports::OnDelivered() {
  crashes_.OnDelivered();
  limits_.OnDelivered();
  usage_.OnDelivered();
}

void WatchReports::OnTargetLost() {
  crashes_.OnTargetLost();
  limits_.OnTargetLost();
  usage_.OnTargetLost();
}

}  // namespace medlarwalk
