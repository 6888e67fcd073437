// Durable files in the data directory of a process. A write that returned Ok is
// durable; a write that returned an error may or may not be.
#ifndef MEDLARWALK_DISK_FILE_H_
#define MEDLARWALK_DISK_FILE_H_

#include <sys/types.h>

#include <functional>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace medlarwalk {

// A hook called before bytes are written to disk, to simulate disk faults. An
// error that it returns is treated as a disk error. It may block, to simulate a
// slow disk.
using BeforeWrite = std::function<absl::Status()>;

// The calls that change files, with the results and errors of their namesakes
// in POSIX. Tests replace them by a disk that loses power.
struct FileSystem {
  std::function<int(const std::string& path, int flags)> open;
  std::function<ssize_t(int fd, absl::string_view data)> write;
  // Makes the data of a file durable.
  std::function<int(int fd)> sync;
  std::function<int(int fd, off_t length)> truncate;
  std::function<int(const std::string& from, const std::string& to)> rename;
  // Makes the names in a directory durable.
  std::function<int(const std::string& dir)> sync_directory;
};

// Returns the calls of the operating system.
FileSystem SystemFiles();

// Returns an Unavailable error with `operation` and the text of errno.
absl::Status ErrnoStatus(absl::string_view operation);

// Returns the content of the file at `path`. Errors: NotFound if there is no
// file, otherwise Unavailable.
absl::StatusOr<std::string> ReadFile(const std::string& path);

// Writes `data` to `fd` without syncing. `before_write` may be empty; if it
// fails, only the first half of `data` is written and its error is returned.
// Errors: Unavailable.
absl::Status WriteAll(const FileSystem& files, int fd, absl::string_view data,
                      const BeforeWrite& before_write);

// Atomically replaces the file at `path` with a synced file that holds `data`.
// Returns the new file, open for reading and writing. The caller must close it
// and sync the directory.
// Errors: Unavailable; the old file then stays in place.
absl::StatusOr<int> ReplaceFile(const FileSystem& files,
                                const std::string& path, absl::string_view data,
                                const BeforeWrite& before_write);

// Syncs the directory `dir`, which makes file creations and renames in it
// durable. Errors: Unavailable.
absl::Status SyncDir(const FileSystem& files, const std::string& dir);

}  // namespace medlarwalk

#endif  // MEDLARWALK_DISK_FILE_H_
