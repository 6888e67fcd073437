// Tests of the choice of an engine by predicted times.
#include "timed_placement.h"

#include "CppUTest/TestHarness.h"

using namespace medlarwalk;

TEST_GROUP(timed_placement) {
  std::mt19937_64 random{3};
  std::vector<TimedEngine> engines;
  TimedRequest prompt;
  UnseenWork unseen;
  void setup() override {
    engines.assign(12, {});
    for (TimedEngine& e : engines) {
      e.slots = 96;
      e.memory_tokens = 100000;
      e.own_tokens = 2000;
    }
    prompt.level = 1;
    prompt.target_ms = prompt.left_ms = 300;
    prompt.gap_target_ms = 300;
  }
  TimedDecision Choose() {
    return ChooseEngine(absl::MakeSpan(engines), prompt, unseen, random,
                        TimedPolicy{});
  }
};

// Guards against an engine that is given more than its memory holds and
// preempts running requests.
TEST(timed_placement, AnEngineWithFullMemoryGetsNothing) {
  for (TimedEngine& e : engines) e.work.memory_tokens = 89000;
  engines[7].work.memory_tokens = 20000;
  for (int i = 0; i < 20; ++i) LONGS_EQUAL(7, Choose().engine);
  engines[7].work.memory_tokens = 89000;
  TimedDecision d = Choose();
  CHECK_TRUE(d.ruling == TimedRuling::kWait);
  LONGS_EQUAL(12, d.ruled_out.memory);
}

// Guards against the rejection of the most urgent tier while slots are free,
// and against a less urgent request that waits although no engine can serve it.
TEST(timed_placement, LateEnginesServeOnlyTheMostUrgentTier) {
  for (TimedEngine& e : engines) e.work.pending_prefill[0] = 12000;
  TimedDecision d = Choose();
  CHECK_TRUE(d.ruling == TimedRuling::kReject);
  LONGS_EQUAL(12, d.ruled_out.first_event);
  // 12,000 and 2,000 tokens at 30 a millisecond, the fixed part of 20 ms, and
  // 0.8 of the target.
  LONGS_EQUAL(246, ToMs(*d.delay));
  prompt.level = 0;
  CHECK_TRUE(Choose().ruling == TimedRuling::kSend);
}

// Guards against prompts at the engines that hold streams with short gaps.
TEST(timed_placement, PromptsLeavePackedStreamsAlone) {
  unseen.packed_gap_ms = 200;
  for (size_t i = 0; i < 2; ++i) {
    engines[i].work.generating = 40;
    engines[i].work.tightest_gap_target = Millis(200);
  }
  for (int i = 0; i < 50; ++i) CHECK_TRUE(Choose().engine >= 5);
  prompt.packed = true;
  prompt.gap_target_ms = 200;
  for (TimedEngine& e : engines) e.own_tokens = 100;
  for (int i = 0; i < 50; ++i) CHECK_TRUE(Choose().engine < 2);
}
