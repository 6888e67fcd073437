// Tests of tier admission while a tier has rejections.
#include "tier_admission.h"

#include <random>

#include "CppUTest/TestHarness.h"
#include "prefill_limiter.h"

using namespace medlarwalk;

namespace {

constexpr TierAdmissionPolicy kPolicy;
const TimePoint kNow = TimePoint{} + std::chrono::seconds(100);

}  // namespace

TEST_GROUP(tier_admission){};

// Guards against the rejection of a tier while the tier below it starts
// requests. In a burst of six times the traffic at one entry, requests of tier
// 1 wait for 80 ms and those of tier 2 for 150 ms. All waiting requests of tier
// 1 expire, and the next free slot goes to tier 2: 74% of tier 1 were rejected.
// A tier with rejections must block less urgent tiers.
TEST(tier_admission, NoSlotGoesToALessUrgentTierDuringRejections) {
  for (bool with_admission : {false, true}) {
    std::mt19937 random(7);
    TierAdmission admission(kPolicy);
    struct Waiting {
      Tier tier;
      TimePoint until;
    };
    std::vector<Waiting> queue;
    int started[3] = {};
    int rejected[3] = {};
    TimePoint now = kNow;
    for (int ms = 0; ms < 10000; ++ms, now += Millis(1)) {
      if (random() % 38 == 0) queue.push_back({1, now + Millis(80)});
      if (random() % 27 == 0) queue.push_back({2, now + Millis(150)});
      std::stable_sort(queue.begin(), queue.end(),
                       [](auto& a, auto& b) { return a.tier < b.tier; });
      for (size_t i = 0; i < queue.size();) {
        if (now < queue[i].until) {
          ++i;
          continue;
        }
        admission.RecordRejection(queue[i].tier, now);
        ++rejected[queue[i].tier];
        queue.erase(queue.begin() + static_cast<long>(i));
      }
      bool slot_free = random() % 80 == 0;
      if (!slot_free || queue.empty()) continue;
      Tier first = queue[0].tier;
      if (with_admission && !admission.MayStart(first, now)) continue;
      admission.RecordDispatch(first, now);
      ++started[first];
      queue.erase(queue.begin());
    }
    CHECK_TRUE(rejected[1] > 100);
    if (with_admission) {
      CHECK_TRUE(started[2] <= 2);  // Started before the first rejection.
    } else {
      CHECK_TRUE(started[2] > 5);
    }
  }
}

// A tier with rejections does not block itself or more urgent tiers.
TEST(tier_admission, SameAndMoreUrgentTiersContinue) {
  TierAdmission admission(kPolicy);
  CHECK_TRUE(admission.MayStart(5, kNow));
  for (int i = 0; i < 5; ++i) admission.RecordRejection(2, kNow);
  Tier tier = 0;
  CHECK_TRUE(admission.MostUrgentRejectedTier(kNow, &tier));
  CHECK_EQUAL(2, tier);
  CHECK_TRUE(admission.MayStart(0, kNow));
  CHECK_TRUE(admission.MayStart(2, kNow));
  CHECK_FALSE(admission.MayStart(3, kNow));
}

// Guards against a class that gets no slots for seconds although engines are
// free. A burst of the tier above it has ended, and that tier has no more
// rejections or no more requests at all. The blocked tiers must continue three
// seconds after the last rejection.
TEST(tier_admission, BlockEndsSoonAfterABurst) {
  for (bool more_arrive : {false, true}) {
    TierAdmission admission(kPolicy);
    for (int i = 0; i < 500; ++i) admission.RecordRejection(0, kNow);
    CHECK_FALSE(admission.MayStart(1, kNow + Millis(1000)));
    for (int ms = 0; more_arrive && ms < 3000; ms += 300) {
      admission.RecordDispatch(0, kNow + Millis(ms));
    }
    CHECK_TRUE(admission.MayStart(1, kNow + Millis(3000)));
  }
}

// A single rejection among very many requests blocks other tiers only briefly.
TEST(tier_admission, OneRejectionAmongManyDoesNotBlock) {
  TierAdmission admission(kPolicy);
  TimePoint now = kNow;
  for (int i = 0; i < 200; ++i) admission.RecordDispatch(0, now += Millis(10));
  admission.RecordRejection(0, now);
  for (int i = 0; i < 20; ++i) admission.RecordDispatch(0, now += Millis(10));
  CHECK_TRUE(admission.MayStart(1, now));
}

// When the prefill limit is reached, only the least urgent prompts wait; more
// urgent prompts may still be sent.
TEST(tier_admission, UrgentPromptsFindRoomAtThePrefillLimit) {
  PrefillLimiterPolicy policy;
  PrefillLimiter limiter(policy);
  limiter.RecordSent(2);
  limiter.RecordPrefillEnd(2);
  int urgent = 0;
  for (; limiter.MaySend(1); ++urgent) limiter.RecordSent(1);
  CHECK_TRUE(urgent >= 1.9 * policy.initial_limit);
  for (int i = 0; i < urgent; ++i) limiter.RecordPrefillEnd(1);
  int least = 0;
  for (; limiter.MaySend(2); ++least) limiter.RecordSent(2);
  CHECK_TRUE(least <= policy.initial_limit);
}
