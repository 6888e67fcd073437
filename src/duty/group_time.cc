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

void GroupTime::NoteSample(const std::string& from, int64_t unix_ms,
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
  auto middle =
      offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  middle_ = *middle;
  middle_at_ = now;
}

void GroupTime::NoteTold(int64_t unix_ms, TimePoint now) {
  while (!told_.empty() && now - told_.front().at > kSampleTrust) {
    told_.pop_front();
  }
  told_.push_back({unix_ms - MonotonicMs(now), now});
}

std::optional<int64_t> GroupTime::UnixMs(TimePoint at) const {
  bool told = !told_.empty() &&
              (!middle_ || middle_at_ - told_.back().at <= kToldTrust);
  if (!told && !middle_) return std::nullopt;
  if (!told) return MonotonicMs(at) + *middle_;
  auto ahead = std::max_element(told_.begin(), told_.end(),
                                [](const Sample& a, const Sample& b) {
                                  return a.offset_ms < b.offset_ms;
                                });
  return MonotonicMs(at) + ahead->offset_ms;
}

}  // namespace medlarwalk
