#include "timed_service.h"

#include <algorithm>
#include <cmath>

namespace medlarwalk {
namespace {

// Time constant of recent rates: long enough for some requests, short enough to
// follow a jump.
constexpr double kRateMemoryS = 0.5;
// Time for which a gap target counts after a request with it was sent.
constexpr auto kGapTargetMemory = std::chrono::seconds(5);
// Bounds of the time for which sends of other processes are unseen: what is
// told takes at least a reporting interval, and an estimate over more than a
// second says nothing.
constexpr double kMinUnseenS = 0.1;
constexpr double kMaxUnseenS = 1;
// Age up to which a published longest event gap counts as recent.
constexpr auto kLongestGapTrust = Millis(1500);
// Time over which the streams of others count as unseen without shared load.
constexpr double kEstimatedStreamsS = 0.5;
// An event gap is near its target from this share on. The factor of the share
// of gap targets is adapted at this interval, by the share of engines with a
// gap near the target: raised below the first bound, lowered above the second.
// At its maximum, known prompts may fill 0.9 of a target.
constexpr double kNearTargetShare = 0.8;
constexpr auto kAdaptInterval = Millis(100);
constexpr double kFewNearTarget = 0.03;
constexpr double kManyNearTarget = 0.08;
constexpr double kRaiseFactor = 1.05;
constexpr double kLowerFactor = 0.75;
constexpr double kMaxGapShareFactor = 3;
// Share of its time that a busy engine spends on prefills.
constexpr double kBusyShare = 0.5;

}  // namespace

void RecentRate::Add(double amount, TimePoint now) {
  sum_ = sum_ * std::exp(-ToSeconds(now - at_) / kRateMemoryS) + amount;
  at_ = now;
}

double RecentRate::PerSecond(TimePoint now) const {
  return sum_ * std::exp(-ToSeconds(now - at_) / kRateMemoryS) / kRateMemoryS;
}

void RecentGapTarget::Record(double gap_target_ms, TimePoint now) {
  if (gap_target_ms <= 0) return;
  if (Current(now) > 0 && gap_target_ms > ms) return;
  ms = gap_target_ms;
  at = now;
}

double RecentGapTarget::Current(TimePoint now) const {
  return now - at <= kGapTargetMemory ? ms : 0;
}

void RecordTry(const TimedRequest& request, double prompt_tokens, TimePoint now,
               TimedService* service) {
  if (!request.packed) service->tried_tokens.Add(prompt_tokens, now);
}

void RecordTimedSend(const TimedRequest& request, double prompt_tokens,
                     TimePoint now, TimedService* service) {
  if (request.packed) {
    service->packed_streams.Add(1, now);
    service->packed_gap.Record(request.gap_target_ms, now);
  } else {
    service->prompt_tokens.Add(prompt_tokens, now);
    service->other_gap.Record(request.gap_target_ms, now);
  }
}

UnseenWork EstimateUnseenWork(const TimedService& service,
                              const OthersView& others, TimePoint now) {
  UnseenWork out;
  bool told = others.age >= Duration::zero();
  double age_s =
      told ? std::clamp(ToSeconds(others.age), kMinUnseenS, kMaxUnseenS)
           : kMinUnseenS;
  double factor = age_s * (others.process_count - 1);
  out.prompt_tokens = service.prompt_tokens.PerSecond(now) * factor;
  out.tried_tokens = service.tried_tokens.PerSecond(now) * factor;
  // Where the work of others is estimated from the own work, it says little of
  // their streams: an entry has a stream on few of the first engines.
  double streams_factor =
      told ? factor : kEstimatedStreamsS * (others.process_count - 1);
  out.streams = service.packed_streams.PerSecond(now) * streams_factor;
  out.worked_ms = kBusyShare * age_s * 1000;
  out.packed_gap_ms = service.packed_gap.Current(now);
  out.other_gap_ms = service.other_gap.Current(now);
  out.gap_share_factor = service.gap_share_factor;
  return out;
}

EngineWork EstimateOthersWork(const EngineWork& own, const EngineWork& mean_own,
                              int process_count) {
  EngineWork out = own;
  out.Add(mean_own);
  out.Scale(0.5 * std::max(0, process_count - 1));
  return out;
}

double MedianOfKnown(std::vector<double>* values) {
  auto end = std::remove_if(values->begin(), values->end(),
                            [](double v) { return v <= 0; });
  auto middle = values->begin() + (end - values->begin()) / 2;
  if (middle == end) return 0;
  std::nth_element(values->begin(), middle, end);
  return *middle;
}

void RefreshPaces(absl::Span<UpstreamState> upstreams,
                  const std::function<EnginePace(EngineKey)>& published,
                  TimePoint now, TimedService* service) {
  std::vector<double>& rates = service->scratch;
  rates.clear();
  service->published.clear();
  for (size_t i : service->order) {
    service->published.push_back(published(upstreams[i].engine_key));
    rates.push_back(service->published.back().prefill_tokens_per_ms);
  }
  double reference = MedianOfKnown(&rates);
  for (size_t k = 0; k < service->order.size(); ++k) {
    UpstreamState& u = upstreams[service->order[k]];
    const EnginePace& pace = service->published[k];
    service->forecast.RecordPublished(pace, reference, now, &u.observed_pace);
    Millis longest_gap =
        pace.age < kLongestGapTrust ? pace.longest_event_gap : Millis::zero();
    u.own_pace = service->forecast.PaceToPublish(u.observed_pace, now);
    u.forecast = service->forecast.ForecastFor(u.observed_pace, longest_gap,
                                               service->idle_gap_ms, now);
  }
  AdaptGapShare(upstreams, now, service);
}

void AdaptGapShare(absl::Span<const UpstreamState> upstreams, TimePoint now,
                   TimedService* service) {
  if (now - service->gap_share_adapted_at < kAdaptInterval) return;
  service->gap_share_adapted_at = now;
  double near_ms = kNearTargetShare * service->other_gap.Current(now);
  int known = 0;
  int near = 0;
  for (size_t i : service->order) {
    double gap_ms = upstreams[i].forecast.longest_gap_ms;
    known += gap_ms > 0;
    near += gap_ms > 0 && gap_ms > near_ms;
  }
  if (known == 0 || near_ms <= 0) return;
  double share = static_cast<double>(near) / known;
  double& factor = service->gap_share_factor;
  if (share > kManyNearTarget) factor *= kLowerFactor;
  if (share < kFewNearTarget) factor *= kRaiseFactor;
  factor = std::clamp(factor, 1.0, kMaxGapShareFactor);
}

void RefreshService(absl::Span<const UpstreamState> upstreams,
                    absl::string_view name, TimedService* service) {
  service->order.clear();
  std::vector<double>& gaps = service->scratch;
  gaps.clear();
  for (size_t i = 0; i < upstreams.size(); ++i) {
    const UpstreamState& u = upstreams[i];
    if (u.info.service != name || !u.listed) continue;
    service->order.push_back(i);
    gaps.push_back(u.observed_pace.idle_gap_ms);
  }
  std::sort(service->order.begin(), service->order.end(),
            [&](size_t a, size_t b) {
              return upstreams[a].rank < upstreams[b].rank;
            });
  double median = MedianOfKnown(&gaps);
  if (median > 0) service->idle_gap_ms = median;
}

}  // namespace medlarwalk
