// Learns how fast engines prefill and decode, and predicts the first event and
// the longest event gap of a stream from the work at its engine. Pure; callers
// pass the current time.
//
// Load pattern: engines of unequal pace, with prompts of hundreds to thousands
// of tokens beside streams whose event gaps must stay short. A limit that
// counts prompts fits one length of prompts and one pace only. An entry sends a
// single engine less than one prompt a second, so the prefill rate and the
// fixed part are learned over all engines of a service, and of each engine only
// how much slower it is.
#ifndef MEDLARWALK_ENGINE_FORECAST_H_
#define MEDLARWALK_ENGINE_FORECAST_H_

#include <optional>

#include "absl/types/span.h"
#include "engine_load.h"
#include "types.h"

namespace medlarwalk {

// Parameters of the forecast.
struct ForecastPolicy {
  // Pace of an engine while nothing has been observed of any. Tokens per
  // millisecond, milliseconds.
  double default_prefill_rate = 30;
  double default_fixed_ms = 20;
  double default_idle_gap_ms = 30;
  // Time constant with which the observations of a service lose weight.
  double service_memory_s = 15;
  // Time constant with which the observed slowness of one engine fades: it is
  // tried again within seconds.
  double engine_memory_s = 5;
  // A pace that another process has observed is used up to this age.
  Millis max_published_age{4000};
};

// One first event: prompt tokens that the engine had to prefill before those of
// the request, tokens of the request itself, and the time from sending.
struct FirstEventSample {
  double tokens_ahead = 0;
  double own_tokens = 0;
  double took_ms = 0;
};

// What this process has observed of one engine.
struct ObservedPace {
  // Natural logarithm of the engine's prefill time relative to the service's,
  // as of `slowdown_at`.
  double log_slowdown = 0;
  TimePoint slowdown_at{};
  double idle_gap_ms = 0;  // Event gap without prefills; 0: unknown.
  TimePoint idle_gap_at{};
  // Longest event gap of the current second and of the one before.
  double longest_gap_ms = 0;
  double previous_longest_gap_ms = 0;
  TimePoint longest_gap_since{};
  // What other processes have observed: mean over the recent observations of
  // log_slowdown and of the event gap without prefills (0: unknown), and the
  // time of the newest.
  double others_log_slowdown = 0;
  double others_idle_gap_ms = 0;
  TimePoint others_at{};
};

// Pace of one engine as used in predictions.
struct EngineForecast {
  double prefill_rate = 30;   // Prompt tokens per millisecond.
  double fixed_ms = 20;       // Part of a first event that no prompt explains.
  double idle_gap_ms = 30;    // Event gap without prefills.
  double longest_gap_ms = 0;  // Longest event gap of the last seconds.
};

// Prefill rate and fixed part of the engines of one service, learned from the
// first events that this process has received. Thread safety: loop thread only.
class ServiceForecast {
 public:
  explicit ServiceForecast(const ForecastPolicy& policy) : policy_(policy) {}

  // Records a first event of the engine `pace`.
  void RecordFirstEvent(const FirstEventSample& sample, TimePoint now,
                        ObservedPace* pace);
  // Records a gap between two consecutive events of a stream at the engine
  // `pace`. `pending_prefill`: prompt tokens that are known to wait there.
  void RecordEventGap(Duration gap, int64_t pending_prefill, TimePoint now,
                      ObservedPace* pace) const;
  // Returns the mean prefill rate, in tokens per millisecond.
  double prefill_rate() const { return 1 / ms_per_token_; }
  double fixed_ms() const { return fixed_ms_; }

  // Records the newest observation `published` of any other process. Single
  // observations vary, and all processes get the same ones, so that an engine
  // which one of them shows as fast would get the prompts of all.
  // `reference_rate`: the median published prefill rate of the service, because
  // processes that judge all engines differently still agree on the order.
  void RecordPublished(const EnginePace& published, double reference_rate,
                       TimePoint now, ObservedPace* pace) const;
  // Returns the pace to predict with, from the observations of an engine; the
  // younger ones have more weight. Where none is known, the pace is that of the
  // service; `service_idle_gap_ms`: its median event gap without prefills, 0 if
  // unknown. `longest_gap`: the published one.
  EngineForecast ForecastFor(const ObservedPace& pace, Millis longest_gap,
                             double service_idle_gap_ms, TimePoint now) const;
  // Returns the observation `own` in the form in which it is published.
  EnginePace PaceToPublish(const ObservedPace& own, TimePoint now) const;

 private:
  void Fit();

  ForecastPolicy policy_;
  // Sums of the weighted samples (x: tokens, y: milliseconds).
  double n_ = 0, x_ = 0, y_ = 0, xx_ = 0, xy_ = 0;
  TimePoint updated_at_{};
  bool fitted_ = false;
  double ms_per_token_ = 1 / policy_.default_prefill_rate;
  double fixed_ms_ = policy_.default_fixed_ms;
};

// Returns the time until the first event of a prompt of `own_tokens` tokens, of
// which none is cached, behind `tokens_ahead` tokens. Milliseconds.
double PredictFirstEventMs(const EngineForecast& f, double tokens_ahead,
                           double own_tokens);

// Returns the longest event gap of a stream at an engine that has
// `pending_tokens` prompt tokens to prefill. Milliseconds. One gap can contain
// at most the prefills that wait when it begins, and what arrives meanwhile.
double PredictLongestGapMs(const EngineForecast& f, double pending_tokens);

// Returns the prompt tokens that may wait at an engine whose streams must have
// no event gap over `gap_target_ms`; `share`: part of the gap beyond the idle
// one that known prompts may fill. Infinite if the target is 0 (no streams).
double PendingPrefillLimit(const EngineForecast& f, double gap_target_ms,
                           double share);

}  // namespace medlarwalk

#endif  // MEDLARWALK_ENGINE_FORECAST_H_
