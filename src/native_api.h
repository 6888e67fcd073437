// Converts between the types of the core and the native API of medlarwalk. This
// API consists of the requests of callers (OpenAI-style completions and plain
// services, with account and class in headers), the settings file and the
// messages to agents. This code makes no routing decisions.
#ifndef MEDLARWALK_NATIVE_API_H_
#define MEDLARWALK_NATIVE_API_H_

#include <chrono>
#include <memory>
#include <string>

#include "dialect.h"
#include "routing_config.h"
#include "settings.h"
#include "upstream_list.h"

namespace medlarwalk {

// Time after which a request without a complete answer counts as failed. The
// native API itself sets no time limit for streams.
inline constexpr auto kMaxAnswerTime = std::chrono::minutes(10);

// Returns the functions that read and write the messages of callers and agents.
// Request ids begin with `entry`. Precondition: *settings has been validated.
Dialect NativeApiDialect(std::shared_ptr<const Settings> settings,
                         const std::string& entry);

// Returns the routes from every class to every model and plain service.
// Engines that serve the same set of models form one service.
RoutingConfig RoutingFromSettings(const Settings& settings);

// Returns the upstreams declared in the settings, none of them draining.
std::vector<UpstreamInfo> UpstreamsFromSettings(const Settings& settings);

}  // namespace medlarwalk

#endif  // MEDLARWALK_NATIVE_API_H_
