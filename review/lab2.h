// Stand-ins for the second review: a small deployment of the project's own
// programs on loopback addresses, with servers, a platform and clients that
// speak what the users' pages say.
#ifndef MEDLARWALK_REVIEW_LAB2_H_
#define MEDLARWALK_REVIEW_LAB2_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review2 {

using SteadyClock = std::chrono::steady_clock;

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// One message: its first line and its header fields, with names in lower case.
struct Head {
  std::string line;
  std::map<std::string, std::string> fields;
  std::string Field(const std::string& name) const;
  // Returns the status of an answer.
  int status() const;
};

// A blocking TCP connection that reads HTTP/1.1 messages.
class Channel {
 public:
  explicit Channel(int fd) : fd_(fd) {}
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  // Returns false if the peer cannot be written to.
  bool Send(const std::string& bytes);
  // Returns false at the end of the connection.
  bool ReadHead(Head* head);
  // Appends exactly `n` bytes to `*out`; false if the connection ends before.
  bool ReadBytes(size_t n, std::string* out);
  // Reads a chunked body; false if the connection ends before its last chunk.
  bool ReadChunked(std::string* out);
  // Reads the body that `head` announces by its length or in chunks.
  bool ReadBody(const Head& head, std::string* out);
  // Waits at most `wait` for bytes that have not been read; 0 if there are
  // none by then, negative if the connection has ended.
  int WaitForBytes(std::chrono::milliseconds wait);
  // Closes the connection with a reset.
  void Reset();
  // Returns why the last read or write failed.
  const std::string& error() const { return error_; }
  // Number of bytes received so far.
  size_t received() const { return received_; }
  int fd() const { return fd_; }

 private:
  bool Fill();

  int fd_;
  std::string buffer_;
  std::string error_;
  size_t received_ = 0;
};

// A server of a service: answers each request with `handler`, which returns
// whether the connection stays open.
using ServerHandler = std::function<bool(Channel& channel, const Head& head,
                                         const std::string& body)>;

// An entry of the platform's list of servers.
struct ListedServer {
  std::string id;
  std::string service;
  std::string address;
  int slots = 64;
  std::string state = "ready";
};

struct LabOptions {
  int machines = 3;  // Each runs an entry and a control process with a disk.
  int memory_mb = 260;
};

// A deployment whose machines have the addresses 127.0.1.1, 127.0.1.2 and so
// on. Thread safety: Record() and Run() may be called from any thread.
class Lab {
 public:
  // Writes what happens to the file `record`, which is created anew.
  Lab(const LabOptions& options, const std::string& record);
  // Ends all processes that were started.
  ~Lab();

  // Writes a line to the record, after the time in seconds since the start.
  void Record(const std::string& line);
  double Seconds() const;

  // Starts a server on a loopback address of its own and lists it.
  void AddServer(const std::string& id, const std::string& service, int slots,
                 ServerHandler handler);
  // Starts all machines, sends `config` to the operators' interface until it is
  // acknowledged, and waits until all entries are ready.
  bool Start(const std::string& config);
  // Sends `config` to the operators' interface of a machine. Returns the
  // status of the answer; 0 if there is none.
  int PutConfig(int machine, const std::string& config);
  // Opens a connection to a machine's Frontend address. `receive_buffer` and
  // `segment`, if above 0, are the size of the receive buffer and the largest
  // segment, in bytes.
  int Connect(int machine, int receive_buffer, int segment) const;
  // Sends a signal to the entry of a machine.
  void SignalEntry(int machine, int signal);
  // Returns whether the entry of a machine has ended, and records it once.
  bool EntryEnded(int machine);

  const std::string& folder() const { return folder_; }

 private:
  struct Process {
    std::string name;
    pid_t pid = -1;
    bool ended = false;
  };

  std::string AddressOf(int machine) const;
  bool ChoosePorts();
  std::string SettingsFor(int machine, const std::string& role) const;
  bool StartProcess(int machine, const std::string& role);
  void ServePlatform();
  std::string ListBody();
  int Call(const std::string& ip, int port, const std::string& request);

  LabOptions options_;
  SteadyClock::time_point began_at_ = SteadyClock::now();
  std::mutex record_mutex_;
  std::ofstream record_;
  std::string folder_;  // Temporary; removed at the end.
  std::string root_;    // Folder of the repository.
  std::mutex list_mutex_;
  std::vector<ListedServer> list_;
  int next_server_ = 1;
  int frontend_port_ = 0;
  int readiness_port_ = 0;
  int control_port_ = 0;
  int platform_port_ = 0;
  int first_internal_port_ = 0;
  std::vector<Process> processes_;
};

// Returns a configuration with these routes and services, each a JSON object.
std::string ConfigDocument(int version, const std::vector<std::string>& routes,
                           const std::vector<std::string>& services);

// Returns whether the case is to be run with its disruption.
bool WithTrouble();

std::string AttemptId(char kind, int number);

}  // namespace review2

#endif  // MEDLARWALK_REVIEW_LAB2_H_
