// Tests of the estimate of a process's share in the work of a service.
#include "work_share.h"

#include "CppUTest/TestHarness.h"
#include "prefill_limiter.h"

using namespace medlarwalk;

namespace {

constexpr int kProcesses = 24;
constexpr double kMaxRejectedShare = 0.03;

}  // namespace

TEST_GROUP(work_share) {
  void Record(double own, double total, int ms) {
    for (int i = 0; i < ms; i += 100) {
      now += Millis(100);
      share.Record(own, total, now);
    }
  }
  WorkShare share;
  TimePoint now{std::chrono::hours(10)};
};

// Guards against limits of an equal share at the one entry that gets most
// connections, and against limits that stay high after that.
TEST(work_share, LimitsFollowTheShareOfOneBusyProcess) {
  Record(3, 70, 5000);
  DOUBLES_EQUAL(1, share.LimitFactor(kProcesses), 0.01);
  Record(60, 70, 3000);
  CHECK_TRUE(share.LimitFactor(kProcesses) > 8);
  Record(3, 70, 4000);
  DOUBLES_EQUAL(1, share.LimitFactor(kProcesses), 0.01);
}

// Guards against higher limits at each of many entries when a burst begins:
// until then each saw hardly more than its own requests.
TEST(work_share, LimitsStayWhenABurstComesToAllProcesses) {
  Record(2, 3, 5000);
  for (int step = 1; step <= 30; ++step) {
    Record(2.0 * step, 40.0 * step, 100);
    DOUBLES_EQUAL(1, share.LimitFactor(kProcesses), 0.01);
  }
}

// Guards against higher limits at an entry that sends to few of the upstreams
// and has reports of these only, which hold little but its own requests.
TEST(work_share, UpstreamsWithoutReportsCountToo) {
  ServiceLoad load;
  load.own = 24;
  load.reported = 27;
  load.reporting_upstreams = 3;
  load.upstreams = 60;
  DOUBLES_EQUAL(540, EstimateTotal(load), 0.01);
  Record(load.own, EstimateTotal(load), 5000);
  DOUBLES_EQUAL(1, share.LimitFactor(kProcesses), 0.01);
}

TEST(work_share, UnevenCallersAreTolerated) {
  Record(20, 300, 5000);
  DOUBLES_EQUAL(1, share.LimitFactor(kProcesses), 0.01);
}

// Replays one entry with the long prompts of all 24, 90 a second, while a
// quarter of the first events are late by nature. Guards against a limit that
// stays at what it is in an entry with a 24th of them.
TEST(work_share, ReplayOfOneEntryWithAllPrompts) {
  // Returns the share of the prompts that are rejected from the fourth second
  // on.
  auto rejected_share = [&](bool by_share) {
    PrefillLimiter limiter{PrefillLimiterPolicy()};
    double rejections = 0;
    int arrivals = 0;
    int first_events = 0;
    for (int step = 0; step < 300; ++step) {
      now += Millis(100);
      share.Record(limiter.in_flight(), limiter.in_flight() * 1.1, now);
      if (by_share) limiter.set_factor(share.LimitFactor(kProcesses));
      for (int arrival = 0; arrival < 9; ++arrival) {
        bool sent = limiter.MaySend(0);
        if (sent) limiter.RecordSent(0);
        arrivals += step > 40;
        rejections += !sent && step > 40;
      }
      for (int ends = (limiter.in_flight() + 3) / 4; ends > 0; --ends) {
        limiter.RecordPrefillEnd(0);
        bool late = ++first_events % 4 == 0;
        limiter.RecordFirstEvent(Millis(late ? 700 : 200), Millis(2000));
      }
    }
    return rejections / arrivals;
  };
  CHECK_TRUE(rejected_share(false) > kMaxRejectedShare);
  CHECK_TRUE(rejected_share(true) <= kMaxRejectedShare);
}
