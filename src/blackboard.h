// The blackboard: what an entry knows of its upstreams, in plain structs.
// Controllers (load poller, membership watcher, connection health, straggler
// detector) write it; the router and scheduler read it. Keeping this state in
// one place means each controller stays a short free function over it.
#ifndef MEDLARWALK_BLACKBOARD_H_
#define MEDLARWALK_BLACKBOARD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "types.h"

namespace medlarwalk {

// What is known of one upstream.
struct UpstreamState {
  std::string name;
  std::string agent;                // Host name of the agent beside it.
  std::vector<std::string> models;  // Empty for plain services.
  int max_in_flight = 1;
  // Written by the entry as it dispatches and finishes: exact and current,
  // unlike the engine's own report, which lags.
  int in_flight = 0;
  // The engine's last load report (running + waiting), and when it came.
  int reported_load = 0;
  TimePoint reported_at{};
  // Membership: leaving upstreams get no new work.
  bool leaving = false;
  // Connection health: false while the agent's link is down or silent.
  bool healthy = true;
  // Smoothed seconds between tokens seen from this upstream, and how many
  // streams fed it; the straggler detector compares it across upstreams.
  double token_gap_s = 0;
  int gap_samples = 0;
  bool straggler = false;
};

// Everything an entry's controllers share.
struct Blackboard {
  int64_t settings_version = 0;
  std::vector<UpstreamState> upstreams;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_BLACKBOARD_H_
