// Small helpers for tests that run the real binary as separate processes on
// 127.0.0.1: start a role, signal it, wait for a port, make one HTTP call.
// Scaffolding only; every bound here is a count or a timeout, not an assert.
#ifndef MEDLARWALK_TEST_PROCS_H_
#define MEDLARWALK_TEST_PROCS_H_

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace medlarwalk::testing {

// The binary under test: $MEDLARWALK_BIN, or `medlarwalk` beside this program.
std::string BinaryPath();

// Starts `medlarwalk ARGS...`, its output appended to `log`. Returns the
// process id.
// `env`: lines "NAME=value" added to its environment.
pid_t Spawn(const std::vector<std::string>& args, const std::string& log,
            const std::vector<std::string>& env = {});

// Sends `sig` and, for ending signals, waits up to `wait_ms` for the exit.
// Returns true when the process has exited.
bool Stop(pid_t pid, int sig, int wait_ms = 5000);

// Waits up to `ms` until something accepts on 127.0.0.1:`port`.
bool WaitForPort(int port, int ms = 5000);

// One finished HTTP call.
struct Reply {
  int curl_code = 0;  // 0 when the transfer ended cleanly.
  long status = 0;
  std::string body;
  std::map<std::string, std::string> headers;  // Names lower case.
};

// POSTs `body` to `url` with `headers` ("Name: value"), waits for the end.
Reply Post(const std::string& url, const std::string& body,
           const std::vector<std::string>& headers, int timeout_ms = 10000);

// GETs `url`.
Reply Get(const std::string& url, int timeout_ms = 5000);

// A fresh folder under /tmp.
std::string TempDir();

// The first of kPortsEach ports that no other test process on this machine
// uses until this one ends: the last of them is held as the claim.
inline constexpr int kPortsEach = 50;
int FreeBase();

}  // namespace medlarwalk::testing

#endif  // MEDLARWALK_TEST_PROCS_H_
