#include "timed_service.h"

#include <algorithm>
#include <cmath>

namespace medlarwalk {
namespace {

// Time constant of recent rates: long enough for some requests, short enough to
// follow a jump.
constexpr double kRateMemoryS = 0.5;
// Time for which a packed stream keeps engines free for others of its kind.
constexpr auto kTightGapMemory = std::chrono::seconds(5);
// Bounds of the time for which sends of other processes are unseen: what is
// told takes at least a reporting interval, and an estimate over more than a
// second says nothing.
constexpr double kMinUnseenS = 0.1;
constexpr double kMaxUnseenS = 1;
// Share of its time that a busy engine spends on prefills.
constexpr double kBusyShare = 0.7;

}  // namespace

void RecentRate::Add(double amount, TimePoint now) {
  sum_ = sum_ * std::exp(-ToSeconds(now - at_) / kRateMemoryS) + amount;
  at_ = now;
}

double RecentRate::PerSecond(TimePoint now) const {
  return sum_ * std::exp(-ToSeconds(now - at_) / kRateMemoryS) / kRateMemoryS;
}

void RecordTimedSend(const TimedRequest& request, double prompt_tokens,
                     TimePoint now, TimedService* service) {
  if (!request.packed) {
    service->prompt_tokens.Add(prompt_tokens, now);
    service->prompts.Add(1, now);
    return;
  }
  service->packed_streams.Add(1, now);
  bool outdated = now - service->tightest_packed_at > kTightGapMemory;
  double& tightest = service->tightest_packed_gap_ms;
  if (request.gap_target_ms <= 0) return;
  if (tightest == 0 || outdated || request.gap_target_ms <= tightest) {
    tightest = request.gap_target_ms;
    service->tightest_packed_at = now;
  }
}

UnseenWork EstimateUnseenWork(const TimedService& service,
                              const OthersView& others, TimePoint now) {
  UnseenWork out;
  double age_s =
      others.age < Duration::zero()
          ? kMaxUnseenS
          : std::clamp(ToSeconds(others.age), kMinUnseenS, kMaxUnseenS);
  double factor = age_s * (others.process_count - 1);
  size_t engines = std::max<size_t>(1, service.order.size());
  double tokens_per_s = service.prompt_tokens.PerSecond(now);
  out.prompt_tokens = tokens_per_s * factor / static_cast<double>(engines);
  double prompts_per_s = service.prompts.PerSecond(now);
  // The number of prompts at one engine varies like the arrivals of a Poisson
  // process.
  if (prompts_per_s > 0) {
    out.prompt_variation =
        std::sqrt(out.prompt_tokens * tokens_per_s / prompts_per_s);
  }
  if (others.age >= Duration::zero()) out.worked_ms = kBusyShare * age_s * 1000;
  out.streams = service.packed_streams.PerSecond(now) * factor;
  if (now - service.tightest_packed_at <= kTightGapMemory)
    out.tightest_gap_ms = service.tightest_packed_gap_ms;
  return out;
}

EngineWork EstimateOthersWork(const EngineWork& own, const EngineWork& mean_own,
                              int process_count) {
  EngineWork out = own;
  out.Add(mean_own);
  int others = std::max(0, process_count - 1);
  for (int64_t& n : out.pending_prefill) n = n * others / 2;
  out.awaiting_first_event = out.awaiting_first_event * others / 2;
  out.generating = out.generating * others / 2;
  out.memory_tokens = out.memory_tokens * others / 2;
  return out;
}

EngineWork DividedWork(const EngineWork& work, int n) {
  EngineWork out;
  for (size_t i = 0; i < out.pending_prefill.size(); ++i)
    out.pending_prefill[i] = work.pending_prefill[i] / n;
  out.awaiting_first_event = work.awaiting_first_event / n;
  out.generating = work.generating / n;
  out.memory_tokens = work.memory_tokens / n;
  return out;
}

void RefreshService(absl::Span<const UpstreamState> upstreams,
                    absl::string_view name, TimedService* service) {
  service->order.clear();
  std::vector<double> gaps;
  for (size_t i = 0; i < upstreams.size(); ++i) {
    const UpstreamState& u = upstreams[i];
    if (u.info.service != name || !u.listed) continue;
    service->order.push_back(i);
    if (u.observed_pace.idle_gap_ms > 0)
      gaps.push_back(u.observed_pace.idle_gap_ms);
  }
  std::sort(service->order.begin(), service->order.end(),
            [&](size_t a, size_t b) {
              return upstreams[a].rank < upstreams[b].rank;
            });
  if (gaps.empty()) return;
  auto middle = gaps.begin() + static_cast<std::ptrdiff_t>(gaps.size() / 2);
  std::nth_element(gaps.begin(), middle, gaps.end());
  service->idle_gap_ms = *middle;
}

}  // namespace medlarwalk
