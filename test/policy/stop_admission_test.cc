// Tests of the requests that a stopping process takes.
#include "stop_admission.h"

#include <algorithm>
#include <random>
#include <vector>

#include "CppUTest/TestHarness.h"

using namespace medlarwalk;

namespace {

constexpr auto kGrace = Millis(7750);
constexpr auto kPlainTarget = Millis(150);
const TimePoint kBegan = TimePoint{} + std::chrono::hours(1);
const PlannedStop kStop = {kBegan, kBegan + kGrace};

// A request of the load pattern: when it is complete, and how long its upstream
// works on it.
struct Arrival {
  Duration at;
  Duration work;
  StopCandidate candidate;
};

StopCandidate Stream(Duration at, Duration time_limit) {
  return {true, WorkShape::kPrefill, Millis(1200), kBegan + at + time_limit};
}
StopCandidate Plain(Duration at, Duration time_limit) {
  return {false, WorkShape::kPlain, kPlainTarget, kBegan + at + time_limit};
}
bool Takes(const StopCandidate& c, Duration at) {
  return MayTakeWhileStopping(c, kStop, kBegan + at);
}

// Returns the requests that reach a stopping process: new connections for a
// while, slow bodies and kept connections all the time. Streams last from a
// tenth of a second to their deadline.
std::vector<Arrival> LoadOfAStop(uint64_t seed) {
  constexpr int kRequests = 400;
  std::mt19937_64 random(seed);
  auto below = [&](int n) {
    return Millis(std::uniform_int_distribution<int>(0, n - 1)(random));
  };
  const Millis limits[] = {Millis(1500), Millis(4000), Millis(6000),
                           Millis(15'000)};
  std::vector<Arrival> out;
  for (int i = 0; i < kRequests; ++i) {
    Duration at = below(2) == Millis(0) ? below(2500) : below(7750);
    Millis limit = limits[below(4).count()];
    if (below(3) == Millis(0)) {
      out.push_back(
          {at, std::min<Duration>(limit, below(300)), Plain(at, limit)});
    } else {
      Duration work = Millis(100) + below(static_cast<int>(limit.count()));
      out.push_back({at, std::min<Duration>(limit, work), Stream(at, limit)});
    }
  }
  return out;
}

}  // namespace

TEST_GROUP(stop_admission){};

// Guards against requests that are taken during a stop and cut at its end.
TEST(stop_admission, NothingTakenIsCutAtTheEndOfTheStop) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    int taken = 0;
    for (const Arrival& a : LoadOfAStop(seed)) {
      if (!Takes(a.candidate, a.at)) continue;
      ++taken;
      CHECK_TRUE(a.at + a.work <= kGrace);
    }
    CHECK_TRUE(taken > 100);
  }
}

// Guards against refusing requests that surely end in time.
TEST(stop_admission, TakesWhatItsDeadlineEndsInTime) {
  CHECK_TRUE(Takes(Stream(Millis(0), Millis(6000)), Millis(0)));
  CHECK_TRUE(Takes(Stream(Millis(3750), Millis(4000)), Millis(3750)));
  CHECK_FALSE(Takes(Stream(Millis(3751), Millis(4000)), Millis(3751)));
  CHECK_TRUE(Takes(Plain(Millis(6000), Millis(1500)), Millis(6000)));
  CHECK_FALSE(Takes(Plain(Millis(6500), Millis(1500)), Millis(6500)));
}

// Guards against refusing the plain requests that the load balancer still sends
// because their timeout is long.
TEST(stop_admission, TakesQuickPlainRequestsWhileTheyAreRoutedHere) {
  CHECK_TRUE(Takes(Plain(Millis(1000), Millis(30'000)), Millis(1000)));
  CHECK_FALSE(Takes(Plain(Millis(3000), Millis(30'000)), Millis(3000)));
  StopCandidate slow = Plain(Millis(1000), Millis(30'000));
  slow.latency_target = Millis(1000);
  CHECK_FALSE(Takes(slow, Millis(1000)));
}

// Guards against long generations that a process takes whose stop has no end.
TEST(stop_admission, AStopWithoutAnEndRefusesLongGenerationsOnly) {
  PlannedStop open = {kBegan, std::nullopt};
  StopCandidate c = Stream(Millis(0), Millis(60'000));
  CHECK_TRUE(MayTakeWhileStopping(c, open, kBegan));
  c.shape = WorkShape::kDecode;
  CHECK_FALSE(MayTakeWhileStopping(c, open, kBegan));
}

// Guards against a route that states no latency target counting as one that
// answers at once: its plain requests were taken however long they may last.
TEST(stop_admission, APlainRequestWithoutALatencyTargetNeedsItsDeadlineInTime) {
  StopCandidate c = Plain(Millis(1000), Millis(30'000));
  c.latency_target = Duration::zero();
  CHECK_FALSE(Takes(c, Millis(1000)));
  c.deadline = kBegan + kGrace;
  CHECK_TRUE(Takes(c, Millis(1000)));
}
