// Paces the reads of an outside source by processes that have to read it
// themselves, because none of them receives it from the one that reads it for
// all.
//
// Load pattern: hundreds of processes lose that reader at the same moment. If
// each reads the whole source and repeats every rejected call, the source
// rejects nearly all calls. No read completes, so no process stops reading, and
// the reader for all is rejected as well: the overload outlasts its cause.
// Therefore the calls that the source accepts are divided by the number of
// processes, first reads are spread over the resulting interval, and each
// rejected or failed read doubles the interval.
#ifndef MEDLARWALK_SOURCE_READ_PACER_H_
#define MEDLARWALK_SOURCE_READ_PACER_H_

#include <cstdint>
#include <optional>
#include <random>

#include "types.h"

namespace medlarwalk {

// Parameters of the pacing.
struct SourceReadPolicy {
  // Calls per second that the source accepts from all processes together; 0 if
  // unlimited.
  double calls_per_s = 0;
  // Share of these calls for all processes that read by themselves. The rest is
  // for the process that reads for all.
  double share = 0.4;
  // Minimum time between two reads of one process.
  Duration min_interval = Millis(2000);
  // Maximum number of times that rejected and failed reads double the interval.
  int max_doublings = 6;
  // Time for which the highest number of processes and the rejected reads
  // count. After a change of leader, the number that is published is too low
  // for some seconds. A read that succeeds between rejected ones does not show
  // that the source has calls to spare.
  Duration memory = std::chrono::seconds(60);
};

// How a read of the source ended.
enum class SourceReadEnd {
  kWhole,
  kRejected,  // The source rejected it for its rate limit.
  kFailed,    // Any other failure.
};

// Decides when one process reads the source. Thread safety: loop thread only.
class SourceReadPacer {
 public:
  // `seed`: must differ between processes.
  SourceReadPacer(const SourceReadPolicy& policy, uint64_t seed)
      : policy_(policy), random_(seed) {}

  // Records the published number of processes that share the source.
  void RecordProcessCount(TimePoint now, int processes);
  // Records the number of calls that a read of the whole source takes. Ignores
  // numbers below 1.
  void RecordCallsPerRead(int calls);
  // Returns whether a read must begin now; if so, counts it as begun.
  // `out_of_date`: what this process holds is too old to be used.
  bool BeginRead(TimePoint now, bool out_of_date);
  // Records the end of a read that has begun.
  void RecordReadEnd(TimePoint now, SourceReadEnd end);
  // Returns the mean time between two reads of this process.
  Duration Interval() const;

 private:
  // Returns `d` multiplied by a random factor between `low` and `high`.
  Duration Jittered(Duration d, double low, double high);

  SourceReadPolicy policy_;
  std::mt19937_64 random_;
  int processes_ = 1;
  TimePoint processes_set_at_{};
  int calls_per_read_ = 1;
  int failures_ = 0;  // Number of failed reads in a row.
  // Number of rejected reads since `memory` last passed without one, and time
  // of the last one.
  int rejections_ = 0;
  TimePoint rejected_at_{};
  TimePoint not_before_{};
  // Time of the next read while what this process holds is out of date.
  std::optional<TimePoint> next_read_at_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_SOURCE_READ_PACER_H_
