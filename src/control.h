// The control process, on hosts with a disk: keeps the replicated
// configuration, reads the upstream list, and answers the watches by which
// both spread. Operators' calls come through Submit and Read, at any control
// process.
#ifndef MEDLARWALK_CONTROL_H_
#define MEDLARWALK_CONTROL_H_

#include <ev.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "control_wire.h"
#include "h2.h"
#include "limit_book.h"
#include "link_pool.h"
#include "lister.h"
#include "loop_watch.h"
#include "metrics.h"
#include "quarantine.h"
#include "replica.h"
#include "replica_store.h"
#include "usage_reporter.h"
#include "watch_client.h"
#include "watch_reports.h"

namespace medlarwalk {

struct ControlOptions {
  std::string name;
  std::string data_centre;
  Endpoint peer;                   // Where control processes talk.
  int peer_listen_port = 0;        // Not 0: a forwarder stands at `peer`.
  std::vector<std::string> seeds;  // Peer addresses of some of them.
  bool bootstrap = false;  // The whole system starts for the first time.
  // Empty on a host without a disk: the process keeps nothing and passes
  // operators' calls on to the leader.
  std::string data_dir;
  BeforeWrite before_disk_write;  // May be empty.
  int tolerate = 1;               // Hosts that may be lost at once.
  ListSource list;
  UsageOptions usage;
  // Checks a document and returns its version. Errors: InvalidArgument.
  std::function<absl::StatusOr<int64_t>(absl::string_view)> validate;
};

// The HTTP status that tells an asker what a call to a control process came to.
int StatusOf(const absl::Status& s);

// Thread safety: loop thread only.
class Control {
 public:
  Control(struct ev_loop* loop, const Clock& clock, const WallClock& wall,
          ControlOptions options);
  ~Control();
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

  // Errors: Unavailable when the peer address cannot be bound.
  absl::Status Start();
  void set_seeds(std::vector<std::string> seeds);

  using SubmitDone = std::function<void(absl::Status)>;
  // Ok once the document, or one of at least its version, is committed.
  // InvalidArgument when it is invalid; Unavailable when the outcome is not
  // known or no leader is.
  void Submit(std::string document, SubmitDone done);
  using ReadDone = std::function<void(absl::StatusOr<std::string>)>;
  // The newest committed document. Unavailable when that cannot be told.
  void Read(ReadDone done);
  // Prometheus text.
  std::string Metrics();

 private:
  // Out of step for this long, a process no longer counts on its leader.
  static constexpr auto kLeaderlessAfter = Millis(1200);
  // A call waits this long for a leader: about one election.
  static constexpr auto kLeaderWait = Millis(850);

  struct Watcher {
    WatchRequest request;  // Without what it reported.
    bool reported = false;
    std::shared_ptr<H2Stream> stream;
    TimePoint since{};
    TimePoint until{};
  };
  struct Follower {
    TimePoint seen{};
    std::string data_centre;
    std::string address;  // Of a control process; else empty.
    bool serves_callers = false;
    int watchers = 0;
  };
  // A call that waits for a leader to be known.
  struct Waiting {
    std::function<void()> retry;
    std::function<void()> give_up;
    TimePoint until{};
  };

  static void OnTick(struct ev_loop* loop, ev_timer* w, int revents);
  void Tick();
  bool OpenStore();
  void HandlePeer(const H2Request& req, std::shared_ptr<H2Stream> stream);
  void HandleWatch(const H2Request& req, std::shared_ptr<H2Stream> stream);
  void HandleReplica(const H2Request& req, std::shared_ptr<H2Stream> stream);
  void HandleHello(const H2Request& req, std::shared_ptr<H2Stream> stream);
  void SayHello(TimePoint now);
  void SendToPeer(const Member& to, const ReplicaMessage& m);
  void SubmitHere(Document document, int64_t version, SubmitDone done);
  void SubmitAnywhere(Document document, int64_t version, TimePoint until,
                      SubmitDone done);
  void Forward(Document document, SubmitDone done);
  void ReadHere(ReadDone done);
  void ReadAnywhere(TimePoint until, ReadDone done);
  void AtLeader(const char* path, TimePoint until, std::function<void()> here,
                ReadDone done);
  void AwaitLeader(TimePoint until, std::function<void()> retry,
                   std::function<void()> give_up);
  void ServeWaiting(TimePoint now);
  bool IsLeader() const;
  bool keeps_state() const { return !options_.data_dir.empty(); }
  std::optional<Member> Leader() const;
  WatchReply MakeReply(const WatchRequest& r);
  std::vector<ControlPlace> Places() const;
  std::string DataCentreOf(const std::string& address) const;
  void OnLeaderReply(const WatchReply& r, bool in_step);
  void TakeCrashes(absl::string_view encoded, bool from_leader);
  void TakeLimits(absl::string_view encoded, bool from_leader);
  void SaveQuarantine(TimePoint now);
  void TakeListFrom(const WatchReply& r);
  bool MayTell(const Watcher& w) const;
  void AnswerWatchers();
  using ConfirmDone = std::function<void(absl::StatusOr<int64_t>)>;
  void ConfirmHere(ConfirmDone done);
  void ConfirmAnywhere(TimePoint until, ConfirmDone done);
  void ConfirmForNew();
  void PollList(TimePoint now);
  ControlMetrics::Memory MemoryNow() const;
  void NoteMemory(TimePoint now);
  void FollowLeader();
  int DirectServing() const;
  int TotalServing() const;
  int PlaceOf(const std::string& follower) const;

  struct ev_loop* loop_;
  const Clock& clock_;
  ControlOptions options_;
  FileReplicaStore store_;
  std::unique_ptr<Replica> replica_;
  H2Server server_;
  ControlMetrics metrics_;
  LoopWatch turns_;
  // Members to whom entries or a snapshot are on their way.
  std::set<std::string> load_under_way_;
  LinkPool links_;
  NewestGate forwards_;  // Changes passed on to the leader.
  Lister lister_;
  Quarantine quarantine_;
  LimitBook limits_;
  UsageReporter usage_;
  WatchReports reports_;
  // What is held may lack what was known before this process started anew.
  bool quarantine_known_ = false;
  int64_t saved_quarantine_ = 0;
  TimePoint save_tried_at_{};
  WatchClient leader_watch_;
  ListHistory list_;
  TimePoint list_read_at_{};
  Duration list_interval_{};  // As this process or its leader reads it.
  TimePoint polled_at_{};
  std::vector<Watcher> watchers_;
  std::map<std::string, Follower> followers_;
  int serving_from_leader_ = 0;
  int place_from_leader_ = -1;
  // Where the control processes are, as the leader told it.
  std::map<std::string, std::string> data_centres_;  // By address.
  // Without a disk: the members as last told; the leader, and when.
  std::vector<std::string> told_members_;
  std::string told_leader_;
  TimePoint told_at_{};
  std::vector<Waiting> waiting_;
  TimePoint store_tried_at_{};
  TimePoint hello_at_{};
  bool list_lost_ = false;
  size_t memory_told_ = 0;
  TimePoint memory_told_at_{};
  // The last confirmation of the newest version by the leader: when it was
  // asked for and what it said.
  bool confirming_ = false;
  TimePoint confirmed_from_{};
  int64_t confirmed_version_ = 0;
  ev_timer tick_{};
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_CONTROL_H_
