// True time as the group has it.
//
// Load pattern: the time of day jumps by seconds on some hosts, and back. A
// process that believed its own would count requests under another window than
// all others. So nobody does: the leader takes the middle of what those who
// follow it tell, and everyone else takes it from the leader; between two
// tellings the monotonic clock goes on.
#ifndef MEDLARWALK_GROUP_TIME_H_
#define MEDLARWALK_GROUP_TIME_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "types.h"

namespace medlarwalk {

// A host's time of day, in milliseconds since the start of 1970. Passed in, as
// Clock is.
class WallClock {
 public:
  virtual ~WallClock() = default;
  virtual Millis UnixNow() const = 0;
};

class SystemWallClock : public WallClock {
 public:
  Millis UnixNow() const override;
};

// Thread safety: loop thread only.
class GroupTime {
 public:
  // At `now`, `from` (this process among them) told that its time of day is
  // `unix_ms`.
  void NoteSample(const std::string& from, int64_t unix_ms, TimePoint now);
  // At `now`, the process that is followed told the group's time. It goes
  // before samples until these are newer by kToldTrust: this process has begun
  // to lead.
  void NoteTold(int64_t unix_ms, TimePoint now);
  // Milliseconds since the start of 1970 at `at`; nullopt before anything was
  // told.
  std::optional<int64_t> UnixMs(TimePoint at) const;

 private:
  // A sample counts for this long.
  static constexpr auto kSampleTrust = std::chrono::seconds(5);
  static constexpr auto kToldTrust = std::chrono::seconds(2);
  struct Sample {
    int64_t offset_ms = 0;  // Time of day less the monotonic clock.
    TimePoint at{};
  };
  std::map<std::string, Sample> samples_;
  std::optional<int64_t> middle_;  // Of the samples' offsets.
  TimePoint middle_at_{};
  // Told of late. The way here only ever makes what is told seem earlier: the
  // one furthest ahead came by the fastest way.
  std::deque<Sample> told_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_GROUP_TIME_H_
