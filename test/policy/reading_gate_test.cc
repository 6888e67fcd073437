// Tests of the limit of concurrent prefills of an entry.
#include "reading_gate.h"

#include <deque>

#include "CppUTest/TestHarness.h"

using namespace medlarwalk;

TEST_GROUP(reading_gate){};

// Failure: at the highest load every long prompt is late. Load pattern: 24
// entries send prompts at 1.5 times the capacity of 38 engines; each entry uses
// a single engine only every few seconds. The limit must fall until first
// events are in time, and rise again only while the number of prompts is at the
// limit.
TEST(reading_gate, LimitFollowsFirstEventsOfAllEngines) {
  ReadingGatePolicy policy;
  ReadingGate gate(policy);
  for (int i = 0; i < 100; ++i) gate.NoteFirstEvent(Millis(900), Millis(1000));
  DOUBLES_EQUAL(policy.least, gate.limit(), 0.2);
  double low = gate.limit();
  gate.NoteFirstEvent(Millis(100), Millis(1000));
  DOUBLES_EQUAL(low, gate.limit(), 0.001);
  for (int i = 0; i < 20; ++i) {
    while (gate.open(0)) gate.Sent(0);
    gate.NoteFirstEvent(Millis(100), Millis(1000));
  }
  CHECK_TRUE(gate.limit() > low + 2);
}

// Failure: a class is rejected while a less urgent class is served. Load
// pattern: both classes together exceed the capacity. Less urgent prompts in
// flight must not block more urgent ones, but more urgent prompts must block
// less urgent ones.
TEST(reading_gate, LessUrgentPromptsDoNotBlockMoreUrgentOnes) {
  ReadingGatePolicy policy;
  ReadingGate gate(policy);
  while (gate.open(2)) gate.Sent(2);
  CHECK_TRUE(gate.open(1));
  while (gate.open(1)) gate.Sent(1);
  for (int i = 0; i < 8; ++i) gate.Ended(2);
  CHECK_FALSE(gate.open(2));
  CHECK_FALSE(gate.open(1));
}

// A few late first events among many timely ones do not block prompts.
TEST(reading_gate, FewLateFirstEventsDoNotBlockPrompts) {
  ReadingGatePolicy policy;
  ReadingGate gate(policy);
  for (int i = 0; i < 300; ++i) {
    while (gate.open(0)) gate.Sent(0);
    gate.NoteFirstEvent(Millis(i % 8 ? 100 : 900), Millis(1000));
  }
  CHECK_TRUE(gate.limit() > policy.start / 2);
}

// Failure: streams that began in time are interrupted at their deadline. Load
// pattern: for a minute, twelve long prompts per second arrive at an engine
// that prefills ten per second, 100 ms each; a token decoded during a prefill
// takes ten times as long. Cause: a limit that lets prompts queue at the engine
// for half of their target keeps the engine in prefill without a break. The
// limit must keep that queue short and the engine busy.
TEST(reading_gate, KeepsTheQueueAtTheEngineShort) {
  constexpr auto kPrefillTime = Millis(100);
  constexpr auto kTarget = Millis(2000);
  constexpr auto kArrivalInterval = Millis(83);
  ReadingGate gate(ReadingGatePolicy{});
  std::deque<TimePoint> queue;  // Send times of the prompts at the engine.
  TimePoint now{};
  TimePoint prefill_done{};
  Duration total_latency{};
  int prefilled = 0;
  TimePoint next_arrival{};
  for (; now < TimePoint{} + std::chrono::seconds(60); now += Millis(1)) {
    if (now >= next_arrival) {
      next_arrival += kArrivalInterval;
      if (gate.open(0)) {
        if (queue.empty()) prefill_done = now + kPrefillTime;
        gate.Sent(0);
        queue.push_back(now);
      }
    }
    if (queue.empty() || now < prefill_done) continue;
    Duration took = now - queue.front();
    queue.pop_front();
    gate.Ended(0);
    gate.NoteFirstEvent(took, kTarget);
    if (!queue.empty()) prefill_done = now + kPrefillTime;
    if (now < TimePoint{} + std::chrono::seconds(30)) continue;
    total_latency += took;
    ++prefilled;
  }
  CHECK_TRUE(prefilled > 285);  // At most 300 prefills fit in that time.
  CHECK_TRUE(total_latency / prefilled < kTarget * 35 / 100);
}
