#include "placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <tuple>

#include "absl/strings/str_cat.h"

namespace medlarwalk {
namespace {

// Weight of the newest answer in the smoothed failure share.
constexpr double kFailureSmoothing = 0.15;
// Answers before an upstream's failure share says anything.
constexpr int kFailureSamples = 4;
// Above any difference in load.
constexpr double kStragglerCost = 10;
// Weight of the newest gap in the smoothed one.
constexpr double kGapSmoothing = 0.2;
// Weight of a new pace that is quicker than the one known, and of one that is
// slower: a busy engine is slow for a while, an idle one is never too quick.
constexpr double kQuickerSmoothing = 0.3;
constexpr double kSlowerSmoothing = 0.01;
// Quicker than this share of the pace known, events were held up on their way
// and came together.
constexpr double kHeldUpShare = 0.5;
// Engines whose pace is known before any is slow, and the inverse of the share
// that is quicker than the one whose pace the others are compared with.
constexpr size_t kPacesNeeded = 4;
constexpr size_t kQuickShareInverse = 4;
// The most a pause counts: an upstream that broke off says nothing of others.
constexpr double kMostPause = 1.2;

double PrefillLeft(const UpstreamBoard& u, TimePoint now,
                   const PlacementPolicy& policy) {
  double ms =
      std::chrono::duration<double, std::milli>(now - u.prefill_at).count();
  return std::max(0.0, u.prefill_tokens - ms * policy.prefill_rate);
}

bool Contains(absl::Span<const std::string> ids, const std::string& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

struct Scored {
  size_t index;
  double score;
  bool busy;          // Gets no more now.
  bool wrong_shape;   // Kept for the other shape of work.
  uint64_t hash = 0;  // With the prompt part, where that has homes.

  // The order of a part's homes: the same for every entry process.
  bool HomeBefore(const Scored& o) const {
    return std::make_pair(!wrong_shape, hash) >
           std::make_pair(!o.wrong_shape, o.hash);
  }
};

// `share` of one of `serving` processes' parts of `slots`.
int OwnPart(double share, int slots, int serving) {
  // One alone would leave an entry without a choice between equals.
  constexpr int kLeast = 2;
  double part = static_cast<double>(slots) / std::max(1, serving);
  return std::max(kLeast, static_cast<int>(std::ceil(part * share)));
}

// The average failure share of the service's upstreams.
double UsualFailureShare(absl::Span<const UpstreamBoard> boards,
                         absl::string_view service) {
  double sum = 0;
  int n = 0;
  for (const UpstreamBoard& u : boards) {
    if (u.info.service != service || u.answers < kFailureSamples) continue;
    sum += u.failure_share;
    ++n;
  }
  return n ? sum / n : 0;
}

double LoadShare(const UpstreamBoard& u, TimePoint now,
                 const PlacementPolicy& policy) {
  return EstimatedLoad(u, now, policy) / std::max(1, u.info.slots);
}

// Whether as many own prompts are being read at `u` as this process allows.
bool ReadsEnough(const UpstreamBoard& u, const PlacementAsk& ask,
                 const PlacementPolicy& policy) {
  return !policy.blind && ask.shape == WorkShape::kPrefill &&
         u.reading >= std::max(1, static_cast<int>(u.reading_limit));
}

Scored ScoreOf(const UpstreamBoard& u, size_t index, const PlacementAsk& ask,
               TimePoint now, double usual_share,
               const PlacementPolicy& policy) {
  Scored s{index, 0, false, false};
  s.score = LoadShare(u, now, policy);
  s.busy = s.score >= ask.most_load || ReadsEnough(u, ask, policy);
  if (ask.shape != WorkShape::kPlain) {
    bool kept_for_decode = u.rank < ask.decode_engines;
    s.wrong_shape = ask.decode_engines > 0 &&
                    kept_for_decode != (ask.shape == WorkShape::kDecode);
    if (s.wrong_shape) s.score += policy.wrong_shape_cost;
    s.score += policy.prefill_weight * PrefillLeft(u, now, policy) /
               policy.prefill_rate / 1000.0;
  }
  if (u.answers >= kFailureSamples) {
    s.score +=
        policy.failure_weight * std::max(0.0, u.failure_share - usual_share);
  }
  if (u.slow && ask.shape == WorkShape::kDecode) s.score += policy.slow_cost;
  if (u.straggler) s.score += kStragglerCost;
  if (u.info.data_centre != ask.data_centre) s.score += policy.remote_cost;
  return s;
}

std::optional<size_t> PlacePinned(absl::Span<const UpstreamBoard> boards,
                                  const PlacementAsk& ask, TimePoint now,
                                  const PlacementPolicy& policy) {
  std::optional<size_t> home;
  uint64_t best = 0;
  for (size_t i = 0; i < boards.size(); ++i) {
    const UpstreamBoard& u = boards[i];
    if (u.info.service != ask.service || !u.listed) continue;
    uint64_t h = StableHash(u.info.id, ask.pinned);
    if (home && h <= best) continue;
    home = i;
    best = h;
  }
  if (!home || Contains(ask.avoid, boards[*home].info.id)) return std::nullopt;
  Scored s = ScoreOf(boards[*home], *home, ask, now, 0, policy);
  if (s.busy || !Usable(boards[*home], now, policy)) return std::nullopt;
  return home;
}

size_t HomesFor(absl::Span<const Scored> usable,
                const PlacementPolicy& policy) {
  int right = 0;
  int busy = 0;
  for (const Scored& s : usable) {
    if (s.wrong_shape) continue;
    ++right;
    busy += s.busy;
  }
  bool room = busy < policy.hot_busy_share * right;
  return static_cast<size_t>(room ? policy.hot_homes : policy.homes);
}

// Leaves the homes of a prompt part: the same for every entry process without
// talking. A part that is spread over more engines is read again on each and
// crowds others out of their memory. Each engine is looked at once: sorted by
// hashes that the comparisons computed, 3,000 took 1.2 ms of a core a request.
void KeepHomes(size_t homes, std::vector<Scored>* usable) {
  if (homes >= usable->size()) return;
  auto end = usable->begin() + static_cast<std::ptrdiff_t>(homes);
  auto before = [](const Scored& a, const Scored& b) {
    return a.HomeBefore(b);
  };
  std::nth_element(usable->begin(), end, usable->end(), before);
  usable->erase(end, usable->end());
}

}  // namespace

double EstimatedLoad(const UpstreamBoard& u, TimePoint now,
                     const PlacementPolicy& policy) {
  double own = u.in_flight;
  if (u.reported_at == TimePoint{}) return own;
  Duration age = now - u.reported_at;
  if (age > policy.report_trust) return own;
  // What was told, corrected by what this process has sent and got since.
  double told =
      std::max<double>(own, u.reported + u.in_flight - u.reported_in_flight);
  double w = 1.0 - ToSeconds(age) / ToSeconds(policy.report_trust);
  return w * told + (1 - w) * own;
}

bool AnyLeft(absl::Span<const UpstreamBoard> boards, const PlacementAsk& ask) {
  return std::any_of(boards.begin(), boards.end(), [&](const auto& u) {
    return u.info.service == ask.service && u.listed && !u.info.leaving &&
           !u.ended && !Contains(ask.avoid, u.info.id);
  });
}

bool Usable(const UpstreamBoard& u, TimePoint now,
            const PlacementPolicy& policy) {
  if (!u.listed || u.info.leaving || u.full || u.ended) return false;
  if (u.no_turn || now < u.rest_until) return false;
  if (!u.reachable) return false;
  if (now < u.aside_until) return false;
  return !(u.in_flight > 0 && u.quiet_since != TimePoint{} &&
           now - u.quiet_since > policy.quiet_limit);
}

std::optional<size_t> Place(absl::Span<const UpstreamBoard> boards,
                            const PlacementAsk& ask, TimePoint now, double draw,
                            const PlacementPolicy& policy) {
  if (ask.pinned != 0) return PlacePinned(boards, ask, now, policy);
  double usual_share = UsualFailureShare(boards, ask.service);
  std::vector<Scored> usable;
  std::optional<size_t> fallback;
  bool homes = ask.affinity != 0 && ask.shape == WorkShape::kPrefill;
  for (size_t i = 0; i < boards.size(); ++i) {
    const UpstreamBoard& u = boards[i];
    if (u.info.service != ask.service || !u.listed || u.info.leaving) continue;
    if (Contains(ask.avoid, u.info.id) || u.full || u.ended) continue;
    // What an upstream has asked for holds also where nothing else is left.
    if (!u.reachable || u.no_turn || now < u.rest_until) continue;
    if (!Usable(u, now, policy)) {
      if (!fallback || u.aside_until < boards[*fallback].aside_until) {
        fallback = i;
      }
      continue;
    }
    usable.push_back(ScoreOf(u, i, ask, now, usual_share, policy));
    if (homes) usable.back().hash = StableHash(u.info.id, ask.affinity);
  }
  if (usable.empty()) return fallback;
  if (homes && ask.shared_tokens >= policy.home_tokens) {
    KeepHomes(HomesFor(usable, policy), &usable);
  }
  // Equals are told apart by lot, so that entries do not all pick the same.
  size_t n = usable.size();
  size_t start = static_cast<size_t>(draw * static_cast<double>(n)) % n;
  const Scored* best = nullptr;
  for (size_t k = 0; k < n; ++k) {
    const Scored& s = usable[(start + k) % n];
    if (policy.blind && !s.busy) return s.index;
    if (!s.busy && (!best || s.score < best->score)) best = &s;
  }
  // Busy is no reason to try one that does not work.
  if (!best) return std::nullopt;
  if (!homes) return best->index;
  // The first home that is not clearly busier than the best.
  const Scored* first = best;
  double most = best->score + policy.affinity_slack;
  for (const Scored& s : usable) {
    if (!s.busy && s.score <= most && s.HomeBefore(*first)) first = &s;
  }
  return first->index;
}

NoPlaceCounts CountNoPlace(absl::Span<const UpstreamBoard> boards,
                           const PlacementAsk& ask, TimePoint now,
                           const PlacementPolicy& policy) {
  NoPlaceCounts n;
  for (const UpstreamBoard& u : boards) {
    if (u.info.service != ask.service || !u.listed || u.info.leaving) continue;
    ++n.upstreams;
    if (u.full) {
      ++n.full;
    } else if (now < u.rest_until) {
      ++n.resting;
    } else if (u.no_turn) {
      ++n.limited;
    } else if (Contains(ask.avoid, u.info.id) || !Usable(u, now, policy)) {
      ++n.unusable;
    } else if (LoadShare(u, now, policy) >= ask.most_load) {
      ++n.loaded;
    } else if (ReadsEnough(u, ask, policy)) {
      ++n.reading;
    } else {
      ++n.free;
    }
  }
  return n;
}

Duration RestLeft(absl::Span<const UpstreamBoard> boards,
                  absl::string_view service, TimePoint now) {
  std::optional<TimePoint> first;
  for (const UpstreamBoard& u : boards) {
    if (u.info.service != service || !u.listed || u.info.leaving || u.ended) {
      continue;
    }
    if (!first || u.rest_until < *first) first = u.rest_until;
  }
  return first && *first > now ? *first - now : Duration::zero();
}

std::optional<size_t> FirstHome(absl::Span<const UpstreamBoard> boards,
                                absl::string_view service, uint64_t part,
                                int decode_engines, absl::string_view except,
                                TimePoint now, const PlacementPolicy& policy) {
  std::optional<size_t> home;
  uint64_t best = 0;
  for (size_t i = 0; i < boards.size(); ++i) {
    const UpstreamBoard& u = boards[i];
    if (u.info.service != service || u.rank < decode_engines ||
        !Usable(u, now, policy) || u.info.id == except) {
      continue;
    }
    uint64_t h = StableHash(u.info.id, part);
    if (!home || h > best) {
      home = i;
      best = h;
    }
  }
  return home;
}

double DecodeLoad(absl::Span<const UpstreamBoard> boards,
                  absl::string_view service, int kept, TimePoint now,
                  const PlacementPolicy& policy) {
  double sum = 0;
  for (const UpstreamBoard& b : boards) {
    if (b.info.service != service || !b.listed || b.rank >= kept) continue;
    sum += EstimatedLoad(b, now, policy);
  }
  return sum;
}

void NotePause(double share, TimePoint now, const PlacementPolicy& policy,
               DecodeDemand* demand) {
  double age = ToSeconds(now - demand->pause_at) / policy.pause_memory_s;
  double left = demand->pause * std::exp(-age);
  demand->pause = std::max(left, std::min(share, kMostPause));
  demand->pause_at = now;
  if (demand->pause > policy.pausing_above) demand->pausing = true;
  if (demand->pause < policy.pausing_below) demand->pausing = false;
}

int DecodeEngines(const DecodeDemand& demand, int current, int slots,
                  int engines, const PlacementPolicy& policy) {
  if (engines < policy.split_from) return 0;
  double fill =
      policy.decode_fill_calm +
      demand.pressure * (policy.decode_fill_pressed - policy.decode_fill_calm);
  double need =
      demand.in_flight / std::max(1.0, fill * static_cast<double>(slots));
  double band = policy.decode_band;
  int n = std::clamp(current, static_cast<int>(std::ceil(need - band)),
                     static_cast<int>(std::ceil(need + band)));
  int least = std::max(1, demand.pausing ? engines / 3 : engines / 6);
  return std::clamp(n, least, std::max(least, engines / 2));
}

int MostOwnBesideGenerations(int slots, int serving,
                             const PlacementPolicy& policy) {
  if (policy.own_generations_share <= 0) return std::numeric_limits<int>::max();
  return OwnPart(policy.own_generations_share, slots, serving);
}

bool TakesGeneration(const UpstreamBoard& u, int slots, int serving,
                     TimePoint now, const PlacementPolicy& policy) {
  if (u.in_flight < MostOwnBesideGenerations(slots, serving, policy)) {
    return true;
  }
  if (u.in_flight >=
      OwnPart(policy.most_own_generations_share, slots, serving)) {
    return false;
  }
  bool fresh = u.reported_at != TimePoint{} &&
               now - u.reported_at <= policy.room_report_age;
  return fresh && EstimatedLoad(u, now, policy) < policy.room_load * slots;
}

WorkShape ShapeOf(int64_t prompt_tokens, int64_t output_tokens,
                  const PlacementPolicy& policy) {
  return static_cast<double>(output_tokens) >=
                 policy.decode_share * static_cast<double>(prompt_tokens)
             ? WorkShape::kDecode
             : WorkShape::kPrefill;
}

void RankUpstreams(absl::Span<UpstreamBoard> boards) {
  struct Place {
    uint64_t hash;
    UpstreamBoard* board;
  };
  std::map<absl::string_view, std::vector<Place>> services;
  for (UpstreamBoard& u : boards) {
    u.rank = u.ranks = 0;
    if (!u.listed || u.info.leaving) continue;
    services[u.info.service].push_back({StableHash(u.info.id), &u});
  }
  for (auto& [service, places] : services) {
    std::sort(places.begin(), places.end(), [](const Place& a, const Place& b) {
      return std::tie(a.hash, a.board->info.id) <
             std::tie(b.hash, b.board->info.id);
    });
    for (size_t i = 0; i < places.size(); ++i) {
      places[i].board->rank = static_cast<int>(i);
      places[i].board->ranks = static_cast<int>(places.size());
    }
  }
}

int RankedUpstreams(absl::Span<const UpstreamBoard> boards,
                    absl::string_view service) {
  int n = 0;
  for (const UpstreamBoard& u : boards) {
    if (u.info.service == service) n = std::max(n, u.ranks);
  }
  return n;
}

void NoteEventGap(UpstreamBoard& u, Duration gap) {
  double s = ToSeconds(gap);
  u.event_gap_s += u.event_gaps == 0 ? s : kGapSmoothing * (s - u.event_gap_s);
  ++u.event_gaps;
}

void MarkStragglers(absl::Span<UpstreamBoard> boards,
                    const PlacementPolicy& policy) {
  std::map<absl::string_view, std::vector<double>> gaps;
  for (UpstreamBoard& u : boards) {
    u.straggler = false;
    if (u.listed && u.event_gaps >= policy.straggler_samples) {
      gaps[u.info.service].push_back(u.event_gap_s);
    }
  }
  for (UpstreamBoard& u : boards) {
    std::vector<double>& g = gaps[u.info.service];
    if (g.size() < 2 || u.event_gaps < policy.straggler_samples) continue;
    auto middle = g.begin() + static_cast<std::ptrdiff_t>(g.size() / 2);
    std::nth_element(g.begin(), middle, g.end());
    u.straggler = u.event_gap_s > policy.straggler_factor * *middle;
  }
}

void NotePace(UpstreamBoard& u, Duration gap) {
  double s = ToSeconds(gap);
  if (u.pace_s == 0) {
    u.pace_s = s;
  } else if (s > u.pace_s) {
    u.pace_s += kSlowerSmoothing * (s - u.pace_s);
  } else if (s > kHeldUpShare * u.pace_s) {
    u.pace_s += kQuickerSmoothing * (s - u.pace_s);
  }
}

void MarkSlow(absl::Span<UpstreamBoard> boards, const PlacementPolicy& policy) {
  std::map<absl::string_view, std::vector<double>> paces;
  for (const UpstreamBoard& u : boards) {
    if (u.listed && u.pace_s > 0) paces[u.info.service].push_back(u.pace_s);
  }
  std::map<absl::string_view, double> quick;
  for (auto& [service, p] : paces) {
    if (p.size() < kPacesNeeded) continue;
    auto at =
        p.begin() + static_cast<std::ptrdiff_t>(p.size() / kQuickShareInverse);
    std::nth_element(p.begin(), at, p.end());
    quick[service] = *at;
  }
  for (UpstreamBoard& u : boards) {
    auto it = quick.find(u.info.service);
    u.slow = policy.slow_factor > 0 && it != quick.end() &&
             u.pace_s > policy.slow_factor * it->second;
  }
}

void NoteSuccess(UpstreamBoard& u, TimePoint now) {
  u.failures = 0;
  u.aside_until = std::min(u.aside_until, now);
  u.failure_share *= 1 - kFailureSmoothing;
  ++u.answers;
}

void NoteFailure(UpstreamBoard& u, TimePoint now, bool connection,
                 const PlacementPolicy& policy) {
  u.failure_share += kFailureSmoothing * (1 - u.failure_share);
  ++u.answers;
  if (!connection) return;
  ++u.failures;
  if (u.failures < policy.failures_to_aside) return;
  int doublings = std::min(u.failures - policy.failures_to_aside, 6);
  Duration aside = policy.aside_first * (1 << doublings);
  u.aside_until = now + std::min(aside, policy.aside_most);
}

void NoteReport(UpstreamBoard& u, int running, int waiting, TimePoint now) {
  u.reported = running + waiting;
  u.reported_in_flight = u.in_flight;
  u.reported_at = now;
}

void NoteFirstEvent(UpstreamBoard& u, Duration took, Duration target,
                    const PlacementPolicy& policy) {
  if (took >
      std::chrono::duration_cast<Duration>(target * policy.reading_target)) {
    u.reading_limit = std::max(1.0, u.reading_limit * policy.reading_backoff);
  } else {
    u.reading_limit =
        std::min(policy.reading_most, u.reading_limit + policy.reading_step);
  }
}

void NotePrefill(UpstreamBoard& u, double tokens, TimePoint now,
                 const PlacementPolicy& policy) {
  u.prefill_tokens = PrefillLeft(u, now, policy) + tokens;
  u.prefill_at = now;
}

}  // namespace medlarwalk
