// Stand-ins for the scripts in review/: clients, servers, the operator and the
// platform, and the project's programs as separate processes. Every machine has
// a loopback address of its own (127.x.y.z) and the same ports, as on the
// platform. All sockets are blocking; each connection has its own thread.
#ifndef MEDLARWALK_REVIEW_LAB_H_
#define MEDLARWALK_REVIEW_LAB_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Headers = std::vector<std::pair<std::string, std::string>>;

// Returns the seconds since the start of this program.
double Now();
void SleepMs(int ms);

// Appends lines to record.txt, each with the time. Thread safe.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  FILE* file_;
};

// One HTTP/1.1 message.
struct Message {
  std::string first_line;
  Headers headers;  // Names in lower case.
  std::string body;
  std::string Header(const std::string& name) const;
  int Status() const;
  std::string Target() const;
};

// A blocking TCP connection.
class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {}
  ~Socket() { Close(); }
  Socket(Socket&& o) noexcept : fd_(o.fd_), buffer_(std::move(o.buffer_)) {
    o.fd_ = -1;
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  // Connects to `ip`:`port`. `receive_buffer`: SO_RCVBUF, or 0 for the default.
  bool Connect(const std::string& ip, int port, int receive_buffer = 0);
  bool Send(const std::string& bytes);
  // Receives at most `max` bytes. Returns "" at the end of the connection, at
  // an error and after `timeout_ms`; see ended() and reset().
  std::string Receive(size_t max, int timeout_ms);
  // Reads one message. Returns false if none arrives completely.
  bool ReadMessage(Message* m, int timeout_ms);
  bool ended() const { return ended_; }
  bool reset() const { return reset_; }
  int fd() const { return fd_; }
  void Close();

 private:
  int fd_;
  std::string buffer_;
  bool ended_ = false;
  bool reset_ = false;
};

// A server that runs `serve` in a thread for each connection.
class Listener {
 public:
  Listener(const std::string& ip, int port, std::function<void(Socket&)> serve);
  ~Listener();
  // Stops listening and cuts all connections.
  void Stop();
  bool ok() const { return fd_ >= 0; }

 private:
  void AcceptAll();
  int fd_;
  std::function<void(Socket&)> serve_;
  std::mutex mutex_;
  std::list<int> open_;
  std::vector<std::thread> threads_;
  std::thread accepter_;
  std::atomic<bool> stop_{false};
};

// The answer of a sound server: status, signature, echoed id and length.
std::string Answer(const std::string& status, const std::string& id,
                   const std::string& body, const std::string& more = "");

// One server in the platform's list.
struct Instance {
  std::string id;
  std::string service;
  std::string ip;
  int port = 0;
  std::string zone;
  int slots = 6;
  std::string state = "ready";
};

// A deployment of three machines, each with a control process and an entry.
class Lab {
 public:
  // `folder`: the case's folder, for record.txt.
  explicit Lab(const std::string& folder);
  // Ends all processes that were started.
  ~Lab();

  // Starts the platform, the processes and `instances`' list, sends `config`
  // and waits until the entries are ready. Returns false if that fails.
  bool Start(const std::vector<Instance>& instances, const std::string& config);
  // Sets the platform's list. `other_entry`: one more entry, as raw bytes.
  void SetList(const std::vector<Instance>& instances,
               const std::string& other_entry = "");
  // Returns how often the list was read and answered with 200.
  int list_reads() const { return list_reads_; }
  // Address of machine `i` (0 to 2), and the port of its callers.
  std::string Ip(int i) const;
  int frontend() const { return base_port_ + 17; }
  // Address and port for stand-in server `i`.
  std::string ServerIp(int i) const;
  int server_port() const { return base_port_ + 20; }
  // Sends a signal to the entry of machine `i`.
  void SignalEntry(int i, int signal);
  // Returns whether the entry of machine `i` has ended, and how ("exit 0",
  // "signal 6"), when it has.
  bool EntryEnded(int i, std::string* how);
  Record& record() { return record_; }

 private:
  struct Process {
    pid_t pid = -1;
    bool ended = false;
    std::string how;
  };
  std::string WriteSettings(int machine, bool control) const;
  void Spawn(Process* p, int machine, bool control);
  bool Poll(Process* p);
  bool SendConfig(const std::string& config);
  bool EntryReady(int i);

  Record record_;
  std::string dir_;
  std::string program_;
  int net_ = 0;
  int base_port_ = 0;
  std::atomic<int> list_reads_{0};
  std::mutex list_mutex_;
  std::string list_;
  std::vector<Process> processes_;  // Controls 0 to 2, then entries 0 to 2.
  std::unique_ptr<Listener> platform_;
};

// Whether the disruption is on: the variable TROUBLE isn't 0.
bool Trouble();

// One client attempt: sends `request` on a new connection and reads the answer.
// Returns the status, or 0 if there is no complete answer.
int Ask(const std::string& ip, int port, const std::string& request,
        int timeout_ms, Message* answer);

}  // namespace review

#endif  // MEDLARWALK_REVIEW_LAB_H_
