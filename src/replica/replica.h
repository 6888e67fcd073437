// Raft-like consensus among the control hosts. The replicated log holds
// configurations, duty records and changes of the group's own membership.
// Implements terms, pre-vote, quorum commit, a leader that steps down without
// a quorum, read barriers and membership changes of one member at a time.
// The code is pure: messages in, messages out. The store and the clock are
// passed in, so that tests can drive whole groups deterministically.
#ifndef MEDLARWALK_REPLICA_H_
#define MEDLARWALK_REPLICA_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "conflating_sender.h"
#include "duty_log.h"
#include "payload.h"
#include "types.h"

namespace medlarwalk {

// One control process of the group. A process with an empty store gets a new
// random id, so that a host that lost its disk cannot vote under its old
// identity without its old log.
struct Member {
  std::string id;
  std::string address;  // "ip:port" for messages between control processes.
  bool operator==(const Member& o) const {
    return id == o.id && address == o.address;
  }
};

enum class EntryKind { kNoop = 0, kConfig = 1, kMembers = 2, kDuty = 3 };

struct LogEntry {
  uint64_t index = 0;
  uint64_t term = 0;
  EntryKind kind = EntryKind::kNoop;
  Document config;      // kConfig only: the compressed document; never null.
  int64_t version = 0;  // kConfig only: version of the document.
  std::vector<Member> members;  // kMembers only: the new voters.
  DutyRecord duty;              // kDuty only.
};

// The state after applying every log entry up to and including `index`.
struct Snapshot {
  uint64_t index = 0;
  uint64_t term = 0;
  std::vector<Member> members;
  int64_t version = 0;
  Document config;  // Null if no configuration has been committed.
  DutyLog duties;
};

// The durable state of a replica.
struct StoredState {
  Member self;
  uint64_t term = 0;
  std::string voted_for;
  Snapshot snapshot;
  std::vector<LogEntry> log;
};

// Durable storage of one replica. Each call returns after its change is synced
// to disk. After an error, the change may or may not be on disk.
class ReplicaStore {
 public:
  virtual ~ReplicaStore() = default;
  virtual absl::Status SaveTermAndVote(uint64_t term,
                                       const std::string& voted_for) = 0;
  virtual absl::Status AppendEntries(const std::vector<LogEntry>& entries) = 0;
  // Removes the entry at `index` and all later entries.
  virtual absl::Status TruncateFrom(uint64_t index) = 0;
  // Replaces the whole stored state with `state`.
  virtual absl::Status ReplaceState(const StoredState& state) = 0;
};

// A message between control processes.
struct ReplicaMessage {
  enum class Type {
    kVoteRequest,
    kVoteReply,
    kAppend,
    kAppendReply,
    kInstallSnapshot,  // Carries a complete snapshot; answered by kAppendReply.
    kJoin,
    kJoinReply,
  };
  Type type = Type::kVoteRequest;
  Member from;
  uint64_t term = 0;
  bool pre_vote = false;
  bool ok = false;
  // kVoteRequest: last log index of the candidate. kAppend: index of the entry
  // before `entries`. kAppendReply: last matching index if `ok`; otherwise the
  // last index at which the logs may still match.
  uint64_t index = 0;
  uint64_t log_term = 0;      // Term of the log entry at `index`.
  uint64_t commit_index = 0;  // Commit index of the leader.
  // Broadcast round of the leader, echoed in the reply. A reply proves that the
  // peer was in contact after the leader sent that round.
  uint64_t round = 0;
  std::vector<LogEntry> entries;
  std::optional<Snapshot> snapshot;
  std::vector<Member> members;  // kJoinReply: the members to ask next.
};

struct ReplicaOptions {
  // Interval between heartbeats, which are appends without entries.
  Duration heartbeat = Millis(100);
  // A follower starts an election if it receives nothing from a leader for a
  // random time in [T, 2 x T], where T is this value. A leader steps down after
  // 2 x T without contact with a quorum. Before that, voters that only write
  // slowly may still follow it.
  Duration election_timeout_min = Millis(600);
  // After a start, pre-votes are repeated after a random time in [T, 2 x T],
  // where T begins with this value. It may be short: no leader is known yet.
  Duration first_election_timeout_min = Millis(50);
  // Time of silence after which a voter may be replaced by a caught-up learner.
  Duration replace_silent_after = Millis(1500);
  // Time of silence after which a voter is removed if enough voters remain.
  // Without the removal, permanently lost hosts would raise the quorum size.
  Duration drop_silent_after = std::chrono::seconds(6);
  // Number of hosts that may fail at the same time. A silent voter is removed
  // only if 2 x `tolerated_failures` + 1 voters remain or if a learner replaces
  // it.
  int tolerated_failures = 1;
  int max_voters = 7;
  // Number and bytes of applied entries, either of which triggers compaction of
  // the log into a snapshot.
  size_t compact_entries = 64;
  size_t compact_bytes = 1 << 20;
  // Maximum bytes of entries in one message. A single entry may be larger.
  size_t batch_bytes = size_t{512} * 1024;
};

enum class ReplicaRole { kFollower, kCandidate, kLeader };

// One replica of the consensus group. Thread safety: loop thread only.
class Replica {
 public:
  struct Hooks {
    // Sends a message without blocking. Messages may be lost.
    std::function<void(const Member& to, const ReplicaMessage&)> send;
    // Called when a newer configuration has been committed and applied.
    std::function<void(int64_t version, const Document& config)>
        on_config_committed;
    // Called when leadership is gained or lost or the known leader changes.
    std::function<void()> on_leader_change;
  };

  // `state` is the content of `store`. `seeds` are addresses of control
  // processes. A replica that is not a voter, or that has lost contact with the
  // leader, sends join requests to them.
  Replica(const Clock& clock, ReplicaOptions options, ReplicaStore& store,
          StoredState state, std::vector<std::string> seeds, Hooks hooks,
          uint64_t random_seed);

  // Processes timeouts. Must be called every few tens of milliseconds.
  void Tick() { Tick(clock_.Now()); }
  // The same, if the process has handled the messages that arrived until
  // `polled_at` only: others are not taken for silent since then.
  void Tick(TimePoint polled_at);
  // Handles a message. Returns the reply if `m` is a request.
  std::optional<ReplicaMessage> HandleMessage(const ReplicaMessage& m);

  // Proposes a configuration. Calls `done` with Ok after this version or a
  // higher version that replaced it is committed.
  // Errors: Unavailable if this replica is not the leader, or if it loses
  // leadership before the commit (the entry may still be committed later).
  using Done = std::function<void(absl::Status)>;
  void Propose(int64_t version, Document config, Done done);
  // Proposes a duty record; `done` is called as for Propose(). A record already
  // committed with the same or a higher number stays in force, so callers must
  // read duties() after `done` is called.
  void ProposeDuty(DutyRecord record, Done done);
  // Calls `done` with Ok after a quorum has confirmed, later than this call,
  // that this replica is still the leader, and all entries committed before the
  // call are applied here.
  // Errors: Unavailable if this replica is not the leader or loses leadership.
  void ReadBarrier(Done done);

  void set_seeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }

  ReplicaRole role() const { return role_; }
  uint64_t term() const { return term_; }
  const Member& self() const { return self_; }
  // Returns the leader if this replica received a message from it within
  // election_timeout_min. Returns self if this replica leads and had contact
  // with a quorum within that time.
  std::optional<Member> Leader() const;
  // Returns the time since the last message from a leader. On the leader,
  // returns the time since it last had contact with a quorum.
  Duration TimeSinceLeaderContact() const;
  // Returns the time since this replica last knew that it had applied
  // everything its leader had committed. The state may be published to starting
  // processes only if this time is short.
  Duration TimeSinceInSync() const;
  int64_t config_version() const { return config_version_; }
  // The newest committed configuration, compressed. Null if there is none.
  const Document& config() const { return config_; }
  const std::vector<Member>& members() const { return members_; }
  // The committed duty records.
  const DutyLog& duties() const { return duties_; }
  // Number of log entries after the snapshot, and their bytes in memory.
  size_t log_entries() const { return log_.size(); }
  size_t log_bytes() const { return log_bytes_; }

 private:
  // Time after a failed disk write in which a replica starts no election, so
  // that a replica with a working disk becomes leader.
  static constexpr auto kDiskErrorBackoff = std::chrono::seconds(5);
  // Maximum bytes of proposed but uncommitted configurations. A 100 Mbit/s link
  // sends this many bytes to six other members in half a second.
  static constexpr size_t kMaxUncommittedConfigBytes = size_t{1} << 20;

  // What the leader knows about another member or a learner.
  struct Peer {
    Member member;
    uint64_t next_index = 1;   // Index of the next entry to send.
    uint64_t match_index = 0;  // Highest index known to be in the peer's log.
    TimePoint last_reply_at{};
    uint64_t acked_round = 0;  // Highest round that the peer has answered.
    TimePoint acked_round_sent_at{};
    TimePoint last_sent_at{};  // Send time of the last message of any type.
    // Last index of the entries or the snapshot in flight; 0 if none is in
    // flight. No more entries are sent until a reply confirms this index or
    // kResendAfter has passed. Heartbeats overtake large entries, so a reply to
    // a heartbeat does not show whether the entries arrived.
    uint64_t in_flight_through = 0;
    TimePoint in_flight_since{};
    bool learner = false;  // Receives the log but is not a voter.
  };
  // An entry that is not written to the leader's log yet.
  struct Proposal {
    LogEntry entry;
    Done done;
  };
  // A callback that waits for a proposal or a read barrier.
  struct Waiter {
    uint64_t index = 0;  // The waiter completes after this index is applied.
    uint64_t term = 0;
    uint64_t round = 0;  // For a barrier: round that a quorum must answer.
    Done done;
  };

  // Returns the bytes of `e` in memory, roughly.
  static size_t EntryBytes(const LogEntry& e);
  void AppendConfig(int64_t version, Document config, Done done);
  void AppendWithCallback(LogEntry e, Done done);
  // Becomes a follower. A newer `term` is stored together with the vote for
  // `voted_for` in it, which is empty if there is none.
  void StepDown(uint64_t term, absl::string_view reason,
                const std::string& voted_for = "");
  bool SetTermAndVote(uint64_t term, const std::string& voted_for);
  void StartElection(bool pre_vote);
  void CountVote(const std::string& voter_id);
  void CountRefusal(const std::string& voter_id);
  void BecomeLeader();
  void TickLeader(TimePoint polled_at);
  void UpdateMembership(TimePoint polled_at);
  bool ProposeMembers(std::vector<Member> members);
  bool AppendAsLeader(std::vector<LogEntry> entries);
  void AppendProposals();
  void BroadcastRound();
  void ReplicateTo(Peer& peer);
  bool SnapshotInFlight(const Peer& peer) const;
  ReplicaMessage HandleVoteRequest(const ReplicaMessage& m);
  bool WinsElectionTie(const ReplicaMessage& m) const;
  bool AcceptLeader(const ReplicaMessage& m, ReplicaMessage* reply);
  void RecordUpToDateTime(const ReplicaMessage& m);
  ReplicaMessage HandleAppend(const ReplicaMessage& m);
  ReplicaMessage HandleInstallSnapshot(const ReplicaMessage& m);
  ReplicaMessage HandleJoinRequest(const ReplicaMessage& m);
  void HandleVoteReply(const ReplicaMessage& m);
  void HandleAppendReply(const ReplicaMessage& m);
  void HandleJoinReply(const ReplicaMessage& m);
  void AdvanceCommitIndex();
  void ApplyThrough(uint64_t index);
  bool InstallSnapshot(const Snapshot& snapshot);
  void MaybeCompactLog();
  void CompleteReadyWaiters();
  void FailAllWaiters();
  void SendJoinRequest();
  void ReloadMembersFromLog();
  void RecordLeaderContact(const Member& leader);
  bool IsVoter(const std::string& id) const;
  size_t QuorumSize() const { return members_.size() / 2 + 1; }
  // Returns the latest time at which a quorum is known to have followed this
  // leader.
  TimePoint QuorumContactTime() const;
  uint64_t QuorumAckedRound() const;
  // Returns the send time of `round`, or the epoch if it is no longer stored.
  TimePoint RoundSentTime(uint64_t round) const;
  uint64_t LastLogIndex() const;
  uint64_t TermAt(uint64_t index) const;
  const LogEntry& EntryAt(uint64_t index) const;
  ReplicaMessage MakeMessage(ReplicaMessage::Type type) const;
  void ResetElectionTimer(Duration min_timeout);
  void ResetElectionTimer() {
    ResetElectionTimer(options_.election_timeout_min);
  }

  const Clock& clock_;
  ReplicaOptions options_;
  ReplicaStore& store_;
  std::vector<std::string> seeds_;
  Hooks hooks_;
  std::mt19937_64 random_;

  Member self_;
  uint64_t term_ = 0;
  std::string voted_for_;
  Snapshot snapshot_;
  std::deque<LogEntry> log_;  // Entries after snapshot_.index.
  size_t log_bytes_ = 0;
  // Voters of the newest membership entry in the log, committed or not.
  std::vector<Member> members_;
  uint64_t members_index_ = 0;  // Log index of the entry that set `members_`.
  uint64_t commit_index_ = 0;
  uint64_t applied_index_ = 0;
  // Bytes of log entries that are applied and can be compacted.
  size_t applied_log_bytes_ = 0;
  // Earliest time of the next compaction attempt after the store failed.
  TimePoint compact_not_before_{};
  int64_t config_version_ = 0;
  Document config_;
  DutyLog duties_;

  ReplicaRole role_ = ReplicaRole::kFollower;
  std::optional<Member> leader_;
  TimePoint leader_contact_at_{};
  TimePoint up_to_date_at_{};  // Followers only; see TimeSinceInSync().
  TimePoint election_deadline_{};
  // Lower bound of the next random election timeout. Grows from
  // first_election_timeout_min to election_timeout_min.
  Duration election_timeout_base_{};
  TimePoint disk_backoff_until_{};
  bool in_pre_vote_ = false;
  TimePoint pre_vote_sent_at_{};
  // Ids of members that granted a vote.
  std::vector<std::string> granted_votes_;
  // Ids of members that granted the last pre-vote and have not refused the vote
  // that followed.
  std::set<std::string> pre_vote_granters_;
  std::map<std::string, Peer> peers_;  // Peers by member id; leader only.
  uint64_t round_ = 0;                 // Number of the newest broadcast round.
  // Send times of the newest rounds, oldest first. The last element belongs to
  // `round_`.
  std::deque<TimePoint> round_sent_times_;
  TimePoint leading_since_{};
  // Index of the first entry of this leader's term.
  uint64_t term_start_index_ = 0;
  // Proposals that wait for `next_append_at_`; leader only.
  std::vector<Proposal> proposals_;
  // Earliest time of the leader's next write of proposals.
  TimePoint next_append_at_{};
  std::vector<Waiter> waiters_;
  ConflatingSender config_proposals_;
  TimePoint join_sent_at_{};
  std::vector<Member> join_hints_;  // Members from the last join reply.
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_REPLICA_H_
