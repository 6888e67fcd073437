// The time of day on which the group agrees.
//
// Load pattern: the wall clocks of some hosts jump by seconds and back. A
// process that used its own wall clock would count requests in a different
// window than all others. So the leader uses the median of the wall clocks of
// itself and its followers, and all other processes receive this time from the
// leader. Between updates the time advances with the monotonic clock.
#ifndef MEDLARWALK_GROUP_TIME_H_
#define MEDLARWALK_GROUP_TIME_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "types.h"

namespace medlarwalk {

// Interface to a host's wall clock, in milliseconds since the Unix epoch. Users
// receive it as a parameter, as with Clock, so that tests can replace it.
class WallClock {
 public:
  virtual ~WallClock() = default;
  virtual Millis UnixNow() const = 0;
};

// The wall clock of the operating system.
class SystemWallClock : public WallClock {
 public:
  Millis UnixNow() const override;
};

// Estimates the group's time. Thread safety: loop thread only.
class GroupTime {
 public:
  // Records that the wall clock of process `from` (which may be this process)
  // showed `unix_ms` at `now`.
  void RecordSample(const std::string& from, int64_t unix_ms, TimePoint now);
  // Records the group's time, received at `now` from the process that this one
  // follows. UnixMsAt() prefers received times to samples. A process that has
  // become the leader receives no more times: once its latest sample was
  // recorded more than kReceivedTrust after the latest received time,
  // UnixMsAt() uses the samples.
  void RecordReceivedTime(int64_t unix_ms, TimePoint now);
  // Returns the group's time at `at`, in milliseconds since the Unix epoch;
  // nullopt before any time was recorded.
  std::optional<int64_t> UnixMsAt(TimePoint at) const;

 private:
  // Samples and received times older than this are dropped.
  static constexpr auto kSampleTrust = std::chrono::seconds(5);
  // Received times are not used once the latest one is older than the latest
  // sample by more than this.
  static constexpr auto kReceivedTrust = std::chrono::seconds(2);
  struct Sample {
    int64_t offset_ms = 0;  // Wall clock minus monotonic clock.
    TimePoint at{};         // When the offset was recorded.
  };
  std::map<std::string, Sample> samples_;
  // Median offset of the samples, in ms.
  std::optional<int64_t> median_offset_;
  TimePoint median_at_{};  // When the median was computed.
  // Recently received times. Transit only makes a received time appear too
  // early, so the received time with the largest offset had the shortest
  // transit and is the most accurate.
  std::deque<Sample> received_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_GROUP_TIME_H_
