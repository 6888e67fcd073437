#include "routing_config.h"

#include <algorithm>
#include <set>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace medlarwalk {
namespace {

// Ranks of routes told apart within one tier.
constexpr int kRouteRanks = 3;

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

Tier RankOf(Tier tier, Tier route_tier) {
  return tier * kRouteRanks + std::clamp(route_tier, 0, kRouteRanks - 1);
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
