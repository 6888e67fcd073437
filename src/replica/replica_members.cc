// Membership changes of the replica group and join requests.
#include <algorithm>
#include <set>

#include "log.h"
#include "replica.h"

namespace medlarwalk {
namespace {

// Interval between join requests of a replica outside the group.
constexpr auto kJoinInterval = Millis(300);
// Time of silence after which a learner is removed from the leader's peers.
constexpr auto kForgetSilentLearnerAfter = std::chrono::seconds(5);

// Returns whether a group of `voters`, of which `silent` may be lost, keeps a
// quorum if `failures` more of them fail.
bool ToleratesFailures(int voters, int silent, int failures) {
  int quorum = voters / 2 + 1;
  return voters - silent - failures >= quorum;
}

}  // namespace

// Adds learners that have caught up as voters and removes lost voters, one
// change at a time. If a learner has the address of a voter, that voter is
// removed first: its host lost its disk, so the old identity never answers
// again. Silent voters are removed as well, at once if the group could not bear
// further failures with them.
void Replica::UpdateMembership(TimePoint polled_at) {
  for (auto it = peers_.begin(); it != peers_.end();) {
    bool forget_learner =
        it->second.learner && !IsVoter(it->first) &&
        polled_at - it->second.last_reply_at > kForgetSilentLearnerAfter;
    it = forget_learner ? peers_.erase(it) : std::next(it);
  }
  if (commit_index_ < term_start_index_ || members_index_ > commit_index_)
    return;
  auto silent_for = [&](const Member& m) -> Duration {
    if (m.id == self_.id) return Duration::zero();
    auto it = peers_.find(m.id);
    return it == peers_.end() ? Duration::max()
                              : polled_at - it->second.last_reply_at;
  };
  auto without = [&](const std::string& id) {
    std::vector<Member> remaining;
    for (const Member& m : members_) {
      if (m.id != id) remaining.push_back(m);
    }
    return remaining;
  };
  const Member* most_silent = nullptr;
  for (const Member& m : members_) {
    if (!most_silent || silent_for(m) > silent_for(*most_silent))
      most_silent = &m;
  }
  for (auto& [id, peer] : peers_) {
    if (!peer.learner || IsVoter(id) || peer.match_index < commit_index_ ||
        polled_at - peer.last_reply_at > options_.election_timeout_min) {
      continue;
    }
    for (const Member& m : members_) {
      if (m.address == peer.member.address && m.id != id) {
        ProposeMembers(without(m.id));
        return;
      }
    }
    bool full = static_cast<int>(members_.size()) >= options_.max_voters;
    if (most_silent && members_.size() > 1 &&
        silent_for(*most_silent) > options_.replace_silent_after &&
        (full ||
         static_cast<int>(members_.size()) > 2 * options_.tolerated_failures)) {
      ProposeMembers(without(most_silent->id));
      return;
    }
    if (full) continue;
    std::vector<Member> new_members = members_;
    new_members.push_back(peer.member);
    ProposeMembers(std::move(new_members));
    return;
  }
  int voters = static_cast<int>(members_.size());
  if (!most_silent || voters <= 2 * options_.tolerated_failures + 1) return;
  auto silent = static_cast<int>(
      std::count_if(members_.begin(), members_.end(), [&](const Member& m) {
        return silent_for(m) > options_.replace_silent_after;
      }));
  // A silent voter counts for the quorum: if it is lost, the next failure may
  // leave the group without one for good.
  bool urgent = !ToleratesFailures(voters, silent, options_.tolerated_failures);
  Duration limit =
      urgent ? options_.replace_silent_after : options_.drop_silent_after;
  if (silent_for(*most_silent) > limit)
    ProposeMembers(without(most_silent->id));
}

bool Replica::ProposeMembers(std::vector<Member> members) {
  LogEntry e;
  e.kind = EntryKind::kMembers;
  e.members = std::move(members);
  if (!AppendAsLeader({std::move(e)})) return false;
  for (const Member& m : members_) {
    auto it = peers_.find(m.id);
    if (it != peers_.end()) it->second.learner = false;
  }
  for (auto it = peers_.begin(); it != peers_.end();) {
    bool removed = !IsVoter(it->first) && !it->second.learner;
    it = removed ? peers_.erase(it) : std::next(it);
  }
  return true;
}

// Sends a join request, at most once per kJoinInterval: to the leader while
// there is one, otherwise to all last known members and seeds. A new leader
// does not know the learners of its predecessor, and a learner that asked one
// address after the other would follow nobody until it came to the new leader.
void Replica::SendJoinRequest() {
  TimePoint now = clock_.Now();
  if (now - join_sent_at_ < kJoinInterval) return;
  join_sent_at_ = now;
  std::set<std::string> targets;
  if (std::optional<Member> leader = Leader()) {
    targets.insert(leader->address);
  } else {
    for (const Member& m : join_hints_) targets.insert(m.address);
    for (const Member& m : members_) targets.insert(m.address);
    targets.insert(seeds_.begin(), seeds_.end());
  }
  targets.erase(self_.address);
  ReplicaMessage m = MakeMessage(ReplicaMessage::Type::kJoin);
  for (const std::string& address : targets) {
    hooks_.send(Member{"", address}, m);
  }
}

ReplicaMessage Replica::HandleJoinRequest(const ReplicaMessage& m) {
  ReplicaMessage reply = MakeMessage(ReplicaMessage::Type::kJoinReply);
  reply.members = members_;
  if (role_ != ReplicaRole::kLeader) {
    if (std::optional<Member> leader = Leader())
      reply.members.insert(reply.members.begin(), *leader);
    return reply;
  }
  reply.ok = true;
  if (m.from.id == self_.id || peers_.count(m.from.id)) return reply;
  Peer peer;
  peer.member = m.from;
  peer.learner = true;
  peer.next_index = LastLogIndex() + 1;
  peer.last_reply_at = clock_.Now();
  LogEvent("joiner", {{"id", m.from.id}, {"address", m.from.address}});
  ReplicateTo(peers_[m.from.id] = peer);
  return reply;
}

void Replica::HandleJoinReply(const ReplicaMessage& m) {
  if (!m.members.empty()) join_hints_ = m.members;
}

}  // namespace medlarwalk
