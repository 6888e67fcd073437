// The product's own front door: its callers' API (OpenAI-style completions
// and plain services, accounts and classes by header), its settings file and
// its agents, put in the core's terms. Nothing here decides.
#ifndef MEDLARWALK_OWN_API_H_
#define MEDLARWALK_OWN_API_H_

#include <memory>
#include <string>

#include "dialect.h"
#include "routing_config.h"
#include "settings.h"
#include "upstream_list.h"

namespace medlarwalk {

// Reads and writes for callers and agents. `entry` names the process in the
// ids of requests. Precondition: *settings is checked.
Dialect OwnDialect(std::shared_ptr<const Settings> settings,
                   const std::string& entry);

// Routes of every class to every model and plain service. Engines that serve
// the same models make one service.
RoutingConfig OwnRouting(const Settings& settings);

// The upstreams as declared, none leaving.
std::vector<UpstreamInfo> OwnUpstreams(const Settings& settings);

}  // namespace medlarwalk

#endif  // MEDLARWALK_OWN_API_H_
