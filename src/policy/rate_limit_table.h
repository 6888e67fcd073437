// Table of the rate limits that upstreams announce. A limit applies to the
// requests of all processes together.
//
// Load pattern: an overloaded upstream announces a limit in its answers. The
// next answer may reach another entry seconds later, or minutes later in a
// large fleet. An entry that waited for its own answer would keep sending until
// then, and would send too little for as long after the limit has ended. So a
// process reports a changed limit at once, and every process uses the newest
// limit that any process has received.
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
  std::optional<double> per_s;  // Requests per second; nullopt: lifted.
  TimePoint at{};               // When an answer first announced this value.
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
  // Merges records published by the process that this one reports to. They are
  // not reported back.
  void MergePublished(absl::Span<const LimitRecord> records);
  // Removes lifted limits and the limits of upstreams that are not listed, once
  // their record is old enough.
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
  // Returns a counter that grows with every change, whatever its source.
  uint64_t changes() const { return changes_; }

  // Returns the sequence number of the last change recorded or reported here.
  uint64_t seq() const { return seq_; }
  // Returns the records that were recorded or reported after `seq`, at most
  // `max_records`.
  std::vector<LimitRecord> ChangedSince(uint64_t seq, size_t max_records) const;

 private:
  struct Entry {
    LimitRecord record;
    uint64_t seq = 0;  // 0: published by the process reported to.
  };
  // `forward`: the change is reported onward.
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
