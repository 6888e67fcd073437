// The log is bounded and says so.
#include "CppUTest/TestHarness.h"
#include "log_gate.h"

using namespace medlarwalk;

TEST_GROUP(log){};

// Symptom: a storm of events takes the processor from the requests it tells
// of, or a reader that has stopped holds the process up. Past the limit, or
// while the reader does not keep up, lines are dropped and counted; the count
// is told once.
TEST(log, IsBoundedAndCountsWhatItDrops) {
  TimePoint now(std::chrono::hours(1));
  LogGate gate(100, 10);
  int written = 0;
  for (int i = 0; i < 50; ++i) written += gate.Admit(now, true);
  LONGS_EQUAL(10, written);
  LONGS_EQUAL(40, gate.dropped());
  LONGS_EQUAL(40, gate.TakeUnreported());
  LONGS_EQUAL(0, gate.TakeUnreported());
  now += std::chrono::milliseconds(50);
  written = 0;
  for (int i = 0; i < 50; ++i) written += gate.Admit(now, true);
  LONGS_EQUAL(5, written);
  now += std::chrono::seconds(1);
  CHECK_FALSE(gate.Admit(now, false));
  CHECK_TRUE(gate.Admit(now, true));
}
