#include "ledger.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <fstream>

#include "absl/strings/str_cat.h"
#include "json_numbers.h"
#include "nlohmann/json.hpp"

namespace medlarwalk {

using nlohmann::json;

namespace {

constexpr size_t kCompactMinRecords = 64;

absl::Status WriteAll(int fd, const std::string& data) {
  size_t off = 0;
  while (off < data.size()) {
    ssize_t n = write(fd, data.data() + off, data.size() - off);
    if (n < 0) {
      if (errno == EINTR) continue;
      return absl::InternalError(
          absl::StrCat("ledger write: ", std::strerror(errno)));
    }
    off += static_cast<size_t>(n);
  }
  if (fsync(fd) != 0) {
    return absl::InternalError(
        absl::StrCat("ledger fsync: ", std::strerror(errno)));
  }
  return absl::OkStatus();
}

std::string DirOf(const std::string& path) {
  size_t slash = path.rfind('/');
  return slash == std::string::npos ? "." : path.substr(0, slash);
}

// Takes record `r` over into `entries`; false when it is none.
bool Replay(const json& r,
            std::map<std::string, LedgerEntry, std::less<>>* entries) {
  try {
    std::string key = r.at("k").get<std::string>();
    std::string op = r.at("op").get<std::string>();
    if (op == "start") {
      LedgerEntry started;
      started.fingerprint = WholeNumber(r, "fp", uint64_t{0});
      (*entries)[key] = started;
    } else if (op == "done") {
      LedgerEntry& e = (*entries)[key];
      e.done = true;
      e.http_status = WholeNumber(r, "status", 0);
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

Ledger::Ledger(std::string path) : path_(std::move(path)) {}

absl::Status Ledger::Open() {
  if (path_.empty()) return absl::OkStatus();
  std::ifstream in(path_);
  std::string line;
  size_t n = 0;
  while (std::getline(in, line)) {
    ++n;
    json r = json::parse(line, nullptr, false);
    // A torn last line is a write that was never synced, so never promised.
    if (r.is_discarded() || !r.contains("k") || !r.contains("op")) {
      if (in.peek() == EOF) break;
      return absl::DataLossError(absl::StrCat("ledger ", path_, ": line ", n));
    }
    if (!Replay(r, &entries_)) {
      return absl::DataLossError(absl::StrCat("ledger ", path_, ": line ", n));
    }
    ++log_records_;
  }
  fd_ = open(path_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (fd_ < 0) {
    return absl::InternalError(
        absl::StrCat("ledger open ", path_, ": ", std::strerror(errno)));
  }
  return absl::OkStatus();
}

absl::Status Ledger::Append(const std::string& line) {
  if (path_.empty()) return absl::OkStatus();
  absl::Status s = WriteAll(fd_, line + "\n");
  if (!s.ok()) return s;
  ++log_records_;
  if (log_records_ >= kCompactMinRecords &&
      log_records_ > 2 * entries_.size()) {
    return Compact();
  }
  return absl::OkStatus();
}

// Writes the live entries to a new file, syncs it, renames it over the log
// and syncs the folder: a crash at any point leaves either file whole.
absl::Status Ledger::Compact() {
  std::string tmp = path_ + ".tmp";
  int fd = open(tmp.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (fd < 0) return absl::InternalError("ledger compact: cannot open");
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
  absl::Status s = WriteAll(fd, out);
  close(fd);
  if (!s.ok()) return s;
  if (rename(tmp.c_str(), path_.c_str()) != 0) {
    return absl::InternalError("ledger compact: rename failed");
  }
  int dir = open(DirOf(path_).c_str(), O_RDONLY | O_DIRECTORY);
  if (dir >= 0) {
    fsync(dir);
    close(dir);
  }
  close(fd_);
  fd_ = open(path_.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
  log_records_ = entries_.size() * 2;
  return fd_ < 0 ? absl::InternalError("ledger compact: reopen failed")
                 : absl::OkStatus();
}

absl::Status Ledger::Begin(absl::string_view key, uint64_t fingerprint,
                           LedgerVerdict* verdict, const LedgerEntry** entry) {
  auto it = entries_.find(key);
  if (it != entries_.end()) {
    *entry = &it->second;
    if (it->second.fingerprint != fingerprint) {
      *verdict = LedgerVerdict::kKeyReused;
    } else if (it->second.done) {
      *verdict = LedgerVerdict::kDone;
    } else if (started_here_.count(key)) {
      *verdict = LedgerVerdict::kRunning;
    } else {
      *verdict = LedgerVerdict::kUnknown;
    }
    return absl::OkStatus();
  }
  absl::Status s = Append(json{
      {"op", "start"},
      {"k", std::string(key)},
      {"fp", fingerprint}}.dump());
  if (!s.ok()) return s;
  auto [ins, unused] = entries_.emplace(std::string(key),
                                        LedgerEntry{fingerprint, false, 0, ""});
  started_here_.emplace(key);
  *entry = &ins->second;
  *verdict = LedgerVerdict::kNew;
  return absl::OkStatus();
}

absl::Status Ledger::Complete(absl::string_view key, int http_status,
                              absl::string_view body) {
  auto it = entries_.find(key);
  if (it == entries_.end()) return absl::NotFoundError("ledger: no such key");
  it->second.done = true;
  it->second.http_status = http_status;
  it->second.body = std::string(body);
  started_here_.erase(std::string(key));
  return Append(json{{"op", "done"},
                     {"k", std::string(key)},
                     {"status", http_status},
                     {"body", std::string(body)}}
                    .dump());
}

absl::Status Ledger::Abandon(absl::string_view key) {
  entries_.erase(std::string(key));
  started_here_.erase(std::string(key));
  return Append(json{{"op", "abandon"}, {"k", std::string(key)}}.dump());
}

}  // namespace medlarwalk
