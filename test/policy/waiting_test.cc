// Tests of the waiting queue: the serving order, and which requests are
// rejected or shed. Rejection is immediate, never hits a tier for a less urgent
// one, and no request starves.
#include "waiting.h"

#include <map>
#include <random>

#include "CppUTest/TestHarness.h"
#include "errors.h"

using namespace medlarwalk;

namespace {

constexpr Tier kTop = 0;
constexpr Tier kLow = 3;
constexpr char kService[] = "s";

// A queue with one service and a manual clock.
struct Rig {
  explicit Rig(WaitingPolicy policy) : queue(policy) {
    clock.Advance(std::chrono::hours(1));
  }
  absl::Status Enter(uint64_t seq, Tier tier,
                     Duration max_wait = std::chrono::seconds(100)) {
    WaitingRequest w;
    w.seq = seq;
    w.tier = tier;
    w.since = clock.Now();
    w.until = w.since + max_wait;
    w.service = kService;
    return queue.Enter(std::move(w), &shed);
  }
  // Dispatches the first request in serving order. Returns 0 when none waits.
  uint64_t DispatchNext() {
    std::vector<uint64_t> order = queue.InOrder(kService, clock.Now());
    if (order.empty()) return 0;
    queue.Served(order.front(), clock.Now());
    queue.NotePlace(kService, clock.Now());
    return order.front();
  }
  ManualClock clock;
  WaitingRoom queue;
  std::optional<uint64_t> shed;
};

WaitingPolicy PolicyWithLimit(size_t most) {
  WaitingPolicy p;
  p.most_waiting = most;
  return p;
}

}  // namespace

TEST_GROUP(waiting){};

// Failure: a top-tier request is rejected while requests of a lower tier wait.
// Sequence: the queue fills with low-tier requests, then a top-tier request
// arrives. The queue must shed the lower tier.
TEST(waiting, FullQueueShedsLowerTierNotHigher) {
  Rig r(PolicyWithLimit(3));
  for (uint64_t i = 1; i <= 3; ++i) CHECK_TRUE(r.Enter(i, kLow).ok());
  CHECK_TRUE(r.Enter(4, kTop).ok());
  CHECK_TRUE(r.shed.has_value());
  CHECK_EQUAL(3u, *r.shed);  // The newest of the lowest tier.
  // A low-tier arrival never sheds the top tier: it is rejected instead.
  for (uint64_t i = 5; i <= 7; ++i) r.Enter(i, kTop).IgnoreError();
  absl::Status low = r.Enter(8, kLow);
  CHECK_FALSE(low.ok());
  CHECK(ErrorKindOf(low) == ErrorKind::kOverloaded);
  CHECK_FALSE(r.shed.has_value());
}

TEST(waiting, HigherTierGoesFirst) {
  Rig r({});
  CHECK_TRUE(r.Enter(1, kLow).ok());
  r.clock.Advance(Millis(1));
  CHECK_TRUE(r.Enter(2, kTop).ok());
  CHECK_EQUAL(2u, r.DispatchNext());
  CHECK_EQUAL(1u, r.DispatchNext());
}

// Guards the baseline of comparisons, which ignores tiers.
TEST(waiting, WithoutTiersServesInArrivalOrder) {
  WaitingPolicy p;
  p.tiered = false;
  Rig r(p);
  CHECK_TRUE(r.Enter(1, kLow).ok());
  CHECK_TRUE(r.Enter(2, kTop).ok());
  CHECK_EQUAL(1u, r.DispatchNext());
}

// Failure: the lowest class gets no answer while the top class is busy.
// Sequence: the top tier takes every slot for longer than the starvation bound.
// One slot in floor_every must go to the starving request.
TEST(waiting, StarvingLowTierGetsFloorSlots) {
  WaitingPolicy p;
  p.starvation_bound = Millis(1000);
  p.floor_every = 4;
  Rig r(p);
  CHECK_TRUE(r.Enter(1, kLow).ok());
  uint64_t next = 2;
  bool low_served = false;
  for (int step = 0; step < 100 && !low_served; ++step) {
    CHECK_TRUE(r.Enter(next++, kTop).ok());
    CHECK_TRUE(r.Enter(next++, kTop).ok());
    r.clock.Advance(Millis(50));
    low_served = r.DispatchNext() == 1;
  }
  CHECK_TRUE(low_served);
}

// Failure: in a burst of the top class, 7 of 113 requests of the class below
// are rejected although answers of the top class take a fifth of their target.
// Sequence: the top tier takes every slot for longer than the target of the
// lower one. Cause: starvation is judged only by a bound of seconds, which
// exceeds that target. It must also depend on the maximum wait of the request.
TEST(waiting, ShortMaximumWaitStarvesSooner) {
  WaitingPolicy p;
  p.starvation_bound = std::chrono::seconds(4);
  Rig r(p);
  uint64_t next = 1;
  int rejected = 0;
  for (int step = 0; step < 300; ++step) {
    // Every 10 ms: 4 slots and 4 top-tier arrivals; every 30 ms: one arrival of
    // a lower tier.
    for (int i = 0; i < 4; ++i) CHECK_TRUE(r.Enter(next++, kTop).ok());
    if (step % 3 == 0) {
      CHECK_TRUE(r.Enter(1000000 + next++, 1, Millis(800)).ok());
    }
    r.clock.Advance(Millis(10));
    for (uint64_t seq : r.queue.Expired(r.clock.Now())) {
      r.queue.Leave(seq);
      ++rejected;
    }
    for (int i = 0; i < 4; ++i) r.DispatchNext();
  }
  LONGS_EQUAL(0, rejected);
}

// Failure: a caller waits almost until its deadline and is rejected then.
// Cause: expired requests are noticed late. A request must expire at the
// moment its maximum wait ends.
TEST(waiting, ExpiredRequestIsReportedAtItsDeadline) {
  Rig r({});
  CHECK_TRUE(r.Enter(1, kTop, Millis(500)).ok());
  r.clock.Advance(Millis(499));
  CHECK_EQUAL(0u, r.queue.Expired(r.clock.Now()).size());
  r.clock.Advance(Millis(1));
  std::vector<uint64_t> out = r.queue.Expired(r.clock.Now());
  CHECK_EQUAL(1u, out.size());
  r.queue.Leave(out[0]);
  CHECK_EQUAL(0u, r.queue.size(kService));
}

// Failure: a request waits for its whole maximum wait and is rejected then,
// although the queue ahead could not empty in time. It must be rejected on
// arrival.
TEST(waiting, UnmeetableTargetIsRejectedOnArrival) {
  WaitingPolicy p;
  p.refuse_unmeetable = true;
  Rig r(p);
  // Slots become free at 10/s: two dispatches 100 ms apart set the rate.
  for (uint64_t i = 1; i <= 3; ++i) CHECK_TRUE(r.Enter(i, kTop).ok());
  r.DispatchNext();
  r.clock.Advance(Millis(100));
  r.DispatchNext();
  for (uint64_t i = 10; i < 20; ++i) CHECK_TRUE(r.Enter(i, kTop).ok());
  // 11 requests ahead at 10/s take 1.1 s, more than the 500 ms target.
  absl::Status s = r.Enter(30, kTop, Millis(500));
  CHECK(ErrorKindOf(s) == ErrorKind::kTargetUnmeetable);
}

// Differential test against first come, first served on random traces.
// Properties that the queue must have and the baseline need not: (1) no
// top-tier request is shed or rejected for lack of room while a lower tier
// waits; (2) every admitted request is served, expired or shed exactly once:
// never twice, never lost; (3) no low-tier request waits longer than the
// starvation bound plus the delay until its floor slot.
TEST(waiting, DifferentialAgainstArrivalOrderOnRandomTraces) {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 rng(seed);
    WaitingPolicy p = PolicyWithLimit(20);
    p.starvation_bound = Millis(1000);
    Rig ours(p);
    WaitingPolicy naive_policy = PolicyWithLimit(20);
    naive_policy.tiered = false;
    Rig naive(naive_policy);
    std::map<uint64_t, int> outcomes;  // Times each request left the queue.
    std::map<uint64_t, Tier> tier;
    std::map<uint64_t, TimePoint> since;
    int naive_top_rejected = 0;
    int top_rejected_while_low_waits = 0;
    Duration worst_low_wait{};
    uint64_t seq = 1;
    int low_waiting = 0;
    for (int step = 0; step < 2000; ++step) {
      ours.clock.Advance(Millis(10));
      naive.clock.Advance(Millis(10));
      int arrivals = static_cast<int>(rng() % 4);
      for (int a = 0; a < arrivals; ++a, ++seq) {
        tier[seq] = rng() % 3 == 0 ? kLow : kTop;
        since[seq] = ours.clock.Now();
        Duration max_wait = tier[seq] == kTop ? Millis(500) : Millis(100000);
        bool while_low_waits = low_waiting > 0;
        absl::Status s = ours.Enter(seq, tier[seq], max_wait);
        if (s.ok()) low_waiting += tier[seq] == kLow;
        if (ours.shed) {
          ++outcomes[*ours.shed];
          low_waiting -= tier[*ours.shed] == kLow;
        }
        if (!s.ok() && tier[seq] == kTop && while_low_waits) {
          ++top_rejected_while_low_waits;
        }
        bool naive_accepted = naive.Enter(seq, tier[seq], max_wait).ok();
        naive_top_rejected += !naive_accepted && tier[seq] == kTop;
      }
      for (uint64_t q : ours.queue.Expired(ours.clock.Now())) {
        ours.queue.Leave(q);
        ++outcomes[q];
        low_waiting -= tier[q] == kLow;
      }
      for (uint64_t q : naive.queue.Expired(naive.clock.Now())) {
        naive.queue.Leave(q);
      }
      // One slot per step is less than the arrivals: overload.
      if (uint64_t q = ours.DispatchNext()) {
        ++outcomes[q];
        low_waiting -= tier[q] == kLow;
        if (tier[q] == kLow) {
          worst_low_wait =
              std::max(worst_low_wait, ours.clock.Now() - since[q]);
        }
      }
      naive.DispatchNext();
    }
    CHECK_EQUAL(0, top_rejected_while_low_waits);
    for (const auto& [q, n] : outcomes) CHECK_EQUAL(1, n);
    CHECK(worst_low_wait <=
          p.starvation_bound + Millis(10 * p.floor_every * 21));
    CHECK(naive_top_rejected > 0);
  }
}

// Failure: at the highest load hardly any answer is in time although the
// engines work without a break. Load pattern: arrivals at 1.5 times the rate of
// free slots for ten seconds; a first event comes 0.6 of the target after its
// slot. Cause: a long maximum wait keeps the queue full, and each dispatched
// request has spent the time that its answer needs.
TEST(waiting, OverloadDoesNotMakeEveryAnswerLate) {
  constexpr auto kTarget = Millis(1000);
  constexpr auto kFirstEvent = Millis(600);
  WaitingPolicy policy;
  policy.most_waiting = 1000;
  Rig rig(policy);
  auto max_wait =
      std::chrono::duration_cast<Duration>(kTarget * policy.most_target_share);
  std::map<uint64_t, TimePoint> arrived_at;
  uint64_t seq = 0;
  int dispatched = 0;
  int in_time = 0;
  for (int ms = 0; ms < 10000; ms += 5) {
    rig.clock.Advance(Millis(5));
    if (ms % 10 == 0) {
      arrived_at[++seq] = rig.clock.Now();
      CHECK_TRUE(rig.Enter(seq, kLow, max_wait).ok());
    }
    for (uint64_t expired : rig.queue.Expired(rig.clock.Now())) {
      rig.queue.Leave(expired);
    }
    if (ms % 15 != 0) continue;
    uint64_t served = rig.DispatchNext();
    if (!served) continue;
    ++dispatched;
    in_time += rig.clock.Now() - arrived_at[served] + kFirstEvent <= kTarget;
  }
  CHECK_TRUE(dispatched > 600);
  CHECK_TRUE(in_time > dispatched * 9 / 10);
}
