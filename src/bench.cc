#include "bench.h"

#include <chrono>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "placement.h"
#include "waiting_queue.h"

namespace medlarwalk {

namespace {

constexpr int kUpstreams = 6;
constexpr int kSlots = 8;
constexpr auto kStep = std::chrono::milliseconds(1);
constexpr size_t kMaxWaiting = 128;
constexpr char kService[] = "engine";
// A class of work in the trace: tier, latency target, share of arrivals,
// numbers of prompt and output tokens, and the time that an idle engine takes
// for a request.
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
// Mean duration of a request in a full batch. Arrivals per millisecond are 1.5
// times what all slots can serve at that duration.
constexpr double kWorkInFullBatchMs = 190;
constexpr double kArrivalsPerMs =
    1.5 * kUpstreams * kSlots / kWorkInFullBatchMs;
// Number of distinct prompt prefixes; requests with the same one share half of
// their prompt.
constexpr uint64_t kPromptPrefixes = 40;

// Returns signature `sig` extended by one decision. Uses StableHash() because
// absl::Hash is seeded per process and differs between runs.
uint64_t ExtendSignature(uint64_t sig, uint64_t a, uint64_t b, uint64_t c = 0) {
  uint64_t words[3] = {a, b, c};
  return StableHash(
      absl::string_view(reinterpret_cast<const char*>(words), sizeof(words)),
      sig);
}

struct Arrival {
  int klass = 0;
  TimePoint at{};
  uint64_t prompt_prefix = 0;
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

// One run of a policy over the trace.
class TracePass {
 public:
  TracePass(int requests, uint64_t seed, const Policy& policy)
      : requests_(requests),
        policy_(policy),
        arrival_rng_(seed),
        placement_rng_(seed + 1),
        queue_(policy.waiting) {
    for (int i = 0; i < kUpstreams; ++i) {
      UpstreamState u;
      u.info.id = absl::StrCat("u", i);
      u.info.service = kService;
      u.info.slots = kSlots;
      upstreams_.push_back(u);
    }
    RankUpstreams(absl::MakeSpan(upstreams_));
  }

  void Run() {
    while (static_cast<int>(trace_.size()) < requests_ || !running_.empty() ||
           queue_.size(kService) > 0) {
      clock_.Advance(kStep);
      FinishDueRequests();
      auto started = std::chrono::steady_clock::now();
      GenerateArrivals();
      for (uint64_t seq : queue_.ExpiredRequests(clock_.Now())) {
        queue_.RemoveUnserved(seq);
        RecordRejection(seq);
      }
      // Skips requests similar to one that found no slot, as the gateway does.
      // Similar requests are here those of the same class with the same prompt
      // prefix.
      std::set<std::pair<int, uint64_t>> without_slot;
      for (uint64_t seq : queue_.ServingOrder(kService, clock_.Now())) {
        std::pair<int, uint64_t> similar(trace_[seq].klass,
                                         trace_[seq].prompt_prefix);
        if (without_slot.count(similar)) continue;
        if (!TrySend(seq)) {
          without_slot.insert(similar);
          continue;
        }
        queue_.RemoveServed(seq, clock_.Now());
        queue_.RecordDispatch(kService, clock_.Now());
      }
      decision_ns_ += std::chrono::duration<double, std::nano>(
                          std::chrono::steady_clock::now() - started)
                          .count();
    }
  }

  uint64_t signature() const { return sig_; }
  double ns_per_request() const { return decision_ns_ / requests_; }
  int served[kClassCount] = {};
  int rejected[kClassCount] = {};
  int top_shed = 0;
  double longest_low_wait_s = 0;

 private:
  void FinishDueRequests() {
    for (auto it = running_.begin(); it != running_.end();) {
      if (it->done > clock_.Now()) {
        ++it;
        continue;
      }
      UpstreamState& u = upstreams_[it->upstream];
      --u.in_flight;
      RecordSuccess(u, clock_.Now());
      it = running_.erase(it);
    }
  }

  void GenerateArrivals() {
    std::uniform_real_distribution<double> draw(0, 1);
    int n = std::poisson_distribution<int>(kArrivalsPerMs)(arrival_rng_);
    for (; n > 0 && static_cast<int>(trace_.size()) < requests_; --n) {
      double x = draw(arrival_rng_);
      int k = 0;
      while (k + 1 < kClassCount && x >= kClasses[k].share) {
        x -= kClasses[k++].share;
      }
      trace_.push_back({k, clock_.Now(), 1 + arrival_rng_() % kPromptPrefixes});
      EnterRequest(trace_.size() - 1);
    }
  }

  void EnterRequest(uint64_t seq) {
    const Arrival& a = trace_[seq];
    if (TrySend(seq)) {
      queue_.RecordDispatch(kService, clock_.Now());
      return;
    }
    WaitingRequest w;
    w.seq = seq;
    w.tier = kClasses[a.klass].tier;
    w.enqueued_at = a.at;
    w.reject_at = a.at + kClasses[a.klass].target;
    w.service = kService;
    std::optional<uint64_t> shed;
    absl::Status s = queue_.Enqueue(std::move(w), &shed);
    if (shed) {
      top_shed += trace_[*shed].klass == 0;
      RecordRejection(*shed);
    }
    if (!s.ok()) RecordRejection(seq);
  }

  bool TrySend(uint64_t seq) {
    const Arrival& a = trace_[seq];
    const TraceClass& c = kClasses[a.klass];
    TimePoint now = clock_.Now();
    PlacementRequest placement_request;
    placement_request.service = kService;
    placement_request.affinity = a.prompt_prefix;
    placement_request.shared_tokens = c.prompt / 2;
    placement_request.shape =
        ClassifyWork(c.prompt, c.output, policy_.placement);
    DecodeDemand demand;
    demand.generations_in_flight = DecodeLoad(
        upstreams_, kService, decode_engines_, now, policy_.placement);
    decode_engines_ = ComputeDecodeEngines(demand, decode_engines_, kSlots,
                                           kUpstreams, policy_.placement);
    placement_request.decode_engines = decode_engines_;
    std::uniform_real_distribution<double> draw(0, 1);
    std::optional<size_t> i =
        ChooseUpstream(upstreams_, placement_request, now, draw(placement_rng_),
                       policy_.placement);
    if (!i) return false;
    UpstreamState& u = upstreams_[*i];
    // Each request takes longer in a larger batch.
    auto work = c.work + c.work * u.in_flight / kSlots;
    ++u.in_flight;
    RecordPrefillSent(u, static_cast<double>(c.prompt), now, policy_.placement);
    running_.push_back({*i, now + work, a.klass});
    ++served[a.klass];
    if (a.klass == kClassCount - 1) {
      longest_low_wait_s = std::max(longest_low_wait_s, ToSeconds(now - a.at));
    }
    sig_ = ExtendSignature(sig_, seq, *i);
    return true;
  }

  void RecordRejection(uint64_t seq) {
    ++rejected[trace_[seq].klass];
    sig_ = ExtendSignature(sig_, seq, ~0ULL);
  }

  int requests_;
  Policy policy_;
  ManualClock clock_;
  std::mt19937_64 arrival_rng_;
  std::mt19937_64 placement_rng_;
  WaitingQueue queue_;
  std::vector<UpstreamState> upstreams_;
  int decode_engines_ = 0;
  std::vector<Arrival> trace_;
  std::vector<Running> running_;
  uint64_t sig_ = 0;
  double decision_ns_ = 0;
};

}  // namespace

BenchReport RunBench(int requests, uint64_t seed) {
  BenchReport r;
  r.requests = requests;
  Policy tiered_policy;
  tiered_policy.waiting.max_waiting = kMaxWaiting;
  tiered_policy.waiting.reject_unmeetable = true;
  tiered_policy.waiting.starvation_bound = std::chrono::seconds(4);
  TracePass tiered_pass(requests, seed, tiered_policy);
  tiered_pass.Run();
  r.signature = tiered_pass.signature();
  r.top_tier_served = tiered_pass.served[0];
  r.top_tier_shed = tiered_pass.top_shed;
  r.lowest_tier_served = tiered_pass.served[kClassCount - 1];
  r.max_lowest_wait_s = tiered_pass.longest_low_wait_s;
  r.ns_per_request = tiered_pass.ns_per_request();
  Policy naive_policy;
  naive_policy.waiting.max_waiting = kMaxWaiting;
  naive_policy.waiting.tier_order = false;
  naive_policy.placement.first_available = true;
  TracePass naive_pass(requests, seed, naive_policy);
  naive_pass.Run();
  r.naive_top_tier_refused = naive_pass.rejected[0];
  r.naive_ns_per_request = naive_pass.ns_per_request();
  return r;
}

std::string FormatBench(const BenchReport& r) {
  return absl::StrFormat(
      "signature %016x\nrequests %d\ntop_tier_served %d top_tier_shed "
      "%d\nlowest_tier_served %d max_lowest_wait_s "
      "%.3f\nnaive_top_tier_refused_or_late %d\ndecision_ns_per_request %.0f "
      "naive %.0f ratio %.2f\n",
      r.signature, r.requests, r.top_tier_served, r.top_tier_shed,
      r.lowest_tier_served, r.max_lowest_wait_s, r.naive_top_tier_refused,
      r.ns_per_request, r.naive_ns_per_request,
      r.naive_ns_per_request > 0 ? r.ns_per_request / r.naive_ns_per_request
                                 : 0);
}

}  // namespace medlarwalk
