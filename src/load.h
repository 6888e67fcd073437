// The load tool: an open-loop load from a JSON workload against one or more
// entries (or an engine directly), reporting for each class its attainment
// (share of requests answered whole within both latency targets), goodput
// (tokens a second of such answers) and wasted work (tokens the engines
// generated that no caller received whole).
#ifndef MEDLARWALK_LOAD_H_
#define MEDLARWALK_LOAD_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "settings.h"
#include "types.h"

namespace medlarwalk {

// A stretch of time in which a class arrives at another rate.
struct Burst {
  double start_s = 0;
  double duration_s = 0;
  double rate = 0;  // Requests a second during the burst.
};

// One class of the workload.
struct LoadClass {
  std::string klass;
  std::string account;
  std::string model;
  double rate = 1;  // Requests a second outside bursts.
  int max_tokens = 16;
  int prompt_chars = 200;
  Millis first_token_target{1000};
  Millis between_tokens_target{100};
  std::vector<Burst> bursts;
};

// The whole workload.
struct Workload {
  std::vector<std::string> targets;  // Base URLs, used in turn.
  std::vector<std::string> engines;  // For wasted work: their /stats.
  double duration_s = 5;
  double drain_s = 10;  // Time allowed for answers after the end.
  uint64_t seed = 1;
  std::vector<LoadClass> classes;
};

// Per-class figures of one run.
struct ClassReport {
  std::string klass;
  int sent = 0;
  int whole = 0;    // Answers complete and the caller's own.
  int met = 0;      // Whole and within both targets.
  int refused = 0;  // Answered with an error status.
  int cut = 0;      // Answers that ended before they were whole.
  int crossed = 0;  // Answers that were another request's.
  double attainment = 0;
  double p95_first_token_s = 0;
  double goodput_tokens_s = 0;
};

// The figures of one run.
struct LoadReport {
  std::vector<ClassReport> classes;
  double goodput_tokens_s = 0;
  long long tokens_generated = -1;  // From the engines; -1 when not asked.
  long long tokens_delivered = 0;   // In whole answers.
  long long wasted_tokens = -1;
};

// Parses a workload. Targets and engines may be left out and filled from
// the settings (FillFromSettings). Errors: InvalidArgument with the reason.
absl::StatusOr<Workload> ParseWorkload(absl::string_view json_text);

// Fills empty targets with the settings' entries and empty engines with its
// engine upstreams.
void FillFromSettings(const Settings& s, Workload& w);

// Runs `w` to the end in its own libev loop and returns the figures.
LoadReport RunLoad(const Workload& w);

// The report as a table for people and as JSON for tools.
std::string FormatReportTable(const LoadReport& r);
std::string FormatReportJson(const LoadReport& r);

}  // namespace medlarwalk

#endif  // MEDLARWALK_LOAD_H_
