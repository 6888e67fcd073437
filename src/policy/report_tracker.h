// Tracks which records of a source are not yet confirmed by the process that
// receives the reports (the target). The source numbers its changes: seq()
// returns the number of its last change. ChangedSince(seq, max_records,
// through) returns at most `max_records` records that changed after `seq`, the
// earliest changes first, and sets `*through` to the number up to which they
// are complete.
#ifndef MEDLARWALK_REPORT_TRACKER_H_
#define MEDLARWALK_REPORT_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace medlarwalk {

// Reports of one source to one target at a time. Thread safety: loop thread
// only.
template <typename Source>
class ReportTracker {
 public:
  // Precondition: `source` outlives this.
  explicit ReportTracker(const Source& source) : source_(source) {}

  // Returns the records to report to `target` next: those that `target` has not
  // confirmed. If there are more than fit into one report, the rest is returned
  // after the delivery of this one.
  auto RecordsToReport(const std::string& target) {
    if (target != target_) confirmed_ = 0;
    target_ = target;
    sent_ = source_.seq();
    return source_.ChangedSince(confirmed_, kMaxRecordsPerReport,
                                &sent_through_);
  }
  // Records that the target has received the last report.
  void OnDelivered() { confirmed_ = sent_through_; }
  // Records that the target failed. It may have lost all earlier reports, so
  // the next report contains all records again.
  void OnTargetLost() { confirmed_ = 0; }
  // Returns whether records have changed since the last report.
  bool has_unreported() const { return source_.seq() > sent_; }

 private:
  // Maximum number of records in one report: enough for the crash of a whole
  // rack of engines.
  static constexpr size_t kMaxRecordsPerReport = 512;

  const Source& source_;
  std::string target_;
  uint64_t sent_ = 0;  // seq() of the source at the last report.
  // Sequence number of the last change in the last report, and of the last
  // confirmed change.
  uint64_t sent_through_ = 0;
  uint64_t confirmed_ = 0;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_REPORT_TRACKER_H_
