// Tests of the count of a process's own work at each engine.
#include "own_engine_work.h"

#include "CppUTest/TestHarness.h"

using namespace medlarwalk;

namespace {

UpstreamState Engine(EngineKey key) {
  UpstreamState u;
  u.engine_key = key;
  return u;
}

AttemptWork Stream(int level, int64_t tokens, Millis gap_target) {
  AttemptWork w;
  w.level = level;
  w.pending_prefill = tokens;
  w.memory_tokens = tokens + 100;
  w.gap_target = gap_target;
  return w;
}

}  // namespace

TEST_GROUP(own_engine_work){};

// Guards against work that stays counted after its request has ended before
// or after the first event: other entries would avoid an idle engine.
TEST(own_engine_work, EveryEndLeavesNothingBehind) {
  UpstreamState u = Engine(7);
  AttemptWork a = Stream(0, 600, Millis(200));
  AttemptWork b = Stream(2, 9000, Millis(800));
  CountSentWork(&a, u);
  CountSentWork(&b, u);
  LONGS_EQUAL(600, u.own_work.pending_prefill[0]);
  LONGS_EQUAL(9000, u.own_work.pending_prefill[2]);
  LONGS_EQUAL(2, u.own_work.awaiting_first_event);
  LONGS_EQUAL(200, u.own_work.tightest_gap_target.count());
  CountFirstEvent(&a, u);
  CountFirstEvent(&a, u);
  LONGS_EQUAL(0, u.own_work.pending_prefill[0]);
  LONGS_EQUAL(1, u.own_work.generating);
  CountEndedWork(&a, u);
  CountEndedWork(&a, u);
  LONGS_EQUAL(800, u.own_work.tightest_gap_target.count());
  CountEndedWork(&b, u);
  CHECK_TRUE(u.own_work.empty());
  LONGS_EQUAL(0, u.own_work.tightest_gap_target.count());
}

// Guards against negative counts when a request of the earlier incarnation
// ends after the engine has restarted under its id.
TEST(own_engine_work, AnAttemptAtAnEarlierIncarnationIsNotSubtracted) {
  UpstreamState u = Engine(7);
  AttemptWork a = Stream(1, 600, Millis(200));
  CountSentWork(&a, u);
  UpstreamState restarted = Engine(8);
  CountFirstEvent(&a, restarted);
  CountEndedWork(&a, restarted);
  CHECK_TRUE(restarted.own_work.empty());
}
