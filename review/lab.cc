#include "lab.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <memory>

namespace review {
namespace {

constexpr int kMachines = 3;
const char* const kZones[kMachines] = {"pit-a", "pit-b", "pit-c"};
// Ports of every machine, as offsets from the first one.
constexpr int kLastInternal = 15;
constexpr int kReadiness = 16;
constexpr int kFrontend = 17;
constexpr int kControl = 18;
constexpr int kPlatform = 19;
constexpr int kPorts = 21;

const Clock::time_point kStart = Clock::now();

std::string Lower(std::string s) {
  for (char& c : s) c = static_cast<char>(std::tolower(c));
  return s;
}

sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
  return a;
}

int OpenListener(const std::string& ip, int port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in a = Address(ip, port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof(a)) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

std::string Quoted(const std::string& s) { return "\"" + s + "\""; }

}  // namespace

double Now() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

void SleepMs(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool Trouble() {
  const char* v = std::getenv("TROUBLE");
  return !v || std::string(v) != "0";
}

Record::Record(const std::string& path) : file_(fopen(path.c_str(), "we")) {}
Record::~Record() {
  if (file_) fclose(file_);
}
void Record::Line(const std::string& text) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (!file_) return;
  fprintf(file_, "%8.3f %s\n", Now(), text.c_str());
  fflush(file_);
}

std::string Message::Header(const std::string& name) const {
  for (const auto& h : headers) {
    if (h.first == name) return h.second;
  }
  return "";
}

int Message::Status() const {
  size_t space = first_line.find(' ');
  return space == std::string::npos ? 0
                                    : std::atoi(first_line.c_str() + space + 1);
}

std::string Message::Target() const {
  size_t from = first_line.find(' ');
  if (from == std::string::npos) return "";
  size_t to = first_line.find(' ', from + 1);
  return first_line.substr(from + 1, to - from - 1);
}

bool Socket::Connect(const std::string& ip, int port, int receive_buffer) {
  Close();
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  }
  sockaddr_in a = Address(ip, port);
  if (connect(fd_, reinterpret_cast<sockaddr*>(&a), sizeof(a)) != 0) {
    Close();
    return false;
  }
  int one = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return true;
}

bool Socket::Send(const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    ssize_t n =
        send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    sent += static_cast<size_t>(n);
  }
  return true;
}

std::string Socket::Receive(size_t max, int timeout_ms) {
  pollfd p{fd_, POLLIN, 0};
  if (poll(&p, 1, timeout_ms) <= 0) return "";
  std::string out(max, '\0');
  ssize_t n = recv(fd_, &out[0], max, 0);
  if (n <= 0) {
    ended_ = true;
    reset_ = n < 0 && errno == ECONNRESET;
    return "";
  }
  out.resize(static_cast<size_t>(n));
  return out;
}

bool Socket::ReadMessage(Message* m, int timeout_ms) {
  auto until = Clock::now() + std::chrono::milliseconds(timeout_ms);
  auto left = [&] {
    return std::max<int>(
        0,
        static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(
                             until - Clock::now())
                             .count()));
  };
  auto more = [&] {
    std::string d = Receive(64 * 1024, left());
    buffer_ += d;
    return !d.empty();
  };
  size_t head;
  while ((head = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) return false;
  }
  std::string text = buffer_.substr(0, head);
  buffer_.erase(0, head + 4);
  *m = Message();
  size_t at = text.find("\r\n");
  m->first_line = text.substr(0, at);
  while (at != std::string::npos) {
    size_t begin = at + 2;
    at = text.find("\r\n", begin);
    std::string line = text.substr(begin, at - begin);
    size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    size_t value = line.find_first_not_of(" \t", colon + 1);
    m->headers.emplace_back(
        Lower(line.substr(0, colon)),
        value == std::string::npos ? "" : line.substr(value));
  }
  size_t length =
      std::strtoul(m->Header("content-length").c_str(), nullptr, 10);
  while (buffer_.size() < length) {
    if (!more()) return false;
  }
  m->body = buffer_.substr(0, length);
  buffer_.erase(0, length);
  return true;
}

void Socket::Close() {
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
}

Listener::Listener(const std::string& ip, int port,
                   std::function<void(Socket&)> serve)
    : fd_(OpenListener(ip, port)), serve_(std::move(serve)) {
  if (fd_ >= 0) accepter_ = std::thread([this] { AcceptAll(); });
}

void Listener::AcceptAll() {
  while (!stop_) {
    pollfd p{fd_, POLLIN, 0};
    if (poll(&p, 1, 100) <= 0) continue;
    int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    std::lock_guard<std::mutex> lock(mutex_);
    open_.push_back(fd);
    threads_.emplace_back([this, fd] {
      Socket s(fd);
      serve_(s);
      std::lock_guard<std::mutex> inner(mutex_);
      open_.remove(fd);
      s.Close();
    });
  }
}

void Listener::Stop() {
  stop_ = true;
  if (accepter_.joinable()) accepter_.join();
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
  std::lock_guard<std::mutex> lock(mutex_);
  for (int fd : open_) shutdown(fd, SHUT_RDWR);
}

Listener::~Listener() {
  Stop();
  for (std::thread& t : threads_) t.join();
}

std::string Answer(const std::string& status, const std::string& id,
                   const std::string& body, const std::string& more) {
  return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + id +
         "\r\nServer-Stamp: s." + id + "\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

int Ask(const std::string& ip, int port, const std::string& request,
        int timeout_ms, Message* answer) {
  Socket s;
  if (!s.Connect(ip, port) || !s.Send(request)) return 0;
  return s.ReadMessage(answer, timeout_ms) ? answer->Status() : 0;
}

Lab::Lab(const std::string& folder)
    : record_(folder + "/record.txt"), processes_(2 * kMachines) {
  const char* program = std::getenv("MEDLARWALK_PROGRAM");
  program_ = program ? program : "target/medlarwalk";
  char name[] = "/tmp/medlarwalk-review-XXXXXX";
  dir_ = mkdtemp(name);
  // A network of loopback addresses and a range of ports of our own.
  std::srand(static_cast<unsigned>(getpid()) ^
             static_cast<unsigned>(Clock::now().time_since_epoch().count()));
  for (int tries = 0; tries < 100; ++tries) {
    net_ = 16 + std::rand() % 200;
    base_port_ = 20000 + std::rand() % 400 * 25;
    bool free = true;
    for (int i = 0; i < kMachines && free; ++i) {
      for (int k = 0; k < kPorts && free; ++k) {
        int fd = OpenListener(Ip(i), base_port_ + k);
        free = fd >= 0;
        if (free) close(fd);
      }
    }
    if (free) break;
  }
}

Lab::~Lab() {
  for (Process& p : processes_) {
    if (p.pid <= 0 || Poll(&p)) continue;
    kill(p.pid, SIGCONT);
    kill(p.pid, SIGKILL);
    waitpid(p.pid, nullptr, 0);
  }
  platform_.reset();
  std::string remove = "rm -rf '" + dir_ + "'";
  if (!std::getenv("KEEP") && std::system(remove.c_str()) != 0) return;
}

std::string Lab::Ip(int i) const {
  return "127." + std::to_string(net_) + ".1." + std::to_string(i + 1);
}

std::string Lab::ServerIp(int i) const {
  return "127." + std::to_string(net_) + ".2." + std::to_string(i + 1);
}

std::string Lab::WriteSettings(int machine, bool control) const {
  std::string seeds;
  for (int i = 0; i < kMachines; ++i) {
    seeds += (i ? "," : "") +
             Quoted(Ip(i) + ":" + std::to_string(base_port_ + kControl));
  }
  auto at = [&](int port) {
    return Quoted(Ip(machine) + ":" + std::to_string(base_port_ + port));
  };
  std::string role = control ? "control" : "entry";
  std::string path =
      dir_ + "/" + role + "-" + std::to_string(machine) + ".toml";
  std::ofstream(path)
      << "NodeName = " << Quoted("edge-" + std::string(kZones[machine]) + "-1")
      << "\nRole = " << Quoted(role) << "\nMachineClass = \"edge\""
      << "\nServes = [" << Quoted(control ? "control" : "edge") << "]"
      << "\nIp = " << Quoted(Ip(machine))
      << "\nZone = " << Quoted(kZones[machine]) << "\nRegion = \"piedmont\""
      << "\nInternalPorts = [" << base_port_ << ","
      << base_port_ + kLastInternal << "]\nSeeds = [" << seeds << "]"
      << "\nBootstrap = true\nToleranceCounted = true\nDataDir = "
      << Quoted(control ? dir_ + "/data-" + std::to_string(machine) : "")
      << "\nDiscovery = \"cloud\"\nEntry = \"vip\"\nHeartbeatMs = 1200"
      << "\nContracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\","
         "\"recover\",\"engine\",\"stream\",\"tenants\"]"
      << "\nConfigMode = \"highest\"\n[Zones]\npit-a = \"piedmont\"\npit-b = "
         "\"piedmont\"\npit-c = \"piedmont\"\n[Listen]\nFrontend = "
      << at(kFrontend) << "\nReadiness = " << at(kReadiness)
      << "\nControlPlane = " << at(kControl)
      << "\n[Limits]\nCpuShare = 0.45\nCores = 1\nMemoryMb = 260\nMaxFds = "
         "4100\nLinkMbps = 1000.0\nDiskMb = 64\n[FaultTolerance]\nMachines = "
         "1\nZones = 0\nRegions = 0\n[Bounds]\nSeedLagS = 3\nReuseAfterS = "
         "2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = "
         "3000\nGraceS = 8\nLossSlackMs = 200\nConfigApplyMs = "
         "2000\nRollbackSlackMs = 250\nStretchMs = 5000\nRevokeFailClosed = "
         "false\nRevokeMs = 5000\nRetryBudgetRatio = 0.2\nBudgetWindowS = "
         "10\nRetryBudgetSlack = 64\nRecoverS = 12\nPassMs = "
         "120\nReuseWindowS = 10\n[CloudApi]\nAddress = "
      << Quoted(Ip(0) + ":" + std::to_string(base_port_ + kPlatform))
      << "\nRatePerS = 40.0\nDuties = []\nMaxLagMs = 800\n";
  return path;
}

void Lab::Spawn(Process* p, int machine, bool control) {
  std::string settings = WriteSettings(machine, control);
  std::string log = settings + ".log";
  std::string variable = "MEDLARWALK_SETTINGS=" + settings;
  std::string path =
      std::string("PATH=") + (getenv("PATH") ? getenv("PATH") : "");
  const char* argv[] = {program_.c_str(),
                        control ? "platform-control" : "platform-entry",
                        nullptr};
  const char* env[] = {variable.c_str(), path.c_str(), "HOME=/tmp", nullptr};
  p->pid = fork();
  if (p->pid != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);  // It ends with this program, however.
  int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  execve(argv[0], const_cast<char**>(argv), const_cast<char**>(env));
  _exit(127);
}

bool Lab::Poll(Process* p) {
  if (p->ended) return true;
  int status = 0;
  if (p->pid <= 0 || waitpid(p->pid, &status, WNOHANG) != p->pid) return false;
  p->ended = true;
  p->how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                               : "exit " + std::to_string(WEXITSTATUS(status));
  return true;
}

void Lab::SignalEntry(int i, int signal) {
  Process& p = processes_[static_cast<size_t>(kMachines + i)];
  if (!Poll(&p)) kill(p.pid, signal);
}

bool Lab::EntryEnded(int i, std::string* how) {
  Process& p = processes_[static_cast<size_t>(kMachines + i)];
  if (!Poll(&p)) return false;
  *how = p.how;
  return true;
}

bool Lab::SendConfig(const std::string& config) {
  for (int tries = 0; tries < 100; ++tries) {
    std::string ip = Ip(tries % kMachines);
    Message m;
    int status =
        Ask(ip, base_port_ + kControl,
            "PUT /-/config HTTP/1.1\r\nHost: " + ip +
                "\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(config.size()) + "\r\n\r\n" + config,
            1000, &m);
    if (status == 200) return true;
    SleepMs(100);
  }
  return false;
}

bool Lab::EntryReady(int i) {
  Message m;
  return Ask(Ip(i), base_port_ + kReadiness,
             "GET /-/readyz HTTP/1.1\r\nHost: " + Ip(i) + "\r\n\r\n", 1000,
             &m) == 200;
}

void Lab::SetList(const std::vector<Instance>& instances,
                  const std::string& other_entry) {
  std::string list;
  for (const Instance& s : instances) {
    list += (list.empty() ? "" : ",") + std::string("{\"Id\":") + Quoted(s.id) +
            ",\"Service\":" + Quoted(s.service) +
            ",\"Address\":" + Quoted(s.ip + ":" + std::to_string(s.port)) +
            ",\"Zone\":" + Quoted(s.zone) +
            ",\"Version\":\"v1\",\"Slots\":" + std::to_string(s.slots) +
            ",\"State\":" + Quoted(s.state) + ",\"WarmupLeftMs\":0}";
  }
  if (!other_entry.empty()) list += "," + other_entry;
  std::lock_guard<std::mutex> lock(list_mutex_);
  list_ = list;
}

bool Lab::Start(const std::vector<Instance>& instances,
                const std::string& config) {
  SetList(instances);
  platform_ = std::make_unique<Listener>(
      Ip(0), base_port_ + kPlatform, [this](Socket& s) {
        Message m;
        while (s.ReadMessage(&m, 60000)) {
          std::string body;
          {
            std::lock_guard<std::mutex> lock(list_mutex_);
            body = "{\"Instances\":[" + list_ + "],\"Next\":null}";
          }
          if (!s.Send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                      "Content-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body)) {
            return;
          }
          ++list_reads_;
        }
      });
  if (!platform_->ok()) return false;
  for (int i = 0; i < kMachines; ++i) {
    Spawn(&processes_[static_cast<size_t>(i)], i, true);
    Spawn(&processes_[static_cast<size_t>(kMachines + i)], i, false);
  }
  if (!SendConfig(config)) return false;
  for (int tries = 0; tries < 100; ++tries) {
    bool all = true;
    for (int i = 0; i < kMachines && all; ++i) all = EntryReady(i);
    if (all) return true;
    SleepMs(100);
  }
  return false;
}

}  // namespace review
