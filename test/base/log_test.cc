// Tests of the rate limit of the log.
#include "CppUTest/TestHarness.h"
#include "log_rate_limiter.h"

using namespace medlarwalk;

TEST_GROUP(log){};

// Guards against a burst of log events that takes CPU time from requests, and
// against a stalled reader of the log that blocks the process. Lines are
// dropped when they exceed the rate limit or when the reader does not keep up.
// The number of dropped lines is reported once.
TEST(log, LimitsLinesAndCountsDroppedLines) {
  TimePoint now(std::chrono::hours(1));
  LogRateLimiter log_rate_limiter(100, 10);
  int written = 0;
  for (int i = 0; i < 50; ++i) written += log_rate_limiter.AllowLine(now, true);
  LONGS_EQUAL(10, written);
  LONGS_EQUAL(40, log_rate_limiter.dropped());
  LONGS_EQUAL(40, log_rate_limiter.TakeUnreported());
  LONGS_EQUAL(0, log_rate_limiter.TakeUnreported());
  now += std::chrono::milliseconds(50);
  written = 0;
  for (int i = 0; i < 50; ++i) written += log_rate_limiter.AllowLine(now, true);
  LONGS_EQUAL(5, written);
  now += std::chrono::seconds(1);
  CHECK_FALSE(log_rate_limiter.AllowLine(now, false));
  CHECK_TRUE(log_rate_limiter.AllowLine(now, true));
}

// Guards against a process that ends although its last line would be dropped.
TEST(log, TellsWhetherALineWouldBeDropped) {
  TimePoint now(std::chrono::hours(1));
  LogRateLimiter log_rate_limiter(100, 1);
  CHECK_TRUE(log_rate_limiter.HasRoom(now));
  CHECK_TRUE(log_rate_limiter.AllowLine(now, true));
  CHECK_FALSE(log_rate_limiter.HasRoom(now));
  LONGS_EQUAL(0, log_rate_limiter.dropped());
  CHECK_TRUE(log_rate_limiter.HasRoom(now + std::chrono::milliseconds(10)));
}
