#include "ledger.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "json_numbers.h"
#include "nlohmann/json.hpp"

namespace medlarwalk {

using nlohmann::json;

namespace {

constexpr size_t kMinRecordsToCompact = 64;

absl::Status WriteAndSync(const FileSystem& files, int fd,
                          const std::string& data) {
  size_t off = 0;
  while (off < data.size()) {
    ssize_t n = files.write(fd, absl::string_view(data).substr(off));
    if (n < 0) {
      if (errno == EINTR) continue;
      return absl::InternalError(
          absl::StrCat("ledger write: ", std::strerror(errno)));
    }
    off += static_cast<size_t>(n);
  }
  if (files.sync(fd) != 0) {
    return absl::InternalError(
        absl::StrCat("ledger fsync: ", std::strerror(errno)));
  }
  return absl::OkStatus();
}

std::string DirectoryOf(const std::string& path) {
  size_t slash = path.rfind('/');
  return slash == std::string::npos ? "." : path.substr(0, slash);
}

// Applies record `r` to `entries`. Returns false when `r` is not a valid
// record.
bool ApplyRecord(const json& r,
                 std::map<std::string, LedgerEntry, std::less<>>* entries) {
  try {
    std::string key = r.at("k").get<std::string>();
    std::string op = r.at("op").get<std::string>();
    if (op == "start") {
      LedgerEntry started;
      started.fingerprint = IntegerFromJson(r, "fp", uint64_t{0});
      (*entries)[key] = started;
    } else if (op == "done") {
      LedgerEntry& e = (*entries)[key];
      e.done = true;
      e.http_status = IntegerFromJson(r, "status", 0);
      e.body = r.value("body", "");
    } else if (op == "abandon") {
      entries->erase(key);
    }
    return true;
  } catch (const json::exception&) {
    return false;
  }
}

}  // namespace

Ledger::Ledger(std::string path, FileSystem files)
    : files_(std::move(files)), path_(std::move(path)) {}

Ledger::~Ledger() {
  if (fd_ >= 0) close(fd_);
}

absl::Status Ledger::Open() {
  if (path_.empty()) return absl::OkStatus();
  absl::StatusOr<std::string> content = ReadFile(path_);
  if (!content.ok() && !absl::IsNotFound(content.status()))
    return content.status();
  std::istringstream in(content.value_or(""));
  std::string line;
  size_t n = 0;
  while (std::getline(in, line)) {
    ++n;
    // An incomplete last line is from a record that was never synced. No
    // request was sent or answered because of this record, so the line is
    // dropped, even if only its line end is missing.
    if (in.eof()) {
      tail_dirty_ = true;
      break;
    }
    json r = json::parse(line, nullptr, false);
    if (r.is_discarded() || !r.contains("k") || !r.contains("op")) {
      tail_dirty_ = in.peek() == EOF;
      if (tail_dirty_) break;
      return absl::DataLossError(absl::StrCat("ledger ", path_, ": line ", n));
    }
    if (!ApplyRecord(r, &entries_)) {
      return absl::DataLossError(absl::StrCat("ledger ", path_, ": line ", n));
    }
    ++log_records_;
    synced_length_ += static_cast<int64_t>(line.size() + 1);
  }
  fd_ = files_.open(path_, O_RDWR | O_CREAT);
  // Callers are told what is loaded here, and the process before may have been
  // killed before it synced that.
  if (fd_ < 0 || files_.sync(fd_) != 0 ||
      files_.sync_directory(DirectoryOf(path_)) != 0) {
    return absl::InternalError(
        absl::StrCat("ledger open ", path_, ": ", std::strerror(errno)));
  }
  return absl::OkStatus();
}

absl::Status Ledger::AppendRecord(const std::string& line) {
  if (path_.empty()) return absl::OkStatus();
  absl::Status synced = SyncCompaction();
  if (!synced.ok()) return synced;
  // The next record must not be written onto an incomplete line, or mixed with
  // one by a power loss.
  if (tail_dirty_ &&
      (files_.truncate(fd_, synced_length_) != 0 || files_.sync(fd_) != 0)) {
    return absl::InternalError(
        absl::StrCat("ledger truncate: ", std::strerror(errno)));
  }
  lseek(fd_, synced_length_, SEEK_SET);
  tail_dirty_ = true;
  absl::Status s = WriteAndSync(files_, fd_, line + "\n");
  if (!s.ok()) return s;
  tail_dirty_ = false;
  synced_length_ += static_cast<int64_t>(line.size() + 1);
  ++log_records_;
  if (log_records_ >= kMinRecordsToCompact &&
      log_records_ > 2 * entries_.size()) {
    return Compact();
  }
  return absl::OkStatus();
}

// Replaces the log by a file of the live entries. A crash at any point leaves
// either the old or the new file complete.
absl::Status Ledger::Compact() {
  std::string out;
  for (const auto& [key, e] : entries_) {
    out +=
        json{{"op", "start"}, {"k", key}, {"fp", e.fingerprint}}.dump() + "\n";
    if (e.done) {
      out += json{{"op", "done"},
                  {"k", key},
                  {"status", e.http_status},
                  {"body", e.body}}
                 .dump() +
             "\n";
    }
  }
  absl::StatusOr<int> fd = ReplaceFile(files_, path_, out, {});
  if (!fd.ok()) return fd.status();
  close(fd_);
  fd_ = *fd;
  log_records_ = entries_.size() * 2;
  synced_length_ = static_cast<int64_t>(out.size());
  dir_sync_pending_ = true;
  return SyncCompaction();
}

// After a power loss the old file may be back, without the records written to
// the new one, until the directory is synced.
absl::Status Ledger::SyncCompaction() {
  if (!dir_sync_pending_) return absl::OkStatus();
  absl::Status status = SyncDir(files_, DirectoryOf(path_));
  dir_sync_pending_ = !status.ok();
  return status;
}

absl::Status Ledger::BeginRequest(absl::string_view key, uint64_t fingerprint,
                                  LedgerKeyState* key_state,
                                  const LedgerEntry** entry) {
  auto it = entries_.find(key);
  if (it != entries_.end()) {
    *entry = &it->second;
    if (it->second.fingerprint != fingerprint) {
      *key_state = LedgerKeyState::kKeyReused;
    } else if (it->second.done) {
      *key_state = LedgerKeyState::kCompleted;
    } else if (started_by_this_process_.count(key)) {
      *key_state = LedgerKeyState::kRunning;
    } else {
      *key_state = LedgerKeyState::kMayHaveRun;
    }
    return absl::OkStatus();
  }
  // The entry is added before its record is written, because the write may
  // trigger a compaction, which keeps only the keys in `entries_`.
  auto [inserted, unused] = entries_.emplace(
      std::string(key), LedgerEntry{fingerprint, false, 0, ""});
  absl::Status s = AppendRecord(json{
      {"op", "start"},
      {"k", std::string(key)},
      {"fp", fingerprint}}.dump());
  if (!s.ok()) {
    entries_.erase(inserted);
    return s;
  }
  started_by_this_process_.emplace(key);
  *entry = &inserted->second;
  *key_state = LedgerKeyState::kNew;
  return absl::OkStatus();
}

absl::Status Ledger::CompleteRequest(absl::string_view key, int http_status,
                                     absl::string_view body) {
  auto it = entries_.find(key);
  if (it == entries_.end()) return absl::NotFoundError("ledger: no such key");
  it->second.done = true;
  it->second.http_status = http_status;
  it->second.body = std::string(body);
  started_by_this_process_.erase(std::string(key));
  return AppendRecord(json{
      {"op", "done"},
      {"k", std::string(key)},
      {"status", http_status},
      {"body",
       std::string(body)}}.dump());
}

absl::Status Ledger::AbandonRequest(absl::string_view key) {
  entries_.erase(std::string(key));
  started_by_this_process_.erase(std::string(key));
  return AppendRecord(json{{"op", "abandon"}, {"k", std::string(key)}}.dump());
}

}  // namespace medlarwalk
