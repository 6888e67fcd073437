#include "bench.h"

#include <chrono>
#include <random>
#include <vector>

#include "absl/strings/str_format.h"
#include "errors.h"
#include "router.h"
#include "scheduler.h"

namespace medlarwalk {

namespace {

constexpr int kUpstreams = 3;
constexpr int kSlots = 8;
constexpr auto kServiceTime = std::chrono::milliseconds(100);
constexpr auto kStep = std::chrono::milliseconds(1);
constexpr int kQueueLimit = 128;
// Classes of the trace: tier, first-token target, share of arrivals.
struct TraceClass {
  Tier tier;
  Millis target;
  double share;
};
constexpr TraceClass kClasses[] = {
    {0, Millis(500), 0.2}, {1, Millis(800), 0.2}, {3, Millis(8000), 0.6}};
constexpr int kClassCount = 3;
// Arrivals a millisecond: 1.5 times what the slots can serve.
constexpr double kArrivalsPerMs =
    1.5 * kUpstreams * kSlots / static_cast<double>(kServiceTime.count());

// Folds one decision into the signature with a hash that is the same in
// every run (absl::Hash is seeded per process, so it cannot sign a run).
uint64_t Mix(uint64_t sig, uint64_t a, uint64_t b, uint64_t c = 0) {
  uint64_t words[3] = {a, b, c};
  return StableHash(
      absl::string_view(reinterpret_cast<const char*>(words), sizeof(words)),
      sig);
}

struct Running {
  size_t upstream;
  TimePoint done;
};

// One pass over the trace with either policy. Returns decision cost in ns.
template <typename Admit, typename Next, typename Choose, typename Expire>
double Pass(int requests, uint64_t seed, ManualClock& clock, Admit admit,
            Next next, Choose choose, Expire expire, BenchReport& r,
            bool naive) {
  std::mt19937_64 rng(seed);
  std::uniform_real_distribution<double> u(0, 1);
  std::vector<UpstreamState> ups(kUpstreams);
  for (int i = 0; i < kUpstreams; ++i) {
    ups[i].name = "u" + std::to_string(i);
    ups[i].models = {"m"};
    ups[i].max_in_flight = kSlots;
  }
  std::vector<Running> running;
  std::vector<QueuedRequest> meta;
  int sent = 0;
  uint64_t sig = 0;
  double decide_ns = 0;
  while (sent < requests || !running.empty()) {
    clock.Advance(kStep);
    TimePoint now = clock.Now();
    for (auto it = running.begin(); it != running.end();) {
      if (it->done <= now) {
        --ups[it->upstream].in_flight;
        it = running.erase(it);
      } else {
        ++it;
      }
    }
    auto t0 = std::chrono::steady_clock::now();
    int arrivals = std::poisson_distribution<int>(kArrivalsPerMs)(rng);
    for (int a = 0; a < arrivals && sent < requests; ++a, ++sent) {
      double x = u(rng);
      int k = x < kClasses[0].share                       ? 0
              : x < kClasses[0].share + kClasses[1].share ? 1
                                                          : 2;
      QueuedRequest q;
      q.id = static_cast<RequestId>(sent) + 1;
      q.klass = k;
      q.enqueued = now;
      q.give_up_at = now + kClasses[k].target;
      q.route_key = rng();
      q.model = "m";
      meta.push_back(q);
      AdmitResult ar = admit(q);
      if (!ar.status.ok() && k == 0 && naive) ++r.naive_top_tier_refused;
      if (ar.shed && meta[*ar.shed - 1].klass == 0) ++r.top_tier_shed;
      sig = Mix(sig, q.id, ar.status.ok(), ar.shed.value_or(0));
    }
    for (const QueuedRequest& q : expire(now)) {
      if (q.klass == 0 && naive) ++r.naive_top_tier_refused;
      sig = Mix(sig, q.id, ~0ULL);
    }
    for (;;) {
      auto q = next([&](const QueuedRequest& c) {
        for (const auto& up : ups) {
          if (CanServe(up, c.model)) return true;
        }
        return false;
      });
      if (!q) break;
      std::optional<size_t> i = choose(ups, *q);
      ++ups[*i].in_flight;
      running.push_back({*i, now + kServiceTime});
      sig = Mix(sig, q->id, *i);
      if (!naive) {
        if (q->klass == 0) ++r.top_tier_served;
        if (q->klass == kClassCount - 1) {
          ++r.lowest_tier_served;
          r.max_lowest_wait_s = std::max(
              r.max_lowest_wait_s,
              std::chrono::duration<double>(now - q->enqueued).count());
        }
      }
    }
    decide_ns += std::chrono::duration<double, std::nano>(
                     std::chrono::steady_clock::now() - t0)
                     .count();
  }
  if (!naive) r.signature = sig;
  return decide_ns / requests;
}

}  // namespace

BenchReport RunBench(int requests, uint64_t seed) {
  BenchReport r;
  r.requests = requests;
  {
    ManualClock clock;
    std::vector<SchedulerClass> classes;
    for (const auto& c : kClasses) classes.push_back({c.tier, c.target});
    SchedulerConfig config;
    config.queue_limit = kQueueLimit;
    Scheduler s(clock, config, classes);
    RouterPolicy policy;
    r.ns_per_request = Pass(
        requests, seed, clock,
        [&](const QueuedRequest& q) { return s.Admit(q); },
        [&](auto f) { return s.Next(f); },
        [&](const std::vector<UpstreamState>& ups, const QueuedRequest& q) {
          return ChooseUpstream(ups, q.model, q.route_key, policy);
        },
        [&](TimePoint) { return s.Expire(); }, r, false);
  }
  {
    ManualClock clock;
    NaiveScheduler s(kQueueLimit);
    size_t cursor = 0;
    r.naive_ns_per_request = Pass(
        requests, seed, clock,
        [&](const QueuedRequest& q) { return s.Admit(q); },
        [&](auto f) { return s.Next(f); },
        [&](const std::vector<UpstreamState>& ups, const QueuedRequest& q) {
          return ChooseRoundRobin(ups, q.model, &cursor);
        },
        [&](TimePoint now) { return s.Expire(now); }, r, true);
  }
  return r;
}

std::string FormatBench(const BenchReport& r) {
  return absl::StrFormat(
      "signature %016x\n"
      "requests %d\n"
      "top_tier_served %d top_tier_shed %d\n"
      "lowest_tier_served %d max_lowest_wait_s %.3f\n"
      "naive_top_tier_refused_or_late %d\n"
      "decision_ns_per_request %.0f naive %.0f ratio %.2f\n",
      r.signature, r.requests, r.top_tier_served, r.top_tier_shed,
      r.lowest_tier_served, r.max_lowest_wait_s, r.naive_top_tier_refused,
      r.ns_per_request, r.naive_ns_per_request,
      r.naive_ns_per_request > 0 ? r.ns_per_request / r.naive_ns_per_request
                                 : 0);
}

}  // namespace medlarwalk
