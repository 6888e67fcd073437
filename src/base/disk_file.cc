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
    if (n <= 0) return Errno("write");
    data.remove_prefix(static_cast<size_t>(n));
  }
  return absl::OkStatus();
}

}  // namespace

absl::Status Errno(absl::string_view what) {
  return absl::UnavailableError(absl::StrCat(what, ": ", std::strerror(errno)));
}

absl::Status SyncDir(const std::string& dir) {
  int fd = open(dir.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) return Errno("open dir");
  int rc = fsync(fd);
  close(fd);
  return rc == 0 ? absl::OkStatus() : Errno("sync dir");
}

absl::StatusOr<std::string> ReadFile(const std::string& path) {
  int fd = open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) {
    if (errno == ENOENT) return absl::NotFoundError(path);
    return Errno("open");
  }
  std::string out;
  char buf[64 * 1024];
  for (;;) {
    ssize_t n = read(fd, buf, sizeof(buf));
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) {
      absl::Status s = Errno("read");
      close(fd);
      return s;
    }
    if (n == 0) break;
    out.append(buf, static_cast<size_t>(n));
  }
  close(fd);
  return out;
}

absl::Status WriteAll(int fd, absl::string_view data,
                      const BeforeWrite& before_write) {
  absl::Status s = before_write ? before_write() : absl::OkStatus();
  absl::Status written =
      WriteBytes(fd, s.ok() ? data : data.substr(0, data.size() / 2));
  return s.ok() ? written : s;
}

absl::StatusOr<int> ReplaceFile(const std::string& path, absl::string_view data,
                                const BeforeWrite& before_write) {
  std::string fresh = path + ".new";
  int fd = open(fresh.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (fd < 0) return Errno("create");
  absl::Status s = WriteAll(fd, data, before_write);
  if (s.ok() && fsync(fd) != 0) s = Errno("sync");
  if (s.ok() && rename(fresh.c_str(), path.c_str()) != 0) s = Errno("rename");
  if (s.ok()) return fd;
  close(fd);
  return s;
}

}  // namespace medlarwalk
