#include "replica_group.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace medlarwalk::testing {
namespace {

constexpr auto kStep = Millis(10);

absl::Status Full() { return absl::UnavailableError("disk full"); }

}  // namespace

absl::Status MemoryStore::SaveVote(uint64_t term, const std::string& vote) {
  if (full) return Full();
  state_.term = term;
  state_.voted_for = vote;
  return absl::OkStatus();
}

absl::Status MemoryStore::Append(const std::vector<LogEntry>& entries) {
  if (full) return Full();
  for (const LogEntry& e : entries) state_.log.push_back(e);
  return absl::OkStatus();
}

absl::Status MemoryStore::Truncate(uint64_t index) {
  if (full) return Full();
  auto& log = state_.log;
  while (!log.empty() && log.back().index >= index) log.pop_back();
  return absl::OkStatus();
}

absl::Status MemoryStore::Rewrite(const StoredState& state) {
  if (full) return Full();
  state_ = state;
  return absl::OkStatus();
}

Group::Group(int founders, uint64_t seed, ReplicaOptions options)
    : random(seed), options_(options) {
  clock.Advance(std::chrono::hours(1));
  for (int i = 0; i < founders; ++i) {
    seeds_.push_back(absl::StrCat("10.0.0.", i, ":1"));
  }
  StoredState st;
  for (const std::string& a : seeds_) {
    st.snapshot.members.push_back(Member{"founder-" + a, a});
  }
  for (int i = 0; i < founders; ++i) {
    Host h;
    h.address = seeds_[static_cast<size_t>(i)];
    h.store = std::make_unique<MemoryStore>();
    st.self = st.snapshot.members[static_cast<size_t>(i)];
    h.store->Rewrite(st).IgnoreError();
    nodes_.push_back(std::move(h));
    Start(i);
  }
}

int Group::AddJoiner() {
  Host h;
  h.address = absl::StrCat("10.0.0.", nodes_.size(), ":1");
  h.store = std::make_unique<MemoryStore>();
  StoredState st;
  st.self = Member{absl::StrCat("id-", random()), h.address};
  h.store->Rewrite(st).IgnoreError();
  nodes_.push_back(std::move(h));
  Start(size() - 1);
  return size() - 1;
}

void Group::Start(int n) {
  Host& h = nodes_[static_cast<size_t>(n)];
  if (h.replica || h.removed) return;
  h.frozen = false;
  Replica::Hooks hooks;
  hooks.send = [this, n](const Member& to, const ReplicaMessage& m) {
    Send(n, to.address, m);
  };
  h.replica = std::make_unique<Replica>(
      clock, options_, *h.store, h.store->state(), seeds_, hooks, random());
}

void Group::Kill(int n) {
  nodes_[static_cast<size_t>(n)].replica.reset();
  flights_.erase(std::remove_if(flights_.begin(), flights_.end(),
                                [&](const Flight& f) { return f.to == n; }),
                 flights_.end());
}

void Group::Wipe(int n) {
  Kill(n);
  Host& h = nodes_[static_cast<size_t>(n)];
  StoredState st;
  st.self = Member{absl::StrCat("wiped-", n, "-", ++h.wipes), h.address};
  h.store = std::make_unique<MemoryStore>();
  h.store->Rewrite(st).IgnoreError();
}

void Group::Remove(int n) {
  Kill(n);
  nodes_[static_cast<size_t>(n)].removed = true;
}

void Group::Freeze(int n, bool frozen) {
  nodes_[static_cast<size_t>(n)].frozen = frozen;
}

void Group::Cut(int a, int b, bool cut) {
  if (cut) {
    cuts_.emplace(a, b);
  } else {
    cuts_.erase({a, b});
  }
}

void Group::Isolate(int n, bool cut) {
  for (int i = 0; i < size(); ++i) {
    if (i == n) continue;
    Cut(n, i, cut);
    Cut(i, n, cut);
  }
}

void Group::HealAll() { cuts_.clear(); }

void Group::Send(int from, const std::string& address,
                 const ReplicaMessage& m) {
  for (int to = 0; to < size(); ++to) {
    if (nodes_[static_cast<size_t>(to)].address != address) continue;
    if (cuts_.count({from, to})) return;
    if (std::uniform_real_distribution<double>(0, 1)(random) < drop) return;
    std::uniform_int_distribution<int> delay(1, 15);
    std::string bytes = EncodeMessage(m);
    TimePoint at = clock.Now() + Millis(delay(random));
    if (bytes_per_s > 0) {
      at += Millis(static_cast<int64_t>(1000. * bytes.size() / bytes_per_s));
    }
    bytes_sent += bytes.size();
    flights_.push_back(Flight{at, from, to, std::move(bytes)});
  }
}

void Group::Deliver() {
  std::vector<Flight> due;
  std::vector<Flight> later;
  for (Flight& f : flights_) {
    bool held = nodes_[static_cast<size_t>(f.to)].frozen;
    (f.at <= clock.Now() && !held ? due : later).push_back(std::move(f));
  }
  flights_ = std::move(later);
  for (Flight& f : due) {
    Host& h = nodes_[static_cast<size_t>(f.to)];
    if (!h.replica || cuts_.count({f.from, f.to})) continue;
    absl::StatusOr<ReplicaMessage> m = DecodeMessage(f.bytes);
    std::optional<ReplicaMessage> reply = h.replica->Handle(*m);
    if (reply) Send(f.to, m->from.address, *reply);
  }
}

void Group::Run(Duration d) {
  for (Duration done{}; done < d; done += kStep) {
    clock.Advance(kStep);
    Deliver();
    for (Host& h : nodes_) {
      if (h.replica && !h.frozen) h.replica->Tick();
    }
  }
}

int Group::Leader() {
  int best = -1;
  for (int i = 0; i < size(); ++i) {
    if (!running(i) || node(i)->role() != ReplicaRole::kLeader) continue;
    if (best < 0 || node(i)->term() > node(best)->term()) best = i;
  }
  return best;
}

int Group::AwaitLeader(Duration d) {
  for (Duration done{}; done < d; done += Millis(50)) {
    Run(Millis(50));
    int l = Leader();
    if (l >= 0 && node(l)->LeaderAge() < std::chrono::seconds(1)) return l;
  }
  return -1;
}

}  // namespace medlarwalk::testing
