// Files of a process's own data folder: what is written is durable when the
// call returns, or the call says that it may not be.
#ifndef MEDLARWALK_DISK_FILE_H_
#define MEDLARWALK_DISK_FILE_H_

#include <functional>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace medlarwalk {

// Called before bytes go to the disk; an error stands for one of the disk.
// May take as long as a slow disk does.
using BeforeWrite = std::function<absl::Status()>;

// The error that errno names, of `what`.
absl::Status Errno(absl::string_view what);

// Errors: NotFound where there is no file, else Unavailable.
absl::StatusOr<std::string> ReadFile(const std::string& path);

// Writes `data` to `fd`, or half of it where `before_write` (may be empty)
// fails. Errors: Unavailable.
absl::Status WriteAll(int fd, absl::string_view data,
                      const BeforeWrite& before_write);

// Puts a file with `data`, synced, in the place of the one at `path`. Returns
// it open for reading and writing; the caller closes it, and syncs the folder.
// Errors: Unavailable; the old file then stays.
absl::StatusOr<int> ReplaceFile(const std::string& path, absl::string_view data,
                                const BeforeWrite& before_write);

// Makes durable which names folder `dir` holds. Errors: Unavailable.
absl::Status SyncDir(const std::string& dir);

}  // namespace medlarwalk

#endif  // MEDLARWALK_DISK_FILE_H_
