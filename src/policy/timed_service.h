// What this process knows of one service whose entries share the load of their
// engines: learned paces, own recent demand, and the common order of engines.
// Pure; callers pass the current time.
//
// Load pattern: demand that jumps within a second. What the other entries send
// before their next report arrives can only be estimated from the demand of
// this process, because callers spread over all entries.
#ifndef MEDLARWALK_TIMED_SERVICE_H_
#define MEDLARWALK_TIMED_SERVICE_H_

#include <functional>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "engine_forecast.h"
#include "placement.h"
#include "timed_placement.h"
#include "types.h"

namespace medlarwalk {

// Amount per second over about the last half second.
class RecentRate {
 public:
  void Add(double amount, TimePoint now);
  double PerSecond(TimePoint now) const;

 private:
  double sum_ = 0;  // Decayed sum as of `at_`.
  TimePoint at_{};
};

// Tightest event gap target that occurred in the last seconds.
struct RecentGapTarget {
  double ms = 0;  // 0: none.
  TimePoint at{};

  void Record(double gap_target_ms, TimePoint now);
  double Current(TimePoint now) const;
};

// Thread safety: loop thread only.
struct TimedService {
  explicit TimedService(const ForecastPolicy& policy) : forecast(policy) {}

  ServiceForecast forecast;
  // Sent by this process: prompt tokens of requests that are not packed, and
  // number of packed streams.
  RecentRate prompt_tokens;
  RecentRate tried_tokens;  // Of all tries to send such a request.
  RecentRate packed_streams;
  // Tightest event gap targets of packed and of other streams.
  RecentGapTarget packed_gap;
  RecentGapTarget other_gap;
  // Factor of the share of gap targets that waiting prompts may fill, and when
  // it was last adapted.
  double gap_share_factor = 1;
  TimePoint gap_share_adapted_at{};
  // Indexes of the service's upstreams in the order that all entries share.
  std::vector<size_t> order;
  double idle_gap_ms = 0;               // Median of the engines; 0: unknown.
  TimePoint last_pass_at{};             // Over the waiting requests.
  std::vector<EnginePace> published;    // In the order of `order`.
  std::vector<double> scratch;          // Reused by medians.
  std::vector<TimedEngine> candidates;  // Reused by each placement.
};

// Share of the other processes in the own work of this one, and its age.
struct OthersView {
  int process_count = 1;
  // Age of the shared load; negative: none has arrived for so long that the
  // work of the others is estimated.
  Duration age{};
};

// Records a try to send a request with a prompt of `prompt_tokens` tokens.
void RecordTry(const TimedRequest& request, double prompt_tokens, TimePoint now,
               TimedService* service);
// Records a request that is sent; `prompt_tokens`: tokens to prefill.
void RecordTimedSend(const TimedRequest& request, double prompt_tokens,
                     TimePoint now, TimedService* service);

// Returns what the entries are expected to have sent since their last reports.
UnseenWork EstimateUnseenWork(const TimedService& service,
                              const OthersView& others, TimePoint now);

// Returns an estimate of the work of all other processes at an engine where
// this one has the work `own`. `mean_own`: mean of its work over all engines.
// Half follows the own work there, because entries share the order of engines
// and the homes of prompt parts; half is spread evenly.
EngineWork EstimateOthersWork(const EngineWork& own, const EngineWork& mean_own,
                              int process_count);

// Updates the paces of the engines in the order of `service`. `published`:
// returns what other processes have observed of an engine.
void RefreshPaces(absl::Span<UpstreamState> upstreams,
                  const std::function<EnginePace(EngineKey)>& published,
                  TimePoint now, TimedService* service);

// Raises gap_share_factor while hardly an engine had an event gap near the
// target in the last second, and lowers it while several had.
void AdaptGapShare(absl::Span<const UpstreamState> upstreams, TimePoint now,
                   TimedService* service);

// Returns the median of the known values among `values`, which it reorders; 0
// if none is known (above 0).
double MedianOfKnown(std::vector<double>* values);

// Sets the order of the upstreams of `name`, and the median event gap without
// prefills, from `upstreams`.
void RefreshService(absl::Span<const UpstreamState> upstreams,
                    absl::string_view name, TimedService* service);

}  // namespace medlarwalk

#endif  // MEDLARWALK_TIMED_SERVICE_H_
