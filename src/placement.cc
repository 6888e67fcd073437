#include "placement.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"

namespace medlarwalk {
namespace {

// Weight of the newest answer in the smoothed failure share.
constexpr double kFailureSmoothing = 0.15;
// Answers before an upstream's failure share says anything.
constexpr int kFailureSamples = 4;

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
};

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
  double w =
      1.0 - std::chrono::duration<double>(age).count() /
                std::chrono::duration<double>(policy.report_trust).count();
  return w * told + (1 - w) * own;
}

bool Usable(const UpstreamBoard& u, TimePoint now,
            const PlacementPolicy& policy) {
  if (!u.listed || u.info.leaving || u.full) return false;
  if (now < u.aside_until) return false;
  return !(u.in_flight > 0 && u.quiet_since != TimePoint{} &&
           now - u.quiet_since > policy.quiet_limit);
}

std::optional<size_t> Place(absl::Span<const UpstreamBoard> boards,
                            const PlacementAsk& ask, TimePoint now, double draw,
                            const PlacementPolicy& policy) {
  std::vector<Scored> usable;
  std::optional<size_t> fallback;
  bool busy = false;
  double share_sum = 0;
  int share_n = 0;
  for (const UpstreamBoard& u : boards) {
    if (u.info.service != ask.service || u.answers < kFailureSamples) continue;
    share_sum += u.failure_share;
    ++share_n;
  }
  double usual_share = share_n ? share_sum / share_n : 0;
  for (size_t i = 0; i < boards.size(); ++i) {
    const UpstreamBoard& u = boards[i];
    if (u.info.service != ask.service || !u.listed || u.info.leaving) continue;
    if (Contains(ask.avoid, u.info.id) || u.full) continue;
    if (!Usable(u, now, policy)) {
      if (!fallback || u.aside_until < boards[*fallback].aside_until) {
        fallback = i;
      }
      continue;
    }
    double slots = std::max(1, u.info.slots);
    double score = EstimatedLoad(u, now, policy) / slots;
    if (score >= ask.most_load) {
      busy = true;
      continue;
    }
    if (ask.shape != WorkShape::kPlain) {
      bool kept_for_decode = u.rank < ask.decode_engines;
      if (kept_for_decode != (ask.shape == WorkShape::kDecode)) {
        score += policy.wrong_shape_cost;
      }
      score += policy.prefill_weight * PrefillLeft(u, now, policy) /
               policy.prefill_rate / 1000.0;
    }
    if (u.answers >= kFailureSamples) {
      score +=
          policy.failure_weight * std::max(0.0, u.failure_share - usual_share);
    }
    if (u.info.data_centre != ask.data_centre) score += policy.remote_cost;
    usable.push_back({i, score});
  }
  // Busy is no reason to try one that does not work.
  if (usable.empty()) return busy ? std::nullopt : fallback;
  // Equals are told apart by lot, so that entries do not all pick the same.
  size_t n = usable.size();
  size_t start = static_cast<size_t>(draw * static_cast<double>(n)) % n;
  const Scored* best = &usable[start];
  for (size_t k = 1; k < n; ++k) {
    const Scored& s = usable[(start + k) % n];
    if (s.score < best->score) best = &s;
  }
  if (ask.affinity == 0) return best->index;
  // The prompt's homes in order, the same for every entry process without
  // talking: the first that is not clearly busier than the best.
  const Scored* home = nullptr;
  uint64_t home_hash = 0;
  for (const Scored& s : usable) {
    if (s.score > best->score + policy.affinity_slack) continue;
    uint64_t h = StableHash(boards[s.index].info.id, ask.affinity);
    if (!home || h > home_hash) {
      home = &s;
      home_hash = h;
    }
  }
  return home->index;
}

int DecodeEngines(double in_flight, int slots, int engines,
                  const PlacementPolicy& policy) {
  double need = in_flight /
                std::max(1.0, policy.decode_fill * static_cast<double>(slots));
  int least = std::max(1, engines / 6);
  return std::clamp(static_cast<int>(std::ceil(need)), least,
                    std::max(least, engines / 2));
}

WorkShape ShapeOf(int64_t prompt_tokens, int64_t output_tokens,
                  const PlacementPolicy& policy) {
  return static_cast<double>(output_tokens) >=
                 policy.decode_share * static_cast<double>(prompt_tokens)
             ? WorkShape::kDecode
             : WorkShape::kPrefill;
}

void RankUpstreams(absl::Span<UpstreamBoard> boards) {
  auto before = [](const UpstreamBoard& a, const UpstreamBoard& b) {
    uint64_t x = StableHash(a.info.id);
    uint64_t y = StableHash(b.info.id);
    return x != y ? x < y : a.info.id < b.info.id;
  };
  for (UpstreamBoard& u : boards) {
    u.rank = 0;
    u.ranks = 0;
    for (const UpstreamBoard& o : boards) {
      if (o.info.service != u.info.service || !o.listed || o.info.leaving) {
        continue;
      }
      ++u.ranks;
      if (before(o, u)) ++u.rank;
    }
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

void NotePrefill(UpstreamBoard& u, double tokens, TimePoint now,
                 const PlacementPolicy& policy) {
  u.prefill_tokens = PrefillLeft(u, now, policy) + tokens;
  u.prefill_at = now;
}

}  // namespace medlarwalk
