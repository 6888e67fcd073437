// Settings: one JSON file that declares hosts, classes of work, client
// accounts, models and upstreams. The whole file is checked when it is loaded.
// The process does not start with an invalid file, and reports the JSON path
// and the reason of the first error.
#ifndef MEDLARWALK_SETTINGS_H_
#define MEDLARWALK_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "types.h"

namespace medlarwalk {

// A process of the system and the address it listens on.
struct HostSettings {
  std::string name;
  std::string role;  // "entry", "agent" or "control".
  std::string data_centre;
  // IP address to listen on, to which other hosts connect.
  std::string address;
  int port = 0;  // Port for HTTP from callers (entry) or HTTP/2 (agent).
  int metrics_port = 0;  // Port of Prometheus /metrics; 0: served on `port`.
};

// A class of work with its tier and latency targets.
struct ClassSettings {
  std::string name;
  Tier tier = 0;
  Millis first_token_target{0};
  Millis between_tokens_target{0};
};

// A client account and the classes of work it may use.
struct AccountSettings {
  std::string name;
  std::vector<std::string> classes;
  int max_in_flight = 0;  // Requests in flight per entry; 0: no limit.
};

// An upstream: a model engine or a plain service, and the agent in front of it.
struct UpstreamSettings {
  std::string name;
  std::string kind;   // "engine" or "service".
  std::string agent;  // Host name of the agent in front of the upstream.
  std::string url;    // Base URL the agent calls, e.g. http://127.0.0.1:9001
  // Models that an engine serves; empty for services.
  std::vector<std::string> models;
  // Whether the upstream itself rejects orders with an outdated fencing number.
  bool checks_fencing = false;
  int max_in_flight = 0;  // Maximum concurrent requests from one entry.
};

// Admission and scheduling limits of each entry.
struct EntryPolicy {
  int queue_limit = 0;  // Maximum queued requests per entry, over all classes.
  Millis starvation_bound{
      0};  // Wait after which a lower-tier request counts as starving.
  // Limit of retries, in percent of first attempts.
  int retry_budget_percent = 0;
  Millis ping_interval{0};  // Interval of HTTP/2 PINGs to each agent.
  Millis ping_timeout{0};   // Time without received bytes after which a
                            // connection to an agent gets no new requests.
  // Entries tell each other what they send to engines.
  bool shared_load = false;
  // Places requests by predicted times. Only with shared_load.
  bool timed_placement = false;
  // Tells rejected callers when to return, and places them before newcomers
  // then. Only with shared_load.
  bool return_precedence = false;
};

// The content of a settings file.
struct Settings {
  int64_t version = 0;
  std::vector<HostSettings> hosts;
  std::vector<ClassSettings> classes;
  std::vector<AccountSettings> accounts;
  std::vector<std::string> models;
  std::vector<UpstreamSettings> upstreams;
  EntryPolicy entry;

  // Return the element with the given name; nullptr when absent. Thread safety:
  // read only.
  const HostSettings* FindHost(absl::string_view name) const;
  const ClassSettings* FindClass(absl::string_view name) const;
  const AccountSettings* FindAccount(absl::string_view name) const;
  const UpstreamSettings* FindUpstream(absl::string_view name) const;
};

// Parses and checks `json_text`. Errors: InvalidArgument with the JSON path
// (e.g.
// `$.classes[2].tier`) and the reason: not JSON, missing or unknown key, wrong
// type, number out of range, duplicate name or dangling reference.
absl::StatusOr<Settings> ParseSettings(absl::string_view json_text);

// Reads and parses the file at `path`. Errors: NotFound when the file cannot be
// read, else as ParseSettings().
absl::StatusOr<Settings> LoadSettings(const std::string& path);

// Returns the built-in default settings, all on 127.0.0.1 with ports from
// `base_port`: one control host, two entries, three fake engines and one fake
// service, each with its own agent.
std::string DefaultSettingsJson(int base_port);

}  // namespace medlarwalk

#endif  // MEDLARWALK_SETTINGS_H_
