// Gateway: services whose entries share the load of their engines. Counts the
// own work at each engine.
#include <algorithm>

#include "gateway.h"
#include "gateway_request.h"

namespace medlarwalk {
namespace {

// Time that an engine needs to copy a prompt part from another engine, as a
// share of the time that it needs to prefill the part.
constexpr double kCopyCostShare = 0.1;

// Returns the preferred engine of the prompt prefix `prefix_hash` among all
// engines of `service` that may be sent to, in the order of all entries.
bool IsPreferredEngine(absl::Span<const UpstreamState> upstreams,
                       const UpstreamState& u, uint64_t prefix_hash) {
  uint64_t own_hash = StableHash(u.info.id, prefix_hash);
  return std::none_of(upstreams.begin(), upstreams.end(), [&](const auto& o) {
    return o.info.service == u.info.service && o.listed && !o.info.draining &&
           !o.terminated && StableHash(o.info.id, prefix_hash) > own_hash;
  });
}

}  // namespace

// Returns the number of prompt tokens that `u` is expected to prefill for `r`:
// all but those of the shared parts that it holds. Parts that it copies count
// by the time that this takes.
int64_t Gateway::ExpectedPrefill(const Request& r, const UpstreamState& u,
                                 bool copied, TimePoint now) const {
  if (r.shared_tokens == 0) return r.facts.prompt_tokens;
  int64_t held = 0;
  PrefixCacheIndex::PrefixMatch match =
      prefix_cache_index_.FindLongestPrefix(r.facts.parts, now);
  if (match.engine == u.info.id) {
    for (size_t i = 0; i < match.parts; ++i) held += r.facts.parts[i].tokens;
  } else if (IsPreferredEngine(pool_.upstreams(), u, r.affinity)) {
    held = r.shared_tokens;
  }
  int64_t missing = r.shared_tokens - held;
  if (copied) {
    missing =
        static_cast<int64_t>(static_cast<double>(missing) * kCopyCostShare);
  }
  return std::max<int64_t>(0, r.facts.prompt_tokens - r.shared_tokens) +
         missing;
}

void Gateway::CountSent(Request& r, UpstreamState& u, bool copied) {
  int64_t output = r.facts.expected_output_tokens > 0
                       ? r.facts.expected_output_tokens
                       : r.facts.max_output_tokens;
  r.work = {};
  r.work.level = std::min(UrgencyLevel(*r.service, r.tier), kUrgencyLevels - 1);
  r.work.pending_prefill = ExpectedPrefill(r, u, copied, clock_.Now());
  r.work.memory_tokens = r.work.pending_prefill + output;
  if (r.stream()) {
    r.work.gap_target =
        std::chrono::duration_cast<Millis>(r.route->event_gap_target);
  }
  CountSentWork(&r.work, u);
}

std::vector<EngineRecord> Gateway::OwnEngineRecords() const {
  std::vector<EngineRecord> out;
  if (!config_) return out;
  for (const UpstreamState& u : pool_.upstreams()) {
    if (u.terminated) continue;
    if (u.own_work.empty() && u.own_pace.prefill_tokens_per_ms == 0 &&
        u.own_pace.idle_event_gap == Millis::zero() &&
        u.own_pace.longest_event_gap == Millis::zero()) {
      continue;
    }
    auto it = config_->services.find(u.info.service);
    if (it == config_->services.end() || !it->second.shared_load) continue;
    out.push_back({u.engine_key, u.own_work, u.own_pace});
  }
  return out;
}

}  // namespace medlarwalk
