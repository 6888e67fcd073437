// Bounds what the log may write, so that a storm of events costs no request
// its time and fills no disk.
#ifndef MEDLARWALK_LOG_GATE_H_
#define MEDLARWALK_LOG_GATE_H_

#include <algorithm>
#include <cstdint>
#include <utility>

#include "types.h"

namespace medlarwalk {

// A token bucket of lines. Thread safety: loop thread only.
class LogGate {
 public:
  // `rate` lines a second in the long run, `burst` at once.
  LogGate(double rate, double burst)
      : rate_(rate), burst_(burst), tokens_(burst) {}

  // Whether one more line may be written at `now`; counts it as dropped if
  // not. `writable`: the reader of the log keeps up.
  bool Admit(TimePoint now, bool writable) {
    if (at_ != TimePoint{}) {
      tokens_ = std::min(burst_, tokens_ + rate_ * ToSeconds(now - at_));
    }
    at_ = now;
    if (!writable || tokens_ < 1) {
      ++dropped_;
      ++unreported_;
      return false;
    }
    tokens_ -= 1;
    return true;
  }
  int64_t dropped() const { return dropped_; }
  // Lines dropped since this was last asked, to be told in the log itself.
  int64_t TakeUnreported() { return std::exchange(unreported_, 0); }

 private:
  double rate_;
  double burst_;
  double tokens_;
  TimePoint at_{};
  int64_t dropped_ = 0;
  int64_t unreported_ = 0;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_LOG_GATE_H_
