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

// Bytes of a record's header: length (4) and checksum (8).
constexpr size_t kRecordHeaderBytes = 12;
// Maximum record length. A greater length in a header means that the header is
// torn.
constexpr uint32_t kMaxRecordBytes = 64u << 20;

json StateRecord(const StoredState& state) {
  return {{"r", "state"},
          {"self", ToJson(state.self)},
          {"snap", ToJson(state.snapshot)}};
}

json VoteRecord(uint64_t term, const std::string& voted_for) {
  return {{"r", "vote"}, {"t", term}, {"v", voted_for}};
}

json EntryRecord(const LogEntry& e) {
  return {{"r", "entry"}, {"e", ToJson(e)}};
}

void RemoveEntriesFrom(std::vector<LogEntry>& log, uint64_t index) {
  while (!log.empty() && log.back().index >= index) log.pop_back();
}

}  // namespace

absl::StatusOr<std::string> FrameRecord(const json& j) {
  std::string payload = ToCbor(j);
  if (payload.size() > kMaxRecordBytes) {
    return absl::ResourceExhaustedError(
        absl::StrCat("record of ", payload.size(), " bytes"));
  }
  uint32_t length = static_cast<uint32_t>(payload.size());
  uint64_t checksum = StableHash(payload, length);
  std::string header(kRecordHeaderBytes, '\0');
  std::memcpy(&header[0], &length, 4);
  std::memcpy(&header[4], &checksum, 8);
  return header + payload;
}

namespace {

absl::StatusOr<std::string> FrameRecords(const std::vector<json>& records) {
  std::string bytes;
  for (const json& r : records) {
    absl::StatusOr<std::string> framed = FrameRecord(r);
    if (!framed.ok()) return framed.status();
    bytes += *framed;
  }
  return bytes;
}

}  // namespace

std::vector<json> ReadRecords(absl::string_view bytes, size_t* valid_bytes) {
  std::vector<json> records;
  *valid_bytes = 0;
  while (bytes.size() >= kRecordHeaderBytes) {
    uint32_t length;
    uint64_t checksum;
    std::memcpy(&length, bytes.data(), 4);
    std::memcpy(&checksum, bytes.data() + 4, 8);
    if (length > kMaxRecordBytes || bytes.size() - kRecordHeaderBytes < length)
      break;
    absl::string_view payload = bytes.substr(kRecordHeaderBytes, length);
    if (StableHash(payload, length) != checksum) break;
    absl::StatusOr<json> j = FromCbor(payload);
    if (!j.ok()) break;
    records.push_back(*std::move(j));
    bytes.remove_prefix(kRecordHeaderBytes + length);
    *valid_bytes += kRecordHeaderBytes + length;
  }
  return records;
}

absl::StatusOr<StoredState> StateFromRecords(const std::vector<json>& records) {
  StoredState state;
  try {
    for (const json& r : records) {
      std::string kind = r.at("r").get<std::string>();
      if (kind == "state") {
        state.self = MemberFromJson(r.at("self"));
        state.snapshot = SnapshotFromJson(r.at("snap"));
        state.log.clear();
      } else if (kind == "vote") {
        state.term = IntegerFromJson<uint64_t>(r.at("t"));
        state.voted_for = r.at("v").get<std::string>();
      } else if (kind == "entry") {
        LogEntry e = EntryFromJson(r.at("e"));
        RemoveEntriesFrom(state.log, e.index);
        uint64_t next = (state.log.empty() ? state.snapshot.index
                                           : state.log.back().index) +
                        1;
        if (e.index == next) state.log.push_back(std::move(e));
      } else if (kind == "truncate") {
        RemoveEntriesFrom(state.log, IntegerFromJson<uint64_t>(r.at("i")));
      }
    }
  } catch (const json::exception& e) {
    return absl::DataLossError(e.what());
  }
  if (state.self.id.empty()) return absl::NotFoundError("no identity stored");
  return state;
}

FileReplicaStore::FileReplicaStore(std::string dir, BeforeWrite before_write,
                                   FileSystem files)
    : before_write_(std::move(before_write)),
      files_(std::move(files)),
      dir_(std::move(dir)),
      path_(dir_ + "/replica.log") {}

FileReplicaStore::~FileReplicaStore() {
  if (fd_ >= 0) close(fd_);
}

absl::StatusOr<StoredState> FileReplicaStore::Load() {
  mkdir(dir_.c_str(), 0755);
  absl::StatusOr<std::string> bytes = ReadFile(path_);
  if (!bytes.ok()) return bytes.status();
  size_t valid_bytes = 0;
  std::vector<json> records = ReadRecords(*bytes, &valid_bytes);
  if (records.empty()) return absl::NotFoundError("no complete record");
  absl::StatusOr<StoredState> state = StateFromRecords(records);
  if (!state.ok()) return state;
  fd_ = files_.open(path_, O_RDWR);
  if (fd_ < 0) return ErrnoStatus("open");
  if (files_.sync(fd_) != 0) return ErrnoStatus("sync");
  // The process before may have been killed between a rename and its sync.
  absl::Status dir_status = SyncDir(files_, dir_);
  if (!dir_status.ok()) return dir_status;
  synced_length_ = static_cast<int64_t>(valid_bytes);
  tail_dirty_ = valid_bytes != bytes->size();
  lseek(fd_, synced_length_, SEEK_SET);
  return state;
}

absl::Status FileReplicaStore::WriteRecords(const std::vector<json>& records) {
  if (fd_ < 0) return absl::UnavailableError("store is not open");
  if (dir_sync_pending_) {
    absl::Status status = SyncDir(files_, dir_);
    if (!status.ok()) return status;
    dir_sync_pending_ = false;
  }
  if (tail_dirty_) {
    if (files_.truncate(fd_, synced_length_) != 0 || files_.sync(fd_) != 0) {
      return ErrnoStatus("truncate");
    }
    lseek(fd_, synced_length_, SEEK_SET);
    tail_dirty_ = false;
  }
  absl::StatusOr<std::string> bytes = FrameRecords(records);
  if (!bytes.ok()) return bytes.status();
  tail_dirty_ = true;
  absl::Status status = WriteAll(files_, fd_, *bytes, before_write_);
  if (!status.ok()) return status;
  if (files_.sync(fd_) != 0) return ErrnoStatus("sync");
  tail_dirty_ = false;
  synced_length_ += static_cast<int64_t>(bytes->size());
  return absl::OkStatus();
}

absl::Status FileReplicaStore::SaveTermAndVote(uint64_t term,
                                               const std::string& voted_for) {
  return WriteRecords({VoteRecord(term, voted_for)});
}

absl::Status FileReplicaStore::AppendEntries(
    const std::vector<LogEntry>& entries) {
  std::vector<json> records;
  for (const LogEntry& e : entries) records.push_back(EntryRecord(e));
  return WriteRecords(records);
}

absl::Status FileReplicaStore::TruncateFrom(uint64_t index) {
  return WriteRecords({json{{"r", "truncate"}, {"i", index}}});
}

absl::Status FileReplicaStore::ReplaceState(const StoredState& state) {
  std::vector<json> records = {StateRecord(state),
                               VoteRecord(state.term, state.voted_for)};
  for (const LogEntry& e : state.log) records.push_back(EntryRecord(e));
  absl::StatusOr<std::string> bytes = FrameRecords(records);
  if (!bytes.ok()) return bytes.status();
  absl::StatusOr<int> fd = ReplaceFile(files_, path_, *bytes, before_write_);
  if (!fd.ok()) return fd.status();
  // From this point, records are written to the new file. WriteRecords syncs
  // the directory before it writes, because the old file may reappear after a
  // power loss until the directory is synced.
  if (fd_ >= 0) close(fd_);
  fd_ = *fd;
  synced_length_ = static_cast<int64_t>(bytes->size());
  tail_dirty_ = false;
  absl::Status status = SyncDir(files_, dir_);
  dir_sync_pending_ = !status.ok();
  return status;
}

}  // namespace medlarwalk
