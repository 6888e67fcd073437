#include "bench.h"

#include <chrono>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "placement.h"
#include "waiting.h"

namespace medlarwalk {

namespace {

constexpr int kUpstreams = 6;
constexpr int kSlots = 8;
constexpr auto kStep = std::chrono::milliseconds(1);
constexpr size_t kMostWaiting = 128;
constexpr char kService[] = "engine";
// Classes of the trace: tier, latency target, share of arrivals, tokens, and
// how long an idle engine works on one.
struct TraceClass {
  Tier tier;
  Millis target;
  double share;
  int64_t prompt;
  int64_t output;
  Millis work;
};
constexpr TraceClass kClasses[] = {
    {0, Millis(500), 0.2, 100, 60, Millis(100)},
    {1, Millis(800), 0.2, 1000, 50, Millis(80)},
    {3, Millis(8000), 0.6, 4000, 80, Millis(110)}};
constexpr int kClassCount = 3;
// Arrivals a millisecond: 1.5 times what the slots can serve, where a request
// takes this long beside a full batch.
constexpr double kWorkInFullBatchMs = 190;
constexpr double kArrivalsPerMs =
    1.5 * kUpstreams * kSlots / kWorkInFullBatchMs;
// Subjects whose prompts share their leading part.
constexpr uint64_t kSubjects = 40;

// Folds one decision into the signature with a hash that is the same in
// every run (absl::Hash is seeded per process, so it cannot sign a run).
uint64_t Mix(uint64_t sig, uint64_t a, uint64_t b, uint64_t c = 0) {
  uint64_t words[3] = {a, b, c};
  return StableHash(
      absl::string_view(reinterpret_cast<const char*>(words), sizeof(words)),
      sig);
}

struct Arrival {
  int klass = 0;
  TimePoint at{};
  uint64_t subject = 0;
};

struct Running {
  size_t upstream;
  TimePoint done;
  int klass;
};

struct Policy {
  PlacementPolicy placement;
  WaitingPolicy waiting;
};

// One pass over the trace.
class Pass {
 public:
  Pass(int requests, uint64_t seed, const Policy& policy)
      : requests_(requests),
        policy_(policy),
        arrivals_(seed),
        draws_(seed + 1),
        room_(policy.waiting) {
    for (int i = 0; i < kUpstreams; ++i) {
      UpstreamBoard b;
      b.info.id = absl::StrCat("u", i);
      b.info.service = kService;
      b.info.slots = kSlots;
      boards_.push_back(b);
    }
    RankUpstreams(absl::MakeSpan(boards_));
  }

  void Run() {
    while (static_cast<int>(trace_.size()) < requests_ || !running_.empty() ||
           room_.size(kService) > 0) {
      clock_.Advance(kStep);
      EndDue();
      auto began = std::chrono::steady_clock::now();
      Arrive();
      for (uint64_t seq : room_.Expired(clock_.Now())) {
        room_.Leave(seq);
        Refused(seq);
      }
      std::set<std::pair<int, uint64_t>> full;  // As the gateway does.
      for (uint64_t seq : room_.InOrder(kService, clock_.Now())) {
        std::pair<int, uint64_t> alike(trace_[seq].klass, trace_[seq].subject);
        if (full.count(alike)) continue;
        if (!TrySend(seq)) {
          full.insert(alike);
          continue;
        }
        room_.Served(seq, clock_.Now());
        room_.NotePlace(kService, clock_.Now());
      }
      decide_ns_ += std::chrono::duration<double, std::nano>(
                        std::chrono::steady_clock::now() - began)
                        .count();
    }
  }

  uint64_t signature() const { return sig_; }
  double ns_per_request() const { return decide_ns_ / requests_; }
  int served[kClassCount] = {};
  int refused[kClassCount] = {};
  int top_shed = 0;
  double longest_low_wait_s = 0;

 private:
  void EndDue() {
    for (auto it = running_.begin(); it != running_.end();) {
      if (it->done > clock_.Now()) {
        ++it;
        continue;
      }
      UpstreamBoard& u = boards_[it->upstream];
      --u.in_flight;
      NoteSuccess(u, clock_.Now());
      it = running_.erase(it);
    }
  }

  void Arrive() {
    std::uniform_real_distribution<double> draw(0, 1);
    int n = std::poisson_distribution<int>(kArrivalsPerMs)(arrivals_);
    for (; n > 0 && static_cast<int>(trace_.size()) < requests_; --n) {
      double x = draw(arrivals_);
      int k = 0;
      while (k + 1 < kClassCount && x >= kClasses[k].share) {
        x -= kClasses[k++].share;
      }
      trace_.push_back({k, clock_.Now(), 1 + arrivals_() % kSubjects});
      Enter(trace_.size() - 1);
    }
  }

  void Enter(uint64_t seq) {
    const Arrival& a = trace_[seq];
    if (TrySend(seq)) {
      room_.NotePlace(kService, clock_.Now());
      return;
    }
    WaitingRequest w;
    w.seq = seq;
    w.tier = kClasses[a.klass].tier;
    w.since = a.at;
    w.until = a.at + kClasses[a.klass].target;
    w.service = kService;
    std::optional<uint64_t> shed;
    absl::Status s = room_.Enter(std::move(w), &shed);
    if (shed) {
      top_shed += trace_[*shed].klass == 0;
      Refused(*shed);
    }
    if (!s.ok()) Refused(seq);
  }

  bool TrySend(uint64_t seq) {
    const Arrival& a = trace_[seq];
    const TraceClass& c = kClasses[a.klass];
    TimePoint now = clock_.Now();
    PlacementAsk ask;
    ask.service = kService;
    ask.affinity = a.subject;
    ask.shared_tokens = c.prompt / 2;
    ask.shape = ShapeOf(c.prompt, c.output, policy_.placement);
    DecodeDemand demand;
    demand.in_flight =
        DecodeLoad(boards_, kService, decode_engines_, now, policy_.placement);
    decode_engines_ = DecodeEngines(demand, decode_engines_, kSlots, kUpstreams,
                                    policy_.placement);
    ask.decode_engines = decode_engines_;
    std::uniform_real_distribution<double> draw(0, 1);
    std::optional<size_t> i =
        Place(boards_, ask, now, draw(draws_), policy_.placement);
    if (!i) return false;
    UpstreamBoard& u = boards_[*i];
    // A batch slows each of its requests.
    auto work = c.work + c.work * u.in_flight / kSlots;
    ++u.in_flight;
    NotePrefill(u, static_cast<double>(c.prompt), now, policy_.placement);
    running_.push_back({*i, now + work, a.klass});
    ++served[a.klass];
    if (a.klass == kClassCount - 1) {
      longest_low_wait_s = std::max(longest_low_wait_s, ToSeconds(now - a.at));
    }
    sig_ = Mix(sig_, seq, *i);
    return true;
  }

  void Refused(uint64_t seq) {
    ++refused[trace_[seq].klass];
    sig_ = Mix(sig_, seq, ~0ULL);
  }

  int requests_;
  Policy policy_;
  ManualClock clock_;
  std::mt19937_64 arrivals_;
  std::mt19937_64 draws_;
  WaitingRoom room_;
  std::vector<UpstreamBoard> boards_;
  int decode_engines_ = 0;
  std::vector<Arrival> trace_;
  std::vector<Running> running_;
  uint64_t sig_ = 0;
  double decide_ns_ = 0;
};

}  // namespace

BenchReport RunBench(int requests, uint64_t seed) {
  BenchReport r;
  r.requests = requests;
  Policy ours;
  ours.waiting.most_waiting = kMostWaiting;
  ours.waiting.refuse_unmeetable = true;
  ours.waiting.starvation_bound = std::chrono::seconds(4);
  Pass pass(requests, seed, ours);
  pass.Run();
  r.signature = pass.signature();
  r.top_tier_served = pass.served[0];
  r.top_tier_shed = pass.top_shed;
  r.lowest_tier_served = pass.served[kClassCount - 1];
  r.max_lowest_wait_s = pass.longest_low_wait_s;
  r.ns_per_request = pass.ns_per_request();
  Policy naive;
  naive.waiting.most_waiting = kMostWaiting;
  naive.waiting.tiered = false;
  naive.placement.blind = true;
  Pass baseline(requests, seed, naive);
  baseline.Run();
  r.naive_top_tier_refused = baseline.refused[0];
  r.naive_ns_per_request = baseline.ns_per_request();
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
