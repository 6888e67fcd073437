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
  std::string label;       // In the metrics; empty: the tier.
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
  std::optional<Tier> tier;  // Among accounts; the route's where not said.
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
  std::map<Tier, int> engine_priority;  // By rank.
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

// The order in which requests go: by their route's tier, and within it by their
// account's. A favoured account's summaries must not be served, or stay in an
// engine, in place of another account's answers that somebody waits for on the
// spot.
Tier RankOf(Tier route_tier, Tier account_tier);

// What engines are told of `rank`, 0 (first) to 9: in the order of ranks for
// all that the configuration has. Where these are more than engines tell apart,
// accounts are not told apart. Precondition: IndexConfig has run.
int EnginePriority(const RoutingConfig& c, Tier rank);

// Picks a service by weight; `draw` is uniform in [0, 1).
const std::string& PickService(const RouteRule& r, double draw);

}  // namespace medlarwalk

#endif  // MEDLARWALK_ROUTING_CONFIG_H_
