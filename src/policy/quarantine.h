// Quarantine of requests and prompt parts that crash the upstreams that run
// them.
//
// Load pattern: one caller's request crashes each engine that starts it, along
// with all other requests on that engine. The caller retries it under a new id,
// at any entry, as fast as engines restart. A plain count of crashes would
// also blame co-located requests, which were in flight at the same engines. So
// a request is quarantined only for crashes that no other request explains,
// and a request that was served is cleared of its earlier crashes.
//
// Second load pattern: requests that are all different share one part of their
// prompts, and each crashes the engine that begins an answer on it. The other
// parts are shared with requests that are served. So the crashes are also
// recorded by prompt part, and a part is quarantined only for crashes since it
// was last part of a served request.
//
// Third load pattern: all requests of an account on one route crash engines, no
// two alike and without a part in common. An account on a route is recorded
// like a part, and blamed last, for crashes that no request and no part
// explains.
//
// Merging records is order-independent and idempotent: processes may receive
// them in any order, any number of times and through any other process.
#ifndef MEDLARWALK_QUARANTINE_H_
#define MEDLARWALK_QUARANTINE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "crash_explanation.h"
#include "hold_trials.h"
#include "report_tracker.h"
#include "request_fingerprint.h"
#include "served_parts.h"
#include "types.h"

namespace medlarwalk {

// Collects crash records and decides which requests and prompt parts are
// quarantined. Thread safety: loop thread only.
class Quarantine {
 public:
  explicit Quarantine(QuarantinePolicy policy = {})
      : policy_(policy),
        served_parts_(policy.part_served_memory, policy.max_records) {}

  // A request that was in flight at an upstream that terminated.
  struct Suspect {
    RequestFingerprint fingerprint = 0;
    Crash crash;  // All fields but the upstream are set.
    // The prompt parts that other requests may share, or none if the answer had
    // gone on for so long that no part can have caused the crash.
    std::vector<PartAtCrash> parts;
  };
  // Records that `upstream` terminated while it had `suspects` in flight.
  void RecordCrash(absl::string_view upstream,
                   absl::Span<const Suspect> suspects);
  // Records one suspect without prompt parts.
  void RecordCrash(RequestFingerprint fingerprint, absl::string_view upstream,
                   Crash crash);
  // Records that the request was served, which clears all its crashes so far.
  void RecordServed(RequestFingerprint fingerprint);
  // Records that an answer on each of the parts `part_ids`, which began at
  // `began_at`, was served. Clears the parts of earlier crashes.
  void RecordServedParts(absl::Span<const uint64_t> part_ids,
                         TimePoint began_at);
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
  // Returns the first of the parts `part_ids` of one prompt that is quarantined
  // at `now`, so that the request must not be sent to any upstream.
  std::optional<uint64_t> FindQuarantinedPart(
      absl::Span<const uint64_t> part_ids, TimePoint now) const;
  // Returns the parts among `part_ids` of one prompt that are still blamed for
  // crashes, but no longer quarantined at `now`.
  std::vector<PartHold> FindLapsedHolds(absl::Span<const uint64_t> part_ids,
                                        TimePoint now) const;
  // Returns the time from `now` until the quarantine of the part ends.
  Duration RemainingPartQuarantine(uint64_t part_id, TimePoint now) const;
  // Returns the time from `now` until the request's record expires.
  Duration RemainingQuarantine(RequestFingerprint fingerprint,
                               TimePoint now) const;
  // Returns a counter that increases whenever a request or a part enters or
  // leaves the quarantine.
  uint64_t quarantine_changes() const { return quarantine_changes_; }
  // Returns the number of quarantined requests.
  size_t quarantined_count() const { return quarantined_.size(); }
  // Returns the number of prompt parts that are blamed for crashes, also after
  // their quarantine has ended.
  size_t blamed_part_count() const { return blamed_parts_.size(); }

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
  // Returns a hash of the contents of RecordsToPublish(), with the number of
  // corrected times in place of the times; 0 if it is empty.
  int64_t version() const { return version_; }

 private:
  struct Entry {
    CrashRecord record;
    uint64_t seq = 0;
    // The record was published since it last had no crash. It is published
    // once more without its crashes, so that other processes drop them too.
    bool published = false;
  };
  // Merges `r`. Returns whether `r` contained anything new. `forward`: whether
  // ChangedSince returns the change, so that it is reported onward.
  bool MergeRecord(const CrashRecord& r, bool forward);
  // Keeps the earliest time at which the upstream of `c` is said to have
  // terminated. Returns whether the time known before was wrong.
  bool RecordTermination(const Crash& c);
  // Returns by how much the times of `r` seem later than they were, as far as
  // its crashes show.
  Duration LatenessOf(const CrashRecord& r) const;
  // Sets the crashes of `r` to the times at which their upstreams terminated.
  // Returns whether a time was wrong.
  bool CorrectCrashTimes(CrashRecord& r);
  void EraseTermination(TimePoint at, uint64_t upstream);
  // Finds for each crash of `r` the termination of an upstream at the same
  // moment that did not have the request. A later report may show that it had
  // it: then the crash is no longer cleared.
  void FindCoincidentTerminations(CrashRecord& r) const;
  void MergeRecords(absl::Span<const CrashRecord> records, bool forward);
  // Evicts records in excess of max_records: those with the fewest crashes
  // first, and among these the ones with the oldest last crash.
  void EvictExcessRecords();
  // Recomputes the set of quarantined requests and the published version.
  void UpdateQuarantine();
  void SetQuarantined(absl::Span<const CrashCause> causes);
  // Returns the records with more than one crash.
  std::vector<CrashRecord> RecordsWithRepeatedCrashes() const;
  // Drops the crashes of a prompt part that served answers clear. Returns
  // whether anything changed.
  bool MergePartRecord(const CrashRecord& r, Entry* e);
  // Returns those of the parts `part_ids` of one prompt that are blamed and
  // whose companions are all in the prompt.
  std::vector<PartHold> FindBlamedParts(
      absl::Span<const uint64_t> part_ids) const;
  void LogQuarantineChange(const char* event, RequestFingerprint p) const;
  bool IsExpired(const Entry& e, TimePoint now) const;

  QuarantinePolicy policy_;
  std::unordered_map<RequestFingerprint, Entry> entries_;
  // Earliest reported termination time of each upstream, by upstream hash.
  std::map<uint64_t, TimePoint> terminated_at_;
  // Upstream hashes by termination time.
  std::multimap<TimePoint, uint64_t> terminations_;
  std::set<RequestFingerprint> quarantined_;  // Requests only.
  struct BlamedPart {
    TimePoint held_until{};
    std::vector<RequestFingerprint> companions;  // See CrashCause.
    bool operator==(const BlamedPart& o) const {
      return held_until == o.held_until && companions == o.companions;
    }
  };
  // Prompt parts that are blamed for crashes, by fingerprint.
  std::map<RequestFingerprint, BlamedPart> blamed_parts_;
  ServedParts served_parts_;
  uint64_t quarantine_changes_ = 0;
  // Number of records whose crash times were corrected. Part of the version, so
  // that corrections are published and saved.
  uint64_t corrections_ = 0;
  uint64_t seq_ = 0;
  int64_t version_ = 0;
  TimePoint last_expiry_at_{};  // When expired records were last dropped.
};

using CrashReportTracker = ReportTracker<Quarantine>;

}  // namespace medlarwalk

#endif  // MEDLARWALK_QUARANTINE_H_
