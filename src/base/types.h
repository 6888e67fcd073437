// Core types and constants shared by every subsystem of medlarwalk.
#ifndef MEDLARWALK_TYPES_H_
#define MEDLARWALK_TYPES_H_

#include <time.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "xxhash.h"

namespace medlarwalk {

using Duration = std::chrono::steady_clock::duration;
using TimePoint = std::chrono::steady_clock::time_point;
using Millis = std::chrono::milliseconds;

// Stands for "never": before any time of a clock, also before the start of the
// host, and far enough from the limits of TimePoint for differences.
inline constexpr TimePoint kNever{-std::chrono::hours(24 * 365 * 100)};

// Source of time for every decision that depends on it. Passed in through
// constructors so that tests control time. Thread safety: loop thread only.
class Clock {
 public:
  virtual ~Clock() = default;
  // Returns the current monotonic time.
  virtual TimePoint Now() const = 0;
};

// The process clock: std::chrono::steady_clock.
class SteadyClock : public Clock {
 public:
  TimePoint Now() const override { return std::chrono::steady_clock::now(); }
};

// A monotonic clock that keeps counting while the host is suspended
// (CLOCK_BOOTTIME). Used for leases and for the age of data.
// std::chrono::steady_clock stops during a suspension: a process that resumes
// would measure no elapsed time and act on a lease that has expired.
class BootClock : public Clock {
 public:
  TimePoint Now() const override {
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return TimePoint(std::chrono::seconds(ts.tv_sec) +
                     std::chrono::nanoseconds(ts.tv_nsec));
  }
};

// A clock that moves only on Advance(); for tests and the bench.
class ManualClock : public Clock {
 public:
  TimePoint Now() const override { return now_; }
  // Moves time forward by `d`; `d` must not be negative.
  void Advance(Duration d) { now_ += d; }

 private:
  TimePoint now_{};
};

// Converts `d` to milliseconds, rounded toward zero.
inline int64_t ToMs(Duration d) {
  return std::chrono::duration_cast<Millis>(d).count();
}

// Converts `d` to seconds, the unit of libev timers.
inline double ToSeconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}

// Converts `seconds` from an untrusted source to a Duration, clamped to one
// year in either direction: conversion of a value outside the range of Duration
// is undefined. NaN becomes zero.
inline Duration ClampedSeconds(double seconds) {
  constexpr double kYear = 365.0 * 24 * 3600;
  if (std::isnan(seconds)) return Duration::zero();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::clamp(seconds, -kYear, kYear)));
}

// Converts `ms` from an untrusted source to a Duration, clamped as in
// ClampedSeconds().
inline Duration ClampedMs(double ms) { return ClampedSeconds(ms / 1000); }

// Header fields in the order received, with names as the sender wrote them.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

// The priority of a class of work: tier 0 is the highest. A request of a lower
// tier (higher number) is served before a request of a higher tier only after
// it has waited for the starvation bound.
using Tier = int;

// Identifies one request of a caller across entry, agent and logs.
using RequestId = uint64_t;

// Limits on the size of callers' requests and on the time to send them.
struct CallerLimits {
  uint32_t header_bytes = 16384;
  uint64_t body_bytes = 4194304;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

// Returns a hash (xxHash, XXH3) that is the same in every process and every
// run. Routing and the at-most-once ledger depend on that. absl::Hash is
// unsuitable because it is seeded per process: two entries would send one
// idempotency key to different agents, and a restarted agent would not
// recognize its stored fingerprints.
inline uint64_t StableHash(absl::string_view data, uint64_t seed = 0) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

// Header names of the API that entries offer to callers.
inline constexpr char kHeaderAccount[] = "X-Client-Account";
inline constexpr char kHeaderClass[] = "X-Class";
inline constexpr char kHeaderIdempotencyKey[] = "Idempotency-Key";
inline constexpr char kHeaderDeadlineMs[] = "X-Deadline-Ms";
inline constexpr char kHeaderNotRepeatable[] = "X-Not-Repeatable";

// Header names of the entry-to-agent protocol (HTTP/2, lower case as HTTP/2
// requires).
inline constexpr char kH2Upstream[] = "mw-upstream";
inline constexpr char kH2RequestId[] = "mw-request-id";
inline constexpr char kH2IdempotencyKey[] = "mw-idempotency-key";
inline constexpr char kH2Started[] = "mw-started";
inline constexpr char kH2ErrorKind[] = "mw-error";
inline constexpr char kH2UpstreamEnd[] = "mw-upstream-end";
inline constexpr char kH2Fencing[] = "mw-fencing";
inline constexpr char kH2NotRepeatable[] = "mw-not-repeatable";

// Largest request body that an entry accepts, in bytes.
inline constexpr size_t kMaxBodyBytes = 1 << 20;

// Largest body of a message between medlarwalk's own processes, in bytes: a
// full configuration (4 MiB at most) with its framing.
inline constexpr size_t kMaxLinkBodyBytes = 8 << 20;
// Limit of the bodies that are arriving on all streams of a server, in bytes.
inline constexpr size_t kMaxLinkBodiesBytes = 4 * kMaxLinkBodyBytes;

}  // namespace medlarwalk

#endif  // MEDLARWALK_TYPES_H_
