// The engine load that a control process collects: the work of each process
// that reports to it, and the sums of the other control processes.
//
// Load pattern: dozens of entries report ten times a second, and some of them
// die, freeze or change to another control process with work in flight. Work
// must neither stay in the sums after its process is gone nor count twice for
// longer than a moment. Therefore every part names its process and decays
// unless it is reported again.
#ifndef MEDLARWALK_ENGINE_LOAD_TABLE_H_
#define MEDLARWALK_ENGINE_LOAD_TABLE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/types/span.h"
#include "engine_load.h"
#include "types.h"

namespace medlarwalk {

// A report of one process of its own work.
struct EngineLoadReport {
  uint64_t process = 0;  // Random id of the process, new at each start.
  uint64_t seq = 0;      // Increases with each report of the process.
  // The report to which `records` are the changes; 0: `records` is complete.
  uint64_t base_seq = 0;
  std::vector<EngineRecord> records;
};

// The sum of the work of some processes.
struct EngineLoadSum {
  std::vector<EngineRecord> records;
  // Age of the oldest report that counts wholly. Reports that have begun to
  // decay are not considered: what remains of a dead process must not make the
  // reports of the living look old.
  Duration oldest{};
  int processes = 0;  // Number of summed processes with work.
};

// A process that reports to a control process, and its last report there.
struct ReportingProcess {
  uint64_t process = 0;
  uint64_t seq = 0;
};

// Collects reports and sums. Thread safety: loop thread only.
class EngineLoadTable {
 public:
  enum class Result {
    kApplied,
    kOutdated,       // A newer report of the process is known.
    kNeedsComplete,  // The report's base is unknown; a complete one is needed.
    kFull,           // Too many processes report.
  };

  // Applies a report of a process that reports to this control process.
  Result ApplyReport(const EngineLoadReport& r, TimePoint now);
  // Applies the sum of the processes that report to the control process
  // `control`. `arrivals`: processes that recently began to report there; their
  // parts here no longer count. Returns false if a newer sum is known.
  bool ApplySum(uint64_t control, uint64_t seq, const EngineLoadSum& sum,
                absl::Span<const ReportingProcess> arrivals, TimePoint now);

  // Returns the sum of the processes that report here, for the other control
  // processes.
  EngineLoadSum DirectSum(TimePoint now) const;
  // Returns the processes that began to report here within the last 2 s.
  std::vector<ReportingProcess> Arrivals(TimePoint now) const;
  // Returns the sum of all known processes except `process`. The sum may be
  // 20 ms old, or older where it has tens of thousands of records.
  EngineLoadSum SumWithout(uint64_t process, TimePoint now);

  // Removes what has decayed to nothing.
  void RemoveExpired(TimePoint now);
  // Returns whether any process reports here.
  bool has_reporters() const { return !direct_.empty(); }
  // Returns the number of processes with work.
  int processes() const;
  bool empty() const { return direct_.empty() && controls_.empty(); }

 private:
  struct Engine {
    EngineWork work;
    EnginePace pace;
    TimePoint pace_at{};  // Time to which EnginePace::age refers.
    EngineWork counted;   // The work as it counts in `totals_`.
  };
  // Report of one process, or the sum of all processes of one control process.
  struct Part {
    uint64_t seq = 0;
    TimePoint arrived_at{};  // When it last reported completely.
    TimePoint received_at{};
    Duration stated_age{};  // Age of the report when it was received.
    int processes = 1;
    bool has_work = false;
    bool is_counted = false;  // Counts in `totals_processes_`.
    absl::flat_hash_map<EngineKey, Engine> engines;
  };
  using Parts = std::map<uint64_t, Part>;
  struct Total {
    EngineWork work;
    EnginePace pace;
    // The two tightest gap targets of different parts, and the process of the
    // first.
    Millis tightest{};
    Millis second_tightest{};
    uint64_t tightest_process = 0;
  };

  static Duration AgeOf(const Part& p, TimePoint now) {
    return now - p.received_at + p.stated_age;
  }
  static void StoreRecords(absl::Span<const EngineRecord> records,
                           bool complete, TimePoint now, Part* p);
  static EngineWork CountedWork(const Engine& e, double factor);
  void UpdateTotals(TimePoint now);
  void AddToTotals(uint64_t process, Part& p, TimePoint now);
  static void RemoveExpiredParts(TimePoint now, Parts* parts);

  Parts direct_;
  Parts controls_;
  absl::flat_hash_map<EngineKey, Total> totals_;
  Duration totals_oldest_{};
  int totals_processes_ = 0;
  size_t totals_records_ = 0;  // Number of records in the totals.
  bool totals_known_ = false;
  TimePoint totals_at_{};
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_ENGINE_LOAD_TABLE_H_
