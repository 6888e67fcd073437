// Finds the requests and prompt parts that explain a set of upstream crashes.
// Pure.
#ifndef MEDLARWALK_CRASH_EXPLANATION_H_
#define MEDLARWALK_CRASH_EXPLANATION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/types/span.h"
#include "request_fingerprint.h"
#include "types.h"

namespace medlarwalk {

// The termination of an upstream while it had a request in flight.
struct Crash {
  uint64_t upstream = 0;  // Hash of the upstream's id.
  TimePoint sent_at{};    // When the request was sent to the upstream.
  TimePoint at{};         // When the upstream terminated.
  // Whether the request had just started on the upstream when the upstream
  // terminated, as far as known.
  bool just_started = false;
  bool cleared = false;  // The request was served later.
  // In the record of a prompt part: one of the requests with this part that
  // were in flight. The part is not blamed for what a single request explains.
  RequestFingerprint request = 0;
  // Hash of another upstream that terminated at the same moment, without the
  // request as far as known; 0 if none.
  uint64_t coincident_upstream = 0;
};

// Stands for the position of a prompt part in what belongs to all requests of
// an account on a route.
inline constexpr int kAccountPosition = -1;

// The crashes at which one request, or any request with one prompt part, was in
// flight.
struct CrashRecord {
  RequestFingerprint fingerprint = 0;
  std::vector<Crash> crashes;
  // Position of the part in the prompt, from 1; 0 in the record of a request,
  // kAccountPosition in that of an account on a route. Parts are shared by
  // fewer requests the later they stand.
  int part_position = 0;
  uint64_t part_id = 0;
  // Time when the last answer that was served on this part had begun, as far as
  // known; kNever if none. The record holds only later crashes.
  TimePoint served_at = kNever;
  // Fingerprints of the parts that every request with this part had besides, as
  // far as they were in flight at a crash; at most kMaxCompanions.
  std::vector<RequestFingerprint> companions;
  // Returns whether requests may share what the record stands for.
  bool is_part() const { return part_position != 0; }
  bool is_account() const { return part_position < 0; }
};

// Returns whether the request or part of `r` was in flight at `upstream` when
// that one terminated.
bool WasInFlightAt(const CrashRecord& r, uint64_t upstream);

// Returns whether the request or part of `r` did not cause its crash `c`:
// either it was served later, or another upstream that did not have it
// terminated at the same moment.
bool IsCleared(const CrashRecord& r, const Crash& c);

inline constexpr size_t kMaxCompanions = 8;

// A prompt part of a request that a crash interrupted.
struct PartAtCrash {
  uint64_t id = 0;
  int position = 1;  // From 1, or kAccountPosition.
};

struct QuarantinePolicy {
  // Number of crashes that quarantine a request when the cause is clear.
  int min_crashes = 3;
  // Number of crashes that quarantine a request when the cause is ambiguous.
  // The cause is ambiguous if another request was in flight at all the same
  // crashes; a single crash with only one of the two requests resolves this.
  // The cause is also ambiguous if the request had not just started at each
  // crash, as most co-located requests had not.
  int min_crashes_if_ambiguous = 5;
  // Number of crashes that quarantine a prompt part, and of different requests
  // among them.
  int min_crashes_of_part = 3;
  int min_requests_of_part = 2;
  // Number of crashes of a part that was served within `part_served_memory`
  // before the first of them, and least time from the first to the last. While
  // engines crash for another reason, such a part is served elsewhere within
  // this time.
  int min_crashes_of_served_part = 5;
  Duration min_span_of_served_part = std::chrono::seconds(3);
  Duration part_served_memory = std::chrono::minutes(10);
  // As above, for an account on a route; the least time is that of an account
  // which was not served before. Harmless requests are among its own, so that
  // it needs more crashes and is held for a short time only.
  int min_crashes_of_account = 5;
  int min_requests_of_account = 4;
  Duration min_span_of_account = std::chrono::seconds(1);
  Duration account_quarantine = std::chrono::seconds(10);
  // How long a part stays quarantined after its last crash. Its record stays
  // for `retention`, so that one more crash quarantines it again.
  Duration part_quarantine = std::chrono::minutes(10);
  // A crash counts separately only if the request was sent to that upstream
  // after the previous crash: a power loss terminates many upstreams at once,
  // whatever they run. This tolerance allows for the difference between the
  // clocks that recorded these times.
  Duration clock_tolerance = Millis(5);
  // Terminations closer together than this have a common cause. A request that
  // was moved away from the first upstream after its termination may still have
  // been in transit to the second when that one terminated.
  Duration common_cause_interval = Millis(20);
  // How long a record is kept after its last crash.
  Duration retention = std::chrono::hours(1);
  size_t max_records = 4096;
  // Maximum number of records published to all processes. Records of
  // quarantined requests come first, then those with the most recent crashes.
  size_t max_published_records = 256;
  // Maximum number of crashes kept in one record: the most recent ones.
  size_t max_crashes_per_record = 16;
};

// What explains crashes: one request, or all requests with a prompt part.
struct CrashCause {
  RequestFingerprint fingerprint = 0;  // Of the request or of the part.
  // Of a part: the other parts that explain the same crashes equally well. Only
  // requests with all of them are to blame.
  std::vector<RequestFingerprint> companions;
};

// Returns the causes of the crashes in `all`, the one with the most crashes
// first. Each has at least `policy.min_crashes` (of a part:
// `policy.min_crashes_of_part`) crashes that those before it in the result do
// not explain.
std::vector<CrashCause> FindCrashCauses(absl::Span<const CrashRecord> all,
                                        const QuarantinePolicy& policy);

}  // namespace medlarwalk

#endif  // MEDLARWALK_CRASH_EXPLANATION_H_
