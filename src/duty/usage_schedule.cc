#include "usage_schedule.h"

#include <algorithm>
#include <vector>

#include "json_numbers.h"

namespace medlarwalk {

using nlohmann::json;

int64_t WindowAt(int64_t unix_ms, const UsagePolicy& policy) {
  return unix_ms / std::max<int64_t>(1, ToMs(policy.window));
}

Millis SinceEnd(int64_t window, int64_t unix_ms, const UsagePolicy& policy) {
  return Millis(unix_ms - (window + 1) * ToMs(policy.window));
}

std::optional<int64_t> WindowToFix(const DutyLog::Subject& fixed,
                                   const UsageBook& book, int64_t unix_ms,
                                   const UsagePolicy& policy) {
  if (policy.window <= Duration::zero()) return std::nullopt;
  int64_t next = fixed.fixed_through + 1;
  if (fixed.fixed_through == 0) {
    std::optional<int64_t> first = book.first_window();
    if (!first) return std::nullopt;
    next = *first;
  }
  next = std::max(next, WindowAt(unix_ms, policy) - policy.most_behind);
  Duration wait =
      std::chrono::duration_cast<Duration>(policy.due * policy.fix_share);
  if (SinceEnd(next, unix_ms, policy) < wait) return std::nullopt;
  return next;
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
      counts[account] = WholeNumber<int64_t>(n);
    }
    return counts;
  } catch (const json::exception& e) {
    return absl::InvalidArgumentError(e.what());
  }
}

std::optional<int64_t> UsageSendings::Next(const DutyLog::Subject& fixed,
                                           TimePoint now) const {
  for (const auto& [window, content] : fixed.open) {
    auto it = tries_.find(window);
    if (it == tries_.end()) return window;
    if (!it->second.accepted && now >= it->second.next) return window;
  }
  return std::nullopt;
}

void UsageSendings::NoteAccepted(int64_t window) {
  tries_[window].accepted = true;
}

void UsageSendings::NoteFailed(int64_t window, TimePoint now) {
  Try& t = tries_[window];
  t.pause = t.pause == Duration::zero()
                ? policy_.first_pause
                : std::min(2 * t.pause, policy_.most_pause);
  t.next = now + t.pause;
}

void UsageSendings::Reset() { tries_.clear(); }

int64_t UsageSendings::DoneThrough(const DutyLog::Subject& fixed) const {
  int64_t done = fixed.done_through;
  for (const auto& [window, content] : fixed.open) {
    auto it = tries_.find(window);
    if (it == tries_.end() || !it->second.accepted) return done;
    done = window;
  }
  return done;
}

}  // namespace medlarwalk
