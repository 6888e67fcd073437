// The replica's part that changes who belongs to the group.
#include <algorithm>

#include "log.h"
#include "replica.h"

namespace medlarwalk {
namespace {

// How often a replica outside the group asks to be let in.
constexpr auto kSeekInterval = Millis(300);
// A host that asked to join and then fell silent is forgotten after this.
constexpr auto kForgetLearner = std::chrono::seconds(5);

}  // namespace

// Lets caught-up joiners in, one change at a time, and drops voters that are
// gone: a lost disk's old identity first (it can never answer again), then
// hosts silent for long.
void Replica::ManageMembers() {
  TimePoint now = clock_.Now();
  for (auto it = peers_.begin(); it != peers_.end();) {
    bool forget = it->second.learner && !IsVoter(it->first) &&
                  now - it->second.heard > kForgetLearner;
    it = forget ? peers_.erase(it) : std::next(it);
  }
  if (commit_ < term_start_ || members_index_ > commit_) return;
  auto silent_for = [&](const Member& m) -> Duration {
    if (m.id == self_.id) return Duration::zero();
    auto it = peers_.find(m.id);
    return it == peers_.end() ? Duration::max() : now - it->second.heard;
  };
  auto without = [&](const std::string& id) {
    std::vector<Member> out;
    for (const Member& m : members_) {
      if (m.id != id) out.push_back(m);
    }
    return out;
  };
  const Member* oldest = nullptr;
  for (const Member& m : members_) {
    if (!oldest || silent_for(m) > silent_for(*oldest)) oldest = &m;
  }
  for (auto& [id, p] : peers_) {
    if (!p.learner || IsVoter(id) || p.match < commit_ ||
        now - p.heard > options_.election_min) {
      continue;
    }
    for (const Member& m : members_) {
      if (m.address == p.member.address && m.id != id) {
        ProposeMembers(without(m.id));
        return;
      }
    }
    bool full = static_cast<int>(members_.size()) >= options_.max_voters;
    if (oldest && members_.size() > 1 &&
        silent_for(*oldest) > options_.replace_silent_after &&
        (full || static_cast<int>(members_.size()) > 2 * options_.tolerate)) {
      ProposeMembers(without(oldest->id));
      return;
    }
    if (full) continue;
    std::vector<Member> more = members_;
    more.push_back(p.member);
    ProposeMembers(std::move(more));
    return;
  }
  if (oldest && static_cast<int>(members_.size()) > 2 * options_.tolerate + 1 &&
      silent_for(*oldest) > options_.drop_silent_after) {
    ProposeMembers(without(oldest->id));
  }
}

bool Replica::ProposeMembers(std::vector<Member> members) {
  LogEntry e;
  e.kind = EntryKind::kMembers;
  e.members = std::move(members);
  if (!AppendOwn(std::move(e))) return false;
  for (const Member& m : members_) {
    auto it = peers_.find(m.id);
    if (it != peers_.end()) it->second.learner = false;
  }
  for (auto it = peers_.begin(); it != peers_.end();) {
    bool gone = !IsVoter(it->first) && !it->second.learner;
    it = gone ? peers_.erase(it) : std::next(it);
  }
  return true;
}

// Asks seeds and the members last known, one at a time, for the group.
void Replica::SeekGroup() {
  TimePoint now = clock_.Now();
  if (now - sought_at_ < kSeekInterval) return;
  sought_at_ = now;
  std::vector<std::string> ask;
  for (const Member& m : hints_) ask.push_back(m.address);
  for (const Member& m : members_) ask.push_back(m.address);
  for (const std::string& s : seeds_) ask.push_back(s);
  ask.erase(std::remove(ask.begin(), ask.end(), self_.address), ask.end());
  if (ask.empty()) return;
  ReplicaMessage m = Make(ReplicaMessage::Type::kJoin);
  hooks_.send(Member{"", ask[seek_next_++ % ask.size()]}, m);
}

ReplicaMessage Replica::OnJoin(const ReplicaMessage& m) {
  ReplicaMessage r = Make(ReplicaMessage::Type::kJoinReply);
  r.members = members_;
  if (role_ != ReplicaRole::kLeader) {
    if (std::optional<Member> l = Leader())
      r.members.insert(r.members.begin(), *l);
    return r;
  }
  r.ok = true;
  if (m.from.id == self_.id || peers_.count(m.from.id)) return r;
  Peer p;
  p.member = m.from;
  p.learner = true;
  p.next = LastIndex() + 1;
  p.heard = clock_.Now();
  LogEvent("joiner", {{"id", m.from.id}, {"address", m.from.address}});
  SendTo(peers_[m.from.id] = p);
  return r;
}

void Replica::OnJoinReply(const ReplicaMessage& m) {
  if (!m.members.empty()) hints_ = m.members;
}

}  // namespace medlarwalk
