// How many long prompts an entry keeps under way.
#include "reading_gate.h"

#include <deque>

#include "CppUTest/TestHarness.h"

using namespace medlarwalk;

TEST_GROUP(reading_gate){};

// Symptom: at the worst load every long prompt is late. Load pattern: 24
// entries, 38 engines, prompts for half as many again; each entry sees one
// engine every few seconds. The limit falls until first events are in time
// and rises again only while it binds.
TEST(reading_gate, FollowsTheFirstEventsOfAllEngines) {
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

// Symptom: a class is turned away while a less urgent one is served. Load
// pattern: both over capacity at once. The less urgent ones under way do not
// close the gate to the more urgent ones; the other way round they do.
TEST(reading_gate, LessUrgentOnesDoNotTurnMoreUrgentOnesAway) {
  ReadingGatePolicy policy;
  ReadingGate gate(policy);
  while (gate.open(2)) gate.Sent(2);
  CHECK_TRUE(gate.open(1));
  while (gate.open(1)) gate.Sent(1);
  for (int i = 0; i < 8; ++i) gate.Ended(2);
  CHECK_FALSE(gate.open(2));
  CHECK_FALSE(gate.open(1));
}

// Late ones among many in time do not close it.
TEST(reading_gate, AFewLateOnesDoNotCloseIt) {
  ReadingGatePolicy policy;
  ReadingGate gate(policy);
  for (int i = 0; i < 300; ++i) {
    while (gate.open(0)) gate.Sent(0);
    gate.NoteFirstEvent(Millis(i % 8 ? 100 : 900), Millis(1000));
  }
  CHECK_TRUE(gate.limit() > policy.start / 2);
}

// Symptom: streams that began in time are cut at their deadline. Load pattern:
// more long prompts than an engine reads, ten a second of 100 ms each against
// twelve, for a minute; a token made beside a prompt takes ten times as long.
// Cause: a limit that lets prompts queue at the engine for half of their target
// has it read without a pause. The limit must keep that queue short and the
// engine at work.
TEST(reading_gate, KeepsTheQueueAtTheEngineShort) {
  constexpr auto kRead = Millis(100);
  constexpr auto kTarget = Millis(2000);
  constexpr auto kComes = Millis(83);
  ReadingGate gate(ReadingGatePolicy{});
  std::deque<TimePoint> queue;  // When each was sent.
  TimePoint now{};
  TimePoint done{};
  Duration queued{};
  int read = 0;
  TimePoint comes{};
  for (; now < TimePoint{} + std::chrono::seconds(60); now += Millis(1)) {
    if (now >= comes) {
      comes += kComes;
      if (gate.open(0)) {
        if (queue.empty()) done = now + kRead;
        gate.Sent(0);
        queue.push_back(now);
      }
    }
    if (queue.empty() || now < done) continue;
    Duration took = now - queue.front();
    queue.pop_front();
    gate.Ended(0);
    gate.NoteFirstEvent(took, kTarget);
    if (!queue.empty()) done = now + kRead;
    if (now < TimePoint{} + std::chrono::seconds(30)) continue;
    queued += took;
    ++read;
  }
  CHECK_TRUE(read > 285);  // Of 300 that it can read in that time.
  CHECK_TRUE(queued / read < kTarget * 35 / 100);
}
