#include "replica_store.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "absl/strings/str_cat.h"
#include "disk_file.h"
#include "json_numbers.h"
#include "log.h"
#include "replica_codec.h"

namespace medlarwalk {

using nlohmann::json;

namespace {

constexpr size_t kHeaderBytes = 12;  // Length (4) and checksum (8).
// A length above this is a torn header, not a record.
constexpr uint32_t kMaxRecordBytes = 64u << 20;

json StateRecord(const StoredState& s) {
  return {
      {"r", "state"}, {"self", ToJson(s.self)}, {"snap", ToJson(s.snapshot)}};
}

json VoteRecord(uint64_t term, const std::string& vote) {
  return {{"r", "vote"}, {"t", term}, {"v", vote}};
}

json EntryRecord(const LogEntry& e) {
  return {{"r", "entry"}, {"e", ToJson(e)}};
}

void DropFrom(std::vector<LogEntry>& log, uint64_t index) {
  while (!log.empty() && log.back().index >= index) log.pop_back();
}

}  // namespace

std::string FrameRecord(const json& j) {
  std::string payload = ToCbor(j);
  uint32_t n = static_cast<uint32_t>(payload.size());
  uint64_t sum = StableHash(payload, n);
  std::string out(kHeaderBytes, '\0');
  std::memcpy(&out[0], &n, 4);
  std::memcpy(&out[4], &sum, 8);
  return out + payload;
}

std::vector<json> ReadRecords(absl::string_view bytes, size_t* taken) {
  std::vector<json> out;
  *taken = 0;
  while (bytes.size() >= kHeaderBytes) {
    uint32_t n;
    uint64_t sum;
    std::memcpy(&n, bytes.data(), 4);
    std::memcpy(&sum, bytes.data() + 4, 8);
    if (n > kMaxRecordBytes || bytes.size() - kHeaderBytes < n) break;
    absl::string_view payload = bytes.substr(kHeaderBytes, n);
    if (StableHash(payload, n) != sum) break;
    absl::StatusOr<json> j = FromCbor(payload);
    if (!j.ok()) break;
    out.push_back(*std::move(j));
    bytes.remove_prefix(kHeaderBytes + n);
    *taken += kHeaderBytes + n;
  }
  return out;
}

absl::StatusOr<StoredState> StateFromRecords(const std::vector<json>& records) {
  StoredState s;
  try {
    for (const json& r : records) {
      std::string kind = r.at("r").get<std::string>();
      if (kind == "state") {
        s.self = MemberFromJson(r.at("self"));
        s.snapshot = SnapshotFromJson(r.at("snap"));
        s.log.clear();
      } else if (kind == "vote") {
        s.term = WholeNumber<uint64_t>(r.at("t"));
        s.voted_for = r.at("v").get<std::string>();
      } else if (kind == "entry") {
        LogEntry e = EntryFromJson(r.at("e"));
        DropFrom(s.log, e.index);
        uint64_t next =
            (s.log.empty() ? s.snapshot.index : s.log.back().index) + 1;
        if (e.index == next) s.log.push_back(std::move(e));
      } else if (kind == "truncate") {
        DropFrom(s.log, WholeNumber<uint64_t>(r.at("i")));
      }
    }
  } catch (const json::exception& e) {
    return absl::DataLossError(e.what());
  }
  if (s.self.id.empty()) return absl::NotFoundError("no identity stored");
  return s;
}

FileReplicaStore::FileReplicaStore(std::string dir, BeforeWrite before_write)
    : before_write_(std::move(before_write)),
      dir_(std::move(dir)),
      path_(dir_ + "/replica.log") {}

FileReplicaStore::~FileReplicaStore() {
  if (fd_ >= 0) close(fd_);
}

absl::StatusOr<StoredState> FileReplicaStore::Load() {
  mkdir(dir_.c_str(), 0755);
  absl::StatusOr<std::string> bytes = ReadFile(path_);
  if (!bytes.ok()) return bytes.status();
  size_t taken = 0;
  std::vector<json> records = ReadRecords(*bytes, &taken);
  if (records.empty()) return absl::NotFoundError("no whole record");
  absl::StatusOr<StoredState> s = StateFromRecords(records);
  if (!s.ok()) return s;
  fd_ = open(path_.c_str(), O_RDWR | O_CLOEXEC);
  if (fd_ < 0) return Errno("open");
  good_length_ = static_cast<int64_t>(taken);
  dirty_ = taken != bytes->size();
  dir_unsynced_ = true;
  lseek(fd_, good_length_, SEEK_SET);
  return s;
}

absl::Status FileReplicaStore::WriteRecords(const std::vector<json>& records) {
  if (fd_ < 0) return absl::UnavailableError("store is not open");
  if (dir_unsynced_) {
    absl::Status s = SyncDir(dir_);
    if (!s.ok()) return s;
    dir_unsynced_ = false;
  }
  if (dirty_) {
    if (ftruncate(fd_, good_length_) != 0 || fsync(fd_) != 0) {
      return Errno("cut back");
    }
    lseek(fd_, good_length_, SEEK_SET);
    dirty_ = false;
  }
  std::string bytes;
  for (const json& r : records) bytes += FrameRecord(r);
  dirty_ = true;
  absl::Status s = WriteAll(fd_, bytes, before_write_);
  if (!s.ok()) return s;
  if (fdatasync(fd_) != 0) return Errno("sync");
  dirty_ = false;
  good_length_ += static_cast<int64_t>(bytes.size());
  return absl::OkStatus();
}

absl::Status FileReplicaStore::SaveVote(uint64_t term,
                                        const std::string& voted_for) {
  return WriteRecords({VoteRecord(term, voted_for)});
}

absl::Status FileReplicaStore::Append(const std::vector<LogEntry>& entries) {
  std::vector<json> records;
  for (const LogEntry& e : entries) records.push_back(EntryRecord(e));
  return WriteRecords(records);
}

absl::Status FileReplicaStore::Truncate(uint64_t index) {
  return WriteRecords({json{{"r", "truncate"}, {"i", index}}});
}

absl::Status FileReplicaStore::Rewrite(const StoredState& state) {
  std::string bytes = FrameRecord(StateRecord(state));
  bytes += FrameRecord(VoteRecord(state.term, state.voted_for));
  for (const LogEntry& e : state.log) bytes += FrameRecord(EntryRecord(e));
  absl::StatusOr<int> fd = ReplaceFile(path_, bytes, before_write_);
  if (!fd.ok()) return fd.status();
  // From here the new file is the one in use. Until the folder is synced the
  // older one may come back after a loss of power, so nothing more is written
  // before that has succeeded.
  if (fd_ >= 0) close(fd_);
  fd_ = *fd;
  good_length_ = static_cast<int64_t>(bytes.size());
  dirty_ = false;
  absl::Status s = SyncDir(dir_);
  dir_unsynced_ = !s.ok();
  return s;
}

}  // namespace medlarwalk
