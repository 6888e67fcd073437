#include "usage_copies.h"

#include <utility>

namespace medlarwalk {

void UsageCopySender::RecordReport(const UsageReport& report, bool direct) {
  if (direct) {
    MergeReport(report, &source_);
    return;
  }
  // Without its counts, a process must not be called finished to the keeper.
  std::vector<UsageProcessState> states = report.states;
  for (UsageProcessState& s : states) s.finished_through = 0;
  source_.processes.MergeStates(states);
}

void UsageCopySender::OnWatch(const std::string& name, int64_t received,
                              TimePoint now) {
  if (keeper_.empty() || now - keeper_seen_at_ > kKeeperTimeout) keeper_ = name;
  if (name != keeper_) return;
  keeper_seen_at_ = now;
  if (received == confirmed_number_) return;
  if (received == sent_number_) {
    tracker_.OnDelivered();
    confirmed_number_ = received;
  } else {
    tracker_.OnTargetLost();
    confirmed_number_ = 0;
  }
}

UsageCopy UsageCopySender::NextCopy(const std::string& name, TimePoint now) {
  if (name != keeper_) return {};
  UsageCopy copy;
  copy.report = tracker_.NextReport(name, now);
  if (!copy.report.empty()) copy.number = sent_number_ = next_number_++;
  return copy;
}

}  // namespace medlarwalk
