#include "procs.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace medlarwalk::testing {

namespace {

constexpr int kPollIntervalMs = 20;

size_t AppendBody(char* p, size_t s, size_t n, void* u) {
  static_cast<std::string*>(u)->append(p, s * n);
  return s * n;
}

size_t AppendHeader(char* p, size_t s, size_t n, void* u) {
  std::string line(p, s * n);
  size_t colon = line.find(':');
  if (colon != std::string::npos) {
    std::string k = line.substr(0, colon);
    std::transform(k.begin(), k.end(), k.begin(), ::tolower);
    std::string v = line.substr(colon + 1);
    v.erase(0, v.find_first_not_of(' '));
    v.erase(v.find_last_not_of("\r\n") + 1);
    (*static_cast<std::map<std::string, std::string>*>(u))[k] = v;
  }
  return s * n;
}

HttpReply PerformRequest(const std::string& method, const std::string& url,
                         const std::string& body,
                         const std::vector<std::string>& headers,
                         int timeout_ms) {
  HttpReply r;
  CURL* c = curl_easy_init();
  curl_slist* list = nullptr;
  for (const auto& h : headers) list = curl_slist_append(list, h.c_str());
  curl_easy_setopt(c, CURLOPT_URL, url.c_str());
  if (method == "POST") {
    curl_easy_setopt(c, CURLOPT_POSTFIELDS, body.c_str());
    curl_easy_setopt(c, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
  }
  curl_easy_setopt(c, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout_ms));
  curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(c, CURLOPT_WRITEDATA, &r.body);
  curl_easy_setopt(c, CURLOPT_HEADERFUNCTION, &AppendHeader);
  curl_easy_setopt(c, CURLOPT_HEADERDATA, &r.headers);
  curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
  r.curl_code = curl_easy_perform(c);
  curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &r.status);
  curl_slist_free_all(list);
  curl_easy_cleanup(c);
  return r;
}

}  // namespace

std::string BinaryPath() {
  if (const char* named = std::getenv("MEDLARWALK_BIN")) return named;
  return std::filesystem::read_symlink("/proc/self/exe").parent_path() /
         "medlarwalk";
}

pid_t SpawnMedlarwalk(const std::vector<std::string>& args,
                      const std::string& log,
                      const std::vector<std::string>& env) {
  std::string path = BinaryPath();
  pid_t pid = fork();
  if (pid == 0) {
    int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, 1);
    dup2(fd, 2);
    std::vector<char*> argv;
    argv.push_back(const_cast<char*>(path.c_str()));
    for (const auto& a : args) argv.push_back(const_cast<char*>(a.c_str()));
    argv.push_back(nullptr);
    for (const auto& e : env) putenv(const_cast<char*>(e.c_str()));
    execv(path.c_str(), argv.data());
    _exit(127);
  }
  return pid;
}

bool SignalAndWait(pid_t pid, int sig, int wait_ms) {
  kill(pid, sig);
  if (sig == SIGSTOP || sig == SIGCONT) return false;
  for (int waited = 0; waited <= wait_ms; waited += kPollIntervalMs) {
    if (waitpid(pid, nullptr, WNOHANG) == pid) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(kPollIntervalMs));
  }
  kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
  return false;
}

size_t PeakMemoryOf(pid_t pid) {
  constexpr absl::string_view kPeak = "VmHWM:";
  std::ifstream status(absl::StrCat("/proc/", pid, "/status"));
  for (std::string line; std::getline(status, line);) {
    if (absl::StartsWith(line, kPeak))
      return std::strtoull(line.c_str() + kPeak.size(), nullptr, 10) * 1024;
  }
  return 0;
}

bool WaitForPort(int port, int ms) {
  for (int waited = 0; waited <= ms; waited += kPollIntervalMs) {
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, "127.0.0.1", &a.sin_addr);
    bool ok = connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof(a)) == 0;
    close(fd);
    if (ok) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(kPollIntervalMs));
  }
  return false;
}

HttpReply Post(const std::string& url, const std::string& body,
               const std::vector<std::string>& headers, int timeout_ms) {
  return PerformRequest("POST", url, body, headers, timeout_ms);
}

HttpReply Get(const std::string& url, int timeout_ms) {
  return PerformRequest("GET", url, "", {}, timeout_ms);
}

std::string MakeTempDir() {
  char tmpl[] = "/tmp/mw-test-XXXXXX";
  return mkdtemp(tmpl);
}

int ClaimPortRange() {
  // The range is below the kernel's ephemeral ports (32768 and up), so that no
  // outgoing connection holds a port on which a test wants to listen.
  constexpr int kFirst = 20000;
  constexpr int kBases = 240;
  static int next = static_cast<int>(getpid());
  for (int tries = 0; tries < kBases; ++tries) {
    int base_port = kFirst + (next++ % kBases) * kPortsPerRange;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<uint16_t>(base_port + kPortsPerRange - 1));
    inet_pton(AF_INET, "127.0.0.1", &a.sin_addr);
    // This socket listens until the process ends, which marks the port range as
    // taken. Two test processes with the same ports would reach each other's
    // servers.
    if (bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof(a)) == 0 &&
        listen(fd, 1) == 0) {
      return base_port;
    }
    close(fd);
  }
  std::fprintf(stderr, "no free ports for tests\n");
  std::abort();
}

}  // namespace medlarwalk::testing
