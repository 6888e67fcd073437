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
// Difference between the times that two processes know of one crash up to which
// neither needs to hear of the other's: messages between them take this long.
constexpr auto kMaxTimeError = std::chrono::seconds(1);
// Interval between checks for expired records.
constexpr auto kExpiryInterval = std::chrono::seconds(1);

bool IsOlder(const Crash& a, const Crash& b) { return a.at < b.at; }

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

// Returns the fingerprints of the parts in `all` but `part`, sorted.
std::vector<RequestFingerprint> CompanionsOf(
    const PartAtCrash& part, absl::Span<const PartAtCrash> all) {
  std::vector<RequestFingerprint> out;
  for (const PartAtCrash& other : all) {
    bool prompt_part = other.position > 0;
    if (prompt_part && other.id != part.id && out.size() < kMaxCompanions)
      out.push_back(ComputePartFingerprint(other.id));
  }
  std::sort(out.begin(), out.end());
  return out;
}

TimePoint LastCrashAt(const CrashRecord& r) {
  TimePoint at = kNever;
  for (const Crash& c : r.crashes) at = std::max(at, c.at);
  return at;
}

}  // namespace

void Quarantine::RecordCrash(absl::string_view upstream,
                             absl::Span<const Suspect> suspects) {
  uint64_t upstream_hash = StableHash(upstream);
  std::vector<CrashRecord> records;
  for (const Suspect& s : suspects) {
    CrashRecord r;
    r.fingerprint = s.fingerprint;
    r.crashes = {s.crash};
    r.crashes.front().upstream = upstream_hash;
    records.push_back(r);
    // Requests with one part are sent independently of each other. So the time
    // of sending says nothing about whether its crashes are separate.
    r.crashes.front().sent_at = s.crash.at;
    r.crashes.front().just_started = true;
    r.crashes.front().request = s.fingerprint;
    for (const PartAtCrash& part : s.parts) {
      r.fingerprint = ComputePartFingerprint(part.id);
      r.companions = CompanionsOf(part, s.parts);
      r.part_id = part.id;
      r.part_position = part.position;
      records.push_back(r);
    }
  }
  MergeRecords(records, true);
}

void Quarantine::RecordCrash(RequestFingerprint fingerprint,
                             absl::string_view upstream, Crash crash) {
  Suspect s{fingerprint, crash, {}};
  RecordCrash(upstream, absl::MakeConstSpan(&s, 1));
}

void Quarantine::RecordServed(RequestFingerprint fingerprint) {
  auto it = entries_.find(fingerprint);
  if (it == entries_.end()) return;
  CrashRecord r = it->second.record;
  for (Crash& c : r.crashes) c.cleared = true;
  MergeRecords(absl::MakeConstSpan(&r, 1), true);
}

void Quarantine::RecordServedParts(absl::Span<const uint64_t> part_ids,
                                   TimePoint began_at) {
  std::vector<CrashRecord> known;
  for (uint64_t id : part_ids) {
    RequestFingerprint p = ComputePartFingerprint(id);
    served_parts_.Record(p, began_at);
    auto it = entries_.find(p);
    if (it != entries_.end()) known.push_back(it->second.record);
  }
  if (!known.empty()) MergeRecords(known, true);
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
    if (CorrectCrashTimes(e.record) && forward) e.seq = ++seq_;
    if (e.record.crashes.size() >= kMinCrashesToPublish)
      FindCoincidentTerminations(e.record);
  }
  UpdateQuarantine();
}

bool Quarantine::RecordTermination(const Crash& c) {
  auto [it, inserted] = terminated_at_.emplace(c.upstream, c.at);
  if (!inserted && c.at >= it->second) return false;
  bool corrected = it->second - c.at > kMaxTimeError;
  if (!inserted) EraseTermination(it->second, c.upstream);
  it->second = c.at;
  terminations_.emplace(c.at, c.upstream);
  return corrected;
}

void Quarantine::EraseTermination(TimePoint at, uint64_t upstream) {
  auto [first, end] = terminations_.equal_range(at);
  auto it = std::find_if(first, end,
                         [&](const auto& t) { return t.second == upstream; });
  if (it != end) terminations_.erase(it);
}

bool Quarantine::CorrectCrashTimes(CrashRecord& r) {
  bool corrected = false;
  for (Crash& c : r.crashes) {
    auto it = terminated_at_.find(c.upstream);
    if (it == terminated_at_.end() || it->second >= c.at) continue;
    corrected |= c.at - it->second > kMaxTimeError;
    c.at = it->second;
  }
  if (corrected) ++corrections_;
  return corrected;
}

Duration Quarantine::LatenessOf(const CrashRecord& r) const {
  std::optional<Duration> lateness;
  for (const Crash& c : r.crashes) {
    auto it = terminated_at_.find(c.upstream);
    if (it == terminated_at_.end()) continue;
    Duration late = std::max(c.at - it->second, Duration::zero());
    lateness = std::min(late, lateness.value_or(late));
  }
  return lateness.value_or(Duration::zero());
}

void Quarantine::FindCoincidentTerminations(CrashRecord& r) const {
  for (Crash& c : r.crashes) {
    if (IsCleared(r, c)) continue;
    auto end = terminations_.upper_bound(c.at + policy_.common_cause_interval);
    auto it = std::find_if(
        terminations_.lower_bound(c.at - policy_.common_cause_interval), end,
        [&](const auto& t) { return !WasInFlightAt(r, t.second); });
    c.coincident_upstream = it == end ? 0 : it->second;
  }
}

// Adds what this process knows of served answers on the part. This is forwarded
// even if the record itself is not: no other process may know it.
bool Quarantine::MergePartRecord(const CrashRecord& r, Entry* e) {
  CrashRecord& known = e->record;
  bool is_new = !known.is_part();
  known.part_id = r.part_id;
  known.part_position = known.is_part()
                            ? std::max(known.part_position, r.part_position)
                            : r.part_position;
  TimePoint served_here = served_parts_.LastServedAt(r.fingerprint);
  bool served_before = known.served_at != kNever;
  TimePoint served_at =
      r.served_at == kNever ? kNever : r.served_at - LatenessOf(r);
  known.served_at = std::max({known.served_at, served_at, served_here});
  size_t crashes = known.crashes.size();
  known.crashes.erase(
      std::remove_if(known.crashes.begin(), known.crashes.end(),
                     [&](const Crash& c) { return c.at <= known.served_at; }),
      known.crashes.end());
  bool cleared = known.crashes.size() < crashes ||
                 (!served_before && known.served_at != kNever);
  std::vector<RequestFingerprint> companions;
  std::set_intersection(r.companions.begin(), r.companions.end(),
                        known.companions.begin(), known.companions.end(),
                        std::back_inserter(companions));
  if (is_new) companions = r.companions;
  bool fewer_companions = companions.size() < known.companions.size();
  known.companions = std::move(companions);
  bool clears_reported =
      std::any_of(r.crashes.begin(), r.crashes.end(), [&](const Crash& c) {
        return c.at > r.served_at && c.at <= served_here;
      });
  if (clears_reported || (cleared && served_here > r.served_at))
    e->seq = ++seq_;
  return cleared || fewer_companions;
}

bool Quarantine::MergeRecord(const CrashRecord& r, bool forward) {
  Entry& e = entries_[r.fingerprint];
  e.record.fingerprint = r.fingerprint;
  bool cleared_part = r.is_part() && MergePartRecord(r, &e);
  std::vector<Crash>& known_crashes = e.record.crashes;
  bool changed = cleared_part;
  for (Crash c : r.crashes) {
    // A message makes a crash seem later by the time for which it is under way.
    changed |= RecordTermination(c);
    c.at = terminated_at_.at(c.upstream);
    if (r.is_part() && c.at <= e.record.served_at) continue;
    auto it =
        std::find_if(known_crashes.begin(), known_crashes.end(),
                     [&](const Crash& k) { return k.upstream == c.upstream; });
    if (it == known_crashes.end()) {
      changed |= AddCrash(c, policy_.max_crashes_per_record, &known_crashes);
      continue;
    }
    it->request = std::min(it->request, c.request);
    it->sent_at = std::min(it->sent_at, c.sent_at);
    if (c.cleared && !it->cleared) {
      it->cleared = true;
      changed = true;
    }
    if (c.coincident_upstream != 0 && !IsCleared(e.record, *it)) {
      it->coincident_upstream = c.coincident_upstream;
      changed |= IsCleared(e.record, *it);
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
  SetQuarantined(FindCrashCauses(RecordsWithRepeatedCrashes(), policy_));
  for (auto& [fingerprint, e] : entries_)
    e.published |= e.record.crashes.size() >= kMinCrashesToPublish;
  std::vector<CrashRecord> to_publish = RecordsToPublish();
  std::string text;
  if (corrections_ > 0) absl::StrAppend(&text, corrections_, "\n");
  for (const CrashRecord& r : to_publish) {
    absl::StrAppend(&text, r.fingerprint, r.served_at != kNever ? "s" : "",
                    r.companions.size());
    for (const Crash& c : r.crashes) {
      absl::StrAppend(&text, " ", c.upstream, IsCleared(r, c) ? "c" : "");
    }
    absl::StrAppend(&text, "\n");
  }
  version_ =
      to_publish.empty()
          ? 0
          : std::max<int64_t>(1, static_cast<int64_t>(StableHash(text) >> 1));
}

void Quarantine::SetQuarantined(absl::Span<const CrashCause> causes) {
  std::set<RequestFingerprint> requests;
  std::map<RequestFingerprint, BlamedPart> parts;
  for (const CrashCause& c : causes) {
    const CrashRecord& r = entries_[c.fingerprint].record;
    if (r.is_part()) {
      Duration held =
          r.is_account() ? policy_.account_quarantine : policy_.part_quarantine;
      parts[c.fingerprint] = {LastCrashAt(r) + held, c.companions};
    } else {
      requests.insert(c.fingerprint);
    }
  }
  if (requests == quarantined_ && parts == blamed_parts_) return;
  for (const CrashCause& c : causes) {
    if (!IsQuarantined(c.fingerprint) && !blamed_parts_.count(c.fingerprint))
      LogQuarantineChange("quarantined", c.fingerprint);
  }
  for (RequestFingerprint p : quarantined_) {
    if (requests.count(p) == 0) LogQuarantineChange("quarantine_ended", p);
  }
  for (const auto& [p, blamed] : blamed_parts_) {
    if (parts.count(p) == 0) LogQuarantineChange("quarantine_ended", p);
  }
  quarantined_ = std::move(requests);
  blamed_parts_ = std::move(parts);
  ++quarantine_changes_;
}

void Quarantine::LogQuarantineChange(const char* event,
                                     RequestFingerprint p) const {
  auto it = entries_.find(p);
  if (it == entries_.end()) {
    LogEvent(event, {{"asks", FingerprintToHex(p)}});
  } else if (it->second.record.is_part()) {
    LogEvent(event, {{it->second.record.is_account() ? "account_key" : "part",
                      absl::StrCat(absl::Hex(it->second.record.part_id))},
                     {"crashes", it->second.record.crashes.size()}});
  } else {
    LogEvent(event, {{"asks", FingerprintToHex(p)},
                     {"crashes", it->second.record.crashes.size()}});
  }
}

std::vector<PartHold> Quarantine::FindBlamedParts(
    absl::Span<const uint64_t> part_ids) const {
  std::vector<PartHold> out;
  if (blamed_parts_.empty()) return out;
  std::set<RequestFingerprint> present;
  for (uint64_t id : part_ids) present.insert(ComputePartFingerprint(id));
  for (uint64_t id : part_ids) {
    auto it = blamed_parts_.find(ComputePartFingerprint(id));
    if (it == blamed_parts_.end()) continue;
    const std::vector<RequestFingerprint>& companions = it->second.companions;
    if (std::all_of(companions.begin(), companions.end(),
                    [&](RequestFingerprint p) { return present.count(p); })) {
      out.push_back({id, it->second.held_until});
    }
  }
  return out;
}

std::optional<uint64_t> Quarantine::FindQuarantinedPart(
    absl::Span<const uint64_t> part_ids, TimePoint now) const {
  for (const PartHold& hold : FindBlamedParts(part_ids)) {
    if (hold.held_until > now) return hold.key;
  }
  return std::nullopt;
}

std::vector<PartHold> Quarantine::FindLapsedHolds(
    absl::Span<const uint64_t> part_ids, TimePoint now) const {
  std::vector<PartHold> holds = FindBlamedParts(part_ids);
  holds.erase(
      std::remove_if(holds.begin(), holds.end(),
                     [&](const PartHold& h) { return h.held_until > now; }),
      holds.end());
  return holds;
}

Duration Quarantine::RemainingPartQuarantine(uint64_t part_id,
                                             TimePoint now) const {
  auto it = blamed_parts_.find(ComputePartFingerprint(part_id));
  if (it == blamed_parts_.end()) return Duration::zero();
  return std::max<Duration>(Duration::zero(), it->second.held_until - now);
}

// A record of a part without crashes still tells that the part was served.
bool Quarantine::IsExpired(const Entry& e, TimePoint now) const {
  if (e.record.crashes.empty())
    return now - e.record.served_at > policy_.part_served_memory;
  return now - LastCrashAt(e.record) > policy_.retention;
}

void Quarantine::Tick(TimePoint now) {
  if (now - last_expiry_at_ < kExpiryInterval) return;
  last_expiry_at_ = now;
  bool any_expired = false;
  for (auto it = entries_.begin(); it != entries_.end();) {
    bool expired = IsExpired(it->second, now);
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
  std::vector<CrashRecord> out;
  for (const auto& [fingerprint, e] : entries_) {
    if (e.published) out.push_back(e.record);
  }
  auto priority = [this](const CrashRecord& r) {
    bool blamed =
        IsQuarantined(r.fingerprint) || blamed_parts_.count(r.fingerprint) > 0;
    return std::make_pair(blamed, std::max(LastCrashAt(r), r.served_at));
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
