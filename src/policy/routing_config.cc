#include "routing_config.h"

#include <algorithm>
#include <set>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace medlarwalk {
namespace {

// Tiers of accounts told apart within one of routes: as many as of these.
constexpr int kAccountTiers = 8;
// Far above any tier; keeps ranks within an int.
constexpr Tier kMostTier = 1'000'000;
// Priorities that engines tell apart.
constexpr int kEnginePriorities = 10;

Tier AccountTier(Tier tier) { return std::clamp(tier, 0, kAccountTiers - 1); }

// The priority of each rank that may occur.
std::map<Tier, int> EnginePriorities(const RoutingConfig& c) {
  std::set<Tier> routes;
  std::set<Tier> accounts;
  for (const RouteRule& r : c.routes) {
    routes.insert(r.tier);
    accounts.insert(AccountTier(r.tier));
  }
  for (const AccountRule& a : c.accounts) {
    if (a.tier) accounts.insert(AccountTier(*a.tier));
  }
  bool all = routes.size() * accounts.size() <= kEnginePriorities;
  std::map<Tier, int> out;
  int next = 0;
  for (Tier route : routes) {
    for (Tier account : accounts) {
      out[RankOf(route, account)] = std::min(next, kEnginePriorities - 1);
      next += all;
    }
    next += !all;
  }
  return out;
}

absl::Status Invalid(absl::string_view what, absl::string_view name) {
  return absl::InvalidArgumentError(absl::StrCat(what, ": ", name));
}

}  // namespace

absl::Status ValidateConfig(const RoutingConfig& c) {
  if (c.version <= 0) return Invalid("version must be positive", "");
  std::set<std::pair<std::string, std::string>> places;
  for (const RouteRule& r : c.routes) {
    if (r.path_prefix.empty() || r.path_prefix.front() != '/' ||
        r.path_prefix.back() != '/') {
      return Invalid("path prefix must begin and end with a slash", r.name);
    }
    if (!places.emplace(absl::AsciiStrToLower(r.host), r.path_prefix).second) {
      return Invalid("two routes share host and prefix", r.name);
    }
    if (r.timeout <= Duration::zero()) return Invalid("no timeout", r.name);
    double sum = 0;
    for (const WeightedService& w : r.services) {
      if (!c.services.count(w.service)) {
        return Invalid("unknown service", w.service);
      }
      if (w.weight < 0) return Invalid("negative weight", r.name);
      sum += w.weight;
    }
    if (sum <= 0) return Invalid("weights add up to 0", r.name);
  }
  std::set<std::string> keys;
  for (const AccountRule& a : c.accounts) {
    std::set<std::string> own(a.keys.begin(), a.keys.end());
    for (const std::string& k : own) {
      if (!keys.insert(k).second) return Invalid("a key is shared", a.name);
    }
  }
  return absl::OkStatus();
}

void IndexConfig(RoutingConfig* c) {
  c->engine_priority = EnginePriorities(*c);
  c->account_of_key.clear();
  for (size_t i = 0; i < c->accounts.size(); ++i) {
    for (const std::string& k : c->accounts[i].keys) c->account_of_key[k] = i;
  }
  c->routes_of_host.clear();
  for (size_t i = 0; i < c->routes.size(); ++i) {
    c->routes_of_host[absl::AsciiStrToLower(c->routes[i].host)].push_back(i);
  }
  // Longest prefix first, so the first that begins the path is the route.
  for (auto& [host, list] : c->routes_of_host) {
    std::stable_sort(list.begin(), list.end(), [&](size_t a, size_t b) {
      return c->routes[a].path_prefix.size() > c->routes[b].path_prefix.size();
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

Tier RankOf(Tier route_tier, Tier account_tier) {
  return std::clamp(route_tier, 0, kMostTier) * kAccountTiers +
         AccountTier(account_tier);
}

int EnginePriority(const RoutingConfig& c, Tier rank) {
  auto it = c.engine_priority.find(rank);
  return it == c.engine_priority.end() ? kEnginePriorities - 1 : it->second;
}

const std::string& PickService(const RouteRule& r, double draw) {
  double sum = 0;
  for (const WeightedService& w : r.services) sum += w.weight;
  double at = draw * sum;
  for (const WeightedService& w : r.services) {
    if (w.weight <= 0) continue;
    if (at < w.weight) return w.service;
    at -= w.weight;
  }
  for (auto it = r.services.rbegin(); it != r.services.rend(); ++it) {
    if (it->weight > 0) return it->service;
  }
  return r.services.front().service;
}

}  // namespace medlarwalk
