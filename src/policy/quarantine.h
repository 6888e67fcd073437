// Quarantine of requests that crash the upstreams that run them.
//
// Load pattern: one caller's request crashes each engine that starts it, along
// with all other requests on that engine. The caller retries it under a new id,
// at any entry, as fast as engines restart. A plain count of crashes would
// also blame co-located requests, which were in flight at the same engines. So
// a request is quarantined only for crashes that no other request explains,
// and a request that was served is cleared of its earlier crashes.
//
// Records only grow, and merging them is order-independent and idempotent:
// processes may receive them in any order, any number of times and through any
// other process.
#ifndef MEDLARWALK_QUARANTINE_H_
#define MEDLARWALK_QUARANTINE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "report_tracker.h"
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
  // The request did not cause this crash. Either it was served later, or
  // another upstream that did not have the request terminated at the same
  // moment.
  bool cleared = false;
};

// The crashes at which one request was in flight.
struct CrashRecord {
  RequestFingerprint fingerprint = 0;
  std::vector<Crash> crashes;
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

// Returns the requests that explain the crashes in `all`, the request with the
// most crashes first. Each has at least `policy.min_crashes` crashes that the
// requests before it in the result do not explain.
std::vector<RequestFingerprint> FindCrashInducingRequests(
    absl::Span<const CrashRecord> all, const QuarantinePolicy& policy);

// Collects crash records and decides which requests are quarantined. Thread
// safety: loop thread only.
class Quarantine {
 public:
  explicit Quarantine(QuarantinePolicy policy = {}) : policy_(policy) {}

  // Records that `upstream` terminated while it had the request with
  // `fingerprint` in flight. Sets `crash.upstream` from `upstream`.
  void RecordCrash(RequestFingerprint fingerprint, absl::string_view upstream,
                   Crash crash);
  // Records that the request was served, which clears all its crashes so far.
  void RecordServed(RequestFingerprint fingerprint);
  // Merges records that other processes report to this one. These records are
  // forwarded: ChangedSince returns them.
  void MergeReported(absl::Span<const CrashRecord> records);
  // Merges records published by the process to which this one reports. They are
  // not reported back to it.
  void MergePublished(absl::Span<const CrashRecord> records);
  // Drops expired records. Call regularly.
  void Tick(TimePoint now);

  // Returns whether the request is quarantined, so that it must not be sent to
  // any upstream.
  bool IsQuarantined(RequestFingerprint fingerprint) const {
    return quarantined_.count(fingerprint) > 0;
  }
  // Returns the time from `now` until the request's record expires.
  Duration RemainingQuarantine(RequestFingerprint fingerprint,
                               TimePoint now) const;
  // Returns a counter that increases whenever a request enters or leaves the
  // quarantine.
  uint64_t quarantine_changes() const { return quarantine_changes_; }
  // Returns the number of quarantined requests.
  size_t quarantined_count() const { return quarantined_.size(); }

  // Returns the sequence number of the last change that this process recorded
  // or that another process reported to it.
  uint64_t seq() const { return seq_; }
  // Returns at most `max_records` records that were recorded here or reported
  // to this process after `seq`, the earliest changes first. Sets `*through`,
  // if given, to the sequence number up to which the returned records are
  // complete.
  std::vector<CrashRecord> ChangedSince(uint64_t seq, size_t max_records,
                                        uint64_t* through = nullptr) const;
  // Returns the records to publish to all processes: those with more than one
  // crash, sorted by fingerprint.
  std::vector<CrashRecord> RecordsToPublish() const;
  // Returns a hash of the contents of RecordsToPublish(); 0 if it is empty.
  int64_t version() const { return version_; }

 private:
  struct Entry {
    CrashRecord record;
    uint64_t seq = 0;
  };
  // Merges `r`. Returns whether `r` contained anything new. `forward`: whether
  // ChangedSince returns the change, so that it is reported onward.
  bool MergeRecord(const CrashRecord& r, bool forward);
  void RecordTermination(const Crash& c);
  // Clears each crash of `r` that coincides with the termination of an upstream
  // that did not have the request.
  void ClearCoincidentCrashes(CrashRecord& r) const;
  void MergeRecords(absl::Span<const CrashRecord> records, bool forward);
  // Evicts records in excess of max_records: those with the fewest crashes
  // first, and among these the ones with the oldest last crash.
  void EvictExcessRecords();
  // Recomputes the set of quarantined requests and the published version.
  void UpdateQuarantine();
  void SetQuarantined(absl::Span<const RequestFingerprint> fingerprints);
  // Returns the records with more than one crash.
  std::vector<CrashRecord> RecordsWithRepeatedCrashes() const;

  QuarantinePolicy policy_;
  std::unordered_map<RequestFingerprint, Entry> entries_;
  // First reported termination time of each upstream, by upstream hash.
  std::map<uint64_t, TimePoint> terminated_at_;
  // Upstream hashes by termination time.
  std::multimap<TimePoint, uint64_t> terminations_;
  std::set<RequestFingerprint> quarantined_;
  uint64_t quarantine_changes_ = 0;
  uint64_t seq_ = 0;
  int64_t version_ = 0;
  TimePoint last_expiry_at_{};  // When expired records were last dropped.
};

using CrashReportTracker = ReportTracker<Quarantine>;

}  // namespace medlarwalk

#endif  // MEDLARWALK_QUARANTINE_H_
