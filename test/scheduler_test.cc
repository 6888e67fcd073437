#include "scheduler.h"

#include <map>
#include <random>
#include <set>

#include "CppUTest/TestHarness.h"
#include "errors.h"

using namespace medlarwalk;
using std::chrono::milliseconds;

namespace {

constexpr int kTop = 0;  // gate-release: tier 0
constexpr int kLow = 1;  // settlement-draft: tier 3

std::vector<SchedulerClass> TwoClasses() {
  return {{0, milliseconds(500)}, {3, milliseconds(8000)}};
}

QueuedRequest Req(RequestId id, int klass, const ManualClock& clock,
                  milliseconds patience = milliseconds(100000)) {
  QueuedRequest r;
  r.id = id;
  r.klass = klass;
  r.enqueued = clock.Now();
  r.give_up_at = clock.Now() + patience;
  r.model = "m";
  return r;
}

bool Any(const QueuedRequest&) { return true; }

}  // namespace

TEST_GROUP(scheduler) { ManualClock clock; };

// Symptom: a gate release refused while settlement drafts sit queued.
// Sequence: queue fills with low-tier work, a top-tier request arrives.
// Cause: refusing the newcomer instead of shedding a lower tier.
TEST(scheduler, FullQueueShedsLowerTierNotHigher) {
  SchedulerConfig c;
  c.queue_limit = 3;
  Scheduler s(clock, c, TwoClasses());
  for (RequestId i = 1; i <= 3; ++i)
    CHECK_TRUE(s.Admit(Req(i, kLow, clock)).status.ok());
  AdmitResult r = s.Admit(Req(4, kTop, clock));
  CHECK_TRUE(r.status.ok());
  CHECK_TRUE(r.shed.has_value());
  CHECK_EQUAL(3u, *r.shed);  // The newest of the lowest tier.
  // A low-tier newcomer never sheds the top tier: it is refused instead.
  for (RequestId i = 5; i <= 7; ++i) s.Admit(Req(i, kTop, clock));
  AdmitResult low = s.Admit(Req(8, kLow, clock));
  CHECK_FALSE(low.status.ok());
  CHECK(KindOf(low.status) == ErrorKind::kOverloaded);
  CHECK_FALSE(low.shed.has_value());
}

TEST(scheduler, HigherTierGoesFirst) {
  Scheduler s(clock, SchedulerConfig{}, TwoClasses());
  s.Admit(Req(1, kLow, clock));
  clock.Advance(milliseconds(1));
  s.Admit(Req(2, kTop, clock));
  CHECK_EQUAL(2u, s.Next(Any)->id);
  CHECK_EQUAL(1u, s.Next(Any)->id);
}

// Symptom: settlement drafts never answered during a long gate-release rush.
// Sequence: top tier keeps every slot busy for longer than the bound.
// Cause: strict priority. The floor share serves the starving class.
TEST(scheduler, StarvingLowTierGetsFloorShare) {
  SchedulerConfig c;
  c.starvation_bound = milliseconds(1000);
  c.floor_every = 4;
  Scheduler s(clock, c, TwoClasses());
  s.Admit(Req(1, kLow, clock));
  RequestId next = 2;
  bool low_served = false;
  for (int step = 0; step < 100 && !low_served; ++step) {
    s.Admit(Req(next++, kTop, clock));
    s.Admit(Req(next++, kTop, clock));
    clock.Advance(milliseconds(50));
    auto r = s.Next(Any);
    low_served = r && r->id == 1;
  }
  CHECK_TRUE(low_served);
}

// Symptom: a caller kept waiting until its deadline was near, then refused.
// Sequence: request queued, target passes. Cause: lazy expiry. Expire hands
// it back the moment give_up_at passes, not later.
TEST(scheduler, GivenUpRequestLeavesAtOnce) {
  Scheduler s(clock, SchedulerConfig{}, TwoClasses());
  s.Admit(Req(1, kTop, clock, milliseconds(500)));
  clock.Advance(milliseconds(499));
  CHECK_EQUAL(0u, s.Expire().size());
  clock.Advance(milliseconds(1));
  auto out = s.Expire();
  CHECK_EQUAL(1u, out.size());
  CHECK_EQUAL(0, s.queued_total());
}

TEST(scheduler, UnmeetableTargetIsRefusedAtArrival) {
  Scheduler s(clock, SchedulerConfig{}, TwoClasses());
  // Drain at 10 a second: two dispatches 100 ms apart set the rate.
  for (RequestId i = 1; i <= 3; ++i) s.Admit(Req(i, kTop, clock));
  s.Next(Any);
  clock.Advance(milliseconds(100));
  s.Next(Any);
  for (RequestId i = 10; i < 20; ++i) s.Admit(Req(i, kTop, clock));
  // 11 ahead at 10/s is 1.1 s, past the 500 ms target.
  AdmitResult r = s.Admit(Req(30, kTop, clock));
  CHECK(KindOf(r.status) == ErrorKind::kTargetUnmeetable);
}

// Differential test against the naive FIFO on random traces. Properties our
// scheduler must hold and the naive one need not: (1) no top-tier request is
// ever shed or refused for being crowded while a lower tier is queued;
// (2) every admitted request is dispatched, expired or shed exactly once:
// never twice (no double execution), never lost; (3) no low-tier request
// waits in the queue past starvation_bound plus the floor's delay.
TEST(scheduler, DifferentialAgainstNaiveOnRandomTraces) {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 rng(seed);
    ManualClock c;
    SchedulerConfig config;
    config.queue_limit = 20;
    config.starvation_bound = milliseconds(1000);
    Scheduler s(c, config, TwoClasses());
    NaiveScheduler naive(20);
    std::map<RequestId, int> outcomes;  // id -> times it left the queue
    std::map<RequestId, int> klass;
    int naive_top_refused = 0, top_refused_with_low_queued = 0;
    TimePoint worst_low_wait_start{};
    Duration worst_low_wait{};
    RequestId id = 1;
    for (int step = 0; step < 2000; ++step) {
      c.Advance(milliseconds(10));
      int arrivals = static_cast<int>(rng() % 4);
      for (int a = 0; a < arrivals; ++a, ++id) {
        int k = rng() % 3 == 0 ? kLow : kTop;
        klass[id] = k;
        QueuedRequest q = Req(id, k, c, milliseconds(k == kTop ? 500 : 100000));
        bool low_queued = s.queued(kLow) > 0;
        AdmitResult r = s.Admit(q);
        if (r.shed) ++outcomes[*r.shed];
        if (!r.status.ok() && k == kTop && low_queued)
          ++top_refused_with_low_queued;
        if (!naive.Admit(q).status.ok() && k == kTop) ++naive_top_refused;
      }
      for (const auto& q : s.Expire()) ++outcomes[q.id];
      naive.Expire(c.Now());
      // One slot frees every step: less than the arrivals, so overload.
      if (auto q = s.Next(Any)) {
        ++outcomes[q->id];
        if (q->klass == kLow && c.Now() - q->enqueued > worst_low_wait) {
          worst_low_wait = c.Now() - q->enqueued;
          worst_low_wait_start = q->enqueued;
        }
      }
      naive.Next(Any);
    }
    CHECK_EQUAL(0, top_refused_with_low_queued);
    for (const auto& [rid, n] : outcomes) CHECK_EQUAL(1, n);
    // Floor: one in floor_every dispatches while starving, one a step.
    CHECK(worst_low_wait <=
          config.starvation_bound + milliseconds(10 * config.floor_every * 21));
    // The naive FIFO does refuse top-tier work in the same overload.
    CHECK(naive_top_refused > 0);
  }
}
