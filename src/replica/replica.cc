#include "replica.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "log.h"

namespace medlarwalk {
namespace {

// Time without a reply after which entries are sent again. It exceeds the round
// trip time of a link that loses a packet.
constexpr auto kResendAfter = Millis(500);
// Time without contact to a leader after which a voter sends join requests. The
// voter may have been removed from the group while it was partitioned.
constexpr auto kRejoinAfter = Millis(1500);
// Number of broadcast rounds whose send time is stored. Fewer rounds than this
// are in flight on a link at any time.
constexpr size_t kMaxRoundSentTimes = 256;

}  // namespace

size_t Replica::EntryBytes(const LogEntry& e) {
  size_t content = e.duty.content ? e.duty.content->size() : 0;
  return (e.config ? e.config->size() : 0) + content + 64;
}

Replica::Replica(const Clock& clock, ReplicaOptions options,
                 ReplicaStore& store, StoredState state,
                 std::vector<std::string> seeds, Hooks hooks,
                 uint64_t random_seed)
    : clock_(clock),
      options_(options),
      store_(store),
      seeds_(std::move(seeds)),
      hooks_(std::move(hooks)),
      random_(random_seed),
      self_(state.self),
      term_(state.term),
      voted_for_(state.voted_for),
      snapshot_(std::move(state.snapshot)),
      config_proposals_(kMaxUncommittedConfigBytes,
                        [this](int64_t version, Document d, Done done) {
                          AppendConfig(version, std::move(d), std::move(done));
                        }) {
  for (LogEntry& e : state.log) {
    log_bytes_ += EntryBytes(e);
    log_.push_back(std::move(e));
  }
  commit_index_ = applied_index_ = snapshot_.index;
  config_version_ = snapshot_.version;
  config_ = snapshot_.config;
  duties_ = snapshot_.duties;
  ReloadMembersFromLog();
  // The first pre-vote is sent at once. It does not disturb a leader, and the
  // other replicas may have waited for this one to complete their quorum.
  election_timeout_base_ = options_.first_election_timeout_min;
  election_deadline_ = clock_.Now();
}

uint64_t Replica::LastLogIndex() const { return snapshot_.index + log_.size(); }

const LogEntry& Replica::EntryAt(uint64_t index) const {
  return log_[index - snapshot_.index - 1];
}

uint64_t Replica::TermAt(uint64_t index) const {
  if (index <= snapshot_.index) return snapshot_.term;
  return index <= LastLogIndex() ? EntryAt(index).term : 0;
}

bool Replica::IsVoter(const std::string& id) const {
  return std::any_of(members_.begin(), members_.end(),
                     [&](const Member& m) { return m.id == id; });
}

void Replica::ReloadMembersFromLog() {
  members_ = snapshot_.members;
  members_index_ = snapshot_.index;
  for (const LogEntry& e : log_) {
    if (e.kind != EntryKind::kMembers) continue;
    members_ = e.members;
    members_index_ = e.index;
  }
}

ReplicaMessage Replica::MakeMessage(ReplicaMessage::Type type) const {
  ReplicaMessage m;
  m.type = type;
  m.from = self_;
  m.term = term_;
  return m;
}

std::optional<Member> Replica::Leader() const {
  if (!leader_) return std::nullopt;
  if (TimeSinceLeaderContact() > options_.election_timeout_min)
    return std::nullopt;
  return leader_;
}

Duration Replica::TimeSinceLeaderContact() const {
  if (role_ == ReplicaRole::kLeader) {
    if (commit_index_ < term_start_index_) return Duration::max();
    return clock_.Now() - QuorumContactTime();
  }
  if (leader_contact_at_ == TimePoint{}) return Duration::max();
  return clock_.Now() - leader_contact_at_;
}

Duration Replica::TimeSinceInSync() const {
  if (role_ == ReplicaRole::kLeader) return TimeSinceLeaderContact();
  if (up_to_date_at_ == TimePoint{}) return Duration::max();
  return clock_.Now() - up_to_date_at_;
}

TimePoint Replica::QuorumContactTime() const {
  // A voter that has answered a round has followed this leader at least until
  // the round was sent. For each voter, the send time of the newest round that
  // it answered counts. The quorum-th newest of these times is the latest time
  // at which a quorum is known to have followed this leader.
  std::vector<TimePoint> contact_times;
  for (const Member& m : members_) {
    if (m.id == self_.id) {
      contact_times.push_back(clock_.Now());
      continue;
    }
    auto it = peers_.find(m.id);
    contact_times.push_back(
        it == peers_.end() ? TimePoint{} : it->second.acked_round_sent_at);
  }
  if (contact_times.empty()) return TimePoint{};
  std::sort(contact_times.rbegin(), contact_times.rend());
  return contact_times[QuorumSize() - 1];
}

uint64_t Replica::QuorumAckedRound() const {
  std::vector<uint64_t> rounds;
  for (const Member& m : members_) {
    if (m.id == self_.id) {
      rounds.push_back(round_);
      continue;
    }
    auto it = peers_.find(m.id);
    rounds.push_back(it == peers_.end() ? 0 : it->second.acked_round);
  }
  if (rounds.empty()) return 0;
  std::sort(rounds.rbegin(), rounds.rend());
  return rounds[QuorumSize() - 1];
}

void Replica::Tick(TimePoint polled_at) {
  // Not at the commit itself: whoever waits for it need not wait for this
  // write.
  MaybeCompactLog();
  if (role_ == ReplicaRole::kLeader) {
    TickLeader(polled_at);
    return;
  }
  bool silent = TimeSinceLeaderContact() > kRejoinAfter;
  if (!IsVoter(self_.id) || silent) SendJoinRequest();
  if (!IsVoter(self_.id)) return;
  if (polled_at < election_deadline_ || clock_.Now() < disk_backoff_until_)
    return;
  StartElection(true);
}

bool Replica::AppendAsLeader(std::vector<LogEntry> entries) {
  uint64_t index = LastLogIndex();
  for (LogEntry& e : entries) {
    e.index = ++index;
    e.term = term_;
  }
  TimePoint start = clock_.Now();
  absl::Status status = store_.AppendEntries(entries);
  TimePoint end = clock_.Now();
  // The loop stands still while the disk writes. Heartbeats and reads come
  // between two writes.
  next_append_at_ =
      end + std::min(end - start, options_.election_timeout_min / 2);
  if (!status.ok()) {
    disk_backoff_until_ = end + kDiskErrorBackoff;
    LogWarn("store_failed", {{"op", "append"}, {"error", status.message()}});
    StepDown(term_, "store failed");
    return false;
  }
  bool members_changed = false;
  for (LogEntry& e : entries) {
    log_bytes_ += EntryBytes(e);
    members_changed = members_changed || e.kind == EntryKind::kMembers;
    log_.push_back(std::move(e));
  }
  if (members_changed) {
    ReloadMembersFromLog();
    LogEvent("members_changed",
             {{"index", LastLogIndex()}, {"voters", members_.size()}});
  }
  AdvanceCommitIndex();
  BroadcastRound();
  return true;
}

void Replica::TickLeader(TimePoint polled_at) {
  TimePoint now = clock_.Now();
  if (members_.size() > 1 &&
      polled_at - QuorumContactTime() > 2 * options_.election_timeout_min) {
    StepDown(term_, "no quorum");
    return;
  }
  UpdateMembership(polled_at);
  if (role_ == ReplicaRole::kLeader && now >= next_append_at_)
    AppendProposals();
  if (role_ != ReplicaRole::kLeader) return;
  bool heartbeat_due = false;
  for (auto& [id, peer] : peers_) {
    if (now - peer.in_flight_since > kResendAfter) peer.in_flight_through = 0;
    if (now - peer.last_sent_at >= options_.heartbeat) heartbeat_due = true;
  }
  if (heartbeat_due) BroadcastRound();
}

TimePoint Replica::RoundSentTime(uint64_t round) const {
  if (round > round_ || round_ - round >= round_sent_times_.size()) return {};
  return round_sent_times_[round_sent_times_.size() - 1 - (round_ - round)];
}

void Replica::BroadcastRound() {
  ++round_;
  round_sent_times_.push_back(clock_.Now());
  if (round_sent_times_.size() > kMaxRoundSentTimes)
    round_sent_times_.pop_front();
  for (auto& [id, peer] : peers_) ReplicateTo(peer);
}

// A snapshot in flight covers every index that the peer may lack.
bool Replica::SnapshotInFlight(const Peer& peer) const {
  return peer.next_index <= snapshot_.index && peer.in_flight_through != 0;
}

void Replica::ReplicateTo(Peer& peer) {
  peer.last_sent_at = clock_.Now();
  if (peer.next_index <= snapshot_.index) {
    ReplicaMessage m = MakeMessage(ReplicaMessage::Type::kInstallSnapshot);
    m.round = round_;
    m.commit_index = commit_index_;
    // While a snapshot is in flight, the message carries no snapshot, only the
    // round and the commit index.
    if (peer.in_flight_through == 0) {
      m.snapshot = snapshot_;
      peer.in_flight_through = snapshot_.index;
      peer.in_flight_since = peer.last_sent_at;
    }
    hooks_.send(peer.member, m);
    return;
  }
  ReplicaMessage m = MakeMessage(ReplicaMessage::Type::kAppend);
  m.round = round_;
  m.commit_index = commit_index_;
  m.index = peer.next_index - 1;
  m.log_term = TermAt(peer.next_index - 1);
  if (peer.in_flight_through == 0) {
    size_t bytes = 0;
    for (uint64_t i = peer.next_index; i <= LastLogIndex(); ++i) {
      bytes += EntryBytes(EntryAt(i));
      if (!m.entries.empty() && bytes > options_.batch_bytes) break;
      m.entries.push_back(EntryAt(i));
    }
    if (!m.entries.empty()) {
      peer.in_flight_through = m.entries.back().index;
      peer.in_flight_since = peer.last_sent_at;
    }
  }
  hooks_.send(peer.member, m);
}

void Replica::Propose(int64_t version, Document config, Done done) {
  config_proposals_.SendOrHold(version, std::move(config), std::move(done));
}

void Replica::AppendConfig(int64_t version, Document config, Done done) {
  LogEntry e;
  e.kind = EntryKind::kConfig;
  e.version = version;
  e.config = std::move(config);
  AppendWithCallback(std::move(e), std::move(done));
}

void Replica::ProposeDuty(DutyRecord record, Done done) {
  LogEntry e;
  e.kind = EntryKind::kDuty;
  e.duty = std::move(record);
  AppendWithCallback(std::move(e), std::move(done));
}

// Appends `e` as the leader and calls `done` after it is committed.
// Errors: Unavailable if this replica is not the leader or loses leadership.
void Replica::AppendWithCallback(LogEntry e, Done done) {
  if (role_ != ReplicaRole::kLeader) {
    done(absl::UnavailableError("not the leader"));
    return;
  }
  proposals_.push_back(Proposal{std::move(e), std::move(done)});
  if (clock_.Now() >= next_append_at_) AppendProposals();
}

// Writes all proposals that wait at once.
void Replica::AppendProposals() {
  if (proposals_.empty()) return;
  std::vector<Proposal> batch = std::move(proposals_);
  proposals_.clear();
  std::vector<LogEntry> entries;
  for (Proposal& p : batch) {
    Waiter w;
    w.index = LastLogIndex() + entries.size() + 1;
    w.term = term_;
    w.done = std::move(p.done);
    waiters_.push_back(std::move(w));
    entries.push_back(std::move(p.entry));
  }
  if (AppendAsLeader(std::move(entries))) CompleteReadyWaiters();
}

void Replica::ReadBarrier(Done done) {
  if (role_ != ReplicaRole::kLeader) {
    done(absl::UnavailableError("not the leader"));
    return;
  }
  Waiter w;
  w.index = std::max(commit_index_, term_start_index_);
  w.term = term_;
  w.round = round_ + 1;
  w.done = std::move(done);
  waiters_.push_back(std::move(w));
  BroadcastRound();
  CompleteReadyWaiters();
}

void Replica::CompleteReadyWaiters() {
  uint64_t acked_round = QuorumAckedRound();
  std::vector<Waiter> ready;
  for (auto it = waiters_.begin(); it != waiters_.end();) {
    if (applied_index_ >= it->index && acked_round >= it->round) {
      ready.push_back(std::move(*it));
      it = waiters_.erase(it);
    } else {
      ++it;
    }
  }
  for (Waiter& w : ready) w.done(absl::OkStatus());
}

void Replica::FailAllWaiters() {
  std::vector<Waiter> all = std::move(waiters_);
  waiters_.clear();
  std::vector<Proposal> unwritten = std::move(proposals_);
  proposals_.clear();
  for (Proposal& p : unwritten)
    p.done(absl::UnavailableError("leadership lost"));
  for (Waiter& w : all) w.done(absl::UnavailableError("leadership lost"));
}

std::optional<ReplicaMessage> Replica::HandleMessage(const ReplicaMessage& m) {
  using T = ReplicaMessage::Type;
  switch (m.type) {
    case T::kVoteRequest:
      return HandleVoteRequest(m);
    case T::kAppend:
      return HandleAppend(m);
    case T::kInstallSnapshot:
      return HandleInstallSnapshot(m);
    case T::kJoin:
      return HandleJoinRequest(m);
    case T::kVoteReply:
      HandleVoteReply(m);
      return std::nullopt;
    case T::kAppendReply:
      HandleAppendReply(m);
      return std::nullopt;
    case T::kJoinReply:
      HandleJoinReply(m);
      return std::nullopt;
  }
  return std::nullopt;
}

void Replica::RecordLeaderContact(const Member& leader) {
  bool changed = !leader_ || !(*leader_ == leader);
  leader_ = leader;
  leader_contact_at_ = clock_.Now();
  ResetElectionTimer();
  if (changed) {
    LogEvent("leader_known", {{"term", term_}, {"leader", leader.address}});
    if (hooks_.on_leader_change) hooks_.on_leader_change();
  }
}

// Returns whether `m` comes from the leader of the current term, and adopts its
// term if that is newer. Records the contact and fills in round and term of
// `reply`.
bool Replica::AcceptLeader(const ReplicaMessage& m, ReplicaMessage* reply) {
  reply->round = m.round;
  if (m.term < term_) return false;
  if (m.term > term_ || role_ != ReplicaRole::kFollower) {
    StepDown(m.term, "another leader");
  }
  reply->term = term_;
  if (m.term != term_) return false;
  RecordLeaderContact(m.from);
  return true;
}

// Records the current time if this follower is up to date: it has committed all
// that the leader has committed, and the leader has committed an entry of its
// own term. Such a leader knows every committed entry.
void Replica::RecordUpToDateTime(const ReplicaMessage& m) {
  if (commit_index_ >= m.commit_index && TermAt(m.commit_index) == m.term) {
    up_to_date_at_ = clock_.Now();
  }
}

ReplicaMessage Replica::HandleAppend(const ReplicaMessage& m) {
  ReplicaMessage reply = MakeMessage(ReplicaMessage::Type::kAppendReply);
  if (!AcceptLeader(m, &reply)) return reply;
  reply.index = LastLogIndex();
  if (m.index > LastLogIndex() ||
      (m.index > snapshot_.index && TermAt(m.index) != m.log_term)) {
    // The reply tells the leader the last index at which the logs may still
    // match.
    reply.index = std::min(LastLogIndex(), m.index > 0 ? m.index - 1 : 0);
    return reply;
  }
  std::vector<LogEntry> new_entries;
  for (const LogEntry& e : m.entries) {
    if (e.index <= snapshot_.index) continue;
    if (new_entries.empty() && e.index <= LastLogIndex()) {
      if (TermAt(e.index) == e.term) continue;
      absl::Status status = store_.TruncateFrom(e.index);
      if (!status.ok()) {
        LogWarn("store_failed",
                {{"op", "truncate"}, {"error", status.message()}});
        return reply;
      }
      while (LastLogIndex() >= e.index) {
        log_bytes_ -= EntryBytes(log_.back());
        log_.pop_back();
      }
      ReloadMembersFromLog();
    }
    new_entries.push_back(e);
  }
  if (!new_entries.empty()) {
    absl::Status status = store_.AppendEntries(new_entries);
    if (!status.ok()) {
      disk_backoff_until_ = clock_.Now() + kDiskErrorBackoff;
      LogWarn("store_failed", {{"op", "append"}, {"error", status.message()}});
      return reply;
    }
    for (LogEntry& e : new_entries) {
      log_bytes_ += EntryBytes(e);
      log_.push_back(std::move(e));
    }
    ReloadMembersFromLog();
  }
  reply.ok = true;
  reply.index = m.index + m.entries.size();
  if (m.commit_index > commit_index_) {
    commit_index_ =
        std::min(m.commit_index, std::max(reply.index, commit_index_));
    ApplyThrough(commit_index_);
  }
  RecordUpToDateTime(m);
  return reply;
}

void Replica::HandleAppendReply(const ReplicaMessage& m) {
  if (m.term > term_) {
    StepDown(m.term, "newer term");
    return;
  }
  if (role_ != ReplicaRole::kLeader || m.term != term_) return;
  auto it = peers_.find(m.from.id);
  if (it == peers_.end()) return;
  Peer& peer = it->second;
  peer.last_reply_at = clock_.Now();
  if (m.round > peer.acked_round) {
    peer.acked_round = m.round;
    peer.acked_round_sent_at = RoundSentTime(m.round);
  }
  if (m.ok) {
    peer.match_index = std::max(peer.match_index, m.index);
    peer.next_index = peer.match_index + 1;
    if (peer.match_index >= peer.in_flight_through) peer.in_flight_through = 0;
    AdvanceCommitIndex();
    bool behind =
        role_ == ReplicaRole::kLeader && peer.next_index <= LastLogIndex();
    if (behind && peer.in_flight_through == 0) ReplicateTo(peer);
  } else if (uint64_t next_index = std::max(m.index, peer.match_index) + 1;
             next_index < peer.next_index && !SnapshotInFlight(peer)) {
    // The peer lacks entries before those in flight, so sending restarts at the
    // first entry that it lacks.
    peer.next_index = next_index;
    peer.in_flight_through = 0;
    ReplicateTo(peer);
  }
  CompleteReadyWaiters();
}

void Replica::AdvanceCommitIndex() {
  std::vector<uint64_t> match_indexes;
  for (const Member& m : members_) {
    if (m.id == self_.id) {
      match_indexes.push_back(LastLogIndex());
      continue;
    }
    auto it = peers_.find(m.id);
    match_indexes.push_back(it == peers_.end() ? 0 : it->second.match_index);
  }
  if (match_indexes.empty()) return;
  std::sort(match_indexes.rbegin(), match_indexes.rend());
  uint64_t quorum_index = match_indexes[QuorumSize() - 1];
  // A leader commits only entries of its own term by counting replicas. Entries
  // of earlier terms are committed together with a later one.
  if (quorum_index <= commit_index_ || TermAt(quorum_index) != term_) return;
  commit_index_ = quorum_index;
  ApplyThrough(commit_index_);
  CompleteReadyWaiters();
  if (!IsVoter(self_.id) && members_index_ <= commit_index_) {
    StepDown(term_, "left the group");
    return;
  }
  BroadcastRound();
}

void Replica::ApplyThrough(uint64_t index) {
  while (applied_index_ < index) {
    const LogEntry& e = EntryAt(++applied_index_);
    applied_log_bytes_ += EntryBytes(e);
    if (e.kind == EntryKind::kDuty) duties_.Apply(e.duty);
    if (e.kind != EntryKind::kConfig || e.version <= config_version_) continue;
    config_version_ = e.version;
    config_ = e.config;
    if (hooks_.on_config_committed)
      hooks_.on_config_committed(config_version_, config_);
  }
}

}  // namespace medlarwalk
