// Table of the rate limits that upstreams announce. A limit applies to the
// requests of all processes together.
//
// Load pattern: an overloaded upstream announces a limit in its answers. The
// next answer may reach another entry seconds later, or minutes later in a
// large fleet. An entry that waited for an answer of its own would exceed the
// limit until then, and would send too little for as long after the limit has
// ended. Therefore a process reports a changed limit at once, and every process
// uses the newest limit that any process has received.
#ifndef MEDLARWALK_RATE_LIMIT_TABLE_H_
#define MEDLARWALK_RATE_LIMIT_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "report_tracker.h"
#include "types.h"

namespace medlarwalk {

// The most recent limit that an upstream announced.
struct LimitRecord {
  std::string upstream;
  // Requests per second; nullopt: the limit was lifted.
  std::optional<double> per_s;
  TimePoint at{};     // When an answer first announced this limit.
  TimePoint since{};  // When the upstream went from unlimited to limited.
};

// The known limits, by upstream. Thread safety: loop thread only.
class RateLimitTable {
 public:
  // Records that an answer of `upstream` announces the limit `per_s`, or no
  // limit. Returns whether the limit changed.
  bool RecordLimit(const std::string& upstream, std::optional<double> per_s,
                   TimePoint now);
  // Merges records that other processes report to this one. The newest record
  // of each upstream wins, in whatever order and however often records arrive.
  // Merged changes are forwarded: ChangedSince returns them.
  void MergeReported(absl::Span<const LimitRecord> records);
  // Merges records published by the process to which this one reports. They are
  // not reported back to it.
  void MergePublished(absl::Span<const LimitRecord> records);
  // Removes the records of lifted limits and of upstreams that are not listed,
  // once these records are old enough.
  void RemoveStaleLimits(const std::function<bool(const std::string&)>& listed,
                         TimePoint now);

  // Returns the upstream's limit in force, or nullptr if it has none.
  const LimitRecord* Find(const std::string& upstream) const;
  // Returns all records, those of recently lifted limits included, sorted by
  // upstream.
  std::vector<LimitRecord> All() const;
  // Returns the number of limits in force.
  size_t limits_in_force() const;
  // Returns a hash of the contents of All(); 0 if it is empty.
  int64_t version() const { return version_; }
  // Returns a counter that increases with every change, whether recorded here,
  // reported or published.
  uint64_t changes() const { return changes_; }

  // Returns the sequence number of the last change that this process recorded
  // or that another process reported to it.
  uint64_t seq() const { return seq_; }
  // Returns at most `max_records` records that were recorded here or reported
  // to this process after `seq`, the earliest changes first. Sets `*through`,
  // if given, to the sequence number up to which the returned records are
  // complete.
  std::vector<LimitRecord> ChangedSince(uint64_t seq, size_t max_records,
                                        uint64_t* through = nullptr) const;

 private:
  struct Entry {
    LimitRecord record;
    uint64_t seq = 0;  // 0: published by the process to which this one reports.
  };
  // `forward`: whether ChangedSince returns the change, so that it is reported
  // onward.
  void MergeRecord(const LimitRecord& r, bool forward);
  // Counts a change and recomputes the version.
  void RecordChange();

  std::map<std::string, Entry> entries_;
  int64_t version_ = 0;
  uint64_t changes_ = 0;
  uint64_t seq_ = 0;
};

using LimitReportTracker = ReportTracker<RateLimitTable>;

}  // namespace medlarwalk

#endif  // MEDLARWALK_RATE_LIMIT_TABLE_H_
