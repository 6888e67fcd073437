#include "lab2.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <sstream>
#include <utility>

namespace review2 {
namespace {

constexpr int kInternalPorts = 16;
constexpr char kPlatformIp[] = "127.0.2.250";
constexpr std::chrono::seconds kStartTimeout(20);

sockaddr_in SocketAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

int OpenListener(const std::string& ip, int port, int* bound_port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  sockaddr_in address = SocketAddress(ip, port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, 1024) != 0) {
    close(fd);
    return -1;
  }
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  *bound_port = ntohs(address.sin_port);
  return fd;
}

int OpenConnection(const std::string& ip, int port, int receive_buffer,
                   int segment) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  }
  if (segment > 0)
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
  int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  sockaddr_in address = SocketAddress(ip, port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(fd);
    return -1;
  }
  return fd;
}

// Accepts connections forever, each served by a thread of its own.
void ServeForever(int listener, const ServerHandler& handler) {
  for (;;) {
    int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    std::thread([fd, handler] {
      Channel channel(fd);
      Head head;
      std::string body;
      while (channel.ReadHead(&head)) {
        body.clear();
        if (!channel.ReadBody(head, &body)) return;
        if (!handler(channel, head, body)) return;
      }
    }).detach();
  }
}

std::string Trim(const std::string& s) {
  size_t first = s.find_first_not_of(" \t");
  if (first == std::string::npos) return "";
  return s.substr(first, s.find_last_not_of(" \t") - first + 1);
}

bool PortIsFree(const std::string& ip, int port, int type) {
  int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  sockaddr_in address = SocketAddress(ip, port);
  bool is_free =
      bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return is_free;
}

}  // namespace

std::string Head::Field(const std::string& name) const {
  auto it = fields.find(name);
  return it == fields.end() ? "" : it->second;
}

int Head::status() const {
  size_t space = line.find(' ');
  return space == std::string::npos ? 0 : std::atoi(line.c_str() + space + 1);
}

Channel::~Channel() {
  if (fd_ >= 0) close(fd_);
}

bool Channel::Send(const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    ssize_t n =
        send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) {
      error_ = std::strerror(errno);
      return false;
    }
    sent += static_cast<size_t>(n);
  }
  return true;
}

bool Channel::Fill() {
  char block[16384];
  for (;;) {
    ssize_t n = recv(fd_, block, sizeof(block), 0);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) {
      error_ = n == 0 ? "closed" : std::strerror(errno);
      return false;
    }
    received_ += static_cast<size_t>(n);
    buffer_.append(block, static_cast<size_t>(n));
    return true;
  }
}

bool Channel::ReadHead(Head* head) {
  size_t end;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill()) return false;
  }
  std::istringstream lines(buffer_.substr(0, end));
  buffer_.erase(0, end + 4);
  *head = Head();
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    size_t colon = line.find(':');
    if (head->line.empty()) {
      head->line = line;
    } else if (colon != std::string::npos) {
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), [](char c) {
        return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      });
      head->fields[name] = Trim(line.substr(colon + 1));
    }
  }
  return true;
}

bool Channel::ReadBytes(size_t n, std::string* out) {
  while (buffer_.size() < n) {
    if (!Fill()) return false;
  }
  out->append(buffer_, 0, n);
  buffer_.erase(0, n);
  return true;
}

bool Channel::ReadChunked(std::string* out) {
  for (;;) {
    size_t end;
    while ((end = buffer_.find("\r\n")) == std::string::npos) {
      if (!Fill()) return false;
    }
    size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
    buffer_.erase(0, end + 2);
    std::string chunk;
    if (!ReadBytes(size + 2, &chunk)) return false;
    if (size == 0) return true;
    out->append(chunk, 0, size);
  }
}

bool Channel::ReadBody(const Head& head, std::string* out) {
  if (head.Field("transfer-encoding") == "chunked") return ReadChunked(out);
  return ReadBytes(
      std::strtoul(head.Field("content-length").c_str(), nullptr, 10), out);
}

int Channel::WaitForBytes(std::chrono::milliseconds wait) {
  if (!buffer_.empty()) return static_cast<int>(buffer_.size());
  pollfd p{fd_, POLLIN, 0};
  if (poll(&p, 1, static_cast<int>(wait.count())) <= 0) return 0;
  return Fill() ? static_cast<int>(buffer_.size()) : -1;
}

void Channel::Reset() {
  linger reset{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  close(fd_);
  fd_ = -1;
}

Lab::Lab(const LabOptions& options, const std::string& record)
    : options_(options), record_(record) {
  signal(SIGPIPE, SIG_IGN);
  char folder[] = "/tmp/review2-XXXXXX";
  folder_ = mkdtemp(folder);
  const char* root = std::getenv("REPOSITORY");
  root_ = root ? root : "../..";
}

Lab::~Lab() {
  for (Process& p : processes_) {
    if (p.ended) continue;
    kill(p.pid, SIGCONT);
    kill(p.pid, SIGKILL);
    waitpid(p.pid, nullptr, 0);
  }
  if (!std::getenv("KEEP")) {
    std::string command = "rm -rf " + folder_;
    if (std::system(command.c_str()) != 0) Record("folder not removed");
  }
  record_.flush();
}

double Lab::Seconds() const {
  return std::chrono::duration<double>(SteadyClock::now() - began_at_).count();
}

void Lab::Record(const std::string& line) {
  std::lock_guard<std::mutex> lock(record_mutex_);
  char time[32];
  std::snprintf(time, sizeof(time), "%9.3f s  ", Seconds());
  record_ << time << line << std::endl;
}

std::string Lab::AddressOf(int machine) const {
  return "127.0.1." + std::to_string(machine + 1);
}

void Lab::AddServer(const std::string& id, const std::string& service,
                    int slots, ServerHandler handler) {
  std::string ip = "127.0.2." + std::to_string(next_server_++);
  int port = 0;
  int listener = OpenListener(ip, 0, &port);
  std::thread(ServeForever, listener, std::move(handler)).detach();
  std::lock_guard<std::mutex> lock(list_mutex_);
  ListedServer server;
  server.id = id;
  server.service = service;
  server.address = ip + ":" + std::to_string(port);
  server.slots = slots;
  list_.push_back(server);
}

std::string Lab::ListBody() {
  std::lock_guard<std::mutex> lock(list_mutex_);
  std::string body = "{\"Instances\":[";
  for (const ListedServer& s : list_) {
    if (body.back() != '[') body += ",";
    body += "{\"Id\":\"" + s.id + "\",\"Service\":\"" + s.service +
            "\",\"Address\":\"" + s.address +
            "\",\"Zone\":\"pit-a\",\"Version\":\"v1\",\"Slots\":" +
            std::to_string(s.slots) + ",\"State\":\"" + s.state +
            "\",\"WarmupLeftMs\":0}";
  }
  return body + "],\"Next\":null}";
}

void Lab::ServePlatform() {
  int listener = OpenListener(kPlatformIp, 0, &platform_port_);
  std::thread(ServeForever, listener,
              [this](Channel& channel, const Head&, const std::string&) {
                std::string body = ListBody();
                return channel.Send(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    "Content-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
              })
      .detach();
}

bool Lab::ChoosePorts() {
  auto free_everywhere = [this](int port) {
    for (int m = 0; m < options_.machines; ++m) {
      if (!PortIsFree(AddressOf(m), port, SOCK_STREAM) ||
          !PortIsFree(AddressOf(m), port, SOCK_DGRAM))
        return false;
    }
    return true;
  };
  int wanted = kInternalPorts + 3;
  int first = 20000 + static_cast<int>(getpid() % 5000);
  for (; first < 32000; first += wanted) {
    int port = first;
    while (port < first + wanted && free_everywhere(port)) ++port;
    if (port == first + wanted) break;
  }
  if (first >= 32000) return false;
  first_internal_port_ = first;
  frontend_port_ = first + kInternalPorts;
  readiness_port_ = frontend_port_ + 1;
  control_port_ = frontend_port_ + 2;
  return true;
}

std::string Lab::SettingsFor(int machine, const std::string& role) const {
  std::string ip = AddressOf(machine);
  std::string seeds;
  for (int m = 0; m < std::min(3, options_.machines); ++m) {
    if (m > 0) seeds += ",";
    seeds += "\"" + AddressOf(m) + ":" + std::to_string(control_port_) + "\"";
  }
  std::ostringstream out;
  bool control = role == "control";
  out << "NodeName = \"edge-" << machine + 1 << "\"\nRole = \"" << role
      << "\"\nMachineClass = \"edge\"\nServes = [\""
      << (control ? "control" : "edge") << "\"]\nIp = \"" << ip
      << "\"\nZone = \"pit-a\"\nRegion = \"piedmont\"\nInternalPorts = ["
      << first_internal_port_ << ","
      << first_internal_port_ + kInternalPorts - 1 << "]\nSeeds = [" << seeds
      << "]\nBootstrap = true\nToleranceCounted = true\nDataDir = \""
      << (control ? folder_ + "/data-" + std::to_string(machine + 1) : "")
      << "\"\nDiscovery = \"cloud\"\nEntry = \"vip\"\nHeartbeatMs = 1200\n"
         "Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\","
         "\"recover\",\"engine\",\"stream\",\"tenants\"]\n"
         "ConfigMode = \"highest\"\n[Zones]\npit-a = \"piedmont\"\n[Listen]\n";
  if (control) {
    out << "ControlPlane = \"" << ip << ":" << control_port_ << "\"\n";
  } else {
    out << "Frontend = \"" << ip << ":" << frontend_port_
        << "\"\nReadiness = \"" << ip << ":" << readiness_port_ << "\"\n";
  }
  out << "[Limits]\nCpuShare = 0.45\nCores = 1\nMemoryMb = "
      << options_.memory_mb
      << "\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 64\n[FaultTolerance]\n"
         "Machines = 1\nZones = 0\nRegions = 0\n[Bounds]\nSeedLagS = 3\n"
         "ReuseAfterS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\n"
         "DrainMs = 3000\nGraceS = 8\nLossSlackMs = 200\n"
         "ConfigApplyMs = 2000\nRollbackSlackMs = 250\nStretchMs = 5000\n"
         "RevokeFailClosed = false\nRevokeMs = 5000\n"
         "RetryBudgetRatio = 0.2\nBudgetWindowS = 10\n"
         "RetryBudgetSlack = 64\nRecoverS = 12\nPassMs = 120\n"
         "ReuseWindowS = 10\n[CloudApi]\nAddress = \""
      << kPlatformIp << ":" << platform_port_
      << "\"\nRatePerS = 47.0\nDuties = []\nMaxLagMs = 800\n";
  return out.str();
}

bool Lab::StartProcess(int machine, const std::string& role) {
  std::string name = role + "-" + std::to_string(machine + 1);
  std::string settings = folder_ + "/" + name + ".toml";
  std::ofstream(settings) << SettingsFor(machine, role);
  std::string log = folder_ + "/" + name + ".log";
  std::string variable = "MEDLARWALK_SETTINGS=" + settings;
  std::string run = "platform-" + role;
  pid_t pid = fork();
  if (pid < 0) return false;
  if (pid == 0) {
    // The process ends with this one, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    if (chdir(root_.c_str()) != 0) _exit(127);
    std::string path =
        std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "");
    char home[] = "HOME=/tmp";
    char lang[] = "LANG=C";
    char program[] = "target/medlarwalk";
    char* arguments[] = {program, &run[0], nullptr};
    char* environment[] = {&path[0], home, lang, &variable[0], nullptr};
    execve(program, arguments, environment);
    _exit(127);
  }
  processes_.push_back({name, pid, false});
  Record(name + " started");
  return true;
}

int Lab::Call(const std::string& ip, int port, const std::string& request) {
  int fd = OpenConnection(ip, port, 0, 0);
  if (fd < 0) return 0;
  Channel channel(fd);
  timeval wait{5, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
  Head head;
  if (!channel.Send(request) || !channel.ReadHead(&head)) return 0;
  return head.status();
}

int Lab::PutConfig(int machine, const std::string& config) {
  std::string ip = AddressOf(machine);
  return Call(ip, control_port_,
              "PUT /-/config HTTP/1.1\r\nHost: " + ip +
                  "\r\nContent-Type: application/json\r\nContent-Length: " +
                  std::to_string(config.size()) + "\r\n\r\n" + config);
}

bool Lab::Start(const std::string& config) {
  if (!ChoosePorts()) {
    Record("no free ports");
    return false;
  }
  ServePlatform();
  for (int m = 0; m < options_.machines; ++m) {
    if (!StartProcess(m, "control") || !StartProcess(m, "entry")) return false;
  }
  auto end = SteadyClock::now() + kStartTimeout;
  auto wait = std::chrono::milliseconds(100);
  int status = 0;
  for (int m = 0; status != 200; m = (m + 1) % options_.machines) {
    if (SteadyClock::now() > end) {
      Record("the configuration was not acknowledged");
      return false;
    }
    std::this_thread::sleep_for(wait);
    status = PutConfig(m, config);
  }
  Record("configuration acknowledged");
  for (int m = 0; m < options_.machines; ++m) {
    std::string ip = AddressOf(m);
    while (Call(ip, readiness_port_,
                "GET /-/readyz HTTP/1.1\r\nHost: " + ip + "\r\n\r\n") != 200) {
      if (SteadyClock::now() > end) {
        Record("an entry is not ready");
        return false;
      }
      std::this_thread::sleep_for(wait);
    }
  }
  Record("all entries ready");
  // Machines are in touch from ContactMs after their start.
  std::this_thread::sleep_for(std::chrono::seconds(4));
  return true;
}

int Lab::Connect(int machine, int receive_buffer, int segment) const {
  return OpenConnection(AddressOf(machine), frontend_port_, receive_buffer,
                        segment);
}

void Lab::SignalEntry(int machine, int signal) {
  std::string name = "entry-" + std::to_string(machine + 1);
  for (Process& p : processes_) {
    if (p.name != name || p.ended) continue;
    Record("signal " + std::to_string(signal) + " to " + name);
    kill(p.pid, signal);
  }
}

bool Lab::EntryEnded(int machine) {
  std::string name = "entry-" + std::to_string(machine + 1);
  for (Process& p : processes_) {
    if (p.name != name) continue;
    int status = 0;
    if (p.ended) return true;
    if (waitpid(p.pid, &status, WNOHANG) != p.pid) return false;
    p.ended = true;
    Record(name + " has ended, status " + std::to_string(status));
    return true;
  }
  return false;
}

std::string ConfigDocument(int version, const std::vector<std::string>& routes,
                           const std::vector<std::string>& services) {
  auto join = [](const std::vector<std::string>& items) {
    std::string out;
    for (const std::string& item : items)
      out += (out.empty() ? "" : ",") + item;
    return out;
  };
  return "{\"Version\":" + std::to_string(version) + ",\"Routes\":[" +
         join(routes) + "],\"Services\":[" + join(services) +
         "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
         "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
}

bool WithTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

std::string AttemptId(char kind, int number) {
  char id[32];
  std::snprintf(id, sizeof(id), "%c%015x", kind, number);
  return id;
}

}  // namespace review2
