// The control process. It stores the replicated configuration, reads the
// upstream list, and publishes both by answering watches. A control process on
// a host without a disk stores nothing and only relays. Any control process
// accepts operators' calls, through SubmitConfig and ReadConfig.
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
#include "build_history.h"
#include "control_load.h"
#include "control_wire.h"
#include "h2.h"
#include "link_pool.h"
#include "loop_watch.h"
#include "metrics.h"
#include "poll_clock.h"
#include "quarantine.h"
#include "rate_limit_table.h"
#include "replica.h"
#include "replica_store.h"
#include "shared_lister.h"
#include "usage_reporter.h"
#include "watch_client.h"
#include "watch_reports.h"

namespace medlarwalk {

struct ControlOptions {
  std::string name;
  std::string data_centre;
  Endpoint peer;  // Address for calls from other medlarwalk processes.
  // Port to listen on when a port forwarder occupies the port of `peer`; 0 if
  // none does.
  int peer_listen_port = 0;
  std::vector<std::string> seeds;  // Peer addresses of some control processes.
  // Whether this is the first start of the whole system.
  bool bootstrap = false;
  // Directory for replicated state. Empty on a host without a disk: the process
  // then stores nothing and forwards operators' calls to the leader.
  std::string data_dir;
  BeforeWrite before_disk_write;  // Hook called before disk writes, or empty.
  int tolerated_failures = 1;     // Hosts that may fail at the same time.
  ListSource list;
  UsageOptions usage;
  // Validates a configuration and returns its version. Errors: InvalidArgument.
  std::function<absl::StatusOr<int64_t>(absl::string_view)> validate;
};

// Returns the HTTP status for the result of a call to a control process.
int HttpStatusOf(const absl::Status& s);

// One control process. Thread safety: loop thread only.
class Control {
 public:
  Control(struct ev_loop* loop, const Clock& clock, const WallClock& wall,
          ControlOptions options);
  ~Control();
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

  // Starts listening at the peer address and following the other control
  // processes. Errors: Unavailable when the peer address cannot be bound.
  absl::Status Start();
  void set_seeds(std::vector<std::string> seeds);

  using SubmitDone = std::function<void(absl::Status)>;
  // Submits a configuration. Calls `done` with Ok once this document, or one of
  // the same or a higher version, is committed. Errors: InvalidArgument if the
  // document is invalid; Unavailable if the outcome or the leader is unknown.
  void SubmitConfig(std::string document, SubmitDone done);
  using ReadDone = std::function<void(absl::StatusOr<std::string>)>;
  // Reads the newest committed configuration. Errors: NotFound if there is
  // none, Unavailable when it cannot be determined.
  void ReadConfig(ReadDone done);
  // Returns the metrics in Prometheus text format.
  std::string Metrics();

 private:
  // Time out of sync with the leader after which a process treats the leader as
  // lost.
  static constexpr auto kLeaderlessTimeout = Millis(1200);
  // Minimum time between two tries to save the versions of upstreams.
  static constexpr auto kBuildsSaveInterval = Millis(200);
  // Maximum time that a call waits for a leader: about one election.
  static constexpr auto kLeaderWait = Millis(850);

  // A watch that is not answered yet.
  struct PendingWatch {
    // The request without its reported records.
    WatchRequest request;
    // Whether the request reported crash or limit records.
    bool has_reports = false;
    std::shared_ptr<H2Stream> stream;
    // Time of the follower's first watch, or later.
    TimePoint follower_started{};
    // Since when the follower has asked here without a configuration.
    TimePoint unconfigured_since{};
    TimePoint deadline{};
  };
  // A process that watches this one.
  struct Follower {
    TimePoint last_seen{};
    std::string data_centre;
    std::string address;  // Set for control processes only.
    bool serves_callers = false;
    int serving_followers = 0;  // Number of serving processes that watch it.
    // First of its watches without a configuration, since it was last told to
    // ask elsewhere; kNever if it has one.
    TimePoint unconfigured_since = kNever;
    // WatchRequest::serving_endpoints of the follower.
    std::vector<Endpoint> serving_endpoints;
  };
  // A call that waits until a leader is known.
  struct WaitingCall {
    std::function<void()> retry;
    std::function<void()> give_up;
    TimePoint deadline{};
  };

  static void OnTick(struct ev_loop* loop, ev_timer* w, int revents);
  void Tick();
  bool OpenStore();
  void HandlePeerRequest(const H2Request& req,
                         std::shared_ptr<H2Stream> stream);
  void HandleWatch(const H2Request& req, std::shared_ptr<H2Stream> stream);
  void HandleReplica(const H2Request& req, std::shared_ptr<H2Stream> stream);
  void HandleMemberAnnouncement(const H2Request& req,
                                std::shared_ptr<H2Stream> stream);
  void AnnounceMembers(TimePoint now);
  void SendToPeer(const Member& to, const ReplicaMessage& m);
  void SubmitLocally(Document document, int64_t version, SubmitDone done);
  void SubmitOrForward(Document document, int64_t version, TimePoint deadline,
                       SubmitDone done);
  void ForwardToLeader(Document document, SubmitDone done);
  void ReadLocally(ReadDone done);
  void ReadFromLeader(TimePoint deadline, ReadDone done);
  using LocalCall = std::function<void(ReadDone)>;
  void CallLeader(const char* path, TimePoint deadline, LocalCall run_locally,
                  ReadDone done);
  void QueueUntilLeaderKnown(TimePoint deadline, std::function<void()> retry,
                             std::function<void()> give_up);
  void RetryWaitingCalls(TimePoint now);
  bool IsLeader() const;
  bool keeps_state() const { return !options_.data_dir.empty(); }
  std::optional<Member> Leader() const;
  WatchReply MakeWatchReply(const WatchRequest& r);
  std::vector<ControlEndpoint> ControlEndpoints() const;
  // Returns the addresses of the other control processes.
  std::vector<std::string> OtherControls() const;
  std::string DataCentreOf(const std::string& address) const;
  void OnLeaderReply(const WatchReply& r, bool in_sync);
  void MergeCrashRecords(absl::string_view encoded, bool from_leader);
  void MergeLimitRecords(absl::string_view encoded, bool from_leader);
  void SaveQuarantine(TimePoint now);
  // Records the versions in a new list and saves them if they have changed.
  // Must precede the publication of the list: a stream may begin at a new
  // version at once.
  void RecordBuilds(TimePoint now);
  void SaveBuildHistory(TimePoint now);
  // Returns whether no version that was listed within kBuildMemory is missing.
  bool BuildsKnown(TimePoint now) const;
  void ApplyListChange(const WatchReply& r);
  bool VersionConfirmedFor(const PendingWatch& w, TimePoint now) const;
  bool MayPublishTo(const PendingWatch& w, TimePoint now) const;
  bool HasNewBuildsFor(const PendingWatch& w, TimePoint now) const;
  void AnswerWatches();
  using ConfirmDone = std::function<void(absl::StatusOr<int64_t>)>;
  void ConfirmVersionLocally(ConfirmDone done);
  void ConfirmVersionAtLeader(TimePoint deadline, ConfirmDone done);
  void ConfirmVersionForNewWatches();
  // Forgets the followers that have sent no watch for too long.
  void RemoveSilentFollowers();
  void PollList(TimePoint now);
  std::vector<std::string> ListReaders() const;
  void OnListRead(absl::StatusOr<SharedLister::ReadList> r);
  ControlMetrics::Memory MeasureMemory() const;
  void LogMemoryChange(TimePoint now);
  void FollowLeader();
  int DirectServingCount() const;
  // Return the addresses of the serving processes that follow this process
  // directly, and of all known ones, sorted.
  std::vector<Endpoint> DirectServingEndpoints() const;
  std::vector<Endpoint> ServingEndpoints() const;
  int TotalServingCount() const;
  int ServingIndexOf(const std::string& follower) const;

  struct ev_loop* loop_;
  const Clock& clock_;
  const WallClock& wall_;
  ControlOptions options_;
  FileReplicaStore store_;
  std::unique_ptr<Replica> replica_;
  H2Server peer_server_;
  ControlMetrics metrics_;
  LoopWatch loop_watch_;
  PollClock poll_clock_;  // Others' silence is judged at this time.
  // Addresses of members with a call in flight that carries log entries or a
  // snapshot.
  std::set<std::string> members_with_load_in_flight_;
  LinkPool links_;
  ControlLoad load_;
  // Configurations forwarded to the leader.
  ConflatingSender forwarded_changes_;
  SharedLister lister_;
  Quarantine quarantine_;
  RateLimitTable limits_;
  UsageReporter usage_;
  WatchReports reports_;
  // Whether this process has the crash records from before a restart. False
  // while some may be missing.
  bool quarantine_complete_ = false;
  int64_t saved_quarantine_version_ = 0;
  BuildHistory builds_;
  bool builds_complete_ = false;  // Has the versions from before its start.
  TimePoint builds_recorded_since_ = kNever;  // First list since the start.
  int64_t saved_builds_version_ = 0;
  TimePoint builds_save_tried_at_{};
  TimePoint quarantine_save_tried_at_{};
  WatchClient leader_watch_;
  ListHistory list_history_;
  TimePoint list_read_at_{};
  // Time between two reads of the upstream list, by this process or its leader,
  // and number of calls that such a read takes.
  Duration list_interval_{};
  int list_pages_ = 0;
  // What the last read left unread (WatchReply::list_unread).
  int list_unread_ = 0;
  bool list_rest_unread_ = false;
  TimePoint list_polled_at_{};
  std::vector<PendingWatch> pending_watches_;
  std::map<std::string, Follower> followers_;
  // WatchReply::serving_count and WatchReply::serving_index of the leader's
  // last answer.
  int leader_serving_count_ = 0;
  int leader_serving_index_ = -1;
  // Serving processes that the leader has published.
  std::vector<Endpoint> leader_serving_endpoints_;
  // Data centres of the control processes by address, as published by the
  // leader.
  std::map<std::string, std::string> data_centre_by_address_;
  // Addresses of the members as last announced to this process. Used only while
  // it has no replica.
  std::vector<std::string> announced_members_;
  // Leader named by the last watch answer, and the time of that answer. Used
  // only while this process has no replica.
  std::string announced_leader_;
  TimePoint leader_announced_at_{};
  std::vector<WaitingCall> waiting_calls_;
  TimePoint store_tried_at_{};
  TimePoint members_announced_at_{};
  bool list_source_lost_ = false;
  size_t logged_heap_held_ = 0;
  TimePoint memory_logged_at_{};
  // Whether a request to the leader to confirm the newest version is in flight.
  bool confirming_version_ = false;
  // Version that the leader confirmed last, and the time of the request for
  // that confirmation.
  TimePoint confirm_requested_at_ = kNever;
  int64_t confirmed_version_ = 0;
  ev_timer tick_{};
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_CONTROL_H_
