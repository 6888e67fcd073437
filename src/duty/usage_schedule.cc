#include "usage_schedule.h"

#include <algorithm>
#include <iterator>

#include "json_numbers.h"

namespace medlarwalk {

using nlohmann::json;

int64_t WindowAt(int64_t unix_ms, const UsagePolicy& policy) {
  return unix_ms / std::max<int64_t>(1, ToMs(policy.window));
}

Millis TimeSinceWindowEnd(int64_t window, int64_t unix_ms,
                          const UsagePolicy& policy) {
  return Millis(unix_ms - (window + 1) * ToMs(policy.window));
}

Duration LastMoment(const UsagePolicy& policy) {
  Duration calls = policy.calls_before_due * policy.call_time;
  Duration delay = policy.first_retry_delay;
  for (int i = 1; i < policy.calls_before_due; ++i) {
    calls += delay;
    delay = std::min(2 * delay, policy.max_retry_delay);
  }
  Duration reserve = policy.commit_time + policy.election_time +
                     policy.regather_time + policy.commit_time + calls;
  auto min_wait =
      std::chrono::duration_cast<Duration>(policy.due * policy.min_wait_share);
  return std::max(min_wait, policy.due - reserve);
}

WindowReports ReportsOf(int64_t window, const UsageLedger& ledger) {
  std::vector<uint64_t> served = ledger.processes.ServedIn(window);
  std::vector<uint64_t> counted = ledger.counts.ProcessesIn(window);
  std::vector<uint64_t> alive;
  std::set_union(served.begin(), served.end(), counted.begin(), counted.end(),
                 std::back_inserter(alive));
  WindowReports out;
  out.expected = alive.size();
  for (uint64_t process : alive) {
    const UsageProcessState* s = ledger.processes.Find(process);
    if (!s || s->finished_through < window) out.missing.push_back(process);
  }
  return out;
}

std::optional<WindowCommit> WindowToCommit(const DutyLog::Subject& subject,
                                           const UsageLedger& ledger,
                                           Duration led_for, int64_t unix_ms,
                                           const UsagePolicy& policy) {
  if (policy.window <= Duration::zero()) return std::nullopt;
  int64_t window = subject.committed_through + 1;
  if (subject.committed_through == 0) {
    std::optional<int64_t> first = ledger.counts.first_window();
    if (!first) return std::nullopt;
    window = *first;
  }
  window =
      std::max(window, WindowAt(unix_ms, policy) - policy.max_windows_behind);
  Duration since_end = TimeSinceWindowEnd(window, unix_ms, policy);
  if (since_end < Duration::zero()) return std::nullopt;
  // A report that is late already gains nothing from a short wait.
  bool settled = led_for >= policy.settle_time;
  bool gathered =
      settled || (led_for >= policy.regather_time && since_end < policy.due);
  bool last_moment = gathered && since_end >= LastMoment(policy);
  if (!settled && !last_moment) return std::nullopt;
  WindowCommit c{window, CommitReason::kComplete, ReportsOf(window, ledger)};
  if (settled && c.reports.complete()) return c;
  if (!last_moment) return std::nullopt;
  c.reason = CommitReason::kLastMoment;
  return c;
}

Document EncodeUsage(const UsageCounts& counts) {
  std::vector<uint8_t> bytes = json::to_cbor(json(counts));
  return std::make_shared<const std::string>(bytes.begin(), bytes.end());
}

absl::StatusOr<UsageCounts> DecodeUsage(absl::string_view bytes) {
  try {
    json j = json::from_cbor(bytes.begin(), bytes.end());
    if (!j.is_object() && !j.is_null()) {
      return absl::InvalidArgumentError("no usage counts");
    }
    UsageCounts counts;
    for (const auto& [account, n] : j.items()) {
      counts[account] = IntegerFromJson<int64_t>(n);
    }
    return counts;
  } catch (const json::exception& e) {
    return absl::InvalidArgumentError(e.what());
  }
}

std::optional<int64_t> UsageDeliveries::NextToSend(
    const DutyLog::Subject& subject, TimePoint now) const {
  for (const auto& [window, content] : subject.open) {
    auto it = deliveries_.find(window);
    if (it == deliveries_.end()) return window;
    if (!it->second.accepted && now >= it->second.retry_at) return window;
  }
  return std::nullopt;
}

void UsageDeliveries::RecordAccepted(int64_t window) {
  deliveries_[window].accepted = true;
}

void UsageDeliveries::RecordFailed(int64_t window, TimePoint now) {
  Delivery& d = deliveries_[window];
  d.retry_delay = d.retry_delay == Duration::zero()
                      ? policy_.first_retry_delay
                      : std::min(2 * d.retry_delay, policy_.max_retry_delay);
  d.retry_at = now + d.retry_delay;
}

void UsageDeliveries::ClearDeliveries() { deliveries_.clear(); }

int64_t UsageDeliveries::AcceptedThrough(
    const DutyLog::Subject& subject) const {
  int64_t done = subject.accepted_through;
  for (const auto& [window, content] : subject.open) {
    auto it = deliveries_.find(window);
    if (it == deliveries_.end() || !it->second.accepted) return done;
    done = window;
  }
  return done;
}

}  // namespace medlarwalk
