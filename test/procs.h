// Helpers for tests that run the real binary as separate processes on
// 127.0.0.1: start a role, signal it, wait for a port, make one HTTP call. The
// helpers limit their waits by counts and timeouts and assert nothing.
#ifndef MEDLARWALK_TEST_PROCS_H_
#define MEDLARWALK_TEST_PROCS_H_

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace medlarwalk::testing {

// Returns the path of the binary under test: $MEDLARWALK_BIN, or `medlarwalk`
// in the directory of this program.
std::string BinaryPath();

// Starts `medlarwalk ARGS...` with its output appended to the file `log` and
// `env` ("NAME=value" each) added to its environment. Returns the process id.
pid_t SpawnMedlarwalk(const std::vector<std::string>& args,
                      const std::string& log,
                      const std::vector<std::string>& env = {});

// Sends `sig` to the process. For signals other than SIGSTOP and SIGCONT, waits
// up to `wait_ms` for it to exit, then kills it. Returns true when the process
// exited within this time.
bool SignalAndWait(pid_t pid, int sig, int wait_ms = 5000);

// Returns the peak of the memory that process `pid` has held, in bytes; 0 if it
// does not run.
size_t PeakMemoryOf(pid_t pid);

// Waits up to `ms` until a process accepts connections on 127.0.0.1:`port`.
// Returns false on timeout.
bool WaitForPort(int port, int ms = 5000);

// The result of one HTTP call.
struct HttpReply {
  int curl_code = 0;  // 0 when the transfer ended cleanly.
  long status = 0;
  std::string body;
  std::map<std::string, std::string> headers;  // Names are in lower case.
};

// Sends a POST request with `headers` ("Name: value" each) to `url` and waits
// for the end of the reply.
HttpReply Post(const std::string& url, const std::string& body,
               const std::vector<std::string>& headers, int timeout_ms = 10000);

// Sends a GET request to `url` and waits for the end of the reply.
HttpReply Get(const std::string& url, int timeout_ms = 5000);

// Creates a directory under /tmp and returns its path.
std::string MakeTempDir();

// Claims kPortsPerRange consecutive ports for this process and returns the
// first one. Other test processes on this host get none of them until this
// process ends, because it listens on the last port of the range.
inline constexpr int kPortsPerRange = 50;
int ClaimPortRange();

}  // namespace medlarwalk::testing

#endif  // MEDLARWALK_TEST_PROCS_H_
