#include "disk_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>

#include "absl/strings/str_cat.h"

namespace medlarwalk {
namespace {

absl::Status WriteBytes(int fd, absl::string_view data) {
  while (!data.empty()) {
    ssize_t n = write(fd, data.data(), data.size());
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return ErrnoStatus("write");
    data.remove_prefix(static_cast<size_t>(n));
  }
  return absl::OkStatus();
}

}  // namespace

absl::Status ErrnoStatus(absl::string_view operation) {
  return absl::UnavailableError(
      absl::StrCat(operation, ": ", std::strerror(errno)));
}

absl::Status SyncDir(const std::string& dir) {
  int fd = open(dir.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) return ErrnoStatus("open directory");
  int rc = fsync(fd);
  close(fd);
  return rc == 0 ? absl::OkStatus() : ErrnoStatus("sync directory");
}

absl::StatusOr<std::string> ReadFile(const std::string& path) {
  int fd = open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) {
    if (errno == ENOENT) return absl::NotFoundError(path);
    return ErrnoStatus("open");
  }
  std::string content;
  char buf[64 * 1024];
  for (;;) {
    ssize_t count = read(fd, buf, sizeof(buf));
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) {
      absl::Status status = ErrnoStatus("read");
      close(fd);
      return status;
    }
    if (count == 0) break;
    content.append(buf, static_cast<size_t>(count));
  }
  close(fd);
  return content;
}

absl::Status WriteAll(int fd, absl::string_view data,
                      const BeforeWrite& before_write) {
  absl::Status hook_status = before_write ? before_write() : absl::OkStatus();
  absl::Status write_status =
      WriteBytes(fd, hook_status.ok() ? data : data.substr(0, data.size() / 2));
  return hook_status.ok() ? write_status : hook_status;
}

absl::StatusOr<int> ReplaceFile(const std::string& path, absl::string_view data,
                                const BeforeWrite& before_write) {
  std::string temp_path = path + ".new";
  int fd =
      open(temp_path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (fd < 0) return ErrnoStatus("create");
  absl::Status status = WriteAll(fd, data, before_write);
  if (status.ok() && fsync(fd) != 0) status = ErrnoStatus("sync");
  if (status.ok() && rename(temp_path.c_str(), path.c_str()) != 0)
    status = ErrnoStatus("rename");
  if (status.ok()) return fd;
  close(fd);
  return status;
}

}  // namespace medlarwalk
