#include "quarantine.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "absl/strings/str_cat.h"
#include "log.h"

namespace medlarwalk {
namespace {

// Records with fewer crashes than this are not published: a single crash
// usually involves many requests and says little about each of them.
constexpr size_t kMinCrashesToPublish = 2;
// Interval between checks for expired records.
constexpr auto kExpiryInterval = std::chrono::seconds(1);

bool IsOlder(const Crash& a, const Crash& b) { return a.at < b.at; }

// Returns the crashes of `r` that are not cleared, oldest first.
std::vector<Crash> UnclearedCrashes(const CrashRecord& r) {
  std::vector<Crash> out;
  for (const Crash& c : r.crashes) {
    if (!c.cleared) out.push_back(c);
  }
  std::sort(out.begin(), out.end(), IsOlder);
  return out;
}

// Counts the crashes that are separate events. Precondition: `crashes` are
// sorted, oldest first.
int CountSeparateCrashes(absl::Span<const Crash> crashes,
                         const QuarantinePolicy& policy) {
  int n = 0;
  TimePoint last{};
  for (const Crash& c : crashes) {
    bool same_event = c.sent_at + policy.clock_tolerance < last ||
                      c.at - last < policy.common_cause_interval;
    if (n > 0 && same_event) continue;
    ++n;
    last = c.at;
  }
  return n;
}

bool WasInFlightAt(const CrashRecord& r, const Crash& crash) {
  return std::any_of(r.crashes.begin(), r.crashes.end(), [&](const Crash& c) {
    return !c.cleared && c.upstream == crash.upstream;
  });
}

// Adds `c` to `*crashes`, which keeps the `max_crashes` newest. Returns whether
// `c` was added.
bool AddCrash(const Crash& c, size_t max_crashes, std::vector<Crash>* crashes) {
  if (crashes->size() < max_crashes) {
    crashes->push_back(c);
    return true;
  }
  auto oldest = std::min_element(crashes->begin(), crashes->end(), IsOlder);
  if (!IsOlder(*oldest, c)) return false;
  *oldest = c;
  return true;
}

TimePoint LastCrashAt(const CrashRecord& r) {
  TimePoint at{};
  for (const Crash& c : r.crashes) at = std::max(at, c.at);
  return at;
}

}  // namespace

std::vector<RequestFingerprint> FindCrashInducingRequests(
    absl::Span<const CrashRecord> all, const QuarantinePolicy& policy) {
  struct Candidate {
    const CrashRecord* record;
    std::vector<Crash> uncleared;
  };
  std::vector<Candidate> candidates;
  for (const CrashRecord& r : all) {
    std::vector<Crash> uncleared = UnclearedCrashes(r);
    if (CountSeparateCrashes(uncleared, policy) < policy.min_crashes) continue;
    candidates.push_back({&r, std::move(uncleared)});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::make_pair(b.uncleared.size(), a.record->fingerprint) <
                     std::make_pair(a.uncleared.size(), b.record->fingerprint);
            });
  std::vector<RequestFingerprint> out;
  // Upstreams whose crash is attributed to a crash-inducing request that was
  // found before the current candidate.
  std::set<uint64_t> explained;
  for (const Candidate& candidate : candidates) {
    std::vector<Crash> unexplained;
    for (const Crash& c : candidate.uncleared) {
      if (explained.count(c.upstream) == 0) unexplained.push_back(c);
    }
    int n = CountSeparateCrashes(unexplained, policy);
    if (n < policy.min_crashes) continue;
    // Of the crashes not attributed to another request, those at which the
    // candidate had just started.
    std::vector<Crash> crashes_at_start;
    std::copy_if(unexplained.begin(), unexplained.end(),
                 std::back_inserter(crashes_at_start),
                 [](const Crash& c) { return c.just_started; });
    // Whether another candidate was in flight at all crashes in `unexplained`.
    bool inseparable = std::any_of(
        candidates.begin(), candidates.end(), [&](const Candidate& other) {
          return other.record != candidate.record &&
                 std::all_of(unexplained.begin(), unexplained.end(),
                             [&](const Crash& c) {
                               return WasInFlightAt(*other.record, c);
                             });
        });
    bool cause_is_clear =
        !inseparable &&
        CountSeparateCrashes(crashes_at_start, policy) >= policy.min_crashes;
    if (!cause_is_clear && n < policy.min_crashes_if_ambiguous) continue;
    out.push_back(candidate.record->fingerprint);
    for (const Crash& c : candidate.uncleared) explained.insert(c.upstream);
  }
  return out;
}

void Quarantine::RecordCrash(RequestFingerprint fingerprint,
                             absl::string_view upstream, Crash crash) {
  crash.upstream = StableHash(upstream);
  CrashRecord r{fingerprint, {crash}};
  MergeRecords(absl::MakeConstSpan(&r, 1), true);
}

void Quarantine::RecordServed(RequestFingerprint fingerprint) {
  auto it = entries_.find(fingerprint);
  if (it == entries_.end()) return;
  CrashRecord r = it->second.record;
  for (Crash& c : r.crashes) c.cleared = true;
  MergeRecords(absl::MakeConstSpan(&r, 1), true);
}

void Quarantine::MergeReported(absl::Span<const CrashRecord> records) {
  MergeRecords(records, true);
}

void Quarantine::MergePublished(absl::Span<const CrashRecord> records) {
  MergeRecords(records, false);
}

void Quarantine::MergeRecords(absl::Span<const CrashRecord> records,
                              bool forward) {
  bool changed = false;
  for (const CrashRecord& r : records) changed |= MergeRecord(r, forward);
  if (!changed) return;
  EvictExcessRecords();
  for (auto& [fingerprint, e] : entries_) {
    if (e.record.crashes.size() >= kMinCrashesToPublish)
      ClearCoincidentCrashes(e.record);
  }
  UpdateQuarantine();
}

void Quarantine::RecordTermination(const Crash& c) {
  if (terminated_at_.emplace(c.upstream, c.at).second)
    terminations_.emplace(c.at, c.upstream);
}

void Quarantine::ClearCoincidentCrashes(CrashRecord& r) const {
  for (Crash& c : r.crashes) {
    auto window_end =
        terminations_.upper_bound(c.at + policy_.common_cause_interval);
    for (auto it =
             terminations_.lower_bound(c.at - policy_.common_cause_interval);
         !c.cleared && it != window_end; ++it) {
      c.cleared = std::none_of(
          r.crashes.begin(), r.crashes.end(),
          [&](const Crash& own) { return own.upstream == it->second; });
    }
  }
}

bool Quarantine::MergeRecord(const CrashRecord& r, bool forward) {
  Entry& e = entries_[r.fingerprint];
  e.record.fingerprint = r.fingerprint;
  std::vector<Crash>& known_crashes = e.record.crashes;
  bool changed = false;
  for (const Crash& c : r.crashes) {
    RecordTermination(c);
    auto it =
        std::find_if(known_crashes.begin(), known_crashes.end(),
                     [&](const Crash& k) { return k.upstream == c.upstream; });
    if (it == known_crashes.end()) {
      changed |= AddCrash(c, policy_.max_crashes_per_record, &known_crashes);
    } else if (c.cleared && !it->cleared) {
      it->cleared = true;
      changed = true;
    }
  }
  if (changed && forward) e.seq = ++seq_;
  return changed;
}

void Quarantine::EvictExcessRecords() {
  while (entries_.size() > policy_.max_records) {
    auto least = std::min_element(
        entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
          const CrashRecord& x = a.second.record;
          const CrashRecord& y = b.second.record;
          return std::make_pair(x.crashes.size(), LastCrashAt(x)) <
                 std::make_pair(y.crashes.size(), LastCrashAt(y));
        });
    entries_.erase(least);
  }
}

void Quarantine::UpdateQuarantine() {
  SetQuarantined(
      FindCrashInducingRequests(RecordsWithRepeatedCrashes(), policy_));
  std::vector<CrashRecord> to_publish = RecordsToPublish();
  std::string text;
  for (const CrashRecord& r : to_publish) {
    absl::StrAppend(&text, r.fingerprint);
    for (const Crash& c : r.crashes) {
      absl::StrAppend(&text, " ", c.upstream, c.cleared ? "c" : "");
    }
    absl::StrAppend(&text, "\n");
  }
  version_ =
      to_publish.empty()
          ? 0
          : std::max<int64_t>(1, static_cast<int64_t>(StableHash(text) >> 1));
}

void Quarantine::SetQuarantined(
    absl::Span<const RequestFingerprint> fingerprints) {
  std::set<RequestFingerprint> now_quarantined(fingerprints.begin(),
                                               fingerprints.end());
  if (now_quarantined == quarantined_) return;
  for (RequestFingerprint p : now_quarantined) {
    if (IsQuarantined(p)) continue;
    LogEvent("quarantined", {{"asks", FingerprintToHex(p)},
                             {"crashes", entries_[p].record.crashes.size()}});
  }
  for (RequestFingerprint p : quarantined_) {
    if (now_quarantined.count(p)) continue;
    LogEvent("quarantine_ended", {{"asks", FingerprintToHex(p)}});
  }
  quarantined_ = std::move(now_quarantined);
  ++quarantine_changes_;
}

void Quarantine::Tick(TimePoint now) {
  if (now - last_expiry_at_ < kExpiryInterval) return;
  last_expiry_at_ = now;
  bool any_expired = false;
  for (auto it = entries_.begin(); it != entries_.end();) {
    bool expired = now - LastCrashAt(it->second.record) > policy_.retention;
    any_expired |= expired;
    it = expired ? entries_.erase(it) : std::next(it);
  }
  auto expired_end = terminations_.upper_bound(now - policy_.retention);
  for (auto it = terminations_.begin(); it != expired_end;
       it = terminations_.erase(it)) {
    terminated_at_.erase(it->second);
  }
  if (any_expired) UpdateQuarantine();
}

Duration Quarantine::RemainingQuarantine(RequestFingerprint fingerprint,
                                         TimePoint now) const {
  auto it = entries_.find(fingerprint);
  if (it == entries_.end()) return Duration::zero();
  return std::max<Duration>(Duration::zero(), LastCrashAt(it->second.record) +
                                                  policy_.retention - now);
}

std::vector<CrashRecord> Quarantine::ChangedSince(uint64_t seq,
                                                  size_t max_records,
                                                  uint64_t* through) const {
  std::vector<const Entry*> changed;
  for (const auto& [fingerprint, e] : entries_) {
    if (e.seq > seq) changed.push_back(&e);
  }
  std::sort(changed.begin(), changed.end(),
            [](const Entry* a, const Entry* b) { return a->seq < b->seq; });
  if (changed.size() > max_records) changed.resize(max_records);
  std::vector<CrashRecord> out;
  for (const Entry* e : changed) out.push_back(e->record);
  if (through) *through = changed.empty() ? seq : changed.back()->seq;
  return out;
}

std::vector<CrashRecord> Quarantine::RecordsWithRepeatedCrashes() const {
  std::vector<CrashRecord> out;
  for (const auto& [fingerprint, e] : entries_) {
    if (e.record.crashes.size() >= kMinCrashesToPublish)
      out.push_back(e.record);
  }
  return out;
}

std::vector<CrashRecord> Quarantine::RecordsToPublish() const {
  std::vector<CrashRecord> out = RecordsWithRepeatedCrashes();
  auto priority = [this](const CrashRecord& r) {
    return std::make_pair(IsQuarantined(r.fingerprint), LastCrashAt(r));
  };
  if (out.size() > policy_.max_published_records) {
    std::sort(out.begin(), out.end(),
              [&](const CrashRecord& a, const CrashRecord& b) {
                return priority(a) > priority(b);
              });
    out.resize(policy_.max_published_records);
  }
  for (CrashRecord& r : out) {
    std::sort(
        r.crashes.begin(), r.crashes.end(),
        [](const Crash& a, const Crash& b) { return a.upstream < b.upstream; });
  }
  std::sort(out.begin(), out.end(),
            [](const CrashRecord& a, const CrashRecord& b) {
              return a.fingerprint < b.fingerprint;
            });
  return out;
}

}  // namespace medlarwalk
