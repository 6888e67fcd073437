#include "watch_reports.h"

#include <vector>

namespace medlarwalk {

void WatchReports::AttachPendingRecords(const std::string& target,
                                        TimePoint now, WatchRequest* r) {
  std::vector<CrashRecord> crashes = crashes_.For(target);
  r->crashes = crashes.empty() ? "" : EncodeCrashRecords(crashes, now);
  std::vector<LimitRecord> limits = limits_.For(target);
  r->limits = limits.empty() ? "" : EncodeLimitRecords(limits, now);
  std::vector<UsageRecord> usage = usage_.For(target, now);
  r->usage = usage.empty() ? "" : EncodeUsageRecords(usage);
  r->unix_ms = wall_.UnixNow().count();
}

void WatchReports::OnDelivered() {
  crashes_.Confirmed();
  limits_.Confirmed();
  usage_.Confirmed();
}

void WatchReports::OnTargetLost() {
  crashes_.Lost();
  limits_.Lost();
  usage_.Lost();
}

}  // namespace medlarwalk
