// The medlarwalk binary, with one subcommand per role. This file only connects
// settings, clock, event loop and the object of the role.
#include <ev.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "agent.h"
#include "bench.h"
#include "entry.h"
#include "fake_engine.h"
#include "fake_service.h"
#include "heap_use.h"
#include "load_tool.h"
#include "log.h"
#include "platform/run.h"
#include "settings.h"

ABSL_FLAG(std::string, settings, "",
          "Settings file (JSON); empty: built-in default");
ABSL_FLAG(int, base_port, 7000, "First port of the built-in default settings");
ABSL_FLAG(std::string, host, "", "This process's host name in the settings");
ABSL_FLAG(std::string, data, "", "Data folder (hosts with a disk)");
ABSL_FLAG(std::string, policy, "tiered", "Entry policy: tiered or naive");
ABSL_FLAG(std::string, log_level, "info", "debug, info or warn");
ABSL_FLAG(std::string, upstream, "",
          "fake-engine/fake-service: upstream to stand in for");
ABSL_FLAG(bool, ignore_fencing, false,
          "fake-engine: apply orders with old fencing numbers");
ABSL_FLAG(int, step_ms, 10, "fake-engine: decode step with an empty batch");
ABSL_FLAG(int, delay_ms, 20, "fake-service: time each call takes");
ABSL_FLAG(std::string, workload, "", "load: workload file (JSON)");
ABSL_FLAG(std::string, json, "", "load: also write the report as JSON here");
ABSL_FLAG(int, requests, 20000, "bench: requests in the trace");
ABSL_FLAG(uint64_t, seed, 1, "bench: seed of the trace");

namespace medlarwalk {
namespace {

constexpr char kUsage[] =
    "usage: medlarwalk COMMAND [flags]\n"
    "commands: entry agent fake-engine fake-service load bench check-settings "
    "default-settings platform-entry platform-control";

absl::StatusOr<Settings> LoadSelectedSettings() {
  std::string path = absl::GetFlag(FLAGS_settings);
  if (path.empty())
    return ParseSettings(DefaultSettingsJson(absl::GetFlag(FLAGS_base_port)));
  return LoadSettings(path);
}

int PrintError(const absl::Status& s) {
  std::cerr << s.message() << "\n";
  return 2;
}

// Returns the port of a base URL such as http://127.0.0.1:9001; 0 if there is
// none.
int PortFromUrl(const std::string& url) {
  int port = 0;
  size_t colon = url.rfind(':');
  if (colon == std::string::npos) return 0;
  std::string rest = url.substr(colon + 1);
  size_t slash = rest.find('/');
  if (!absl::SimpleAtoi(rest.substr(0, slash), &port)) return 0;
  return port;
}

// Starts `role` and runs the event loop until the loop ends. Returns the exit
// status.
template <typename Role>
int Serve(struct ev_loop* loop, Role& role) {
  absl::Status s = role.Start();
  if (!s.ok()) return PrintError(s);
  ev_run(loop, 0);
  return 0;
}

int RunRole(const std::string& command) {
  absl::StatusOr<Settings> settings = LoadSelectedSettings();
  if (!settings.ok()) return PrintError(settings.status());
  std::string host = absl::GetFlag(FLAGS_host);
  InitLog(absl::StrCat(command, "/",
                       host.empty() ? absl::GetFlag(FLAGS_upstream) : host),
          absl::GetFlag(FLAGS_log_level));
  struct ev_loop* loop = EV_DEFAULT;
  SteadyClock clock;
  if (command == "entry" || command == "agent") {
    const HostSettings* h = settings->FindHost(host);
    if (!h || h->role != command) {
      return PrintError(absl::InvalidArgumentError(absl::StrCat(
          "--host '", host, "' is not an ", command, " in the settings")));
    }
    if (command == "entry") {
      EntryPolicyKind policy = absl::GetFlag(FLAGS_policy) == "naive"
                                   ? EntryPolicyKind::kNaive
                                   : EntryPolicyKind::kTiered;
      Entry entry(loop, clock, *settings, host, policy);
      return Serve(loop, entry);
    }
    Agent agent(loop, clock, *settings, host, absl::GetFlag(FLAGS_data));
    return Serve(loop, agent);
  }
  const UpstreamSettings* u =
      settings->FindUpstream(absl::GetFlag(FLAGS_upstream));
  if (!u) {
    return PrintError(absl::InvalidArgumentError(
        absl::StrCat("--upstream '", absl::GetFlag(FLAGS_upstream),
                     "' is not in the settings")));
  }
  if (command == "fake-engine") {
    FakeEngineOptions o;
    o.port = PortFromUrl(u->url);
    o.step_time = Millis(absl::GetFlag(FLAGS_step_ms));
    o.checks_fencing = !absl::GetFlag(FLAGS_ignore_fencing);
    FakeEngine engine(loop, clock, o);
    return Serve(loop, engine);
  }
  FakeService service(loop, "127.0.0.1", PortFromUrl(u->url),
                      Millis(absl::GetFlag(FLAGS_delay_ms)));
  return Serve(loop, service);
}

// Runs `check-settings [FILE]`: checks FILE, else the file of --settings, else
// the built-in default.
int CheckSettings(const std::vector<char*>& args) {
  if (args.size() > 3 ||
      (args.size() == 3 && !absl::GetFlag(FLAGS_settings).empty())) {
    return PrintError(
        absl::InvalidArgumentError("check-settings takes one file"));
  }
  absl::StatusOr<Settings> s =
      args.size() == 3 ? LoadSettings(args[2]) : LoadSelectedSettings();
  if (!s.ok()) return PrintError(s.status());
  std::cout << "settings ok: version " << s->version << "\n";
  return 0;
}

int RunLoadCommand() {
  std::ifstream in(absl::GetFlag(FLAGS_workload));
  if (!in)
    return PrintError(absl::NotFoundError("load: cannot read --workload"));
  std::stringstream buf;
  buf << in.rdbuf();
  absl::StatusOr<Workload> w = ParseWorkload(buf.str());
  if (!w.ok()) return PrintError(w.status());
  absl::StatusOr<Settings> settings = LoadSelectedSettings();
  if (!settings.ok()) return PrintError(settings.status());
  FillWorkloadFromSettings(*settings, *w);
  if (w->targets.empty())
    return PrintError(absl::InvalidArgumentError("load: no targets"));
  LoadTestReport r = RunLoadTest(*w);
  std::cout << FormatReportTable(r);
  if (!absl::GetFlag(FLAGS_json).empty()) {
    std::ofstream(absl::GetFlag(FLAGS_json)) << FormatReportJson(r) << "\n";
  }
  return 0;
}

int Main(int argc, char** argv) {
  // SIGPIPE is ignored. Otherwise it would terminate the process when a peer
  // disconnects during a write: an entry whose caller left, or an agent whose
  // entry died.
  std::signal(SIGPIPE, SIG_IGN);
  absl::SetProgramUsageMessage(kUsage);
  std::vector<char*> args = absl::ParseCommandLine(argc, argv);
  if (args.size() < 2) {
    std::cerr << kUsage << "\n";
    return 2;
  }
  std::string command = args[1];
  if (command == "check-settings") return CheckSettings(args);
  if (args.size() > 2) {
    return PrintError(absl::InvalidArgumentError(
        absl::StrCat(command, " takes no argument '", args[2], "'")));
  }
  if (command == "default-settings") {
    std::cout << DefaultSettingsJson(absl::GetFlag(FLAGS_base_port)) << "\n";
    return 0;
  }
  if (command == "bench") {
    std::cout << FormatBench(
        RunBench(absl::GetFlag(FLAGS_requests), absl::GetFlag(FLAGS_seed)));
    return 0;
  }
  if (command == "platform-entry") return platform::RunEntry();
  if (command == "platform-control") return platform::RunControl();
  if (command == "load") return RunLoadCommand();
  if (command == "entry" || command == "agent" || command == "fake-engine" ||
      command == "fake-service") {
    return RunRole(command);
  }
  std::cerr << kUsage << "\n";
  return 2;
}

}  // namespace
}  // namespace medlarwalk

int main(int argc, char** argv) {
  medlarwalk::ReturnLargeBlocks();
  return medlarwalk::Main(argc, argv);
}
