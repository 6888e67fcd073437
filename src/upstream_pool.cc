#include "upstream_pool.h"

#include <algorithm>

#include "log.h"

namespace medlarwalk {
namespace {

bool Usable(const UpstreamLink& c, TimePoint now) {
  return c.open() && c.idle() && now - c.idle_since() < c.keep_for();
}

}  // namespace

UpstreamPool::UpstreamPool(const Clock& clock, LinkOpener open)
    : clock_(clock), open_link_(std::move(open)) {}

void UpstreamPool::ResetBoard(UpstreamBoard& b, const UpstreamInfo& fresh) {
  LogEvent("upstream_restarted", {{"upstream", fresh.id},
                                  {"address", fresh.address.ToString()},
                                  {"born", fresh.born},
                                  {"born_before", b.info.born},
                                  {"in_flight", b.in_flight}});
  UpstreamBoard reset;
  reset.info = fresh;
  reset.in_flight = b.in_flight;
  reset.reading = b.reading;
  reset.quiet_since = b.quiet_since;
  b = std::move(reset);
  Connections& c = connections_[fresh.id];
  for (const auto& k : c.idle) k->Close();
  c.idle.clear();
}

std::vector<std::string> UpstreamPool::Update(
    absl::Span<const UpstreamInfo> listed) {
  std::vector<std::string> restarted;
  for (UpstreamBoard& b : boards_) b.listed = false;
  for (const UpstreamInfo& u : listed) {
    auto it = index_.find(u.id);
    if (it == index_.end()) {
      index_[u.id] = boards_.size();
      UpstreamBoard b;
      b.info = u;
      boards_.push_back(std::move(b));
      LogEvent("upstream_added", {{"upstream", u.id},
                                  {"service", u.service},
                                  {"address", u.address.ToString()}});
      continue;
    }
    UpstreamBoard& b = boards_[it->second];
    b.listed = true;
    // An outdated entry is ignored: the list may lag, and several processes
    // read it.
    if (u.born && u.born < b.info.born) continue;
    if (StartedAgain(b.info, u)) {
      ResetBoard(b, u);
      restarted.push_back(u.id);
      continue;
    }
    if (u.leaving && !b.info.leaving) {
      LogEvent("upstream_leaving",
               {{"upstream", u.id}, {"in_flight", b.in_flight}});
    }
    b.info = u;
    b.info.leaving |= b.said_leaving;
  }
  RankUpstreams(absl::MakeSpan(boards_));
  Tick();
  return restarted;
}

UpstreamBoard* UpstreamPool::Find(const std::string& id) {
  auto it = index_.find(id);
  return it == index_.end() ? nullptr : &boards_[it->second];
}

bool UpstreamPool::RecordDraining(const std::string& id) {
  UpstreamBoard* b = Find(id);
  if (!b || b->said_leaving) return false;
  b->said_leaving = true;
  b->info.leaving = true;
  RankUpstreams(absl::MakeSpan(boards_));
  return true;
}

bool UpstreamPool::AtConnectionLimit(const UpstreamBoard& u, int limit) const {
  auto it = connections_.find(u.info.id);
  if (it == connections_.end()) return limit <= 0;
  const Connections& c = it->second;
  if (c.in_use < limit) return false;
  TimePoint now = clock_.Now();
  return std::none_of(c.idle.begin(), c.idle.end(),
                      [&](const auto& k) { return Usable(*k, now); });
}

std::shared_ptr<UpstreamLink> UpstreamPool::AcquireLink(
    const UpstreamBoard& u, Duration connect_timeout) {
  Connections& c = connections_[u.info.id];
  ++c.in_use;
  TimePoint now = clock_.Now();
  // The most recently used link is chosen first, because the upstream is least
  // likely to have closed it.
  while (!c.idle.empty()) {
    std::shared_ptr<UpstreamLink> link = std::move(c.idle.back());
    c.idle.pop_back();
    if (Usable(*link, now)) return link;
    link->Close();
  }
  return open_link_(u.info, connect_timeout);
}

void UpstreamPool::ReleaseLink(const std::string& upstream_id,
                               const std::shared_ptr<UpstreamLink>& link) {
  Connections& connections = connections_[upstream_id];
  --connections.in_use;
  if (link->open() && link->idle()) {
    connections.idle.push_back(link);
  } else {
    link->Close();
  }
}

std::shared_ptr<UpstreamLink> UpstreamPool::OpenProbe(
    const UpstreamBoard& u, Duration connect_timeout) {
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
    for (auto it = keep; it != c.idle.end(); ++it) (*it)->Close();
    c.idle.erase(keep, c.idle.end());
  }
  bool removed = false;
  for (size_t i = 0; i < boards_.size();) {
    UpstreamBoard& b = boards_[i];
    if (b.listed || b.in_flight > 0) {
      ++i;
      continue;
    }
    LogEvent("upstream_gone", {{"upstream", b.info.id}});
    connections_.erase(b.info.id);
    boards_.erase(boards_.begin() + static_cast<long>(i));
    removed = true;
  }
  if (!removed) return;
  index_.clear();
  for (size_t i = 0; i < boards_.size(); ++i) index_[boards_[i].info.id] = i;
}

}  // namespace medlarwalk
