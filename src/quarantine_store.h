// The quarantine on disk: one file with a checksum, replaced as a whole. After
// a loss of power everywhere no process is left that remembers a crash.
#ifndef MEDLARWALK_QUARANTINE_STORE_H_
#define MEDLARWALK_QUARANTINE_STORE_H_

#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/types/span.h"
#include "disk_file.h"
#include "quarantine.h"

namespace medlarwalk {

// Blocks until synced. Errors: Unavailable.
absl::Status SaveCrashRecords(const std::string& dir,
                              absl::Span<const CrashRecord> records,
                              TimePoint now, const BeforeWrite& before_write);

// What was saved last; nothing where the file is missing or does not check.
std::vector<CrashRecord> LoadCrashRecords(const std::string& dir,
                                          TimePoint now);

}  // namespace medlarwalk

#endif  // MEDLARWALK_QUARANTINE_STORE_H_
