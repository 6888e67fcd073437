#include "upstream_pool.h"

#include <algorithm>

#include "log.h"

namespace medlarwalk {
namespace {

bool Usable(const UpstreamLink& c, TimePoint now) {
  return c.open() && c.idle() && now - c.idle_since() < c.max_idle_time();
}

}  // namespace

UpstreamPool::UpstreamPool(const Clock& clock, LinkOpener open)
    : clock_(clock), open_link_(std::move(open)) {}

void UpstreamPool::ResetState(UpstreamState& state, const UpstreamInfo& fresh) {
  LogEvent("upstream_restarted", {{"upstream", fresh.id},
                                  {"address", fresh.address.ToString()},
                                  {"build", fresh.build},
                                  {"born", fresh.started_unix_ms},
                                  {"born_before", state.info.started_unix_ms},
                                  {"in_flight", state.in_flight}});
  UpstreamState reset;
  reset.info = fresh;
  reset.engine_key = KeyOfEngine(fresh);
  reset.in_flight = state.in_flight;
  reset.own_tiers = state.own_tiers;
  reset.prefills_in_flight = state.prefills_in_flight;
  reset.own_prefill_tiers = state.own_prefill_tiers;
  reset.awaiting_first_event = state.awaiting_first_event;
  reset.awaiting_since = state.awaiting_since;
  reset.last_activity_at = state.last_activity_at;
  state = std::move(reset);
  Connections& c = connections_[fresh.id];
  for (const auto& k : c.idle) k->Close();
  c.idle.clear();
}

// Copies the number of idle links of upstream `id` to its state.
void UpstreamPool::CountIdleLinks(const std::string& id, const Connections& c) {
  if (UpstreamState* state = Find(id))
    state->idle_links = static_cast<int>(c.idle.size());
}

std::vector<std::string> UpstreamPool::Update(
    absl::Span<const UpstreamInfo> listed) {
  std::vector<std::string> restarted;
  for (UpstreamState& state : upstreams_) state.listed = false;
  for (const UpstreamInfo& u : listed) {
    auto it = index_.find(u.id);
    if (it == index_.end()) {
      index_[u.id] = upstreams_.size();
      UpstreamState state;
      state.info = u;
      state.engine_key = KeyOfEngine(u);
      upstreams_.push_back(std::move(state));
      LogEvent("upstream_added", {{"upstream", u.id},
                                  {"service", u.service},
                                  {"address", u.address.ToString()},
                                  {"build", u.build}});
      continue;
    }
    UpstreamState& state = upstreams_[it->second];
    state.listed = true;
    // A list entry with an earlier start time than the known one is outdated
    // and ignored. Lists may lag, and several processes read them.
    if (u.started_unix_ms && u.started_unix_ms < state.info.started_unix_ms)
      continue;
    if (HasRestarted(state.info, u)) {
      ResetState(state, u);
      restarted.push_back(u.id);
      continue;
    }
    if (u.draining && !state.info.draining) {
      LogEvent("upstream_leaving",
               {{"upstream", u.id}, {"in_flight", state.in_flight}});
    }
    state.info = u;
    state.info.draining |= state.announced_draining;
  }
  ranked_counts_ = RankUpstreams(absl::MakeSpan(upstreams_));
  Tick();
  return restarted;
}

int UpstreamPool::RankedCount(absl::string_view service) const {
  auto it = ranked_counts_.find(service);
  return it == ranked_counts_.end() ? 0 : it->second;
}

UpstreamState* UpstreamPool::Find(const std::string& id) {
  auto it = index_.find(id);
  return it == index_.end() ? nullptr : &upstreams_[it->second];
}

bool UpstreamPool::RecordDraining(const std::string& id) {
  UpstreamState* state = Find(id);
  if (!state || state->announced_draining) return false;
  state->announced_draining = true;
  state->info.draining = true;
  ranked_counts_ = RankUpstreams(absl::MakeSpan(upstreams_));
  return true;
}

bool UpstreamPool::AtConnectionLimit(const UpstreamState& u, int limit) const {
  auto it = connections_.find(u.info.id);
  if (it == connections_.end()) return limit <= 0;
  const Connections& c = it->second;
  if (c.in_use < limit) return false;
  TimePoint now = clock_.Now();
  return std::none_of(c.idle.begin(), c.idle.end(),
                      [&](const auto& k) { return Usable(*k, now); });
}

std::shared_ptr<UpstreamLink> UpstreamPool::AcquireLink(
    const UpstreamState& u, Duration connect_timeout) {
  Connections& c = connections_[u.info.id];
  ++c.in_use;
  TimePoint now = clock_.Now();
  std::shared_ptr<UpstreamLink> link;
  // Chooses the most recently used link, because it is the one that the
  // upstream is least likely to have closed.
  while (!link && !c.idle.empty()) {
    link = std::move(c.idle.back());
    c.idle.pop_back();
    if (Usable(*link, now)) break;
    link->Close();
    link.reset();
  }
  CountIdleLinks(u.info.id, c);
  return link ? link : open_link_(u.info, connect_timeout);
}

void UpstreamPool::ReleaseLink(const std::string& upstream_id,
                               const std::shared_ptr<UpstreamLink>& link) {
  Connections& connections = connections_[upstream_id];
  --connections.in_use;
  if (link->open() && link->idle()) {
    connections.idle.push_back(link);
    if (UpstreamState* state = Find(upstream_id))
      state->link_idle_time = link->max_idle_time();
  } else {
    link->Close();
  }
  CountIdleLinks(upstream_id, connections);
}

std::shared_ptr<UpstreamLink> UpstreamPool::OpenProbe(
    const UpstreamState& u, Duration connect_timeout) {
  Connections& c = connections_[u.info.id];
  for (const auto& k : c.idle) {
    if (k->established()) return k;
  }
  c.idle.push_back(open_link_(u.info, connect_timeout));
  return c.idle.back();
}

void UpstreamPool::Tick() {
  TimePoint now = clock_.Now();
  for (auto& [id, c] : connections_) {
    auto keep =
        std::stable_partition(c.idle.begin(), c.idle.end(),
                              [&](const auto& k) { return Usable(*k, now); });
    if (keep == c.idle.end()) continue;
    for (auto it = keep; it != c.idle.end(); ++it) (*it)->Close();
    c.idle.erase(keep, c.idle.end());
    CountIdleLinks(id, c);
  }
  bool removed = false;
  for (size_t i = 0; i < upstreams_.size();) {
    UpstreamState& state = upstreams_[i];
    if (state.listed || state.in_flight > 0) {
      ++i;
      continue;
    }
    LogEvent("upstream_gone", {{"upstream", state.info.id}});
    connections_.erase(state.info.id);
    upstreams_.erase(upstreams_.begin() + static_cast<long>(i));
    removed = true;
  }
  if (!removed) return;
  index_.clear();
  for (size_t i = 0; i < upstreams_.size(); ++i)
    index_[upstreams_[i].info.id] = i;
}

}  // namespace medlarwalk
