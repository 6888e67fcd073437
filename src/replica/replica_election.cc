// Leader election: terms, votes and pre-votes.
#include <algorithm>

#include "log.h"
#include "replica.h"

namespace medlarwalk {
namespace {

// Two pre-votes sent within this time of each other count as concurrent. It is
// longer than a round trip and shorter than the time to the next attempt.
constexpr auto kConcurrentElectionWindow = Millis(50);

}  // namespace

void Replica::ResetElectionTimer(Duration min_timeout) {
  auto min_us =
      std::chrono::duration_cast<std::chrono::microseconds>(min_timeout);
  std::uniform_int_distribution<int64_t> timeout_us(min_us.count(),
                                                    2 * min_us.count());
  election_deadline_ =
      clock_.Now() + std::chrono::microseconds(timeout_us(random_));
}

bool Replica::SetTermAndVote(uint64_t term, const std::string& voted_for) {
  absl::Status status = store_.SaveTermAndVote(term, voted_for);
  if (!status.ok()) {
    disk_backoff_until_ = clock_.Now() + kDiskErrorBackoff;
    LogWarn("store_failed", {{"op", "vote"}, {"error", status.message()}});
    return false;
  }
  term_ = term;
  voted_for_ = voted_for;
  return true;
}

void Replica::StepDown(uint64_t term, absl::string_view reason,
                       const std::string& voted_for) {
  bool was_leader = role_ == ReplicaRole::kLeader;
  // If the newer term cannot be stored, this replica keeps the old term and
  // grants no vote in the newer one. The next message with the newer term leads
  // to another attempt to store it.
  if (term > term_) SetTermAndVote(term, voted_for);
  role_ = ReplicaRole::kFollower;
  in_pre_vote_ = false;
  if (was_leader) {
    leader_.reset();
    leader_contact_at_ = {};
    peers_.clear();
    FailAllWaiters();
    ResetElectionTimer();
    LogEvent("leader_stepped_down", {{"term", term_}, {"why", reason}});
    if (hooks_.on_leader_change) hooks_.on_leader_change();
  }
}

void Replica::StartElection(bool pre_vote) {
  // Until the first contact with a leader, pre-votes are repeated at short
  // intervals, because the other replicas may just be starting, and a pre-vote
  // does not disturb a leader. The interval doubles with each attempt. Votes
  // get the whole election timeout, as long as enough of them may be given:
  // disks may take long to store them.
  if (leader_contact_at_ != TimePoint{})
    election_timeout_base_ = options_.election_timeout_min;
  Duration timeout = election_timeout_base_;
  ResetElectionTimer(timeout);
  election_timeout_base_ =
      std::min(2 * election_timeout_base_, options_.election_timeout_min);
  if (!pre_vote && !SetTermAndVote(term_ + 1, self_.id)) return;
  if (!pre_vote) {
    // Not before the own write, which is no time for the others.
    ResetElectionTimer(options_.election_timeout_min);
    LogEvent("votes_asked", {{"term", term_},
                             {"index", LastLogIndex()},
                             {"voters", members_.size()}});
  }
  role_ = ReplicaRole::kCandidate;
  if (pre_vote) pre_vote_sent_at_ = clock_.Now();
  in_pre_vote_ = pre_vote;
  leader_.reset();
  granted_votes_.clear();
  if (pre_vote) pre_vote_granters_ = {self_.id};
  ReplicaMessage m = MakeMessage(ReplicaMessage::Type::kVoteRequest);
  m.pre_vote = pre_vote;
  if (pre_vote) m.term = term_ + 1;
  m.index = LastLogIndex();
  m.log_term = TermAt(LastLogIndex());
  std::vector<Member> members = members_;
  CountVote(self_.id);
  for (const Member& p : members) {
    if (p.id != self_.id) hooks_.send(p, m);
  }
}

void Replica::CountVote(const std::string& voter_id) {
  if (!IsVoter(voter_id)) return;
  if (std::find(granted_votes_.begin(), granted_votes_.end(), voter_id) ==
      granted_votes_.end()) {
    granted_votes_.push_back(voter_id);
  }
  if (granted_votes_.size() < QuorumSize()) return;
  if (in_pre_vote_) {
    StartElection(false);
  } else {
    BecomeLeader();
  }
}

// Counts a refused vote. Tries again soon once those who granted the pre-vote
// cannot make a quorum: the others may be down.
void Replica::CountRefusal(const std::string& voter_id) {
  if (pre_vote_granters_.erase(voter_id) == 0) return;
  if (pre_vote_granters_.size() >= QuorumSize()) return;
  TimePoint deadline = election_deadline_;
  ResetElectionTimer(election_timeout_base_);
  election_deadline_ = std::min(election_deadline_, deadline);
}

void Replica::BecomeLeader() {
  role_ = ReplicaRole::kLeader;
  leader_ = self_;
  leading_since_ = clock_.Now();
  peers_.clear();
  for (const Member& m : members_) {
    if (m.id == self_.id) continue;
    Peer peer;
    peer.member = m;
    peer.next_index = LastLogIndex() + 1;
    peer.last_reply_at = leading_since_;
    peer.acked_round_sent_at = leading_since_;
    peers_[m.id] = peer;
  }
  term_start_index_ = LastLogIndex() + 1;
  LogEvent("leader_elected", {{"term", term_}, {"index", LastLogIndex()}});
  AppendAsLeader({LogEntry{}});
  if (hooks_.on_leader_change) hooks_.on_leader_change();
}

// Returns whether this replica must refuse its pre-vote to the sender of `m`:
// both sent concurrent pre-votes with the same last log entry, and this replica
// has the lower id. Without this rule, both would win the pre-vote, and if
// every vote is needed, neither would win the election after it.
bool Replica::WinsElectionTie(const ReplicaMessage& m) const {
  bool pre_vote_concurrent =
      role_ == ReplicaRole::kCandidate &&
      clock_.Now() - pre_vote_sent_at_ < kConcurrentElectionWindow;
  bool same_log =
      m.index == LastLogIndex() && m.log_term == TermAt(LastLogIndex());
  return pre_vote_concurrent && same_log && self_.id < m.from.id;
}

ReplicaMessage Replica::HandleVoteRequest(const ReplicaMessage& m) {
  ReplicaMessage reply = MakeMessage(ReplicaMessage::Type::kVoteReply);
  reply.pre_vote = m.pre_vote;
  bool log_up_to_date =
      m.log_term > TermAt(LastLogIndex()) ||
      (m.log_term == TermAt(LastLogIndex()) && m.index >= LastLogIndex());
  // No vote is granted while there is a working leader: a host that returns
  // from a network partition must not depose that leader.
  bool has_leader = TimeSinceLeaderContact() < options_.election_timeout_min;
  if (m.pre_vote) {
    reply.ok =
        m.term > term_ && log_up_to_date && !has_leader && !WinsElectionTie(m);
    // The sender does not know its leader. It need not wait for a heartbeat.
    auto peer = peers_.find(m.from.id);
    if (role_ == ReplicaRole::kLeader && peer != peers_.end())
      ReplicateTo(peer->second);
    // The sender has just proved that it can vote, and this replica may win
    // where the sender cannot. An election that may still be won goes on, here
    // or at a replica that has got this one's vote in a newer term.
    bool asks_for_votes = role_ == ReplicaRole::kCandidate && !in_pre_vote_;
    bool election_under_way = asks_for_votes || m.term <= term_;
    if (!reply.ok && leader_contact_at_ == TimePoint{} && !election_under_way) {
      election_deadline_ =
          std::min(election_deadline_,
                   pre_vote_sent_at_ + options_.first_election_timeout_min);
    }
    return reply;
  }
  if (has_leader || m.term < term_) return reply;
  // One write for both: the candidate waits while the disk writes.
  if (m.term > term_)
    StepDown(m.term, "newer term", log_up_to_date ? m.from.id : "");
  reply.term = term_;
  bool can_vote = voted_for_.empty() || voted_for_ == m.from.id;
  if (m.term != term_ || !can_vote || !log_up_to_date) return reply;
  if (role_ == ReplicaRole::kLeader) return reply;
  if (voted_for_ != m.from.id && !SetTermAndVote(term_, m.from.id))
    return reply;
  reply.ok = true;
  LogEvent("vote_given", {{"term", term_}, {"to", m.from.address}});
  ResetElectionTimer();
  return reply;
}

void Replica::HandleVoteReply(const ReplicaMessage& m) {
  if (m.term > term_ && !m.pre_vote) {
    StepDown(m.term, "newer term");
    return;
  }
  if (m.pre_vote && m.term > term_ && !m.ok) {
    // The newer term is adopted because this replica could not win an election
    // with an older one.
    StepDown(m.term, "newer term");
    return;
  }
  if (role_ != ReplicaRole::kCandidate) return;
  // Also if it comes after those of the quorum: this member may vote, too.
  if (m.pre_vote && m.ok && IsVoter(m.from.id))
    pre_vote_granters_.insert(m.from.id);
  if (m.pre_vote != in_pre_vote_) return;
  // A vote that was given in an earlier term may arrive late. Its voter may
  // have voted for another replica since.
  if (!m.pre_vote && m.term != term_) return;
  if (m.ok) {
    CountVote(m.from.id);
  } else if (!m.pre_vote) {
    CountRefusal(m.from.id);
  }
}

}  // namespace medlarwalk
