// Placement: records what is observed of upstreams.
#include <algorithm>
#include <map>

#include "placement.h"

namespace medlarwalk {
namespace {

// Weight of the newest answer in the smoothed failure share.
constexpr double kFailureSmoothing = 0.15;
// Weight of the newest gap in the smoothed event gap.
constexpr double kGapSmoothing = 0.2;
// Weights of a new decode pace that is faster or slower than the known pace.
// The weights differ because a busy engine looks slow for a while, but an idle
// engine never looks too fast.
constexpr double kFasterPaceSmoothing = 0.3;
constexpr double kSlowerPaceSmoothing = 0.01;
// A pace (seconds per event) below this share of the known pace is
// ignored: the events were delayed on their way and arrived together.
constexpr double kBunchedEventsShare = 0.5;
// Engines are marked as slow only if the paces of at least kMinKnownPaces
// engines of their service are known. They are compared with the
// 1 / kFastQuantileDivisor quantile of these paces.
constexpr size_t kMinKnownPaces = 4;
constexpr size_t kFastQuantileDivisor = 4;

}  // namespace

double RemainingPrefillTokens(const UpstreamState& u, TimePoint now,
                              const PlacementPolicy& policy) {
  double ms =
      std::chrono::duration<double, std::milli>(now - u.pending_prefill_at)
          .count();
  return std::max(0.0, u.pending_prefill_tokens - ms * policy.prefill_rate);
}

void RecordEventGap(UpstreamState& u, Duration gap, TimePoint now) {
  double s = ToSeconds(gap);
  u.mean_event_gap_s +=
      u.event_gap_samples == 0 ? s : kGapSmoothing * (s - u.mean_event_gap_s);
  ++u.event_gap_samples;
  u.event_gap_at = now;
}

void MarkStragglers(absl::Span<UpstreamState> upstreams,
                    const PlacementPolicy& policy) {
  std::map<absl::string_view, std::vector<double>> gaps;
  for (UpstreamState& u : upstreams) {
    u.straggler = false;
    if (u.listed && u.event_gap_samples >= policy.min_straggler_samples) {
      gaps[u.info.service].push_back(u.mean_event_gap_s);
    }
  }
  for (UpstreamState& u : upstreams) {
    std::vector<double>& g = gaps[u.info.service];
    if (g.size() < 2 || u.event_gap_samples < policy.min_straggler_samples)
      continue;
    auto middle = g.begin() + static_cast<std::ptrdiff_t>(g.size() / 2);
    std::nth_element(g.begin(), middle, g.end());
    u.straggler = u.mean_event_gap_s > policy.straggler_factor * *middle;
  }
}

void RecordDecodePace(UpstreamState& u, Duration gap, TimePoint now) {
  u.decode_pace_at = now;
  double s = ToSeconds(gap);
  if (u.decode_pace_s == 0) {
    u.decode_pace_s = s;
  } else if (s > u.decode_pace_s) {
    u.decode_pace_s += kSlowerPaceSmoothing * (s - u.decode_pace_s);
  } else if (s > kBunchedEventsShare * u.decode_pace_s) {
    u.decode_pace_s += kFasterPaceSmoothing * (s - u.decode_pace_s);
  }
}

void MarkSlowDecoders(absl::Span<UpstreamState> upstreams,
                      const PlacementPolicy& policy) {
  std::map<absl::string_view, std::vector<double>> paces;
  for (const UpstreamState& u : upstreams) {
    if (u.listed && u.decode_pace_s > 0)
      paces[u.info.service].push_back(u.decode_pace_s);
  }
  std::map<absl::string_view, double> reference_pace;
  for (auto& [service, p] : paces) {
    if (p.size() < kMinKnownPaces) continue;
    auto quantile = p.begin() + static_cast<std::ptrdiff_t>(
                                    p.size() / kFastQuantileDivisor);
    std::nth_element(p.begin(), quantile, p.end());
    reference_pace[service] = *quantile;
  }
  for (UpstreamState& u : upstreams) {
    auto it = reference_pace.find(u.info.service);
    u.slow_decode = policy.slow_decode_factor > 0 &&
                    it != reference_pace.end() &&
                    u.decode_pace_s > policy.slow_decode_factor * it->second;
  }
}

void RecordSuccess(UpstreamState& u, TimePoint now) {
  u.consecutive_failures = 0;
  u.ejected_until = std::min(u.ejected_until, now);
  u.failure_share *= 1 - kFailureSmoothing;
  ++u.answer_count;
}

void RecordFailure(UpstreamState& u, TimePoint now, bool connection,
                   const PlacementPolicy& policy) {
  // Failures that lie further apart are not in a row.
  TimePoint last = std::max(u.last_failure_at, u.ejected_until);
  if (now - last > policy.max_ejection) u.consecutive_failures = 0;
  u.failure_share += kFailureSmoothing * (1 - u.failure_share);
  u.last_failure_at = now;
  ++u.answer_count;
  if (!connection) return;
  ++u.consecutive_failures;
  if (u.consecutive_failures < policy.failures_to_eject) return;
  int doublings =
      std::min(u.consecutive_failures - policy.failures_to_eject, 6);
  Duration ejection = policy.first_ejection * (1 << doublings);
  u.ejected_until = now + std::min(ejection, policy.max_ejection);
}

void RecordLoadReport(UpstreamState& u, int running, int waiting,
                      TimePoint now) {
  u.reported_load = running + waiting;
  u.in_flight_at_report = u.in_flight;
  u.reported_at = now;
}

void RecordFirstEvent(UpstreamState& u, Duration took, Duration target,
                      const PlacementPolicy& policy) {
  if (took > std::chrono::duration_cast<Duration>(target *
                                                  policy.prefill_late_share)) {
    u.prefill_limit = std::max(1.0, u.prefill_limit * policy.prefill_backoff);
  } else {
    u.prefill_limit = std::min(policy.max_prefill_limit,
                               u.prefill_limit + policy.prefill_limit_step);
  }
}

void RecordStreamSent(UpstreamState& u, TimePoint now) {
  if (u.awaiting_first_event == 0) u.awaiting_since = now;
  ++u.awaiting_first_event;
}

void RecordFirstEventTime(UpstreamState& u, Duration took, TimePoint now) {
  --u.awaiting_first_event;
  u.first_event_s = ToSeconds(took);
  u.first_event_at = now;
  u.awaiting_since = now;
}

void RecordPrefillSent(UpstreamState& u, double tokens, TimePoint now,
                       const PlacementPolicy& policy) {
  u.pending_prefill_tokens = RemainingPrefillTokens(u, now, policy) + tokens;
  u.pending_prefill_at = now;
}

}  // namespace medlarwalk
