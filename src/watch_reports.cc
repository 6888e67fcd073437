#include "watch_reports.h"

#include <vector>

namespace medlarwalk {

void WatchReports::Fill(const std::string& target, TimePoint now,
                        WatchRequest* r) {
  std::vector<CrashRecord> crashes = crashes_.For(target);
  r->crashes = crashes.empty() ? "" : EncodeCrashRecords(crashes, now);
  std::vector<UsageRecord> usage = usage_.For(target, now);
  r->usage = usage.empty() ? "" : EncodeUsageRecords(usage);
  r->unix_ms = wall_.UnixNow().count();
}

void WatchReports::Confirmed() {
  crashes_.Confirmed();
  usage_.Confirmed();
}

void WatchReports::Lost() {
  crashes_.Lost();
  usage_.Lost();
}

}  // namespace medlarwalk
