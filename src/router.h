// Upstream choice: free functions over the blackboard. Load-aware (the
// entry's own in-flight count, which is exact, corrects the engine's lagging
// report), prefix-cache-aware (a prompt prefix goes where it went before,
// unless that upstream is clearly busier), and straggler-avoiding.
#ifndef MEDLARWALK_ROUTER_H_
#define MEDLARWALK_ROUTER_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "blackboard.h"

namespace medlarwalk {

// Tunables of the choice.
struct RouterPolicy {
  // How much busier (share of max_in_flight) the prefix's home upstream may
  // be than the least loaded one and still be chosen.
  double affinity_slack = 0.25;
  // Weight of the engine's lagging report against the exact in-flight count.
  double reported_weight = 0.25;
  // An upstream whose token gap exceeds this multiple of the median is a
  // straggler.
  double straggler_factor = 2.0;
  // Streams seen before an upstream can be judged a straggler.
  int straggler_min_samples = 8;
};

// Whether `u` may take one more request for `model` ("" for a plain service
// call, which names its upstream): serves it, is not leaving, is healthy and
// has a free slot.
bool CanServe(const UpstreamState& u, absl::string_view model);

// The index of the upstream for a request of `model` whose prompt prefix (or
// idempotency key) hashes to `route_key`, or nullopt when none can serve.
// Stragglers are used only when nothing else can serve.
std::optional<size_t> ChooseUpstream(absl::Span<const UpstreamState> upstreams,
                                     absl::string_view model,
                                     uint64_t route_key,
                                     const RouterPolicy& policy);

// The naive baseline: the next upstream after `*cursor` that can serve,
// round robin, blind to load, cache and stragglers.
std::optional<size_t> ChooseRoundRobin(
    absl::Span<const UpstreamState> upstreams, absl::string_view model,
    size_t* cursor);

// Folds one observed gap between tokens into `u`, in seconds.
void NoteTokenGap(UpstreamState& u, double gap_s);

// Marks stragglers: upstreams whose smoothed token gap exceeds
// policy.straggler_factor times the median of those with enough samples.
void MarkStragglers(absl::Span<UpstreamState> upstreams,
                    const RouterPolicy& policy);

}  // namespace medlarwalk

#endif  // MEDLARWALK_ROUTER_H_
