#include "quarantine.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/str_cat.h"
#include "log.h"

namespace medlarwalk {
namespace {

// A request at one crash is one of many; at two it is worth everyone's notice.
constexpr size_t kSharedFrom = 2;
// From one look for what is too old to the next.
constexpr auto kLookInterval = std::chrono::seconds(1);

bool Older(const Crash& a, const Crash& b) { return a.at < b.at; }

// Crashes that count against a request, oldest first.
std::vector<Crash> Open(const CrashRecord& r) {
  std::vector<Crash> out;
  for (const Crash& c : r.crashes) {
    if (!c.cleared) out.push_back(c);
  }
  std::sort(out.begin(), out.end(), Older);
  return out;
}

// How many of `crashes`, oldest first, came one after the other.
int InSequence(absl::Span<const Crash> crashes,
               const QuarantinePolicy& policy) {
  int n = 0;
  TimePoint last{};
  for (const Crash& c : crashes) {
    bool same =
        c.sent_at + policy.clock_slack < last || c.at - last < policy.apart;
    if (n > 0 && same) continue;
    ++n;
    last = c.at;
  }
  return n;
}

bool WasAt(const CrashRecord& r, const Crash& crash) {
  return std::any_of(r.crashes.begin(), r.crashes.end(), [&](const Crash& c) {
    return !c.cleared && c.upstream == crash.upstream;
  });
}

// Adds `c` to the newest `most` that are kept; whether it is one of them.
bool Add(const Crash& c, size_t most, std::vector<Crash>* crashes) {
  if (crashes->size() < most) {
    crashes->push_back(c);
    return true;
  }
  auto oldest = std::min_element(crashes->begin(), crashes->end(), Older);
  if (!Older(*oldest, c)) return false;
  *oldest = c;
  return true;
}

TimePoint Newest(const CrashRecord& r) {
  TimePoint at{};
  for (const Crash& c : r.crashes) at = std::max(at, c.at);
  return at;
}

}  // namespace

std::vector<RequestPrint> CrashingRequests(absl::Span<const CrashRecord> all,
                                           const QuarantinePolicy& policy) {
  struct Suspect {
    const CrashRecord* record;
    std::vector<Crash> open;
  };
  std::vector<Suspect> suspects;
  for (const CrashRecord& r : all) {
    std::vector<Crash> open = Open(r);
    if (InSequence(open, policy) < policy.crashes) continue;
    suspects.push_back({&r, std::move(open)});
  }
  std::sort(suspects.begin(), suspects.end(),
            [](const Suspect& a, const Suspect& b) {
              return std::make_pair(b.open.size(), a.record->asks) <
                     std::make_pair(a.open.size(), b.record->asks);
            });
  std::vector<RequestPrint> out;
  std::set<uint64_t> accounted;  // Upstreams.
  for (const Suspect& s : suspects) {
    std::vector<Crash> left;
    for (const Crash& c : s.open) {
      if (accounted.count(c.upstream) == 0) left.push_back(c);
    }
    int n = InSequence(left, policy);
    if (n < policy.crashes) continue;
    std::vector<Crash> begun;
    std::copy_if(left.begin(), left.end(), std::back_inserter(begun),
                 [](const Crash& c) { return c.just_begun; });
    bool tied =
        std::any_of(suspects.begin(), suspects.end(), [&](const Suspect& o) {
          return o.record != s.record &&
                 std::all_of(left.begin(), left.end(), [&](const Crash& c) {
                   return WasAt(*o.record, c);
                 });
        });
    bool sure = !tied && InSequence(begun, policy) >= policy.crashes;
    if (!sure && n < policy.crashes_if_unsure) continue;
    out.push_back(s.record->asks);
    for (const Crash& c : s.open) accounted.insert(c.upstream);
  }
  return out;
}

void Quarantine::NoteCrash(RequestPrint asks, absl::string_view upstream,
                           Crash crash) {
  crash.upstream = StableHash(upstream);
  CrashRecord r{asks, {crash}};
  Take(absl::MakeConstSpan(&r, 1), true);
}

void Quarantine::NoteServed(RequestPrint asks) {
  auto it = entries_.find(asks);
  if (it == entries_.end()) return;
  CrashRecord r = it->second.record;
  for (Crash& c : r.crashes) c.cleared = true;
  Take(absl::MakeConstSpan(&r, 1), true);
}

void Quarantine::TakeReported(absl::Span<const CrashRecord> records) {
  Take(records, true);
}

void Quarantine::TakeTold(absl::Span<const CrashRecord> records) {
  Take(records, false);
}

void Quarantine::Take(absl::Span<const CrashRecord> records, bool tell_on) {
  bool any = false;
  for (const CrashRecord& r : records) any |= Join(r, tell_on);
  if (!any) return;
  Bound();
  for (auto& [asks, e] : entries_) {
    if (e.record.crashes.size() >= kSharedFrom) ClearCommon(e.record);
  }
  Judge();
}

void Quarantine::NoteEnd(const Crash& c) {
  if (ended_.emplace(c.upstream, c.at).second) ends_.emplace(c.at, c.upstream);
}

void Quarantine::ClearCommon(CrashRecord& r) const {
  for (Crash& c : r.crashes) {
    auto end = ends_.upper_bound(c.at + policy_.apart);
    for (auto it = ends_.lower_bound(c.at - policy_.apart);
         !c.cleared && it != end; ++it) {
      c.cleared = std::none_of(
          r.crashes.begin(), r.crashes.end(),
          [&](const Crash& own) { return own.upstream == it->second; });
    }
  }
}

bool Quarantine::Join(const CrashRecord& r, bool tell_on) {
  Entry& e = entries_[r.asks];
  e.record.asks = r.asks;
  std::vector<Crash>& known = e.record.crashes;
  bool changed = false;
  for (const Crash& c : r.crashes) {
    NoteEnd(c);
    auto it = std::find_if(known.begin(), known.end(), [&](const Crash& k) {
      return k.upstream == c.upstream;
    });
    if (it == known.end()) {
      changed |= Add(c, policy_.most_crashes, &known);
    } else if (c.cleared && !it->cleared) {
      it->cleared = true;
      changed = true;
    }
  }
  if (changed && tell_on) e.seq = ++seq_;
  return changed;
}

// Keeps the bound: those at the fewest crashes go first, the oldest of them.
void Quarantine::Bound() {
  while (entries_.size() > policy_.most_records) {
    auto least = std::min_element(
        entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
          const CrashRecord& x = a.second.record;
          const CrashRecord& y = b.second.record;
          return std::make_pair(x.crashes.size(), Newest(x)) <
                 std::make_pair(y.crashes.size(), Newest(y));
        });
    entries_.erase(least);
  }
}

void Quarantine::Judge() {
  Convict(CrashingRequests(BesideMore(), policy_));
  std::vector<CrashRecord> shared = Shared();
  std::string text;
  for (const CrashRecord& r : shared) {
    absl::StrAppend(&text, r.asks);
    for (const Crash& c : r.crashes) {
      absl::StrAppend(&text, " ", c.upstream, c.cleared ? "c" : "");
    }
    absl::StrAppend(&text, "\n");
  }
  version_ =
      shared.empty()
          ? 0
          : std::max<int64_t>(1, static_cast<int64_t>(StableHash(text) >> 1));
}

void Quarantine::Convict(absl::Span<const RequestPrint> crashing) {
  std::set<RequestPrint> refused(crashing.begin(), crashing.end());
  if (refused == refused_) return;
  for (RequestPrint p : refused) {
    if (Refuses(p)) continue;
    LogEvent("quarantined", {{"asks", PrintName(p)},
                             {"crashes", entries_[p].record.crashes.size()}});
  }
  for (RequestPrint p : refused_) {
    if (refused.count(p)) continue;
    LogEvent("quarantine_ended", {{"asks", PrintName(p)}});
  }
  refused_ = std::move(refused);
  ++verdicts_;
}

void Quarantine::Tick(TimePoint now) {
  if (now - looked_at_ < kLookInterval) return;
  looked_at_ = now;
  bool any = false;
  for (auto it = entries_.begin(); it != entries_.end();) {
    bool old = now - Newest(it->second.record) > policy_.memory;
    any |= old;
    it = old ? entries_.erase(it) : std::next(it);
  }
  auto old_ends = ends_.upper_bound(now - policy_.memory);
  for (auto it = ends_.begin(); it != old_ends; it = ends_.erase(it)) {
    ended_.erase(it->second);
  }
  if (any) Judge();
}

Duration Quarantine::RefusedFor(RequestPrint asks, TimePoint now) const {
  auto it = entries_.find(asks);
  if (it == entries_.end()) return Duration::zero();
  return std::max<Duration>(Duration::zero(),
                            Newest(it->second.record) + policy_.memory - now);
}

std::vector<CrashRecord> Quarantine::ChangedSince(uint64_t seq,
                                                  size_t most) const {
  std::vector<const Entry*> changed;
  for (const auto& [asks, e] : entries_) {
    if (e.seq > seq) changed.push_back(&e);
  }
  std::sort(changed.begin(), changed.end(),
            [](const Entry* a, const Entry* b) { return a->seq > b->seq; });
  if (changed.size() > most) changed.resize(most);
  std::vector<CrashRecord> out;
  for (const Entry* e : changed) out.push_back(e->record);
  return out;
}

std::vector<CrashRecord> Quarantine::BesideMore() const {
  std::vector<CrashRecord> out;
  for (const auto& [asks, e] : entries_) {
    if (e.record.crashes.size() >= kSharedFrom) out.push_back(e.record);
  }
  return out;
}

std::vector<CrashRecord> Quarantine::Shared() const {
  std::vector<CrashRecord> out = BesideMore();
  auto rank = [this](const CrashRecord& r) {
    return std::make_pair(Refuses(r.asks), Newest(r));
  };
  if (out.size() > policy_.most_shared) {
    std::sort(out.begin(), out.end(),
              [&](const CrashRecord& a, const CrashRecord& b) {
                return rank(a) > rank(b);
              });
    out.resize(policy_.most_shared);
  }
  for (CrashRecord& r : out) {
    std::sort(
        r.crashes.begin(), r.crashes.end(),
        [](const Crash& a, const Crash& b) { return a.upstream < b.upstream; });
  }
  std::sort(out.begin(), out.end(),
            [](const CrashRecord& a, const CrashRecord& b) {
              return a.asks < b.asks;
            });
  return out;
}

}  // namespace medlarwalk
