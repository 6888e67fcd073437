#include "crash_explanation.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace medlarwalk {
namespace {

bool IsOlder(const Crash& a, const Crash& b) { return a.at < b.at; }

// Returns the crashes of `r` that are not cleared, oldest first.
std::vector<Crash> UnclearedCrashes(const CrashRecord& r) {
  std::vector<Crash> out;
  for (const Crash& c : r.crashes) {
    if (!IsCleared(r, c)) out.push_back(c);
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

// Returns whether `crash` is one of the crashes of `r` that are not cleared.
bool MayHaveCaused(const CrashRecord& r, const Crash& crash) {
  return std::any_of(r.crashes.begin(), r.crashes.end(), [&](const Crash& c) {
    return c.upstream == crash.upstream && !IsCleared(r, c);
  });
}

struct Candidate {
  const CrashRecord* record;
  std::vector<Crash> uncleared;
};

// Returns whether `a` is considered before `b`: accounts last, the one with
// more crashes first, then prompt parts, those of fewer requests first.
bool ComesBefore(const Candidate& a, const Candidate& b) {
  return std::make_tuple(a.record->is_account(), b.uncleared.size(),
                         b.record->part_position, a.record->fingerprint) <
         std::make_tuple(b.record->is_account(), a.uncleared.size(),
                         a.record->part_position, b.record->fingerprint);
}

int MinCrashes(const CrashRecord& r, const QuarantinePolicy& policy) {
  if (r.is_account()) return policy.min_crashes_of_account;
  return r.is_part() ? policy.min_crashes_of_part : policy.min_crashes;
}

// Returns whether the part explains `crashes`, which no other record does.
// Precondition: `crashes` are sorted, oldest first, and not empty.
bool IsPartToBlame(const CrashRecord& part, absl::Span<const Crash> crashes,
                   const QuarantinePolicy& policy) {
  std::set<RequestFingerprint> requests;
  for (const Crash& c : crashes) requests.insert(c.request);
  int min_requests = part.is_account() ? policy.min_requests_of_account
                                       : policy.min_requests_of_part;
  if (static_cast<int>(requests.size()) < min_requests) return false;
  int n = CountSeparateCrashes(crashes, policy);
  Duration span = crashes.back().at - crashes.front().at;
  bool served_before =
      part.served_at != kNever &&
      crashes.front().at - part.served_at < policy.part_served_memory;
  if (served_before) {
    return n >= policy.min_crashes_of_served_part &&
           span >= policy.min_span_of_served_part;
  }
  return n >= MinCrashes(part, policy) &&
         (!part.is_account() || span >= policy.min_span_of_account);
}

// Returns whether the request explains `unexplained`, which no record before it
// does.
bool IsRequestToBlame(const Candidate& candidate,
                      absl::Span<const Candidate> candidates,
                      absl::Span<const Crash> unexplained,
                      const QuarantinePolicy& policy) {
  int n = CountSeparateCrashes(unexplained, policy);
  if (n < policy.min_crashes) return false;
  std::vector<Crash> crashes_at_start;
  std::copy_if(unexplained.begin(), unexplained.end(),
               std::back_inserter(crashes_at_start),
               [](const Crash& c) { return c.just_started; });
  // Whether another request was in flight at all crashes in `unexplained`.
  bool inseparable = std::any_of(
      candidates.begin(), candidates.end(), [&](const Candidate& other) {
        return other.record != candidate.record && !other.record->is_part() &&
               std::all_of(unexplained.begin(), unexplained.end(),
                           [&](const Crash& c) {
                             return MayHaveCaused(*other.record, c);
                           });
      });
  bool cause_is_clear =
      !inseparable &&
      CountSeparateCrashes(crashes_at_start, policy) >= policy.min_crashes;
  return cause_is_clear || n >= policy.min_crashes_if_ambiguous;
}

// Returns the parts that every request with the candidate's part had and that
// were served no more than it.
std::vector<RequestFingerprint> EquallySuspect(
    const Candidate& candidate, absl::Span<const Candidate> candidates) {
  std::vector<RequestFingerprint> out;
  const CrashRecord& part = *candidate.record;
  for (const Candidate& other : candidates) {
    bool companion = std::count(part.companions.begin(), part.companions.end(),
                                other.record->fingerprint) > 0;
    if (companion && other.uncleared.size() >= candidate.uncleared.size() &&
        other.record->served_at <= part.served_at) {
      out.push_back(other.record->fingerprint);
    }
  }
  return out;
}

}  // namespace

bool WasInFlightAt(const CrashRecord& r, uint64_t upstream) {
  return std::any_of(r.crashes.begin(), r.crashes.end(),
                     [&](const Crash& c) { return c.upstream == upstream; });
}

bool IsCleared(const CrashRecord& r, const Crash& c) {
  bool coincides =
      c.coincident_upstream != 0 && !WasInFlightAt(r, c.coincident_upstream);
  return c.cleared || coincides;
}

std::vector<CrashCause> FindCrashCauses(absl::Span<const CrashRecord> all,
                                        const QuarantinePolicy& policy) {
  std::vector<Candidate> candidates;
  for (const CrashRecord& r : all) {
    std::vector<Crash> uncleared = UnclearedCrashes(r);
    if (CountSeparateCrashes(uncleared, policy) < MinCrashes(r, policy))
      continue;
    candidates.push_back({&r, std::move(uncleared)});
  }
  std::sort(candidates.begin(), candidates.end(), ComesBefore);
  std::vector<CrashCause> out;
  // Upstreams whose crash is attributed to a request or part that was found
  // before the current candidate.
  std::set<uint64_t> explained;
  for (const Candidate& candidate : candidates) {
    std::vector<Crash> unexplained;
    for (const Crash& c : candidate.uncleared) {
      if (explained.count(c.upstream) == 0) unexplained.push_back(c);
    }
    if (unexplained.empty()) continue;
    bool to_blame =
        candidate.record->is_part()
            ? IsPartToBlame(*candidate.record, unexplained, policy)
            : IsRequestToBlame(candidate, candidates, unexplained, policy);
    if (!to_blame) continue;
    out.push_back(
        {candidate.record->fingerprint, EquallySuspect(candidate, candidates)});
    for (const Crash& c : candidate.uncleared) explained.insert(c.upstream);
  }
  return out;
}

}  // namespace medlarwalk
