#include "router.h"

#include <algorithm>
#include <vector>

namespace medlarwalk {

namespace {

// Weight of the newest gap in the smoothed token gap.
constexpr double kGapSmoothing = 0.2;

bool ServesModel(const UpstreamState& u, absl::string_view model) {
  if (model.empty()) return true;
  return std::find(u.models.begin(), u.models.end(), model) != u.models.end();
}

double LoadScore(const UpstreamState& u, const RouterPolicy& policy) {
  double in_flight = static_cast<double>(u.in_flight) / u.max_in_flight;
  double reported = static_cast<double>(u.reported_load) / u.max_in_flight;
  return in_flight + policy.reported_weight * reported;
}

}  // namespace

bool CanServe(const UpstreamState& u, absl::string_view model) {
  return ServesModel(u, model) && !u.leaving && u.healthy &&
         u.in_flight < u.max_in_flight;
}

std::optional<size_t> ChooseUpstream(absl::Span<const UpstreamState> upstreams,
                                     absl::string_view model,
                                     uint64_t route_key,
                                     const RouterPolicy& policy) {
  for (bool allow_stragglers : {false, true}) {
    std::optional<size_t> least, home;
    uint64_t home_weight = 0;
    for (size_t i = 0; i < upstreams.size(); ++i) {
      const UpstreamState& u = upstreams[i];
      if (!CanServe(u, model) || (u.straggler && !allow_stragglers)) continue;
      if (!least ||
          LoadScore(u, policy) < LoadScore(upstreams[*least], policy)) {
        least = i;
      }
      // Rendezvous hashing: the prefix's home is stable as upstreams come
      // and go, so the engine that cached it keeps getting it.
      uint64_t w = StableHash(u.name, route_key);
      if (!home || w > home_weight) {
        home = i;
        home_weight = w;
      }
    }
    if (!least) continue;
    if (LoadScore(upstreams[*home], policy) <=
        LoadScore(upstreams[*least], policy) + policy.affinity_slack) {
      return home;
    }
    return least;
  }
  return std::nullopt;
}

std::optional<size_t> ChooseRoundRobin(
    absl::Span<const UpstreamState> upstreams, absl::string_view model,
    size_t* cursor) {
  for (size_t n = 0; n < upstreams.size(); ++n) {
    size_t i = (*cursor + n) % upstreams.size();
    const UpstreamState& u = upstreams[i];
    if (ServesModel(u, model) && u.in_flight < u.max_in_flight) {
      *cursor = i + 1;
      return i;
    }
  }
  return std::nullopt;
}

void NoteTokenGap(UpstreamState& u, double gap_s) {
  u.token_gap_s = u.gap_samples == 0 ? gap_s
                                     : (1 - kGapSmoothing) * u.token_gap_s +
                                           kGapSmoothing * gap_s;
  ++u.gap_samples;
}

void MarkStragglers(absl::Span<UpstreamState> upstreams,
                    const RouterPolicy& policy) {
  std::vector<double> gaps;
  for (const auto& u : upstreams) {
    if (u.gap_samples >= policy.straggler_min_samples)
      gaps.push_back(u.token_gap_s);
  }
  if (gaps.size() < 2) {
    for (auto& u : upstreams) u.straggler = false;
    return;
  }
  auto middle = gaps.begin() + static_cast<std::ptrdiff_t>(gaps.size() / 2);
  std::nth_element(gaps.begin(), middle, gaps.end());
  double median = gaps[gaps.size() / 2];
  for (auto& u : upstreams) {
    u.straggler = u.gap_samples >= policy.straggler_min_samples &&
                  u.token_gap_s > policy.straggler_factor * median;
  }
}

}  // namespace medlarwalk
