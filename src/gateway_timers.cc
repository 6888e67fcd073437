// Gateway: periodic work. Dispatches waiting requests, enforces timeouts and
// ends planned stops.
#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "gateway.h"
#include "gateway_request.h"
#include "log.h"

namespace medlarwalk {
namespace {

constexpr auto kAvoidanceMetricsInterval = std::chrono::seconds(1);
// Time over which the demand for long generations is smoothed. Without
// smoothing, a few requests more or less would move an engine from one kind of
// work (prefill or decode) to the other.
constexpr std::chrono::duration<double> kDemandSmoothing =
    std::chrono::seconds(3);

constexpr auto kWorkShareInterval = Millis(100);
// Age up to which a load report says what the upstream holds now.
constexpr auto kReportLifetimeOfShare = Millis(1000);

// Number of requests that a pass over the queue of a service with placement by
// predicted times tries in vain.
constexpr int kMaxFailedTimedPlacements = 8;
// Least time between two passes over that queue: what the engines hold is
// refreshed no more often.
constexpr auto kTimedPassInterval = Millis(20);

}  // namespace

// Sends waiting requests to upstreams with free slots, in serving order.
void Gateway::DispatchWaitingRequests() {
  if (dispatching_waiting_) return;
  dispatching_waiting_ = true;
  for (const std::string& service : waiting_queue_.WaitingServices()) {
    // A request that cannot be placed does not block the requests behind it in
    // the queue.
    TimePoint now = clock_.Now();
    if (auto rule = config_->services.find(service);
        rule != config_->services.end() && rule->second.timed_placement) {
      TimePoint& last_pass_at = TimedServiceFor(service).last_pass_at;
      if (now - last_pass_at < kTimedPassInterval) continue;
      last_pass_at = now;
    }
    // Requests that could not be placed in this pass, each stored as the
    // properties that decide its placement. Later requests with the same
    // properties are skipped.
    std::set<std::tuple<Tier, bool, WorkShape, uint64_t>> unplaceable;
    int failed = 0;
    for (uint64_t seq :
         waiting_queue_.ServingOrder(service, now, SharesFor(service))) {
      // A request may have been shed by one that failed in this pass and waits
      // again.
      auto it = requests_.find(seq);
      if (it == requests_.end() || !it->second->waiting) continue;
      Request& r = *it->second;
      auto placement_key =
          std::make_tuple(r.rank, now >= r.starving_from, r.shape, r.affinity);
      bool interchangeable =
          r.tried_upstreams.empty() && r.facts.pinned == 0 && !r.build;
      if (interchangeable && unplaceable.count(placement_key)) continue;
      if (!TrySend(r)) {
        if (r.unplaceable) {
          FailUnplaceable(r, now);
          continue;
        }
        if (interchangeable) unplaceable.insert(placement_key);
        // Bounds the cost of a pass: each placement compares all engines.
        if (r.service->timed_placement && ++failed == kMaxFailedTimedPlacements)
          break;
        continue;
      }
      r.waiting = false;
      waiting_queue_.RemoveServed(seq, now);
      waiting_queue_.RecordDispatch(service, now);
    }
  }
  dispatching_waiting_ = false;
}

void Gateway::LogPlacementFailure(const Request& r, TimePoint now) {
  if (r.service->timed_placement) {
    LogTimedPlacementFailure(r, now);
    return;
  }
  AvailabilityCounts n = CountAvailability(
      pool_.upstreams(), PlacementRequestFor(r), now, options_.placement);
  Tier rejected_tier = -1;
  TierAdmissionFor(r.service->name).MostUrgentRejectedTier(now, &rejected_tier);
  const PrefillLimiter& limiter = PrefillLimiterFor(r.service->name);
  LogEvent("no_place", {{"request", r.facts.id},
                        {"account", AccountLabel(r.account)},
                        {"tier", r.tier},
                        {"rank", r.rank},
                        {"sends", r.sends},
                        {"tier_turned_away", rejected_tier},
                        {"held_back", r.held_back ? 1 : 0},
                        {"reading", limiter.in_flight()},
                        {"reading_limit", static_cast<int>(limiter.limit())},
                        {"upstreams", n.upstreams},
                        {"unusable", n.unusable},
                        {"full", n.at_own_limit},
                        {"resting", n.in_backoff},
                        {"limited", n.rate_limited},
                        {"loaded", n.loaded},
                        {"reads", n.prefill_limited},
                        {"free", n.free},
                        {"less_urgent", n.less_urgent},
                        {"full_of_less_urgent", n.full_of_less_urgent}});
}

void Gateway::UpdateDecodeDemand(TimePoint now) {
  double share =
      std::min(1.0, std::chrono::duration<double>(now - demand_updated_at_) /
                        kDemandSmoothing);
  demand_updated_at_ = now;
  for (const auto& [service, engine_count] : decode_engines_) {
    DecodeDemand& demand = decode_demand_[service];
    double n = DecodeLoad(pool_.upstreams(), service, engine_count, now,
                          options_.placement);
    demand.generations_in_flight += (n - demand.generations_in_flight) * share;
    double waits = waiting_queue_.size(service) > 0 ? 1 : 0;
    demand.prefill_wait_share += (waits - demand.prefill_wait_share) * share;
  }
}

void Gateway::UpdateWorkShares(TimePoint now) {
  if (now - work_shares_updated_at_ < kWorkShareInterval) return;
  work_shares_updated_at_ = now;
  std::map<std::string, ServiceLoad> loads;
  for (const auto& [service, share] : work_shares_) loads[service];
  for (const UpstreamState& u : pool_.upstreams()) {
    ServiceLoad& load = loads[u.info.service];
    ++load.upstreams;
    if (now - u.reported_at > kReportLifetimeOfShare) continue;
    ++load.reporting_upstreams;
    load.own += u.in_flight_at_report;
    load.reported += std::max(u.reported_load, u.in_flight_at_report);
  }
  for (const auto& [service, load] : loads) {
    WorkShare& share = work_shares_[service];
    share.Record(load.own, EstimateTotal(load), now);
    PrefillLimiterFor(service).set_factor(share.LimitFactor(entry_count_));
  }
}

double Gateway::EqualShares(const std::string& service) const {
  auto it = work_shares_.find(service);
  double factor =
      it == work_shares_.end() ? 1 : it->second.LimitFactor(entry_count_);
  return entry_count_ / factor;
}

// Updates the metric of waiting requests for each label whose number has
// changed.
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
    metrics_.SetQueuedRequests(label, n);
  }
}

void Gateway::UpdateAvoidanceMetrics(TimePoint now) {
  if (now - avoided_counted_at_ < kAvoidanceMetricsInterval) return;
  avoided_counted_at_ = now;
  AvoidanceCounts n = CountAvoided(pool_.upstreams(), now, options_.placement);
  metrics_.SetAvoidedUpstreams("failing", n.failing);
  metrics_.SetAvoidedUpstreams("ejected", n.ejected);
  metrics_.SetAvoidedUpstreams("straggler", n.stragglers);
  metrics_.SetAvoidedUpstreams("slow_decode", n.slow_decoders);
}

void Gateway::Tick() {
  TimePoint now = clock_.Now();
  UpdateDecodeDemand(now);
  UpdateWorkShares(now);
  prefix_cache_index_.RemoveExpired(now);
  crash_watch_.Tick(now);
  quarantine_.Tick(QuarantineTime());
  FailQuarantinedRequests();
  ExpireLimits(now);
  UpdateReturns(now);
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
  for (uint64_t seq : waiting_queue_.ExpiredRequests(now)) {
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
    if (it == requests_.end()) continue;
    RefreshStreamOrigin(*it->second, now);
    HedgeIfSilent(*it->second, now);
  }
  pool_.Tick();
  // After the pool has removed upstreams: the order of engines holds positions
  // in its list.
  RefreshForecasts(now);
  if (std::exchange(decode_paces_changed_, false)) {
    MarkSlowDecoders(absl::MakeSpan(pool_.upstreams()), options_.placement);
  }
  if (options_.placement.straggler_factor > 0) {
    MarkStragglers(absl::MakeSpan(pool_.upstreams()), options_.placement);
  }
  DispatchWaitingRequests();
  UpdateWaitingMetrics();
  UpdateAvoidanceMetrics(now);
}

void Gateway::FailUnfinishedRequests() {
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
