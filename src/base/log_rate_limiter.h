// Rate limit of the log, so that a burst of events neither delays requests nor
// fills a disk.
#ifndef MEDLARWALK_LOG_RATE_LIMITER_H_
#define MEDLARWALK_LOG_RATE_LIMITER_H_

#include <algorithm>
#include <cstdint>
#include <utility>

#include "types.h"

namespace medlarwalk {

// A token bucket that counts log lines. Thread safety: loop thread only.
class LogRateLimiter {
 public:
  // Allows `rate` lines per second on average and bursts of `burst` lines.
  LogRateLimiter(double rate, double burst)
      : rate_(rate), burst_(burst), tokens_(burst) {}

  // Returns whether one more line may be written at `now`; if not, counts the
  // line as dropped. `writable` says whether the log accepts a line without
  // blocking.
  bool AllowLine(TimePoint now, bool writable) {
    Refill(now);
    if (!writable || tokens_ < 1) {
      ++dropped_;
      ++unreported_;
      return false;
    }
    tokens_ -= 1;
    return true;
  }
  // Returns whether the rate allows one more line at `now`.
  bool HasRoom(TimePoint now) {
    Refill(now);
    return tokens_ >= 1;
  }
  int64_t dropped() const { return dropped_; }
  // Returns the number of lines dropped since the last call, to be reported in
  // the log itself.
  int64_t TakeUnreported() { return std::exchange(unreported_, 0); }

 private:
  void Refill(TimePoint now) {
    if (last_refill_ != TimePoint{}) {
      tokens_ =
          std::min(burst_, tokens_ + rate_ * ToSeconds(now - last_refill_));
    }
    last_refill_ = now;
  }

  double rate_;
  double burst_;
  double tokens_;
  TimePoint last_refill_{};
  int64_t dropped_ = 0;
  int64_t unreported_ = 0;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_LOG_RATE_LIMITER_H_
