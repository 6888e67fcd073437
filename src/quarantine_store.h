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

// Replaces the file in `dir` with one that holds `records`. Blocks until the
// file is synced. Errors: Unavailable.
absl::Status SaveCrashRecords(const std::string& dir,
                              absl::Span<const CrashRecord> records,
                              TimePoint now, const BeforeWrite& before_write);

// Returns the records saved last; none if the file is missing or damaged.
std::vector<CrashRecord> LoadCrashRecords(const std::string& dir,
                                          TimePoint now);

}  // namespace medlarwalk

#endif  // MEDLARWALK_QUARANTINE_STORE_H_
