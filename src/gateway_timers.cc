// Gateway: work driven by time. Dispatches waiting requests, enforces timeouts,
// detects silent upstreams and ends planned stops.
#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "gateway.h"
#include "gateway_request.h"
#include "log.h"

namespace medlarwalk {
namespace {

// Time without progress, in inter-token targets, after which a stream is
// retried at another upstream if allowed. Before the first event, the time is
// counted in latency targets instead. In both cases it is at least
// kMinStreamStall.
constexpr int kStallInterTokenTargets = 6;
constexpr int kStallFirstEventTargets = 2;
constexpr auto kMinStreamStall = Millis(1000);
// Time without an answer, in latency targets, after which a repeatable plain
// request is retried at another upstream. It is at least kMinPlainStall.
constexpr int kPlainStallLatencyTargets = 3;
constexpr auto kMinPlainStall = Millis(300);
// Smoothing time of the demand for long generations. Without smoothing, a few
// requests more or less would move an engine from one work shape to the other.
constexpr std::chrono::duration<double> kDemandSmoothing =
    std::chrono::seconds(3);

}  // namespace

// Sends waiting requests to upstreams with free slots, in serving order.
void Gateway::DispatchWaiting() {
  if (dispatching_waiting_) return;
  dispatching_waiting_ = true;
  for (const std::string& service : wait_queue_.Services()) {
    // A request that cannot be placed does not block the requests behind it in
    // the queue.
    TimePoint now = clock_.Now();
    // Properties that decide placement, of the requests that could not be
    // placed in this pass. Other requests with equal properties are skipped.
    std::set<std::tuple<Tier, bool, WorkShape, uint64_t>> unplaceable;
    for (uint64_t seq : wait_queue_.InOrder(service, now)) {
      Request& r = *requests_.at(seq);
      auto placement_key =
          std::make_tuple(r.rank, now >= r.starving_from, r.shape, r.affinity);
      bool interchangeable = r.tried.empty() && r.facts.pinned == 0;
      if (interchangeable && unplaceable.count(placement_key)) continue;
      if (!TrySend(r)) {
        if (interchangeable) unplaceable.insert(placement_key);
        continue;
      }
      r.waiting = false;
      wait_queue_.Served(seq, now);
      wait_queue_.NotePlace(service, now);
    }
  }
  dispatching_waiting_ = false;
}

// Retries a request whose upstream has fallen silent, where that is allowed.
void Gateway::RetryIfStalled(Request& r, TimePoint now) {
  if (r.upstream.empty() || !r.repeatable()) return;
  if (r.sends >= r.route->max_attempts) return;
  Duration limit;
  if (!r.stream()) {
    limit = std::max<Duration>(
        kMinPlainStall, r.route->latency_target * kPlainStallLatencyTargets);
  } else {
    limit = std::max<Duration>(
        kMinStreamStall,
        r.stream_started ? r.route->pause_target * kStallInterTokenTargets
                         : r.route->latency_target * kStallFirstEventTargets);
  }
  if (now - r.progress_at < limit) return;
  const UpstreamBoard* u = pool_.Find(r.upstream);
  // An upstream that still sends data to other requests is busy, not silent.
  if (r.stream() && u && now - u->quiet_since < kMinStreamStall) return;
  HandleFailedAttempt(r, CallEnd::kNoAnswer, "silent");
}

void Gateway::LogPlacementFailure(const Request& r, TimePoint now) {
  NoPlaceCounts n = CountNoPlace(pool_.boards(), PlacementInputFor(r), now,
                                 options_.placement);
  Tier rejected_tier = -1;
  TierGuardFor(r.service->name).TurningAway(now, &rejected_tier);
  const ReadingGate& limiter = PrefillLimiterFor(r.service->name);
  LogEvent("no_place", {{"request", r.facts.id},
                        {"tier", r.tier},
                        {"rank", r.rank},
                        {"sends", r.sends},
                        {"tier_turned_away", rejected_tier},
                        {"reading", limiter.under_way()},
                        {"reading_limit", static_cast<int>(limiter.limit())},
                        {"upstreams", n.upstreams},
                        {"unusable", n.unusable},
                        {"full", n.full},
                        {"resting", n.resting},
                        {"limited", n.limited},
                        {"loaded", n.loaded},
                        {"reads", n.reading},
                        {"free", n.free}});
}

void Gateway::UpdateDecodeDemand(TimePoint now) {
  double share =
      std::min(1.0, std::chrono::duration<double>(now - demand_updated_at_) /
                        kDemandSmoothing);
  demand_updated_at_ = now;
  for (const auto& [service, engine_count] : decode_engines_) {
    DecodeDemand& demand = decode_demand_[service];
    double n = DecodeLoad(pool_.boards(), service, engine_count, now,
                          options_.placement);
    demand.in_flight += (n - demand.in_flight) * share;
    double waits = wait_queue_.size(service) > 0 ? 1 : 0;
    demand.pressure += (waits - demand.pressure) * share;
  }
}

// Updates the metrics of labels whose number of waiting requests has changed.
void Gateway::UpdateWaitingMetrics() {
  std::map<std::string, int> waiting;
  for (const auto& [label, n] : reported_waiting_) waiting[label] = 0;
  for (const auto& [seq, r] : requests_) {
    if (r->waiting) ++waiting[MetricLabel(*r)];
  }
  for (const auto& [label, n] : waiting) {
    auto [it, inserted] = reported_waiting_.try_emplace(label, 0);
    if (!inserted && it->second == n) continue;
    it->second = n;
    metrics_.SetQueued(label, n);
  }
}

void Gateway::Tick() {
  TimePoint now = clock_.Now();
  UpdateDecodeDemand(now);
  prefix_holders_.Tick(now);
  crash_watch_.Tick(now);
  quarantine_.Tick(now);
  FailQuarantinedRequests();
  ExpireLimits(now);
  std::vector<uint64_t> due;
  for (auto it = deadlines_.begin(); it != deadlines_.end() && it->first <= now;
       ++it) {
    due.push_back(it->second);
  }
  for (uint64_t seq : due) {
    auto it = requests_.find(seq);
    if (it == requests_.end()) continue;
    Request& r = *it->second;
    bool sent = !r.upstream.empty() && r.connection->sent();
    FailRequest(r,
                sent || r.may_have_run ? ErrorKind::kTimedOut
                                       : ErrorKind::kNotRunInTime,
                "time over");
  }
  for (uint64_t seq : wait_queue_.Expired(now)) {
    auto it = requests_.find(seq);
    if (it == requests_.end()) continue;
    Request& r = *it->second;
    LogPlacementFailure(r, now);
    FailRequest(r,
                r.may_have_run ? ErrorKind::kOutcomeUnknown
                               : ErrorKind::kTargetUnmeetable,
                "no place in time");
  }
  std::vector<uint64_t> open;
  for (auto& [seq, r] : requests_) open.push_back(seq);
  for (uint64_t seq : open) {
    auto it = requests_.find(seq);
    if (it != requests_.end()) RetryIfStalled(*it->second, now);
  }
  pool_.Tick();
  if (std::exchange(decode_paces_changed_, false)) {
    MarkSlow(absl::MakeSpan(pool_.boards()), options_.placement);
  }
  if (options_.placement.straggler_factor > 0) {
    MarkStragglers(absl::MakeSpan(pool_.boards()), options_.placement);
  }
  DispatchWaiting();
  UpdateWaitingMetrics();
}

void Gateway::FailOpenRequests() {
  std::vector<uint64_t> open;
  for (auto& [seq, r] : requests_) open.push_back(seq);
  for (uint64_t seq : open) {
    auto it = requests_.find(seq);
    if (it == requests_.end()) continue;
    Request& r = *it->second;
    bool sent = !r.upstream.empty() && r.connection->sent();
    FailRequest(r,
                sent || r.may_have_run ? ErrorKind::kOutcomeUnknown
                                       : ErrorKind::kDraining,
                "stopping");
  }
}

}  // namespace medlarwalk
