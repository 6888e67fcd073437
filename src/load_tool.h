// The load tool: sends an open-loop load, described by a JSON workload, to one
// or more entries (or directly to an engine). It reports attainment (share of
// requests answered completely within both latency targets), goodput (tokens
// per second of such answers) and wasted work (tokens that engines generated
// but that reached no caller in a complete answer).
#ifndef MEDLARWALK_LOAD_TOOL_H_
#define MEDLARWALK_LOAD_TOOL_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "settings.h"
#include "types.h"

namespace medlarwalk {

// A period in which requests of a class arrive at a different rate.
struct Burst {
  double start_s = 0;
  double duration_s = 0;
  double rate = 0;  // Requests per second during the burst.
};

// One class of the workload.
struct LoadClass {
  std::string class_name;
  std::string account;
  std::string model;
  double rate = 1;  // Requests per second outside bursts.
  int max_tokens = 16;
  int prompt_chars = 200;
  Millis first_token_target{1000};
  Millis between_tokens_target{100};
  std::vector<Burst> bursts;
};

// A workload for one run.
struct Workload {
  std::vector<std::string> targets;  // Base URLs, used round-robin.
  std::vector<std::string> engines;  // Base URLs; wasted work needs /stats.
  double duration_s = 5;
  double drain_s = 10;  // Time to wait for answers after the last request.
  uint64_t seed = 1;
  std::vector<LoadClass> classes;
};

// Results of one class in one run.
struct ClassReport {
  std::string class_name;
  int sent = 0;
  int complete = 0;       // Complete answers to the right request.
  int met_targets = 0;    // Complete answers within both targets.
  int error_answers = 0;  // Requests without a 200 status.
  int incomplete = 0;     // Answers that ended early.
  int misdelivered = 0;   // Complete answers to another request.
  double attainment = 0;
  double p95_first_token_s = 0;
  double goodput_tokens_s = 0;
};

// Results of one run.
struct LoadTestReport {
  std::vector<ClassReport> classes;
  double goodput_tokens_s = 0;
  long long tokens_generated = -1;  // By all engines; -1: no engines given.
  long long tokens_delivered = 0;   // In complete answers.
  long long wasted_tokens = -1;
};

// Parses a workload. Targets and engines may be left out;
// FillWorkloadFromSettings adds them. Errors: InvalidArgument with the reason.
absl::StatusOr<Workload> ParseWorkload(absl::string_view json_text);

// Sets empty targets to the entries in the settings and empty engines to the
// engine upstreams in the settings.
void FillWorkloadFromSettings(const Settings& s, Workload& w);

// Runs `w` to its end in a libev loop of its own and returns the results.
LoadTestReport RunLoadTest(const Workload& w);

// Formats the report as a table for people or as JSON for tools.
std::string FormatReportTable(const LoadTestReport& r);
std::string FormatReportJson(const LoadTestReport& r);

}  // namespace medlarwalk

#endif  // MEDLARWALK_LOAD_TOOL_H_
