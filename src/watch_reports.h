// What a process tells of itself and of those who follow it with each watch,
// beside what it asks for.
#ifndef MEDLARWALK_WATCH_REPORTS_H_
#define MEDLARWALK_WATCH_REPORTS_H_

#include <string>

#include "control_wire.h"
#include "group_time.h"
#include "limit_book.h"
#include "quarantine.h"
#include "usage_book.h"

namespace medlarwalk {

// Thread safety: loop thread only.
class WatchReports {
 public:
  // Precondition: all outlive this.
  WatchReports(const Quarantine& quarantine, const LimitBook& limits,
               const UsageBook& usage, const WallClock& wall)
      : crashes_(quarantine),
        limits_(limits),
        usage_(usage, kUsageInterval),
        wall_(wall) {}

  // Sets in `r` what `target` has not confirmed.
  void Fill(const std::string& target, TimePoint now, WatchRequest* r);
  // The target has taken what was filled in last.
  void Confirmed();
  // The target failed: it may come back with nothing.
  void Lost();
  // There is something that the target should know at once.
  bool urgent() const { return crashes_.waiting() || limits_.waiting(); }

 private:
  // What of usage may be lost with a process that is killed.
  static constexpr auto kUsageInterval = Millis(300);

  CrashReports crashes_;
  LimitReports limits_;
  UsageReports usage_;
  const WallClock& wall_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_WATCH_REPORTS_H_
