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

absl::Status WriteBytes(const FileSystem& files, int fd,
                        absl::string_view data) {
  while (!data.empty()) {
    ssize_t n = files.write(fd, data);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return ErrnoStatus("write");
    data.remove_prefix(static_cast<size_t>(n));
  }
  return absl::OkStatus();
}

int SyncDirectory(const std::string& dir) {
  int fd = open(dir.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) return -1;
  int rc = fsync(fd);
  close(fd);
  return rc;
}

}  // namespace

FileSystem SystemFiles() {
  FileSystem files;
  files.open = [](const std::string& path, int flags) {
    return open(path.c_str(), flags | O_CLOEXEC, 0644);
  };
  files.write = [](int fd, absl::string_view data) {
    return write(fd, data.data(), data.size());
  };
  files.sync = fdatasync;
  files.truncate = ftruncate;
  files.rename = [](const std::string& from, const std::string& to) {
    return rename(from.c_str(), to.c_str());
  };
  files.sync_directory = SyncDirectory;
  return files;
}

absl::Status ErrnoStatus(absl::string_view operation) {
  return absl::UnavailableError(
      absl::StrCat(operation, ": ", std::strerror(errno)));
}

absl::Status SyncDir(const FileSystem& files, const std::string& dir) {
  return files.sync_directory(dir) == 0 ? absl::OkStatus()
                                        : ErrnoStatus("sync directory");
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

absl::Status WriteAll(const FileSystem& files, int fd, absl::string_view data,
                      const BeforeWrite& before_write) {
  absl::Status hook_status = before_write ? before_write() : absl::OkStatus();
  absl::Status write_status = WriteBytes(
      files, fd, hook_status.ok() ? data : data.substr(0, data.size() / 2));
  return hook_status.ok() ? write_status : hook_status;
}

absl::StatusOr<int> ReplaceFile(const FileSystem& files,
                                const std::string& path, absl::string_view data,
                                const BeforeWrite& before_write) {
  std::string temp_path = path + ".new";
  int fd = files.open(temp_path, O_RDWR | O_CREAT | O_TRUNC);
  if (fd < 0) return ErrnoStatus("create");
  absl::Status status = WriteAll(files, fd, data, before_write);
  if (status.ok() && files.sync(fd) != 0) status = ErrnoStatus("sync");
  if (status.ok() && files.rename(temp_path, path) != 0)
    status = ErrnoStatus("rename");
  if (status.ok()) return fd;
  close(fd);
  return status;
}

}  // namespace medlarwalk
