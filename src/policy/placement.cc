#include "placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <random>
#include <tuple>

#include "absl/strings/str_cat.h"

namespace medlarwalk {
namespace {

// Smaller failure shares have no effect.
constexpr double kNegligibleFailureShare = 0.001;
// Minimum number of answers for the failure share to be used.
constexpr int kFailureSamples = 4;
// Cost of a straggler: larger than any difference in load.
constexpr double kStragglerCost = 10;
// Upper bound of a recorded event gap, in shares of its target. The bound
// limits the effect of a stream that broke off, which says nothing about the
// gaps of other streams.
constexpr double kMaxGapShare = 1.2;

// Returns the time in seconds that a first event from `u` is expected to take,
// judged by the last one and by the streams that still wait for theirs.
double ExpectedFirstEvent(const UpstreamState& u, TimePoint now,
                          const PlacementPolicy& policy) {
  double decayed = 0;
  // Each request computes this for each engine, so an engine without a recorded
  // first event costs no exponential.
  if (u.first_event_s > 0) {
    double age = ToSeconds(now - u.first_event_at);
    decayed = u.first_event_s * std::exp(-age / policy.first_event_decay_s);
  }
  if (u.awaiting_first_event == 0) return decayed;
  return std::max(decayed, ToSeconds(now - u.awaiting_since));
}

bool Contains(absl::Span<const std::string> ids, const std::string& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

struct Candidate {
  size_t index;
  double score;
  bool busy;                   // Engine is at its load limit or prefill limit.
  bool shape_mismatch;         // Reserved for the other kind of engine work.
  uint64_t affinity_hash = 0;  // Hash of engine and prefix; 0: no affinity.

  // Orders the preferred engines of a prefix. The order is the same in every
  // entry process.
  bool PreferredOver(const Candidate& o) const {
    return std::make_pair(!shape_mismatch, affinity_hash) >
           std::make_pair(!o.shape_mismatch, o.affinity_hash);
  }
};

// Returns this process's part of the slots of one engine, multiplied by
// `share`. The engine has `slots` slots, divided among `serving` processes.
int OwnSlotShare(double share, int slots, int serving) {
  // At least two slots: with a single slot an entry could not choose between
  // equally loaded engines.
  constexpr int kLeast = 2;
  double own_slots = static_cast<double>(slots) / std::max(1, serving);
  return std::max(kLeast, static_cast<int>(std::ceil(own_slots * share)));
}

// Returns the failure share of `u` as far as it still counts for `request`.
double FailureShare(const UpstreamState& u, const PlacementRequest& request,
                    TimePoint now, const PlacementPolicy& policy) {
  if (u.failure_share < kNegligibleFailureShare) return 0;
  double half_life_s = request.retryable ? policy.retryable_failure_half_life_s
                                         : policy.final_failure_half_life_s;
  return u.failure_share *
         std::exp2(-ToSeconds(now - u.last_failure_at) / half_life_s);
}

double LoadShare(const UpstreamState& u, TimePoint now,
                 const PlacementPolicy& policy) {
  return EstimatedLoad(u, now, policy) / std::max(1, u.info.slots);
}

// Returns the number of requests at `u` that are known to be less urgent than
// `urgency` and are counted in its estimated load.
int LessUrgentAt(const UpstreamState& u, const Urgency& urgency) {
  int n = u.own_tiers.LessUrgentThan(urgency.tier);
  return u.others_known ? n + u.others_work.LessUrgentThan(urgency.level) : n;
}

// Returns whether this process has as many prefills at `u` as the limit allows,
// not counting those that are less urgent than `request`.
bool AtPrefillLimit(const UpstreamState& u, const PlacementRequest& request,
                    const PlacementPolicy& policy) {
  if (policy.first_available || request.shape != WorkShape::kPrefill)
    return false;
  int n = u.prefills_in_flight -
          u.own_prefill_tiers.LessUrgentThan(request.urgency.tier);
  return n >= std::max(1, static_cast<int>(u.prefill_limit));
}

// Returns whether `u`, whose load per slot is `load_share`, has no room for
// `request`. An engine admits the more urgent requests first, so that the less
// urgent ones leave room there. A plain upstream serves requests in order of
// arrival.
bool IsLoaded(const UpstreamState& u, const PlacementRequest& request,
              double load_share) {
  if (request.shape != WorkShape::kPlain) {
    load_share -=
        1.0 * LessUrgentAt(u, request.urgency) / std::max(1, u.info.slots);
  }
  return load_share >= request.max_load;
}

// Return whether the mark of `u` is still in force.
bool IsStraggler(const UpstreamState& u, TimePoint now,
                 const PlacementPolicy& policy) {
  return u.straggler && now - u.event_gap_at <= policy.straggler_memory;
}
bool IsSlowDecoder(const UpstreamState& u, TimePoint now,
                   const PlacementPolicy& policy) {
  return u.slow_decode && now - u.decode_pace_at <= policy.decode_pace_memory;
}

Candidate ScoreCandidate(const UpstreamState& u, size_t index,
                         const PlacementRequest& request, TimePoint now,
                         double mean_failure_share,
                         const PlacementPolicy& policy) {
  Candidate s{index, 0, false, false};
  s.score = LoadShare(u, now, policy);
  s.busy = IsLoaded(u, request, s.score) || AtPrefillLimit(u, request, policy);
  if (request.shape != WorkShape::kPlain) {
    bool reserved_for_decode = u.rank < request.decode_engines;
    s.shape_mismatch =
        request.decode_engines > 0 &&
        reserved_for_decode != (request.shape == WorkShape::kDecode);
    if (s.shape_mismatch) s.score += policy.shape_mismatch_cost;
    s.score += policy.prefill_weight * RemainingPrefillTokens(u, now, policy) /
               policy.prefill_rate / 1000.0;
    s.score += policy.first_event_weight * ExpectedFirstEvent(u, now, policy);
  }
  if (u.answer_count >= kFailureSamples) {
    double excess = FailureShare(u, request, now, policy) - mean_failure_share;
    if (excess > policy.min_failure_excess)
      s.score += policy.failure_weight * excess;
  }
  if (request.shape == WorkShape::kDecode && IsSlowDecoder(u, now, policy))
    s.score += policy.slow_decode_cost;
  if (IsStraggler(u, now, policy)) s.score += kStragglerCost;
  if (u.info.data_centre != request.data_centre) s.score += policy.remote_cost;
  if (FollowsPrefix(request) || request.subset.IsWhole()) return s;
  s.score += policy.outside_subset_cost * request.subset.Distance(u.rank);
  if (u.idle_links == 0) s.score += policy.new_link_cost;
  return s;
}

std::optional<size_t> ChoosePinnedUpstream(
    absl::Span<const UpstreamState> upstreams, const PlacementRequest& request,
    TimePoint now, const PlacementPolicy& policy) {
  std::optional<size_t> chosen;
  uint64_t best_hash = 0;
  for (size_t i = 0; i < upstreams.size(); ++i) {
    const UpstreamState& u = upstreams[i];
    if (u.info.service != request.service || !u.listed) continue;
    uint64_t h = StableHash(u.info.id, request.pinned);
    if (chosen && h <= best_hash) continue;
    chosen = i;
    best_hash = h;
  }
  if (!chosen || Contains(request.tried_ids, upstreams[*chosen].info.id))
    return std::nullopt;
  Candidate s =
      ScoreCandidate(upstreams[*chosen], *chosen, request, now, 0, policy);
  if (s.busy || !MayReceiveRequests(upstreams[*chosen], now, policy))
    return std::nullopt;
  return chosen;
}

size_t PreferredEngineCount(absl::Span<const Candidate> candidates,
                            const PlacementPolicy& policy) {
  int matching = 0;
  int busy = 0;
  for (const Candidate& s : candidates) {
    if (s.shape_mismatch) continue;
    ++matching;
    busy += s.busy;
  }
  bool spread = busy < policy.hot_busy_share * matching;
  return static_cast<size_t>(spread ? policy.hot_preferred_engines
                                    : policy.preferred_engines);
}

// Keeps only the first `count` preferred engines of a prefix: each further
// engine would prefill the prefix again, which evicts other prefixes from its
// cache. Every entry process computes the same engines without communication.
// Each engine's hash is computed once beforehand: a sort that computes the
// hashes of 3,000 engines in its comparisons takes 1.2 ms of CPU time per
// request.
void KeepPreferredEngines(size_t count, std::vector<Candidate>* candidates) {
  if (count >= candidates->size()) return;
  auto end = candidates->begin() + static_cast<std::ptrdiff_t>(count);
  auto preferred_over = [](const Candidate& a, const Candidate& b) {
    return a.PreferredOver(b);
  };
  std::nth_element(candidates->begin(), end, candidates->end(), preferred_over);
  candidates->erase(end, candidates->end());
}

// Returns the candidate with the lowest score among `request.drawn_engines`
// random ones that are not busy and do the request's kind of work; nullptr if
// there is none. `draw` is uniform in [0, 1).
const Candidate* DrawCandidate(absl::Span<const Candidate> candidates,
                               const PlacementRequest& request, double draw) {
  std::vector<const Candidate*> suitable;
  for (const Candidate& s : candidates) {
    if (!s.busy && !s.shape_mismatch) suitable.push_back(&s);
  }
  std::minstd_rand random(static_cast<uint32_t>(draw * 1e9) + 1);
  const Candidate* best = nullptr;
  for (size_t k = 0; k < request.drawn_engines && !suitable.empty(); ++k) {
    const Candidate* s = suitable[random() % suitable.size()];
    if (!best || s->score < best->score) best = s;
  }
  return best;
}

}  // namespace

double MeanFailureShare(absl::Span<const UpstreamState> upstreams,
                        const PlacementRequest& request, TimePoint now,
                        const PlacementPolicy& policy) {
  double sum = 0;
  int n = 0;
  for (const UpstreamState& u : upstreams) {
    if (u.info.service != request.service || u.answer_count < kFailureSamples) {
      continue;
    }
    sum += FailureShare(u, request, now, policy);
    ++n;
  }
  return n ? sum / n : 0;
}

bool FailsMoreThanOthers(const UpstreamState& u,
                         const PlacementRequest& request,
                         double mean_failure_share, TimePoint now,
                         const PlacementPolicy& policy) {
  return u.answer_count >= kFailureSamples &&
         FailureShare(u, request, now, policy) - mean_failure_share >
             policy.min_failure_excess;
}

double EstimatedLoad(const UpstreamState& u, TimePoint now,
                     const PlacementPolicy& policy) {
  double own = u.in_flight;
  if (u.others_known) {
    return own + u.others_work.awaiting_first_event + u.others_work.generating;
  }
  if (u.reported_at == TimePoint{}) return own;
  Duration age = now - u.reported_at;
  if (age > policy.report_lifetime) return own;
  // The load that the upstream reported, corrected by the requests that this
  // process has sent or finished since the report.
  double reported_now = std::max<double>(
      own, u.reported_load + u.in_flight - u.in_flight_at_report);
  double w = 1.0 - ToSeconds(age) / ToSeconds(policy.report_lifetime);
  return w * reported_now + (1 - w) * own;
}

bool Fits(const UpstreamState& u, const PlacementRequest& request) {
  return u.info.service == request.service &&
         (!request.build || u.info.build == *request.build);
}

bool HasUntriedUpstream(absl::Span<const UpstreamState> upstreams,
                        const PlacementRequest& request) {
  return std::any_of(upstreams.begin(), upstreams.end(), [&](const auto& u) {
    return Fits(u, request) && u.listed && !u.info.draining && !u.terminated &&
           !Contains(request.tried_ids, u.info.id);
  });
}

bool MayReceiveRequests(const UpstreamState& u, TimePoint now,
                        const PlacementPolicy& policy) {
  if (!u.listed || u.info.draining || u.at_own_limit || u.terminated)
    return false;
  if (u.no_send_slot || now < u.backoff_until) return false;
  if (!u.reachable) return false;
  if (now < u.ejected_until) return false;
  return !(u.in_flight > 0 && u.last_activity_at != TimePoint{} &&
           now - u.last_activity_at > policy.max_silence);
}

// Returns the one of `unusable` whose ejection ends first; of those that are
// only silent, the one with the fewest requests. They may all be silent for the
// same reason, and must not all get their requests at one.
std::optional<size_t> ChooseUnusable(absl::Span<const UpstreamState> upstreams,
                                     absl::Span<const size_t> unusable,
                                     TimePoint now, double draw) {
  std::optional<size_t> best;
  auto order = [&](size_t i) {
    return std::make_pair(std::max(upstreams[i].ejected_until, now),
                          upstreams[i].in_flight);
  };
  size_t n = unusable.size();
  auto start = static_cast<size_t>(draw * static_cast<double>(n));
  for (size_t k = 0; k < n; ++k) {
    size_t i = unusable[(start + k) % n];
    if (!best || order(i) < order(*best)) best = i;
  }
  return best;
}

std::optional<size_t> ChooseUpstream(absl::Span<const UpstreamState> upstreams,
                                     const PlacementRequest& request,
                                     TimePoint now, double draw,
                                     const PlacementPolicy& policy) {
  if (request.pinned != 0)
    return ChoosePinnedUpstream(upstreams, request, now, policy);
  double mean_failure_share = MeanFailureShare(upstreams, request, now, policy);
  std::vector<Candidate> candidates;
  std::vector<size_t> unusable;
  bool use_affinity = FollowsPrefix(request);
  for (size_t i = 0; i < upstreams.size(); ++i) {
    const UpstreamState& u = upstreams[i];
    if (!Fits(u, request) || !u.listed || u.info.draining) continue;
    if (Contains(request.tried_ids, u.info.id) || u.at_own_limit ||
        u.terminated)
      continue;
    // A requested backoff or rate limit holds even when no other upstream is
    // left.
    if (!u.reachable || u.no_send_slot || now < u.backoff_until) continue;
    if (!MayReceiveRequests(u, now, policy)) {
      unusable.push_back(i);
      continue;
    }
    candidates.push_back(
        ScoreCandidate(u, i, request, now, mean_failure_share, policy));
    if (use_affinity)
      candidates.back().affinity_hash = StableHash(u.info.id, request.affinity);
  }
  if (candidates.empty()) return ChooseUnusable(upstreams, unusable, now, draw);
  if (use_affinity && request.shared_tokens >= policy.min_affinity_tokens) {
    KeepPreferredEngines(PreferredEngineCount(candidates, policy), &candidates);
  }
  if (request.drawn_engines > 0) {
    const Candidate* drawn = DrawCandidate(candidates, request, draw);
    if (drawn) return drawn->index;
  }
  // A random start index breaks ties, so that entries do not all choose the
  // same upstream.
  size_t n = candidates.size();
  size_t start = static_cast<size_t>(draw * static_cast<double>(n)) % n;
  const Candidate* best = nullptr;
  for (size_t k = 0; k < n; ++k) {
    const Candidate& s = candidates[(start + k) % n];
    if (policy.first_available && !s.busy) return s.index;
    if (!s.busy && (!best || s.score < best->score)) best = &s;
  }
  // If all usable upstreams are busy, the request waits; an ejected or silent
  // upstream is no substitute.
  if (!best) return std::nullopt;
  if (!use_affinity) return best->index;
  // Chooses the first preferred engine whose score is within affinity_slack of
  // the best score.
  const Candidate* preferred = best;
  double max_score = best->score + policy.affinity_slack;
  for (const Candidate& s : candidates) {
    if (!s.busy && s.score <= max_score && s.PreferredOver(*preferred))
      preferred = &s;
  }
  return preferred->index;
}

AvailabilityCounts CountAvailability(absl::Span<const UpstreamState> upstreams,
                                     const PlacementRequest& request,
                                     TimePoint now,
                                     const PlacementPolicy& policy) {
  AvailabilityCounts n;
  for (const UpstreamState& u : upstreams) {
    if (!Fits(u, request) || !u.listed || u.info.draining) continue;
    ++n.upstreams;
    int less_urgent = LessUrgentAt(u, request.urgency);
    n.less_urgent += less_urgent;
    int full_before = n.at_own_limit + n.loaded + n.prefill_limited;
    if (u.at_own_limit) {
      ++n.at_own_limit;
    } else if (now < u.backoff_until) {
      ++n.in_backoff;
    } else if (u.no_send_slot) {
      ++n.rate_limited;
    } else if (Contains(request.tried_ids, u.info.id) ||
               !MayReceiveRequests(u, now, policy)) {
      ++n.unusable;
    } else if (IsLoaded(u, request, LoadShare(u, now, policy))) {
      ++n.loaded;
    } else if (AtPrefillLimit(u, request, policy)) {
      ++n.prefill_limited;
    } else {
      ++n.free;
    }
    int full = n.at_own_limit + n.loaded + n.prefill_limited;
    n.full_of_less_urgent += full > full_before && less_urgent > 0;
  }
  return n;
}

AvoidanceCounts CountAvoided(absl::Span<const UpstreamState> upstreams,
                             TimePoint now, const PlacementPolicy& policy) {
  PlacementRequest any;
  std::map<absl::string_view, double> mean_shares;
  AvoidanceCounts n;
  for (const UpstreamState& u : upstreams) {
    if (!u.listed || u.info.draining) continue;
    any.service = u.info.service;
    auto [it, inserted] = mean_shares.try_emplace(any.service, 0);
    if (inserted) it->second = MeanFailureShare(upstreams, any, now, policy);
    n.failing += FailsMoreThanOthers(u, any, it->second, now, policy);
    n.ejected += now < u.ejected_until;
    n.stragglers += IsStraggler(u, now, policy);
    n.slow_decoders += IsSlowDecoder(u, now, policy);
  }
  return n;
}

Duration RemainingBackoff(absl::Span<const UpstreamState> upstreams,
                          absl::string_view service, TimePoint now) {
  std::optional<TimePoint> earliest;
  for (const UpstreamState& u : upstreams) {
    if (u.info.service != service || !u.listed || u.info.draining ||
        u.terminated) {
      continue;
    }
    if (!earliest || u.backoff_until < *earliest) earliest = u.backoff_until;
  }
  return earliest && *earliest > now ? *earliest - now : Duration::zero();
}

std::optional<size_t> PreferredEngine(absl::Span<const UpstreamState> upstreams,
                                      absl::string_view service,
                                      uint64_t prefix_hash, int decode_engines,
                                      absl::string_view excluded_id,
                                      TimePoint now,
                                      const PlacementPolicy& policy) {
  std::optional<size_t> preferred;
  uint64_t best_hash = 0;
  for (size_t i = 0; i < upstreams.size(); ++i) {
    const UpstreamState& u = upstreams[i];
    if (u.info.service != service || u.rank < decode_engines ||
        !MayReceiveRequests(u, now, policy) || u.info.id == excluded_id) {
      continue;
    }
    uint64_t h = StableHash(u.info.id, prefix_hash);
    if (!preferred || h > best_hash) {
      preferred = i;
      best_hash = h;
    }
  }
  return preferred;
}

double DecodeLoad(absl::Span<const UpstreamState> upstreams,
                  absl::string_view service, int decode_engines, TimePoint now,
                  const PlacementPolicy& policy) {
  double sum = 0;
  for (const UpstreamState& u : upstreams) {
    if (u.info.service != service || !u.listed || u.info.draining ||
        u.rank >= decode_engines) {
      continue;
    }
    sum += EstimatedLoad(u, now, policy);
  }
  return sum;
}

void RecordEventGapShare(double gap_share, TimePoint now,
                         const PlacementPolicy& policy, DecodeDemand* demand) {
  double age = ToSeconds(now - demand->recent_gap_at) / policy.gap_decay_s;
  double decayed = demand->recent_gap_share * std::exp(-age);
  demand->recent_gap_share =
      std::max(decayed, std::min(gap_share, kMaxGapShare));
  demand->recent_gap_at = now;
  if (demand->recent_gap_share > policy.gap_high_share)
    demand->gaps_near_target = true;
  if (demand->recent_gap_share < policy.gap_low_share)
    demand->gaps_near_target = false;
}

int ComputeDecodeEngines(const DecodeDemand& demand, int current, int slots,
                         int engines, const PlacementPolicy& policy) {
  if (engines < policy.min_engines_to_split) return 0;
  double fill = policy.min_decode_fill +
                demand.prefill_wait_share *
                    (policy.max_decode_fill - policy.min_decode_fill);
  double needed = demand.generations_in_flight /
                  std::max(1.0, fill * static_cast<double>(slots));
  double hysteresis = policy.decode_hysteresis;
  int count =
      std::clamp(current, static_cast<int>(std::ceil(needed - hysteresis)),
                 static_cast<int>(std::ceil(needed + hysteresis)));
  int least = std::max(1, demand.gaps_near_target ? engines / 3 : engines / 6);
  return std::clamp(count, least, std::max(least, engines / 2));
}

int OwnGenerationLimit(int slots, int serving, const PlacementPolicy& policy) {
  if (policy.own_generations_share <= 0) return std::numeric_limits<int>::max();
  return OwnSlotShare(policy.own_generations_share, slots, serving);
}

bool AcceptsGeneration(const UpstreamState& u, const Urgency& urgency,
                       int slots, int serving, TimePoint now,
                       const PlacementPolicy& policy) {
  double load = EstimatedLoad(u, now, policy) - LessUrgentAt(u, urgency);
  if (u.others_known) return load < policy.max_known_generations_share * slots;
  int own = u.in_flight - u.own_tiers.LessUrgentThan(urgency.tier);
  if (own < OwnGenerationLimit(slots, serving, policy)) return true;
  if (own >= OwnSlotShare(policy.max_own_generations_share, slots, serving)) {
    return false;
  }
  bool recent_report = u.reported_at != TimePoint{} &&
                       now - u.reported_at <= policy.max_spare_report_age;
  return recent_report && load < policy.spare_load_share * slots;
}

bool FollowsPrefix(const PlacementRequest& request) {
  return request.affinity != 0 && request.shape == WorkShape::kPrefill;
}

WorkShape ClassifyWork(int64_t prompt_tokens, int64_t output_tokens,
                       const PlacementPolicy& policy) {
  return static_cast<double>(output_tokens) >=
                 policy.decode_share * static_cast<double>(prompt_tokens)
             ? WorkShape::kDecode
             : WorkShape::kPrefill;
}

RankedCounts RankUpstreams(absl::Span<UpstreamState> upstreams) {
  struct RankEntry {
    uint64_t hash;
    UpstreamState* upstream;
  };
  std::map<absl::string_view, std::vector<RankEntry>> services;
  for (UpstreamState& u : upstreams) {
    u.rank = 0;
    if (!u.listed || u.info.draining) continue;
    services[u.info.service].push_back({StableHash(u.info.id), &u});
  }
  RankedCounts counts;
  for (auto& [service, entries] : services) {
    std::sort(entries.begin(), entries.end(),
              [](const RankEntry& a, const RankEntry& b) {
                return std::tie(a.hash, a.upstream->info.id) <
                       std::tie(b.hash, b.upstream->info.id);
              });
    for (size_t i = 0; i < entries.size(); ++i) {
      entries[i].upstream->rank = static_cast<int>(i);
    }
    counts[std::string(service)] = static_cast<int>(entries.size());
  }
  return counts;
}

}  // namespace medlarwalk
