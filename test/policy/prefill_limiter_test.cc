// Tests of the limit of concurrent prefills of an entry.
#include "prefill_limiter.h"

#include <deque>

#include "CppUTest/TestHarness.h"

using namespace medlarwalk;

TEST_GROUP(prefill_limiter){};

// Guards against late first events of every long prompt in overload. 24 entries
// send prompts at 1.5 times the capacity of 38 engines; each entry uses a
// single engine only every few seconds. The limit must fall until first events
// are in time, and rise again only while the number of prompts is at the limit.
TEST(prefill_limiter, LimitFollowsFirstEventsOfAllEngines) {
  PrefillLimiterPolicy policy;
  PrefillLimiter limiter(policy);
  for (int i = 0; i < 100; ++i)
    limiter.RecordFirstEvent(Millis(900), Millis(1000));
  DOUBLES_EQUAL(policy.min_limit, limiter.limit(), 0.2);
  double low = limiter.limit();
  limiter.RecordFirstEvent(Millis(100), Millis(1000));
  DOUBLES_EQUAL(low, limiter.limit(), 0.001);
  for (int i = 0; i < 20; ++i) {
    while (limiter.MaySend(0)) limiter.RecordSent(0);
    limiter.RecordFirstEvent(Millis(100), Millis(1000));
  }
  CHECK_TRUE(limiter.limit() > low + 2);
}

// Guards against a class that is rejected while a less urgent class is served.
// Both classes together exceed the capacity. Less urgent prompts in flight must
// not block more urgent ones, but more urgent prompts must block less urgent
// ones.
TEST(prefill_limiter, LessUrgentPromptsDoNotBlockMoreUrgentOnes) {
  PrefillLimiterPolicy policy;
  PrefillLimiter limiter(policy);
  while (limiter.MaySend(2)) limiter.RecordSent(2);
  CHECK_TRUE(limiter.MaySend(1));
  while (limiter.MaySend(1)) limiter.RecordSent(1);
  for (int i = 0; i < 8; ++i) limiter.RecordPrefillEnd(2);
  CHECK_FALSE(limiter.MaySend(2));
  CHECK_FALSE(limiter.MaySend(1));
}

// A few late first events among many timely ones do not block prompts.
TEST(prefill_limiter, FewLateFirstEventsDoNotBlockPrompts) {
  PrefillLimiterPolicy policy;
  PrefillLimiter limiter(policy);
  for (int i = 0; i < 300; ++i) {
    while (limiter.MaySend(0)) limiter.RecordSent(0);
    limiter.RecordFirstEvent(Millis(i % 8 ? 100 : 900), Millis(1000));
  }
  CHECK_TRUE(limiter.limit() > policy.initial_limit / 2);
}

// Guards against streams that begin in time but are interrupted at their
// deadline. For a minute, twelve long prompts per second arrive at an engine
// that prefills ten per second, 100 ms each; a token decoded during a prefill
// takes ten times as long. A limit that lets prompts queue for half of their
// target would keep the engine in prefill without a break: the limit must keep
// the queue short and the engine busy.
TEST(prefill_limiter, KeepsTheQueueAtTheEngineShort) {
  constexpr auto kPrefillTime = Millis(100);
  constexpr auto kTarget = Millis(2000);
  constexpr auto kArrivalInterval = Millis(83);
  PrefillLimiter limiter(PrefillLimiterPolicy{});
  std::deque<TimePoint> queue;  // Send times of the prompts at the engine.
  TimePoint now{};
  TimePoint prefill_done{};
  Duration total_latency{};
  int prefilled = 0;
  TimePoint next_arrival{};
  for (; now < TimePoint{} + std::chrono::seconds(60); now += Millis(1)) {
    if (now >= next_arrival) {
      next_arrival += kArrivalInterval;
      if (limiter.MaySend(0)) {
        if (queue.empty()) prefill_done = now + kPrefillTime;
        limiter.RecordSent(0);
        queue.push_back(now);
      }
    }
    if (queue.empty() || now < prefill_done) continue;
    Duration took = now - queue.front();
    queue.pop_front();
    limiter.RecordPrefillEnd(0);
    limiter.RecordFirstEvent(took, kTarget);
    if (!queue.empty()) prefill_done = now + kPrefillTime;
    if (now < TimePoint{} + std::chrono::seconds(30)) continue;
    total_latency += took;
    ++prefilled;
  }
  CHECK_TRUE(prefilled > 285);  // The engine prefills at most 300 in 30 s.
  CHECK_TRUE(total_latency / prefilled < kTarget * 35 / 100);
}
