#include "replica.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "log.h"

namespace medlarwalk {
namespace {

// A reply that is not back after this long is taken for lost and the entries
// are sent again; above the round trip of a link that loses a packet.
constexpr auto kResendAfter = Millis(500);
// A voter that hears from no leader for this long asks around as well: it may
// have been dropped from the group while it was cut off.
constexpr auto kSeekAfter = Millis(1500);
// After a snapshot that could not be written, the next one is tried this much
// later.
constexpr auto kCompactAgain = std::chrono::seconds(1);
// Rounds whose sending time is kept; more than a link can hold under way.
constexpr size_t kRoundsKept = 256;

size_t BytesOf(const LogEntry& e) {
  size_t content = e.duty.content ? e.duty.content->size() : 0;
  return (e.data ? e.data->size() : 0) + content + 64;
}

}  // namespace

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
      proposals_(kMostProposed, [this](int64_t version, Document d, Done done) {
        AppendProposal(version, std::move(d), std::move(done));
      }) {
  for (LogEntry& e : state.log) {
    log_bytes_ += BytesOf(e);
    log_.push_back(std::move(e));
  }
  commit_ = applied_ = snapshot_.index;
  config_version_ = snapshot_.version;
  config_ = snapshot_.config;
  duties_ = snapshot_.duties;
  RefreshMembers();
  first_wait_ = options_.first_election;
  ResetElectionTimer(first_wait_);
}

uint64_t Replica::LastIndex() const { return snapshot_.index + log_.size(); }

const LogEntry& Replica::At(uint64_t index) const {
  return log_[index - snapshot_.index - 1];
}

uint64_t Replica::TermAt(uint64_t index) const {
  if (index <= snapshot_.index) return snapshot_.term;
  return index <= LastIndex() ? At(index).term : 0;
}

bool Replica::IsVoter(const std::string& id) const {
  return std::any_of(members_.begin(), members_.end(),
                     [&](const Member& m) { return m.id == id; });
}

void Replica::RefreshMembers() {
  members_ = snapshot_.members;
  members_index_ = snapshot_.index;
  for (const LogEntry& e : log_) {
    if (e.kind != EntryKind::kMembers) continue;
    members_ = e.members;
    members_index_ = e.index;
  }
}

ReplicaMessage Replica::Make(ReplicaMessage::Type type) const {
  ReplicaMessage m;
  m.type = type;
  m.from = self_;
  m.term = term_;
  return m;
}

std::optional<Member> Replica::Leader() const {
  if (!leader_) return std::nullopt;
  if (LeaderAge() > options_.election_min) return std::nullopt;
  return leader_;
}

Duration Replica::LeaderAge() const {
  if (role_ == ReplicaRole::kLeader) {
    if (commit_ < term_start_) return Duration::max();
    return clock_.Now() - QuorumContact();
  }
  if (leader_heard_ == TimePoint{}) return Duration::max();
  return clock_.Now() - leader_heard_;
}

Duration Replica::StepAge() const {
  if (role_ == ReplicaRole::kLeader) return LeaderAge();
  if (in_step_at_ == TimePoint{}) return Duration::max();
  return clock_.Now() - in_step_at_;
}

TimePoint Replica::QuorumContact() const {
  // The send time of the newest round that each voter has answered: the
  // quorum-th best of these is when this leader was surely in office.
  std::vector<TimePoint> at;
  for (const Member& m : members_) {
    if (m.id == self_.id) {
      at.push_back(clock_.Now());
      continue;
    }
    auto it = peers_.find(m.id);
    at.push_back(it == peers_.end() ? TimePoint{} : it->second.round_at);
  }
  if (at.empty()) return TimePoint{};
  std::sort(at.rbegin(), at.rend());
  return at[Quorum() - 1];
}

uint64_t Replica::QuorumRound() const {
  std::vector<uint64_t> r;
  for (const Member& m : members_) {
    if (m.id == self_.id) {
      r.push_back(round_);
      continue;
    }
    auto it = peers_.find(m.id);
    r.push_back(it == peers_.end() ? 0 : it->second.round);
  }
  if (r.empty()) return 0;
  std::sort(r.rbegin(), r.rend());
  return r[Quorum() - 1];
}

void Replica::Tick() {
  TimePoint now = clock_.Now();
  if (role_ == ReplicaRole::kLeader) {
    Lead();
    return;
  }
  bool silent = LeaderAge() > kSeekAfter;
  if (!IsVoter(self_.id) || silent) SeekGroup();
  if (!IsVoter(self_.id)) return;
  if (now < election_at_ || now < disk_bad_until_) return;
  StartElection(true);
}

bool Replica::AppendOwn(LogEntry e) {
  e.index = LastIndex() + 1;
  e.term = term_;
  absl::Status s = store_.Append({e});
  if (!s.ok()) {
    disk_bad_until_ = clock_.Now() + kDiskBackoff;
    LogWarn("store_failed", {{"op", "append"}, {"error", s.message()}});
    StepDown(term_, "store failed");
    return false;
  }
  log_bytes_ += BytesOf(e);
  log_.push_back(std::move(e));
  if (log_.back().kind == EntryKind::kMembers) {
    RefreshMembers();
    LogEvent("members_changed",
             {{"index", LastIndex()}, {"voters", members_.size()}});
  }
  AdvanceCommit();
  Broadcast();
  return true;
}

void Replica::Lead() {
  TimePoint now = clock_.Now();
  if (members_.size() > 1 && now - QuorumContact() > options_.election_min) {
    StepDown(term_, "no quorum");
    return;
  }
  ManageMembers();
  if (role_ != ReplicaRole::kLeader) return;
  bool due = false;
  for (auto& [id, p] : peers_) {
    if (now - p.flight_at > kResendAfter) p.flight_last = 0;
    if (now - p.sent_at >= options_.heartbeat) due = true;
  }
  if (due) Broadcast();
}

TimePoint Replica::RoundSent(uint64_t round) const {
  if (round > round_ || round_ - round >= round_sent_.size()) return {};
  return round_sent_[round_sent_.size() - 1 - (round_ - round)];
}

void Replica::Broadcast() {
  ++round_;
  round_sent_.push_back(clock_.Now());
  if (round_sent_.size() > kRoundsKept) round_sent_.pop_front();
  for (auto& [id, p] : peers_) SendTo(p);
}

void Replica::SendTo(Peer& p) {
  p.sent_at = clock_.Now();
  if (p.next <= snapshot_.index) {
    ReplicaMessage m = Make(ReplicaMessage::Type::kInstall);
    m.round = round_;
    m.commit = commit_;
    // While a snapshot is on its way only the round is sent.
    if (p.flight_last == 0) {
      m.snapshot = snapshot_;
      p.flight_last = snapshot_.index;
      p.flight_at = p.sent_at;
    }
    hooks_.send(p.member, m);
    return;
  }
  ReplicaMessage m = Make(ReplicaMessage::Type::kAppend);
  m.round = round_;
  m.commit = commit_;
  m.index = p.next - 1;
  m.log_term = TermAt(p.next - 1);
  if (p.flight_last == 0) {
    size_t bytes = 0;
    for (uint64_t i = p.next; i <= LastIndex(); ++i) {
      bytes += BytesOf(At(i));
      if (!m.entries.empty() && bytes > options_.batch_bytes) break;
      m.entries.push_back(At(i));
    }
    if (!m.entries.empty()) {
      p.flight_last = m.entries.back().index;
      p.flight_at = p.sent_at;
    }
  }
  hooks_.send(p.member, m);
}

void Replica::Propose(int64_t version, Document config, Done done) {
  proposals_.Offer(version, std::move(config), std::move(done));
}

void Replica::AppendProposal(int64_t version, Document config, Done done) {
  LogEntry e;
  e.kind = EntryKind::kConfig;
  e.version = version;
  e.data = std::move(config);
  AppendAwaited(std::move(e), std::move(done));
}

void Replica::ProposeDuty(DutyRecord record, Done done) {
  LogEntry e;
  e.kind = EntryKind::kDuty;
  e.duty = std::move(record);
  AppendAwaited(std::move(e), std::move(done));
}

// Appends an entry of this leader's; `done` once it is committed.
void Replica::AppendAwaited(LogEntry e, Done done) {
  if (role_ != ReplicaRole::kLeader) {
    done(absl::UnavailableError("not the leader"));
    return;
  }
  Waiter w;
  w.index = LastIndex() + 1;
  w.term = term_;
  w.done = std::move(done);
  waiters_.push_back(std::move(w));
  if (AppendOwn(std::move(e))) SettleWaiters();
}

void Replica::ReadBarrier(Done done) {
  if (role_ != ReplicaRole::kLeader) {
    done(absl::UnavailableError("not the leader"));
    return;
  }
  Waiter w;
  w.index = std::max(commit_, term_start_);
  w.term = term_;
  w.round = round_ + 1;
  w.done = std::move(done);
  waiters_.push_back(std::move(w));
  Broadcast();
  SettleWaiters();
}

void Replica::SettleWaiters() {
  uint64_t round = QuorumRound();
  std::vector<Waiter> ready;
  for (auto it = waiters_.begin(); it != waiters_.end();) {
    if (applied_ >= it->index && round >= it->round) {
      ready.push_back(std::move(*it));
      it = waiters_.erase(it);
    } else {
      ++it;
    }
  }
  for (Waiter& w : ready) w.done(absl::OkStatus());
}

void Replica::FailWaiters() {
  std::vector<Waiter> all = std::move(waiters_);
  waiters_.clear();
  for (Waiter& w : all) w.done(absl::UnavailableError("leadership lost"));
}

std::optional<ReplicaMessage> Replica::Handle(const ReplicaMessage& m) {
  using T = ReplicaMessage::Type;
  switch (m.type) {
    case T::kVote:
      return OnVote(m);
    case T::kAppend:
      return OnAppend(m);
    case T::kInstall:
      return OnInstall(m);
    case T::kJoin:
      return OnJoin(m);
    case T::kVoteReply:
      OnVoteReply(m);
      return std::nullopt;
    case T::kAppendReply:
      OnAppendReply(m);
      return std::nullopt;
    case T::kJoinReply:
      OnJoinReply(m);
      return std::nullopt;
  }
  return std::nullopt;
}

void Replica::HeardLeader(const Member& m) {
  bool changed = !leader_ || !(*leader_ == m);
  leader_ = m;
  leader_heard_ = clock_.Now();
  ResetElectionTimer();
  if (changed) {
    LogEvent("leader_known", {{"term", term_}, {"leader", m.address}});
    if (hooks_.on_change) hooks_.on_change();
  }
}

// Whether `m` comes from the leader of this replica's term, which it then
// follows; `r` is its reply so far.
bool Replica::Follow(const ReplicaMessage& m, ReplicaMessage* r) {
  r->round = m.round;
  if (m.term < term_) return false;
  if (m.term > term_ || role_ != ReplicaRole::kFollower) {
    StepDown(m.term, "another leader");
  }
  r->term = term_;
  if (m.term != term_) return false;
  HeardLeader(m.from);
  return true;
}

// A leader that has committed an entry of its own term knows all that was
// ever committed; a follower that has applied as much is in step with it.
void Replica::NoteStep(const ReplicaMessage& m) {
  if (commit_ >= m.commit && TermAt(m.commit) == m.term) {
    in_step_at_ = clock_.Now();
  }
}

ReplicaMessage Replica::OnAppend(const ReplicaMessage& m) {
  ReplicaMessage r = Make(ReplicaMessage::Type::kAppendReply);
  if (!Follow(m, &r)) return r;
  r.index = LastIndex();
  if (m.index > LastIndex() ||
      (m.index > snapshot_.index && TermAt(m.index) != m.log_term)) {
    // Where to go on from: the last entry that may still agree.
    r.index = std::min(LastIndex(), m.index > 0 ? m.index - 1 : 0);
    return r;
  }
  std::vector<LogEntry> fresh;
  for (const LogEntry& e : m.entries) {
    if (e.index <= snapshot_.index) continue;
    if (fresh.empty() && e.index <= LastIndex()) {
      if (TermAt(e.index) == e.term) continue;
      absl::Status s = store_.Truncate(e.index);
      if (!s.ok()) {
        LogWarn("store_failed", {{"op", "truncate"}, {"error", s.message()}});
        return r;
      }
      while (LastIndex() >= e.index) {
        log_bytes_ -= BytesOf(log_.back());
        log_.pop_back();
      }
      RefreshMembers();
    }
    fresh.push_back(e);
  }
  if (!fresh.empty()) {
    absl::Status s = store_.Append(fresh);
    if (!s.ok()) {
      disk_bad_until_ = clock_.Now() + kDiskBackoff;
      LogWarn("store_failed", {{"op", "append"}, {"error", s.message()}});
      return r;
    }
    for (LogEntry& e : fresh) {
      log_bytes_ += BytesOf(e);
      log_.push_back(std::move(e));
    }
    RefreshMembers();
  }
  r.ok = true;
  r.index = m.index + m.entries.size();
  if (m.commit > commit_) {
    commit_ = std::min(m.commit, std::max(r.index, commit_));
    Apply(commit_);
    MaybeCompact();
  }
  NoteStep(m);
  return r;
}

ReplicaMessage Replica::OnInstall(const ReplicaMessage& m) {
  ReplicaMessage r = Make(ReplicaMessage::Type::kAppendReply);
  if (!Follow(m, &r)) return r;
  if (!m.snapshot) {
    r.index = commit_;
    return r;
  }
  if (m.snapshot->index > commit_) {
    StoredState st;
    st.self = self_;
    st.term = term_;
    st.voted_for = voted_for_;
    st.snapshot = *m.snapshot;
    absl::Status s = store_.Rewrite(st);
    if (!s.ok()) {
      disk_bad_until_ = clock_.Now() + kDiskBackoff;
      LogWarn("store_failed", {{"op", "install"}, {"error", s.message()}});
      return r;
    }
    snapshot_ = *m.snapshot;
    log_.clear();
    log_bytes_ = 0;
    applied_bytes_ = 0;
    commit_ = applied_ = snapshot_.index;
    duties_ = snapshot_.duties;
    RefreshMembers();
    if (snapshot_.version > config_version_) {
      config_version_ = snapshot_.version;
      config_ = snapshot_.config;
      if (hooks_.on_config) hooks_.on_config(config_version_, config_);
    }
  }
  r.ok = true;
  r.index = std::max(commit_, m.snapshot->index);
  NoteStep(m);
  return r;
}

void Replica::OnAppendReply(const ReplicaMessage& m) {
  if (m.term > term_) {
    StepDown(m.term, "newer term");
    return;
  }
  if (role_ != ReplicaRole::kLeader || m.term != term_) return;
  auto it = peers_.find(m.from.id);
  if (it == peers_.end()) return;
  Peer& p = it->second;
  p.heard = clock_.Now();
  if (m.round > p.round) {
    p.round = m.round;
    p.round_at = RoundSent(m.round);
  }
  if (m.ok) {
    p.match = std::max(p.match, m.index);
    p.next = p.match + 1;
    if (p.match >= p.flight_last) p.flight_last = 0;
    AdvanceCommit();
    bool behind = role_ == ReplicaRole::kLeader && p.next <= LastIndex();
    if (behind && p.flight_last == 0) SendTo(p);
  } else if (uint64_t next = std::max(m.index, p.match) + 1; next < p.next) {
    // It lacks what comes before what was sent to it.
    p.next = next;
    p.flight_last = 0;
    SendTo(p);
  }
  SettleWaiters();
}

void Replica::AdvanceCommit() {
  std::vector<uint64_t> match;
  for (const Member& m : members_) {
    if (m.id == self_.id) {
      match.push_back(LastIndex());
      continue;
    }
    auto it = peers_.find(m.id);
    match.push_back(it == peers_.end() ? 0 : it->second.match);
  }
  if (match.empty()) return;
  std::sort(match.rbegin(), match.rend());
  uint64_t n = match[Quorum() - 1];
  // Only entries of its own term are committed by counting; older ones with
  // them.
  if (n <= commit_ || TermAt(n) != term_) return;
  commit_ = n;
  Apply(commit_);
  MaybeCompact();
  SettleWaiters();
  if (!IsVoter(self_.id) && members_index_ <= commit_) {
    StepDown(term_, "left the group");
    return;
  }
  Broadcast();
}

void Replica::Apply(uint64_t to) {
  while (applied_ < to) {
    const LogEntry& e = At(++applied_);
    applied_bytes_ += BytesOf(e);
    if (e.kind == EntryKind::kDuty) duties_.Apply(e.duty);
    if (e.kind != EntryKind::kConfig || e.version <= config_version_) continue;
    config_version_ = e.version;
    config_ = e.data;
    if (hooks_.on_config) hooks_.on_config(config_version_, config_);
  }
}

void Replica::MaybeCompact() {
  // Folding writes the newest document anew: by then twice as much has gone
  // into the log, so that writing it whole stays the smaller part.
  size_t enough =
      std::max(options_.compact_bytes, 2 * (config_ ? config_->size() : 0));
  if (applied_ - snapshot_.index < options_.compact_entries &&
      applied_bytes_ < enough) {
    return;
  }
  if (clock_.Now() < compact_from_) return;
  StoredState st;
  st.self = self_;
  st.term = term_;
  st.voted_for = voted_for_;
  st.snapshot.index = applied_;
  st.snapshot.term = TermAt(applied_);
  st.snapshot.version = config_version_;
  st.snapshot.config = config_;
  st.snapshot.duties = duties_;
  st.snapshot.members = snapshot_.members;
  for (const LogEntry& e : log_) {
    if (e.index <= applied_) {
      if (e.kind == EntryKind::kMembers) st.snapshot.members = e.members;
    } else {
      st.log.push_back(e);
    }
  }
  absl::Status s = store_.Rewrite(st);
  if (!s.ok()) {
    LogWarn("store_failed", {{"op", "compact"}, {"error", s.message()}});
    // A store that is slow or full must not be asked again at each entry.
    compact_from_ = clock_.Now() + kCompactAgain;
    return;
  }
  snapshot_ = std::move(st.snapshot);
  log_.assign(st.log.begin(), st.log.end());
  log_bytes_ -= applied_bytes_;
  applied_bytes_ = 0;
}

}  // namespace medlarwalk
