// What operators declare: routes, services, client accounts and limits, as
// one versioned document, and the look-ups on it.
#ifndef MEDLARWALK_ROUTING_CONFIG_H_
#define MEDLARWALK_ROUTING_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "types.h"

namespace medlarwalk {

// What may be repeated.
enum class RequestKind {
  kRepeatable,  // May run more than once.
  kOnce,        // At most once for each caller attempt.
  kStream,      // Events; at most once unless the route is resumable.
};

struct WeightedService {
  std::string service;
  double weight = 1;
};

struct RouteRule {
  std::string name;
  std::string host;
  std::string path_prefix;  // Begins and ends with a slash.
  RequestKind kind = RequestKind::kOnce;
  Duration timeout{};         // Longest time to a final answer.
  Duration latency_target{};  // Streams: to the first event.
  Duration pause_target{};    // Streams: longest pause between events.
  Tier tier = 0;
  std::vector<WeightedService> services;
  int max_attempts = 1;  // Upstreams that one caller attempt may be sent to.
  bool anonymous = false;
  bool resumable = false;  // A stream may go on elsewhere.
  std::string label;       // In the metrics; empty: the request's tier.
};

// Limits of a model engine.
struct EngineLimits {
  int slots = 1;
};

struct ServiceRule {
  std::string name;
  int max_connections = 0;  // Per upstream, all callers together.
  std::optional<EngineLimits> engine;
};

struct AccountRule {
  std::string name;
  std::vector<std::string> keys;
  std::optional<Tier> tier;  // Goes before the route's.
};

struct RoutingConfig {
  int64_t version = 0;
  std::vector<RouteRule> routes;
  std::map<std::string, ServiceRule> services;
  std::vector<AccountRule> accounts;
  CallerLimits limits;
  // Derived by IndexConfig.
  std::unordered_map<std::string, size_t> account_of_key;
  std::unordered_map<std::string, std::vector<size_t>> routes_of_host;
};

// Checks `c` as a whole: known services, distinct places, positive weights
// and timeouts, no shared key. Errors: InvalidArgument.
absl::Status ValidateConfig(const RoutingConfig& c);

// Fills the derived look-ups. Precondition: ValidateConfig(*c) is Ok.
void IndexConfig(RoutingConfig* c);

// The route for `host` with the longest prefix that begins `path`, or nullptr.
const RouteRule* FindRoute(const RoutingConfig& c, absl::string_view host,
                           absl::string_view path);

// The account that holds `key`, or nullptr.
const AccountRule* FindAccount(const RoutingConfig& c, const std::string& key);

// The order in which requests go: by tier, and within a tier by the route's
// own, since an account's tier may cover routes of all tiers. Ranks fit what
// engines tell apart (0 to 9) for three tiers of three.
Tier RankOf(Tier tier, Tier route_tier);

// Picks a service by weight; `draw` is uniform in [0, 1).
const std::string& PickService(const RouteRule& r, double draw);

}  // namespace medlarwalk

#endif  // MEDLARWALK_ROUTING_CONFIG_H_
