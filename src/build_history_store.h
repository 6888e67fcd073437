// Storage of the software versions that upstreams have run of late: one file
// with a checksum, which each save replaces. It is needed after a restart of
// all processes, when no process has them in memory.
#ifndef MEDLARWALK_BUILD_HISTORY_STORE_H_
#define MEDLARWALK_BUILD_HISTORY_STORE_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/types/span.h"
#include "build_history.h"
#include "disk_file.h"

namespace medlarwalk {

// Replaces the file in `dir`. Blocks until it is synced. Errors: Unavailable.
absl::Status SaveBuilds(const std::string& dir,
                        absl::Span<const BuildRecord> records,
                        const BeforeWrite& before_write,
                        const FileSystem& files = SystemFiles());

// Returns the records saved last, with their ages at that time; nullopt if the
// file is missing or damaged.
std::optional<std::vector<BuildRecord>> LoadBuilds(const std::string& dir);

}  // namespace medlarwalk

#endif  // MEDLARWALK_BUILD_HISTORY_STORE_H_
