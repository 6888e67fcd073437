// Terms, votes and who leads.
#include <algorithm>

#include "log.h"
#include "replica.h"

namespace medlarwalk {
namespace {

// Replicas that ask for votes within this of each other ask at once; above a
// round trip, below the time to the next try.
constexpr auto kSameMoment = Millis(50);

}  // namespace

void Replica::ResetElectionTimer(Duration least) {
  auto min = std::chrono::duration_cast<std::chrono::microseconds>(least);
  std::uniform_int_distribution<int64_t> d(min.count(), 2 * min.count());
  election_at_ = clock_.Now() + std::chrono::microseconds(d(random_));
}

bool Replica::SetTerm(uint64_t term, const std::string& vote) {
  absl::Status s = store_.SaveVote(term, vote);
  if (!s.ok()) {
    disk_bad_until_ = clock_.Now() + kDiskBackoff;
    LogWarn("store_failed", {{"op", "vote"}, {"error", s.message()}});
    return false;
  }
  term_ = term;
  voted_for_ = vote;
  return true;
}

void Replica::StepDown(uint64_t term, absl::string_view why) {
  bool led = role_ == ReplicaRole::kLeader;
  // Failing to store a newer term leaves the old one in place; the next
  // message with the newer term tries again, and no vote is given meanwhile.
  if (term > term_) SetTerm(term, "");
  role_ = ReplicaRole::kFollower;
  pre_voting_ = false;
  if (led) {
    leader_.reset();
    leader_heard_ = {};
    peers_.clear();
    FailWaiters();
    ResetElectionTimer();
    LogEvent("leader_stepped_down", {{"term", term_}, {"why", why}});
    if (hooks_.on_change) hooks_.on_change();
  }
}

void Replica::StartElection(bool pre_vote) {
  // A pre-vote unseats nobody, so until a leader was ever heard it is soon
  // repeated: the others may only just be starting. Each time later than
  // before, as votes may take long over slow disks.
  if (leader_heard_ != TimePoint{}) first_wait_ = options_.election_min;
  ResetElectionTimer(first_wait_);
  first_wait_ = std::min(2 * first_wait_, options_.election_min);
  if (!pre_vote && !SetTerm(term_ + 1, self_.id)) return;
  if (!pre_vote) {
    LogEvent(
        "votes_asked",
        {{"term", term_}, {"index", LastIndex()}, {"voters", members_.size()}});
  }
  role_ = ReplicaRole::kCandidate;
  if (pre_vote) asked_at_ = clock_.Now();
  pre_voting_ = pre_vote;
  leader_.reset();
  votes_.clear();
  ReplicaMessage m = Make(ReplicaMessage::Type::kVote);
  m.pre_vote = pre_vote;
  if (pre_vote) m.term = term_ + 1;
  m.index = LastIndex();
  m.log_term = TermAt(LastIndex());
  std::vector<Member> members = members_;
  CountVote(self_.id);
  for (const Member& p : members) {
    if (p.id != self_.id) hooks_.send(p, m);
  }
}

void Replica::CountVote(const std::string& id) {
  if (!IsVoter(id)) return;
  if (std::find(votes_.begin(), votes_.end(), id) == votes_.end()) {
    votes_.push_back(id);
  }
  if (votes_.size() < Quorum()) return;
  if (pre_voting_) {
    StartElection(false);
  } else {
    BecomeLeader();
  }
}

void Replica::BecomeLeader() {
  role_ = ReplicaRole::kLeader;
  leader_ = self_;
  leading_since_ = clock_.Now();
  peers_.clear();
  for (const Member& m : members_) {
    if (m.id == self_.id) continue;
    Peer p;
    p.member = m;
    p.next = LastIndex() + 1;
    p.heard = leading_since_;
    p.round_at = leading_since_;
    peers_[m.id] = p;
  }
  term_start_ = LastIndex() + 1;
  LogEvent("leader_elected", {{"term", term_}, {"index", LastIndex()}});
  AppendOwn(LogEntry{});
  if (hooks_.on_change) hooks_.on_change();
}

// Whether this replica asked for votes at the same moment as the sender of `m`
// and has the same right to them: by their ids, one gives way. Both would win
// the pre-vote, and where every vote is needed neither would win the vote.
bool Replica::GoesBefore(const ReplicaMessage& m) const {
  bool asking = role_ == ReplicaRole::kCandidate &&
                clock_.Now() - asked_at_ < kSameMoment;
  bool same_log = m.index == LastIndex() && m.log_term == TermAt(LastIndex());
  return asking && same_log && self_.id < m.from.id;
}

ReplicaMessage Replica::OnVote(const ReplicaMessage& m) {
  ReplicaMessage r = Make(ReplicaMessage::Type::kVoteReply);
  r.pre_vote = m.pre_vote;
  bool newer_log =
      m.log_term > TermAt(LastIndex()) ||
      (m.log_term == TermAt(LastIndex()) && m.index >= LastIndex());
  // A leader heard lately, or being it, keeps its office: a host that comes
  // back from a cut must not unseat a working leader.
  bool has_leader = LeaderAge() < options_.election_min;
  if (m.pre_vote) {
    r.ok = m.term > term_ && newer_log && !has_leader && !GoesBefore(m);
    return r;
  }
  if (has_leader || m.term < term_) return r;
  if (m.term > term_) StepDown(m.term, "newer term");
  r.term = term_;
  bool free = voted_for_.empty() || voted_for_ == m.from.id;
  if (m.term != term_ || !free || !newer_log) return r;
  if (role_ == ReplicaRole::kLeader) return r;
  if (voted_for_ != m.from.id && !SetTerm(term_, m.from.id)) return r;
  r.ok = true;
  LogEvent("vote_given", {{"term", term_}, {"to", m.from.address}});
  ResetElectionTimer();
  return r;
}

void Replica::OnVoteReply(const ReplicaMessage& m) {
  if (m.term > term_ && !m.pre_vote) {
    StepDown(m.term, "newer term");
    return;
  }
  if (m.pre_vote && m.term > term_ && !m.ok) {
    // Take over the newer term, or this replica could never win it.
    StepDown(m.term, "newer term");
    return;
  }
  if (role_ != ReplicaRole::kCandidate || !m.ok) return;
  if (m.pre_vote != pre_voting_) return;
  CountVote(m.from.id);
}

}  // namespace medlarwalk
