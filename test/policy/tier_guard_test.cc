// Which tiers may begin work while others are turned away.
#include "tier_guard.h"

#include <random>

#include "CppUTest/TestHarness.h"
#include "reading_gate.h"

using namespace medlarwalk;

namespace {

constexpr TierGuardPolicy kPolicy;
const TimePoint kNow = TimePoint{} + std::chrono::seconds(100);

}  // namespace

TEST_GROUP(tier_guard){};

// Symptom: 74% of a tier are refused while the tier below it begins work every
// second. Load pattern: a burst of six times the traffic at one entry; requests
// of tier 1 wait for 80 ms, those of tier 2 for 150 ms. Sequence: all of tier 1
// that wait give up; the place that comes free next finds only tier 2 waiting.
// A tier that is being turned away keeps what is less urgent out.
TEST(tier_guard, NoPlaceGoesToALessUrgentTierWhileOneIsTurnedAway) {
  for (bool guarded : {false, true}) {
    std::mt19937 random(7);
    TierGuard guard(kPolicy);
    struct Waiting {
      Tier tier;
      TimePoint until;
    };
    std::vector<Waiting> room;
    int begun[3] = {};
    int refused[3] = {};
    TimePoint now = kNow;
    for (int ms = 0; ms < 10000; ++ms, now += Millis(1)) {
      if (random() % 38 == 0) room.push_back({1, now + Millis(80)});
      if (random() % 27 == 0) room.push_back({2, now + Millis(150)});
      std::stable_sort(room.begin(), room.end(),
                       [](auto& a, auto& b) { return a.tier < b.tier; });
      for (size_t i = 0; i < room.size();) {
        if (now < room[i].until) {
          ++i;
          continue;
        }
        guard.NoteTurnedAway(room[i].tier, now);
        ++refused[room[i].tier];
        room.erase(room.begin() + static_cast<long>(i));
      }
      bool place = random() % 80 == 0;
      if (!place || room.empty()) continue;
      Tier first = room[0].tier;
      if (guarded && !guard.Admits(first, now)) continue;
      guard.NotePlace(first, now);
      ++begun[first];
      room.erase(room.begin());
    }
    CHECK_TRUE(refused[1] > 100);
    if (guarded) {
      CHECK_TRUE(begun[2] <= 2);  // Before the first was turned away.
    } else {
      CHECK_TRUE(begun[2] > 5);
    }
  }
}

// What is as urgent, or more, is not kept out.
TEST(tier_guard, MoreUrgentTiersGoOn) {
  TierGuard guard(kPolicy);
  CHECK_TRUE(guard.Admits(5, kNow));
  for (int i = 0; i < 5; ++i) guard.NoteTurnedAway(2, kNow);
  Tier tier = 0;
  CHECK_TRUE(guard.TurningAway(kNow, &tier));
  CHECK_EQUAL(2, tier);
  CHECK_TRUE(guard.Admits(0, kNow));
  CHECK_TRUE(guard.Admits(2, kNow));
  CHECK_FALSE(guard.Admits(3, kNow));
}

// Symptom: a class gets nothing for seconds though engines are free. Sequence:
// a burst of the tier above it has ended; nobody of that tier is turned away
// any more, or comes at all. Three seconds after the last the others go on.
TEST(tier_guard, ForgetsABurstSoon) {
  for (bool more_come : {false, true}) {
    TierGuard guard(kPolicy);
    for (int i = 0; i < 500; ++i) guard.NoteTurnedAway(0, kNow);
    CHECK_FALSE(guard.Admits(1, kNow + Millis(1000)));
    for (int ms = 0; more_come && ms < 3000; ms += 300) {
      guard.NotePlace(0, kNow + Millis(ms));
    }
    CHECK_TRUE(guard.Admits(1, kNow + Millis(3000)));
  }
}

// One request lost among very many keeps nobody out for long.
TEST(tier_guard, OneAmongManyIsNoBurst) {
  TierGuard guard(kPolicy);
  TimePoint now = kNow;
  for (int i = 0; i < 200; ++i) guard.NotePlace(0, now += Millis(10));
  guard.NoteTurnedAway(0, now);
  for (int i = 0; i < 20; ++i) guard.NotePlace(0, now += Millis(10));
  CHECK_TRUE(guard.Admits(1, now));
}

// When the reading limit binds, it is the least urgent prompts that wait: the
// more urgent ones still find room.
TEST(tier_guard, UrgentPromptsFindRoomWhereTheLimitBinds) {
  ReadingGatePolicy policy;
  ReadingGate gate(policy);
  gate.Sent(2);
  gate.Ended(2);
  int urgent = 0;
  for (; gate.open(1); ++urgent) gate.Sent(1);
  CHECK_TRUE(urgent >= 1.9 * policy.start);
  for (int i = 0; i < urgent; ++i) gate.Ended(1);
  int least = 0;
  for (; gate.open(2); ++least) gate.Sent(2);
  CHECK_TRUE(least <= policy.start);
}
