#include "routing_config.h"

#include <algorithm>
#include <map>
#include <set>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace medlarwalk {
namespace {

// Number of account tiers that the priority ranks distinguish within one route
// tier.
constexpr int kNumAccountTiers = 8;
// Upper bound of tiers: far above any tier in use, and low enough that priority
// ranks fit in an int.
constexpr Tier kMaxTier = 1'000'000;
// Number of priorities that engines distinguish.
constexpr int kNumEnginePriorities = 10;
// Time for which control holds a watch open without news, and thus the time in
// which an entry surely learns what control knows.
constexpr auto kSharedLoadMaxTarget = Millis(400);

Tier ClampAccountTier(Tier tier) {
  return std::clamp(tier, 0, kNumAccountTiers - 1);
}

// Returns the engine priority of each priority rank that may occur.
std::map<Tier, int> EnginePriorities(const RoutingConfig& c) {
  std::set<Tier> route_tiers;
  std::set<Tier> account_tiers;
  for (const RouteRule& r : c.routes) {
    route_tiers.insert(r.tier);
    account_tiers.insert(ClampAccountTier(r.tier));
  }
  for (const AccountRule& a : c.accounts) {
    if (a.tier) account_tiers.insert(ClampAccountTier(*a.tier));
  }
  bool one_per_rank =
      route_tiers.size() * account_tiers.size() <= kNumEnginePriorities;
  std::map<Tier, int> out;
  int next_priority = 0;
  for (Tier route_tier : route_tiers) {
    for (Tier account_tier : account_tiers) {
      out[RequestRank(route_tier, account_tier)] =
          std::min(next_priority, kNumEnginePriorities - 1);
      next_priority += one_per_rank;
    }
    next_priority += !one_per_rank;
  }
  return out;
}

absl::Status Invalid(absl::string_view what, absl::string_view name) {
  return absl::InvalidArgumentError(absl::StrCat(what, ": ", name));
}

}  // namespace

absl::Status ValidateConfig(const RoutingConfig& c) {
  if (c.version <= 0) return Invalid("version must be positive", "");
  std::set<std::pair<std::string, std::string>> seen;
  for (const RouteRule& r : c.routes) {
    if (r.path_prefix.empty() || r.path_prefix.front() != '/' ||
        r.path_prefix.back() != '/') {
      return Invalid("path prefix must begin and end with a slash", r.name);
    }
    if (!seen.emplace(absl::AsciiStrToLower(r.host), r.path_prefix).second) {
      return Invalid("two routes share host and prefix", r.name);
    }
    if (r.timeout <= Duration::zero()) return Invalid("no timeout", r.name);
    double total_weight = 0;
    for (const WeightedService& w : r.services) {
      if (!c.services.count(w.service)) {
        return Invalid("unknown service", w.service);
      }
      if (w.weight < 0) return Invalid("negative weight", r.name);
      total_weight += w.weight;
    }
    if (total_weight <= 0) return Invalid("weights add up to 0", r.name);
  }
  std::set<std::string> keys;
  for (const AccountRule& a : c.accounts) {
    std::set<std::string> distinct_keys(a.keys.begin(), a.keys.end());
    for (const std::string& k : distinct_keys) {
      if (!keys.insert(k).second) return Invalid("a key is shared", a.name);
    }
  }
  return absl::OkStatus();
}

void EnableSharedLoad(RoutingConfig* c) {
  for (const RouteRule& r : c->routes) {
    bool short_target = r.kind == RequestKind::kStream &&
                        r.latency_target > Duration::zero() &&
                        r.latency_target < kSharedLoadMaxTarget;
    if (!short_target) continue;
    for (const WeightedService& w : r.services) {
      ServiceRule& service = c->services.at(w.service);
      service.shared_load = service.engine.has_value();
    }
  }
}

void BuildConfigIndexes(RoutingConfig* c) {
  std::map<std::string, std::set<Tier>> tiers;
  for (const RouteRule& r : c->routes) {
    for (const WeightedService& w : r.services) tiers[w.service].insert(r.tier);
  }
  for (auto& [name, service] : c->services)
    service.tiers.assign(tiers[name].begin(), tiers[name].end());
  c->engine_priority = EnginePriorities(*c);
  c->account_of_key.clear();
  for (size_t i = 0; i < c->accounts.size(); ++i) {
    for (const std::string& k : c->accounts[i].keys) c->account_of_key[k] = i;
  }
  c->routes_of_host.clear();
  for (size_t i = 0; i < c->routes.size(); ++i) {
    c->routes_of_host[absl::AsciiStrToLower(c->routes[i].host)].push_back(i);
  }
  // Sorts by descending length of the path prefix, so that the first match is
  // the longest.
  for (auto& [host, route_indexes] : c->routes_of_host) {
    std::stable_sort(route_indexes.begin(), route_indexes.end(),
                     [&](size_t a, size_t b) {
                       return c->routes[a].path_prefix.size() >
                              c->routes[b].path_prefix.size();
                     });
  }
}

const RouteRule* FindRoute(const RoutingConfig& c, absl::string_view host,
                           absl::string_view path) {
  size_t colon = host.rfind(':');
  if (colon != absl::string_view::npos) host = host.substr(0, colon);
  auto it = c.routes_of_host.find(absl::AsciiStrToLower(host));
  if (it == c.routes_of_host.end()) return nullptr;
  for (size_t i : it->second) {
    if (absl::StartsWith(path, c.routes[i].path_prefix)) return &c.routes[i];
  }
  return nullptr;
}

const AccountRule* FindAccount(const RoutingConfig& c, const std::string& key) {
  auto it = c.account_of_key.find(key);
  return it == c.account_of_key.end() ? nullptr : &c.accounts[it->second];
}

Tier RequestRank(Tier route_tier, Tier account_tier) {
  return std::clamp(route_tier, 0, kMaxTier) * kNumAccountTiers +
         ClampAccountTier(account_tier);
}

int EnginePriority(const RoutingConfig& c, Tier rank) {
  auto it = c.engine_priority.find(rank);
  return it == c.engine_priority.end() ? kNumEnginePriorities - 1 : it->second;
}

int UrgencyLevel(const ServiceRule& service, Tier tier) {
  auto it = std::lower_bound(service.tiers.begin(), service.tiers.end(), tier);
  return static_cast<int>(it - service.tiers.begin());
}

const std::string& PickService(const RouteRule& r, double draw) {
  double total_weight = 0;
  for (const WeightedService& w : r.services) total_weight += w.weight;
  double remaining = draw * total_weight;
  for (const WeightedService& w : r.services) {
    if (w.weight <= 0) continue;
    if (remaining < w.weight) return w.service;
    remaining -= w.weight;
  }
  for (auto it = r.services.rbegin(); it != r.services.rend(); ++it) {
    if (it->weight > 0) return it->service;
  }
  return r.services.front().service;
}

}  // namespace medlarwalk
