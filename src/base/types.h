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

// Source of time for every decision that depends on it. Passed in through
// constructors so that tests drive time by hand. Thread safety: each
// implementation is read from the one loop thread only.
class Clock {
 public:
  virtual ~Clock() = default;
  // The current monotonic time.
  virtual TimePoint Now() const = 0;
};

// The process clock: std::chrono::steady_clock.
class SteadyClock : public Clock {
 public:
  TimePoint Now() const override { return std::chrono::steady_clock::now(); }
};

// A monotonic clock that goes on counting while the machine is suspended
// (CLOCK_BOOTTIME). Leases and freshness are judged by it: on steady_clock a
// frozen and woken process would believe that no time had passed and act on a
// lease that ended long ago.
class BootClock : public Clock {
 public:
  TimePoint Now() const override {
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return TimePoint(std::chrono::seconds(ts.tv_sec) +
                     std::chrono::nanoseconds(ts.tv_nsec));
  }
};

// A clock that moves only when told to; for tests and the bench.
class ManualClock : public Clock {
 public:
  TimePoint Now() const override { return now_; }
  // Moves time forward by `d`; `d` must not be negative.
  void Advance(Duration d) { now_ += d; }

 private:
  TimePoint now_{};
};

// Milliseconds of `d`, rounded down.
inline int64_t ToMs(Duration d) {
  return std::chrono::duration_cast<Millis>(d).count();
}

// Seconds of `d`, for libev timers.
inline double ToSeconds(Duration d) {
  return std::chrono::duration<double>(d).count();
}

// `seconds` from outside as a Duration, a year either way at most: beyond what
// a Duration holds the conversion is undefined. No number is no time.
inline Duration BoundedSeconds(double seconds) {
  constexpr double kYear = 365.0 * 24 * 3600;
  if (std::isnan(seconds)) return Duration::zero();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::clamp(seconds, -kYear, kYear)));
}

// The same for milliseconds.
inline Duration BoundedMs(double ms) { return BoundedSeconds(ms / 1000); }

// Header fields in the order received, names as written by the sender.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

// A tier orders classes of work: 0 is the most protected. A request of a
// lower tier (higher number) is never served in place of a higher one except
// through the starvation bound.
using Tier = int;

// Identifies one caller request across entry, agent and logs.
using RequestId = uint64_t;

// Limits on what callers may send and how long they may take.
struct CallerLimits {
  uint32_t header_bytes = 16384;
  uint64_t body_bytes = 4194304;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

// A hash that is the same in every process and every run (xxHash, XXH3).
// Routing and the at-most-once ledger need this: absl::Hash is seeded anew in
// each process, so two entries would send one idempotency key to different
// agents, and a restarted agent would not know its own fingerprints.
inline uint64_t StableHash(absl::string_view data, uint64_t seed = 0) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

// Header names of the callers' API (toward the entry).
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

// Upper bound on any request body the entry accepts, in bytes.
inline constexpr size_t kMaxBodyBytes = 1 << 20;

// Upper bound on any body between our own processes, in bytes: a whole
// configuration (4 MiB at most) with its framing.
inline constexpr size_t kMaxLinkBodyBytes = 8 << 20;

}  // namespace medlarwalk

#endif  // MEDLARWALK_TYPES_H_
