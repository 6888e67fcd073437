// A group of replicas in one process, on a manual clock, with a network and
// disks that fail by order of the test. Scaffolding for replica tests.
#ifndef MEDLARWALK_TEST_REPLICA_GROUP_H_
#define MEDLARWALK_TEST_REPLICA_GROUP_H_

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "replica.h"
#include "replica_codec.h"

namespace medlarwalk::testing {

// A disk in memory. Every call is synced, as the real store's are.
class MemoryStore : public ReplicaStore {
 public:
  absl::Status SaveVote(uint64_t term, const std::string& vote) override;
  absl::Status Append(const std::vector<LogEntry>& entries) override;
  absl::Status Truncate(uint64_t index) override;
  absl::Status Rewrite(const StoredState& state) override;
  const StoredState& state() const { return state_; }
  bool full = false;  // Refuses every write.

 private:
  StoredState state_;
};

// The group. Nodes are named by their address, "10.0.0.N:1".
class Group {
 public:
  Group(int founders, uint64_t seed, ReplicaOptions options = {});

  // Adds a host with an empty disk that joins through the seeds.
  int AddJoiner();
  // Lets `d` pass in small steps, delivering messages.
  void Run(Duration d);
  void Kill(int n);
  void Start(int n);   // With the disk it had.
  void Wipe(int n);    // Kills it; it starts again with an empty disk.
  void Remove(int n);  // Gone for good.
  void Freeze(int n, bool frozen);  // Neither ticks nor hears; keeps messages.
  // Cuts `a` off from `b`, one way.
  void Cut(int a, int b, bool cut);
  void Isolate(int n, bool cut);
  void HealAll();

  Replica* node(int n) { return nodes_[static_cast<size_t>(n)].replica.get(); }
  MemoryStore& store(int n) { return *nodes_[static_cast<size_t>(n)].store; }
  int size() const { return static_cast<int>(nodes_.size()); }
  bool running(int n) const {
    return nodes_[static_cast<size_t>(n)].replica != nullptr &&
           !nodes_[static_cast<size_t>(n)].frozen;
  }
  // The running leader of the highest term, or -1.
  int Leader();
  // Waits up to `d` for a leader that can commit; -1 if none.
  int AwaitLeader(Duration d);

  ManualClock clock;
  double drop = 0;  // Share of messages lost.
  // How fast a message's bytes arrive; 0: at once. Small messages overtake
  // large ones, as on a link with streams.
  double bytes_per_s = 0;
  size_t bytes_sent = 0;
  std::mt19937_64 random;

 private:
  struct Host {
    std::string address;
    std::unique_ptr<MemoryStore> store;
    std::unique_ptr<Replica> replica;
    bool frozen = false;
    bool removed = false;
    int wipes = 0;
  };
  struct Flight {
    TimePoint at;
    int from;
    int to;
    std::string bytes;
  };
  void Send(int from, const std::string& address, const ReplicaMessage& m);
  void Deliver();

  ReplicaOptions options_;
  std::vector<std::string> seeds_;
  std::vector<Host> nodes_;
  std::vector<Flight> flights_;
  std::set<std::pair<int, int>> cuts_;
};

}  // namespace medlarwalk::testing

#endif  // MEDLARWALK_TEST_REPLICA_GROUP_H_
