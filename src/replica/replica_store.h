// The replica's state on disk: one file of checksummed records. Each record is
// synced before the replica acts on the change; compaction rewrites the file.
// After a power loss the unsynced tail may be torn or missing. Reading stops at
// the first invalid record, and all synced records come before it.
#ifndef MEDLARWALK_REPLICA_STORE_H_
#define MEDLARWALK_REPLICA_STORE_H_

#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "disk_file.h"
#include "nlohmann/json.hpp"
#include "replica.h"

namespace medlarwalk {

// A ReplicaStore in directory `dir`. Calls block until the data is synced.
class FileReplicaStore : public ReplicaStore {
 public:
  // `before_write` is called before each disk write; it may be empty.
  explicit FileReplicaStore(std::string dir, BeforeWrite before_write = {},
                            FileSystem files = SystemFiles());
  ~FileReplicaStore() override;
  FileReplicaStore(const FileReplicaStore&) = delete;
  FileReplicaStore& operator=(const FileReplicaStore&) = delete;

  // Reads the stored state, makes it durable and opens the file for writing:
  // the process before may have been killed between a write and its sync.
  // Errors: NotFound if the directory holds no state; call ReplaceState first
  // then. DataLoss if a record is malformed. Unavailable for disk errors.
  absl::StatusOr<StoredState> Load();

  absl::Status SaveTermAndVote(uint64_t term,
                               const std::string& voted_for) override;
  absl::Status AppendEntries(const std::vector<LogEntry>& entries) override;
  absl::Status TruncateFrom(uint64_t index) override;
  absl::Status ReplaceState(const StoredState& state) override;

 private:
  // Errors: ResourceExhausted if a record is too large; nothing is then
  // written.
  absl::Status WriteRecords(const std::vector<nlohmann::json>& records);

  BeforeWrite before_write_;
  FileSystem files_;
  std::string dir_;
  std::string path_;
  int fd_ = -1;
  // Total length of the synced records in bytes.
  int64_t synced_length_ = 0;
  // Whether the file may hold a torn record after `synced_length_`. If so, it
  // is truncated to that length before the next record is written.
  bool tail_dirty_ = false;
  // Whether the rename that completed the last rewrite of the file may not be
  // durable yet.
  bool dir_sync_pending_ = false;
};

// Returns `j` as one record for ReadRecords: length, checksum and CBOR bytes.
// Errors: ResourceExhausted if the record is too large to be read back.
absl::StatusOr<std::string> FrameRecord(const nlohmann::json& j);
// Returns the records in `bytes` up to the first invalid one. Sets
// `*valid_bytes` to their total length. Public for tests and fuzzing.
std::vector<nlohmann::json> ReadRecords(absl::string_view bytes,
                                        size_t* valid_bytes);

// Returns the state after applying `records` in order. Errors: DataLoss if a
// record is malformed, NotFound if no record holds the replica's identity.
absl::StatusOr<StoredState> StateFromRecords(
    const std::vector<nlohmann::json>& records);

}  // namespace medlarwalk

#endif  // MEDLARWALK_REPLICA_STORE_H_
