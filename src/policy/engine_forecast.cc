#include "engine_forecast.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace medlarwalk {
namespace {

// Bounds of what is learned: tokens per millisecond and milliseconds.
constexpr double kMinPrefillRate = 2;
constexpr double kMaxPrefillRate = 1000;
constexpr double kMinFixedMs = 1;
constexpr double kMaxFixedMs = 150;
// The default pace counts like this many samples, half of them of a short
// prompt and half of a prompt of this many tokens.
constexpr double kPriorSamples = 1;
constexpr double kPriorTokens = 2000;
// Weight of a first event that took longer than predicted, beside one that took
// less. Most late ones waited behind prompts that were not known here.
constexpr double kLateWeight = 0.1;
// A first event counts as at most this many times as long as predicted.
constexpr double kMaxLateFactor = 1.5;
// Weight of a sample that shows an engine as slower than known, beside one that
// shows it as faster.
constexpr double kSlowerWeight = 0.3;
// Least weight of a prompt that waited behind others.
constexpr double kMinQueuedWeight = 0.05;
// Weight of the newest sample in the slowness of one engine, and bounds of one
// sample.
constexpr double kSlowdownSmoothing = 0.35;
constexpr double kMinSlowdown = 0.3;
constexpr double kMaxSlowdown = 8;
// Weights of an event gap below and above the known idle one. They differ
// because a gap is longer while prompts are prefilled that this process does
// not know of, and never too short but for events that arrive together, which
// the last constant leaves out.
constexpr double kShorterGapSmoothing = 0.2;
constexpr double kLongerGapSmoothing = 0.02;
constexpr double kBunchedEventsShare = 0.5;
// An engine with more pending prefill than this says nothing of idle gaps.
constexpr int64_t kIdlePendingTokens = 200;
constexpr auto kLongestGapWindow = std::chrono::seconds(1);
// Weight of the newest published observation in the mean of them.
constexpr double kPublishedSmoothing = 0.1;
// Weights of the mean over all other processes, and of the service's event gap,
// beside a new observation of this process.
constexpr double kOthersWeight = 2;
constexpr double kServiceWeight = 0.3;
// Weight and bounds of the slowness that the event gap without prefills shows
// against the service's. An engine that decodes slowly prefills slowly as well,
// and gaps are known much better than first events.
constexpr double kGapSlowdownWeight = 4;
constexpr double kMinGapSlowdown = 0.6;
constexpr double kMaxGapSlowdown = 2.5;
// Age at which an observation has a third of the weight of a new one.
constexpr double kObservationMemoryMs = 2000;

// Returns the weight of an observation of this age.
double WeightAtAge(double age_ms) {
  return std::exp(-std::max(0.0, age_ms) / kObservationMemoryMs);
}

double MsSince(TimePoint then, TimePoint now) {
  return ToSeconds(now - then) * 1000;
}

// Returns the longest gap of the window that has ended and of the running one.
double RecentLongestGap(const ObservedPace& p, TimePoint now) {
  Duration age = now - p.longest_gap_since;
  if (age >= 2 * kLongestGapWindow) return 0;
  if (age >= kLongestGapWindow) return p.longest_gap_ms;
  return std::max(p.longest_gap_ms, p.previous_longest_gap_ms);
}

}  // namespace

void ServiceForecast::RecordFirstEvent(const FirstEventSample& sample,
                                       TimePoint now, ObservedPace* pace) {
  // Only the request's own tokens count in the fit: how many are ahead of it is
  // known too badly under load, and the early first events are those without.
  double own = sample.own_tokens;
  double tokens = sample.tokens_ahead + own;
  double predicted = fixed_ms_ + own * ms_per_token_;
  double weight = std::max(kMinQueuedWeight, own / std::max(1.0, tokens));
  if (sample.took_ms > predicted) weight *= kLateWeight;
  double took_ms = std::min(sample.took_ms, kMaxLateFactor * predicted);
  double keep =
      fitted_
          ? std::exp(-ToSeconds(now - updated_at_) / policy_.service_memory_s)
          : 0;
  updated_at_ = now;
  fitted_ = true;
  n_ = n_ * keep + weight;
  x_ = x_ * keep + weight * own;
  y_ = y_ * keep + weight * took_ms;
  xx_ = xx_ * keep + weight * own * own;
  xy_ = xy_ * keep + weight * own * took_ms;
  Fit();

  double prefill_ms = tokens * ms_per_token_;
  double ratio = std::clamp(
      std::max(0.0, sample.took_ms - fixed_ms_) / std::max(0.1, prefill_ms),
      kMinSlowdown, kMaxSlowdown);
  double known =
      pace->log_slowdown *
      std::exp(-ToSeconds(now - pace->slowdown_at) / policy_.engine_memory_s);
  double share = kSlowdownSmoothing * prefill_ms / (prefill_ms + fixed_ms_);
  if (ratio > 1) share *= kSlowerWeight;
  pace->log_slowdown = known + share * (std::log(ratio) - known);
  pace->slowdown_at = now;
}

// Fits a line through the samples and the default pace.
void ServiceForecast::Fit() {
  double half = kPriorSamples / 2;
  double prior_ms =
      policy_.default_fixed_ms + kPriorTokens / policy_.default_prefill_rate;
  double n = n_ + kPriorSamples;
  double x = x_ + half * kPriorTokens;
  double y = y_ + half * (policy_.default_fixed_ms + prior_ms);
  double xx = xx_ + half * kPriorTokens * kPriorTokens;
  double xy = xy_ + half * kPriorTokens * prior_ms;
  double slope = (n * xy - x * y) / std::max(1e-9, n * xx - x * x);
  ms_per_token_ = std::clamp(slope, 1 / kMaxPrefillRate, 1 / kMinPrefillRate);
  fixed_ms_ = std::clamp((y - ms_per_token_ * x) / n, kMinFixedMs, kMaxFixedMs);
}

void ServiceForecast::RecordEventGap(Duration gap, int64_t pending_prefill,
                                     TimePoint now, ObservedPace* pace) const {
  double ms = ToSeconds(gap) * 1000;
  if (now - pace->longest_gap_since >= kLongestGapWindow) {
    pace->previous_longest_gap_ms = RecentLongestGap(*pace, now);
    pace->longest_gap_ms = 0;
    pace->longest_gap_since = now;
  }
  pace->longest_gap_ms = std::max(pace->longest_gap_ms, ms);
  if (pending_prefill > kIdlePendingTokens) return;
  double& idle = pace->idle_gap_ms;
  if (idle == 0) {
    idle = std::min(ms, policy_.default_idle_gap_ms);
  } else if (ms >= idle) {
    idle += kLongerGapSmoothing * (ms - idle);
  } else if (ms > kBunchedEventsShare * idle) {
    idle += kShorterGapSmoothing * (ms - idle);
  }
  pace->idle_gap_at = now;
}

void ServiceForecast::RecordPublished(const EnginePace& published,
                                      double reference_rate, TimePoint now,
                                      ObservedPace* pace) const {
  TimePoint observed_at = now - published.age;
  if (published.age > policy_.max_published_age ||
      observed_at <= pace->others_at) {
    return;
  }
  pace->others_at = observed_at;
  if (published.prefill_tokens_per_ms > 0) {
    double slowdown =
        std::log(reference_rate / published.prefill_tokens_per_ms);
    pace->others_log_slowdown +=
        kPublishedSmoothing * (slowdown - pace->others_log_slowdown);
  }
  auto gap_ms = static_cast<double>(published.idle_event_gap.count());
  double& known = pace->others_idle_gap_ms;
  if (gap_ms <= 0) return;
  double smoothing = gap_ms < known ? kPublishedSmoothing : kLongerGapSmoothing;
  known = known == 0 ? gap_ms : known + smoothing * (gap_ms - known);
}

EngineForecast ServiceForecast::ForecastFor(const ObservedPace& pace,
                                            Millis longest_gap,
                                            double service_idle_gap_ms,
                                            TimePoint now) const {
  EngineForecast f;
  f.fixed_ms = fixed_ms_;
  double others_weight =
      kOthersWeight * WeightAtAge(MsSince(pace.others_at, now));
  double own_rate_weight = WeightAtAge(MsSince(pace.slowdown_at, now));
  double others_rate_weight = others_weight;
  double service_gap_ms = service_idle_gap_ms > 0 ? service_idle_gap_ms
                                                  : policy_.default_idle_gap_ms;
  double own_weight =
      pace.idle_gap_ms > 0 ? WeightAtAge(MsSince(pace.idle_gap_at, now)) : 0;
  if (pace.others_idle_gap_ms == 0) others_weight = 0;
  f.idle_gap_ms =
      (own_weight * pace.idle_gap_ms + others_weight * pace.others_idle_gap_ms +
       kServiceWeight * service_gap_ms) /
      (own_weight + others_weight + kServiceWeight);
  double by_gap = std::log(std::clamp(f.idle_gap_ms / service_gap_ms,
                                      kMinGapSlowdown, kMaxGapSlowdown));
  double slowdown =
      std::exp((own_rate_weight * pace.log_slowdown +
                others_rate_weight * pace.others_log_slowdown +
                kGapSlowdownWeight * by_gap) /
               (own_rate_weight + others_rate_weight + kGapSlowdownWeight));
  f.prefill_rate =
      std::clamp(prefill_rate() / slowdown, kMinPrefillRate, kMaxPrefillRate);
  f.longest_gap_ms = std::max(RecentLongestGap(pace, now),
                              static_cast<double>(longest_gap.count()));
  return f;
}

EnginePace ServiceForecast::PaceToPublish(const ObservedPace& own,
                                          TimePoint now) const {
  EnginePace out;
  TimePoint newest = std::max(own.slowdown_at, own.idle_gap_at);
  if (newest == TimePoint{} || now - newest > policy_.max_published_age)
    return out;
  out.age = std::chrono::duration_cast<Millis>(now - newest);
  if (own.slowdown_at != TimePoint{}) {
    double fade =
        std::exp(-ToSeconds(now - own.slowdown_at) / policy_.engine_memory_s);
    out.prefill_tokens_per_ms =
        prefill_rate() / std::exp(own.log_slowdown * fade);
  }
  out.idle_event_gap = Millis(std::lround(own.idle_gap_ms));
  out.longest_event_gap = Millis(std::lround(RecentLongestGap(own, now)));
  return out;
}

double PredictFirstEventMs(const EngineForecast& f, double tokens_ahead,
                           double own_tokens) {
  return f.fixed_ms + (tokens_ahead + own_tokens) / f.prefill_rate;
}

double PredictLongestGapMs(const EngineForecast& f, double pending_tokens) {
  return f.idle_gap_ms + pending_tokens / f.prefill_rate;
}

double PendingPrefillLimit(const EngineForecast& f, double gap_target_ms,
                           double share) {
  if (gap_target_ms <= 0) return std::numeric_limits<double>::infinity();
  return std::max(0.0, gap_target_ms - f.idle_gap_ms) * share * f.prefill_rate;
}

}  // namespace medlarwalk
