// The routing configuration that operators submit: routes, services, client
// accounts and limits, as one versioned document, and lookups in it.
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

// Whether the requests of a route may run more than once.
enum class RequestKind {
  kRepeatable,  // A request may run more than once.
  kAtMostOnce,  // A request runs at most once per caller attempt.
  kStream,      // Event stream; runs at most once unless resumable.
};

// A service of a route, with the weight that determines its share of the
// requests.
struct WeightedService {
  std::string service;
  double weight = 1;
};

// A route: the requests it matches and how they are handled.
struct RouteRule {
  std::string name;
  std::string host;
  std::string path_prefix;  // Begins and ends with a slash.
  RequestKind kind = RequestKind::kAtMostOnce;
  Duration timeout{};           // Time until the final answer.
  Duration latency_target{};    // For streams: time until the first event.
  Duration event_gap_target{};  // For streams: longest gap between events.
  Tier tier = 0;
  std::vector<WeightedService> services;
  // Maximum number of sends to upstreams per caller attempt.
  int max_attempts = 1;
  bool anonymous = false;  // No client account is required.
  bool resumable = false;  // A stream may continue on another upstream.
  std::string label;       // Class label in the metrics; empty: the tier.
};

// Limits of the model engines of a service.
struct EngineLimits {
  int slots = 1;  // Requests that an engine runs at the same time.
  // Tokens that the memory of an engine holds, those of running requests and of
  // cached prompt parts together; 0: unknown.
  int64_t memory_tokens = 0;
};

struct ServiceRule {
  std::string name;
  int max_connections = 0;  // Connections to one upstream from all processes.
  std::optional<EngineLimits> engine;
  // Entries tell each other what they send to the engines of this service.
  bool shared_load = false;
  // Requests are placed by predicted times instead of counts. Only with
  // shared_load.
  bool timed_placement = false;
  // Rejected callers are told when to return, and go before newcomers then.
  // Only with shared_load.
  bool return_precedence = false;
  // Tiers of the routes that lead to this service, most urgent first. Filled by
  // BuildConfigIndexes.
  std::vector<Tier> tiers;
};

struct AccountRule {
  std::string name;
  std::vector<std::string> keys;
  // Tier among accounts; unset: the tier of the route.
  std::optional<Tier> tier;
};

struct RoutingConfig {
  int64_t version = 0;
  std::vector<RouteRule> routes;
  std::map<std::string, ServiceRule> services;
  std::vector<AccountRule> accounts;
  CallerLimits limits;
  // Lookup tables derived by BuildConfigIndexes.
  std::unordered_map<std::string, size_t> account_of_key;
  std::unordered_map<std::string, std::vector<size_t>> routes_of_host;
  std::map<Tier, int> engine_priority;  // By priority rank of the request.
};

// Checks that all services are known, no two routes have the same host and
// prefix, weights and timeouts are valid and no key belongs to two accounts.
// Errors: InvalidArgument.
absl::Status ValidateConfig(const RoutingConfig& c);

// Sets ServiceRule::shared_load for services of engines to which a stream route
// with a short latency target leads: a target that is over before an entry can
// learn of the other entries' requests from watches and load reports. Does not
// set timed_placement and return_precedence.
void EnableSharedLoad(RoutingConfig* c);

// Fills the derived lookup tables. Precondition: ValidateConfig(*c) is Ok.
void BuildConfigIndexes(RoutingConfig* c);

// Returns the route of `host` with the longest path prefix that matches `path`,
// or nullptr. A port in `host` is ignored.
const RouteRule* FindRoute(const RoutingConfig& c, absl::string_view host,
                           absl::string_view path);

// Returns the account that owns `key`, or nullptr.
const AccountRule* FindAccount(const RoutingConfig& c, const std::string& key);

// Returns the priority rank of a request; requests of lower rank are served
// first. Requests are ranked by the tier of their route, then by the tier of
// their account: batch work of a preferred account must not delay or displace
// interactive requests of another account.
Tier RequestRank(Tier route_tier, Tier account_tier);

// Returns the priority to send to engines for the priority rank `rank`, from 0
// (highest) to 9, in the order of the ranks that occur in the configuration. If
// there are more ranks than priorities, the tiers of accounts are ignored.
// Precondition: BuildConfigIndexes has run.
int EnginePriority(const RoutingConfig& c, Tier rank);

// Returns the position of `tier` among the tiers of the service, 0 for the most
// urgent one. Precondition: BuildConfigIndexes has run.
int UrgencyLevel(const ServiceRule& service, Tier tier);

// Chooses a service of the route at random by weight; `draw` is uniform in [0,
// 1).
const std::string& PickService(const RouteRule& r, double draw);

}  // namespace medlarwalk

#endif  // MEDLARWALK_ROUTING_CONFIG_H_
