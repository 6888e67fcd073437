// Storage of crash records: one file with a checksum, which each save replaces
// completely. The file is needed after a power loss of all hosts, when no
// process has crash records in memory.
#ifndef MEDLARWALK_QUARANTINE_STORE_H_
#define MEDLARWALK_QUARANTINE_STORE_H_

#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/types/span.h"
#include "disk_file.h"
#include "quarantine.h"

namespace medlarwalk {

// A moment on both clocks of a host. Only the time of day goes on while no
// process of the host runs.
struct SaveTime {
  TimePoint now{};   // On the steady clock.
  Millis unix_ms{};  // Time of day, since 1970.
};

// Replaces the file in `dir` with one that holds `records`. Blocks until the
// file is synced. Errors: Unavailable.
absl::Status SaveCrashRecords(const std::string& dir,
                              absl::Span<const CrashRecord> records,
                              const SaveTime& at,
                              const BeforeWrite& before_write,
                              const FileSystem& files = SystemFiles());

// Returns the records saved last; none if the file is missing or damaged. Their
// ages include the time since the save. A time of day before that of the save
// adds nothing to them.
std::vector<CrashRecord> LoadCrashRecords(const std::string& dir,
                                          const SaveTime& at);

}  // namespace medlarwalk

#endif  // MEDLARWALK_QUARANTINE_STORE_H_
