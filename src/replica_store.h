// The replica's state on disk: one file of checksummed records, each synced
// before its change is acted on, and rewritten whole when it is folded. After
// a loss of power the unsynced tail may be torn or missing; it ends at the
// first record that does not check, and nothing before it was unsynced.
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

// A ReplicaStore in folder `dir`. Calls block until synced.
class FileReplicaStore : public ReplicaStore {
 public:
  // `before_write` may be empty.
  explicit FileReplicaStore(std::string dir, BeforeWrite before_write = {});
  ~FileReplicaStore() override;
  FileReplicaStore(const FileReplicaStore&) = delete;
  FileReplicaStore& operator=(const FileReplicaStore&) = delete;

  // Reads what is stored and opens it for writing. NotFound when the folder
  // holds no state (call Rewrite first then); errors of the disk as
  // Unavailable.
  absl::StatusOr<StoredState> Load();

  absl::Status SaveVote(uint64_t term, const std::string& voted_for) override;
  absl::Status Append(const std::vector<LogEntry>& entries) override;
  absl::Status Truncate(uint64_t index) override;
  absl::Status Rewrite(const StoredState& state) override;

 private:
  absl::Status WriteRecords(const std::vector<nlohmann::json>& records);

  BeforeWrite before_write_;
  std::string dir_;
  std::string path_;
  int fd_ = -1;
  // A failed write may have left a torn record: nothing may follow it until
  // the file has been cut back to this length.
  int64_t good_length_ = 0;
  bool dirty_ = false;
  // The rename of the last rewrite is not yet known to be durable.
  bool dir_unsynced_ = false;
};

// One record as ReadRecords reads it, with its length and a checksum.
std::string FrameRecord(const nlohmann::json& j);
// The records in `bytes`, up to the first that does not check; their length
// in bytes goes to `*taken`. For tests and fuzzing of the reader too.
std::vector<nlohmann::json> ReadRecords(absl::string_view bytes, size_t* taken);

// The state that `records` leave, in their order. Errors: DataLoss when one is
// no record, NotFound when none says who the replica is.
absl::StatusOr<StoredState> StateFromRecords(
    const std::vector<nlohmann::json>& records);

}  // namespace medlarwalk

#endif  // MEDLARWALK_REPLICA_STORE_H_
