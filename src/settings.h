// Settings: one JSON file declaring hosts, classes of work, client accounts,
// models and upstreams. Checked whole at load; a bad file is refused with the
// JSON path of the first fault and the reason, and nothing starts.
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

// A process of the system and where it listens.
struct HostSettings {
  std::string name;
  std::string role;  // "entry", "agent" or "control".
  std::string data_centre;
  std::string address;   // IP number to listen on and to be reached at.
  int port = 0;          // Callers' HTTP (entry) or HTTP/2 (agent).
  int metrics_port = 0;  // Prometheus /metrics; 0 serves it on `port`.
};

// A class of work: its tier and latency targets.
struct ClassSettings {
  std::string name;
  Tier tier = 0;
  Millis first_token_target{0};
  Millis between_tokens_target{0};
};

// A client account and the classes it may use.
struct AccountSettings {
  std::string name;
  std::vector<std::string> classes;
  int max_in_flight = 0;  // Per entry; 0 means no limit of its own.
};

// A back end: a model engine or a plain service, with the agent beside it.
struct UpstreamSettings {
  std::string name;
  std::string kind;   // "engine" or "service".
  std::string agent;  // Name of the agent host beside it.
  std::string url;    // Base URL the agent calls, e.g. http://127.0.0.1:9001
  std::vector<std::string> models;  // Engines only.
  bool checks_fencing = false;      // Whether it refuses stale orders itself.
  int max_in_flight = 0;            // Requests one entry sends it at once.
};

// Admission and scheduling at each entry.
struct EntryPolicy {
  int queue_limit = 0;           // Requests queued at one entry, all classes.
  Millis starvation_bound{0};    // Longest wait before a lower tier is served.
  int retry_budget_percent = 0;  // Retries as a share of first tries.
  Millis ping_interval{0};       // HTTP/2 PING to each agent.
  Millis ping_timeout{0};        // Connection declared dead after this.
};

// The whole settings file.
struct Settings {
  int64_t version = 0;
  std::vector<HostSettings> hosts;
  std::vector<ClassSettings> classes;
  std::vector<AccountSettings> accounts;
  std::vector<std::string> models;
  std::vector<UpstreamSettings> upstreams;
  EntryPolicy entry;

  // Lookups by name; nullptr when absent. Thread safety: read only.
  const HostSettings* FindHost(absl::string_view name) const;
  const ClassSettings* FindClass(absl::string_view name) const;
  const AccountSettings* FindAccount(absl::string_view name) const;
  const UpstreamSettings* FindUpstream(absl::string_view name) const;
};

// Parses and checks `json_text`. Errors: InvalidArgument naming the JSON path
// (e.g. `$.classes[2].tier`) and the reason: not JSON, unknown key, wrong
// type, number out of range, duplicate name or dangling reference.
absl::StatusOr<Settings> ParseSettings(absl::string_view json_text);

// Reads the file at `path` and parses it. Errors: NotFound when unreadable,
// else as ParseSettings.
absl::StatusOr<Settings> LoadSettings(const std::string& path);

// The built-in default: one control host, two entries, three agents each
// beside a fake engine, one fake service, all on 127.0.0.1 from `base_port`.
std::string DefaultSettingsJson(int base_port);

}  // namespace medlarwalk

#endif  // MEDLARWALK_SETTINGS_H_
