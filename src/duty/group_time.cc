#include "group_time.h"

#include <algorithm>
#include <vector>

namespace medlarwalk {
namespace {

int64_t MonotonicMs(TimePoint t) { return ToMs(t.time_since_epoch()); }

}  // namespace

Millis SystemWallClock::UnixNow() const {
  return std::chrono::duration_cast<Millis>(
      std::chrono::system_clock::now().time_since_epoch());
}

void GroupTime::RecordSample(const std::string& from, int64_t unix_ms,
                             TimePoint now) {
  samples_[from] = {unix_ms - MonotonicMs(now), now};
  std::vector<int64_t> offsets;
  for (auto it = samples_.begin(); it != samples_.end();) {
    if (now - it->second.at > kSampleTrust) {
      it = samples_.erase(it);
      continue;
    }
    offsets.push_back(it->second.offset_ms);
    ++it;
  }
  auto median =
      offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), median, offsets.end());
  median_offset_ = *median;
  median_at_ = now;
}

void GroupTime::RecordReceivedTime(int64_t unix_ms, TimePoint now) {
  while (!received_.empty() && now - received_.front().at > kSampleTrust) {
    received_.pop_front();
  }
  received_.push_back({unix_ms - MonotonicMs(now), now});
}

std::optional<int64_t> GroupTime::UnixMsAt(TimePoint at) const {
  bool use_received =
      !received_.empty() &&
      (!median_offset_ || median_at_ - received_.back().at <= kReceivedTrust);
  if (!use_received && !median_offset_) return std::nullopt;
  if (!use_received) return MonotonicMs(at) + *median_offset_;
  auto fastest = std::max_element(received_.begin(), received_.end(),
                                  [](const Sample& a, const Sample& b) {
                                    return a.offset_ms < b.offset_ms;
                                  });
  return MonotonicMs(at) + fastest->offset_ms;
}

}  // namespace medlarwalk
