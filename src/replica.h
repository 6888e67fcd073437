// Consensus among the control hosts: a replicated log of configurations, of
// what is fixed of duties, and of the group's own membership. Terms, pre-vote,
// quorum commit, leader check of its quorum, read barriers, single-step
// membership change. Pure: messages in, messages out; the store and the clock
// are passed in, so tests drive whole groups by hand.
#ifndef MEDLARWALK_REPLICA_H_
#define MEDLARWALK_REPLICA_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "duty_log.h"
#include "newest_gate.h"
#include "payload.h"
#include "types.h"

namespace medlarwalk {

// One control process. The id is drawn anew for each empty store, so that a
// host that lost its disk cannot vote on a past it no longer knows.
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
  Document data;                // kConfig: packed, never null there.
  int64_t version = 0;          // kConfig: its version.
  std::vector<Member> members;  // kMembers.
  DutyRecord duty;              // kDuty.
};

// Everything up to and including `index`, folded together.
struct Snapshot {
  uint64_t index = 0;
  uint64_t term = 0;
  std::vector<Member> members;
  int64_t version = 0;
  Document config;  // Null: none yet.
  DutyLog duties;
};

// What a replica keeps on its disk.
struct StoredState {
  Member self;
  uint64_t term = 0;
  std::string voted_for;
  Snapshot snapshot;
  std::vector<LogEntry> log;
};

// Durable storage of one replica. Each call returns only once its change is
// synced; an error means that the change may or may not be on the disk.
class ReplicaStore {
 public:
  virtual ~ReplicaStore() = default;
  virtual absl::Status SaveVote(uint64_t term,
                                const std::string& voted_for) = 0;
  virtual absl::Status Append(const std::vector<LogEntry>& entries) = 0;
  // Drops every entry from `index` on.
  virtual absl::Status Truncate(uint64_t index) = 0;
  // Replaces everything by `state`.
  virtual absl::Status Rewrite(const StoredState& state) = 0;
};

// A message between control processes.
struct ReplicaMessage {
  enum class Type {
    kVote,
    kVoteReply,
    kAppend,
    kAppendReply,
    kInstall,  // A whole snapshot; answered by kAppendReply.
    kJoin,
    kJoinReply,
  };
  Type type = Type::kVote;
  Member from;
  uint64_t term = 0;
  bool pre_vote = false;
  bool ok = false;
  uint64_t index = 0;  // Vote: last index. Append: previous. Reply: match.
  uint64_t log_term = 0;
  uint64_t commit = 0;
  uint64_t round = 0;  // Echoed in the reply; proves contact after a moment.
  std::vector<LogEntry> entries;
  std::optional<Snapshot> snapshot;
  std::vector<Member> members;  // Join reply: who to ask.
};

struct ReplicaOptions {
  // Appends that carry nothing go out this often.
  Duration heartbeat = Millis(100);
  // A follower that hears nothing for a time drawn from [min, 2 x min] asks
  // for votes; a leader without its quorum for min steps down.
  Duration election_min = Millis(600);
  // The first wait after a start is drawn from [this, 2 x this]: no leader can
  // be known yet, and where all were stopped at once nobody else will begin.
  Duration first_election = Millis(50);
  // A joiner takes the place of a voter silent for this long.
  Duration replace_silent_after = Millis(1500);
  // A voter silent for this long is dropped while enough others remain, so
  // that hosts gone for good do not raise the quorum.
  Duration drop_silent_after = std::chrono::seconds(6);
  // Hosts that may be lost at once; 2 x this + 1 voters are always kept.
  int tolerate = 1;
  int max_voters = 7;
  // The log is folded into a snapshot past this many entries or bytes.
  size_t compact_entries = 64;
  size_t compact_bytes = 1 << 20;
  // Most entry bytes in one message.
  size_t batch_bytes = size_t{512} * 1024;
};

enum class ReplicaRole { kFollower, kCandidate, kLeader };

// One replica of the group. Thread safety: loop thread only.
class Replica {
 public:
  struct Hooks {
    // Sends without waiting; losing the message is fine.
    std::function<void(const Member& to, const ReplicaMessage&)> send;
    // The committed configuration has changed.
    std::function<void(int64_t version, const Document& config)> on_config;
    // The role, term or known leader has changed.
    std::function<void()> on_change;
  };

  // `state` is what the store holds. `seeds` are asked for the group when the
  // replica is not, or no longer, one of its voters.
  Replica(const Clock& clock, ReplicaOptions options, ReplicaStore& store,
          StoredState state, std::vector<std::string> seeds, Hooks hooks,
          uint64_t random_seed);

  // Drives time-outs; called every few tens of milliseconds.
  void Tick();
  // Handles a message, returning the reply if it asks for one.
  std::optional<ReplicaMessage> Handle(const ReplicaMessage& m);

  // Appends a configuration. `done` is called with Ok once it, or a higher
  // version that overtook it, is committed, or Unavailable when leadership is
  // lost first (it may still commit).
  // Errors: Unavailable when this replica is not a leader in office.
  using Done = std::function<void(absl::Status)>;
  void Propose(int64_t version, Document config, Done done);
  // The same for what is to be sent on a duty. What was committed under its
  // number before stands: see duties() once `done` is called.
  void ProposeDuty(DutyRecord record, Done done);
  // Calls `done` with Ok once a quorum has confirmed, after this call, that
  // this replica still leads and all committed before is applied here.
  void ReadBarrier(Done done);

  void set_seeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }

  ReplicaRole role() const { return role_; }
  uint64_t term() const { return term_; }
  const Member& self() const { return self_; }
  // The leader, if one was heard within the election time-out (or is self and
  // has its quorum).
  std::optional<Member> Leader() const;
  // Time since a leader was last heard, or since this one last had its quorum.
  Duration LeaderAge() const;
  // Time since this replica was last sure to have applied all that a leader
  // in office had committed: what it holds may be told to those that start.
  Duration StepAge() const;
  int64_t config_version() const { return config_version_; }
  // The newest committed configuration, packed; null when there is none yet.
  const Document& config() const { return config_; }
  const std::vector<Member>& members() const { return members_; }
  // What is committed of duties.
  const DutyLog& duties() const { return duties_; }
  // Entries kept beside the snapshot, and their bytes in memory.
  size_t log_entries() const { return log_.size(); }
  size_t log_bytes() const { return log_bytes_; }

 private:
  // A leader whose disk refused a write does not stand for election again for
  // this long: others, whose disks work, should lead.
  static constexpr auto kDiskBackoff = std::chrono::seconds(5);
  // Bytes proposed and not committed: what a link of 100 Mbit/s takes to six
  // other members in half a second.
  static constexpr size_t kMostProposed = size_t{1} << 20;

  struct Peer {
    Member member;
    uint64_t next = 1;
    uint64_t match = 0;
    TimePoint heard{};     // Last reply.
    uint64_t round = 0;    // Highest round answered.
    TimePoint round_at{};  // When that round was sent.
    TimePoint sent_at{};   // Last message of any kind.
    // The last index of the entries, or of the snapshot, under way; 0: none.
    // Only a reply that tells it arrived, or kResendAfter, frees the way for
    // more: heartbeats overtake large entries, and their replies say nothing of
    // these.
    uint64_t flight_last = 0;
    TimePoint flight_at{};
    bool learner = false;
  };
  struct Waiter {
    uint64_t index = 0;  // Proposal: waits for this index.
    uint64_t term = 0;
    uint64_t round = 0;  // Barrier: waits for this round.
    Done done;
  };

  void AppendProposal(int64_t version, Document config, Done done);
  void AppendAwaited(LogEntry e, Done done);
  void StepDown(uint64_t term, absl::string_view why);
  bool SetTerm(uint64_t term, const std::string& vote);
  void StartElection(bool pre_vote);
  void CountVote(const std::string& id);
  void BecomeLeader();
  void Lead();
  void ManageMembers();
  bool ProposeMembers(std::vector<Member> members);
  bool AppendOwn(LogEntry e);
  void Broadcast();
  void SendTo(Peer& p);
  ReplicaMessage OnVote(const ReplicaMessage& m);
  bool GoesBefore(const ReplicaMessage& m) const;
  bool Follow(const ReplicaMessage& m, ReplicaMessage* r);
  void NoteStep(const ReplicaMessage& m);
  ReplicaMessage OnAppend(const ReplicaMessage& m);
  ReplicaMessage OnInstall(const ReplicaMessage& m);
  ReplicaMessage OnJoin(const ReplicaMessage& m);
  void OnVoteReply(const ReplicaMessage& m);
  void OnAppendReply(const ReplicaMessage& m);
  void OnJoinReply(const ReplicaMessage& m);
  void AdvanceCommit();
  void Apply(uint64_t to);
  void MaybeCompact();
  void SettleWaiters();
  void FailWaiters();
  void SeekGroup();
  void RefreshMembers();
  void HeardLeader(const Member& m);
  bool IsVoter(const std::string& id) const;
  size_t Quorum() const { return members_.size() / 2 + 1; }
  // When, at the latest, a quorum had confirmed this leader.
  TimePoint QuorumContact() const;
  uint64_t QuorumRound() const;
  // When `round` was sent; the epoch if that is no longer known.
  TimePoint RoundSent(uint64_t round) const;
  uint64_t LastIndex() const;
  uint64_t TermAt(uint64_t index) const;
  const LogEntry& At(uint64_t index) const;
  ReplicaMessage Make(ReplicaMessage::Type type) const;
  void ResetElectionTimer(Duration min);
  void ResetElectionTimer() { ResetElectionTimer(options_.election_min); }

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
  std::vector<Member> members_;  // The newest in the log, committed or not.
  uint64_t members_index_ = 0;
  uint64_t commit_ = 0;
  uint64_t applied_ = 0;
  size_t applied_bytes_ = 0;  // Of log entries; nothing needs them any more.
  TimePoint compact_from_{};  // Not before: the store has just refused it.
  int64_t config_version_ = 0;
  Document config_;
  DutyLog duties_;

  ReplicaRole role_ = ReplicaRole::kFollower;
  std::optional<Member> leader_;
  TimePoint leader_heard_{};
  TimePoint in_step_at_{};
  TimePoint election_at_{};
  Duration first_wait_{};  // Until a leader was ever heard.
  TimePoint disk_bad_until_{};
  bool pre_voting_ = false;
  TimePoint asked_at_{};  // When the last pre-vote went out.
  std::vector<std::string> votes_;
  std::map<std::string, Peer> peers_;  // By member id; leaders only.
  uint64_t round_ = 0;
  // When the newest rounds were sent, oldest first; the last is round_.
  std::deque<TimePoint> round_sent_;
  TimePoint leading_since_{};
  uint64_t term_start_ = 0;  // Index of this leader's first entry.
  std::vector<Waiter> waiters_;
  NewestGate proposals_;
  TimePoint sought_at_{};
  size_t seek_next_ = 0;
  std::vector<Member> hints_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_REPLICA_H_
