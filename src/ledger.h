// The at-most-once ledger records for each idempotency key whether its request
// was started and, once completed, the answer. A key is recorded and synced to
// disk before the request is sent upstream, so a resend never runs the request
// twice, even after a restart of this process. The resend gets the stored
// answer, "still running" or "outcome unknown". Records are JSON lines in one
// file. The file is compacted into a snapshot when it holds twice as many
// records as there are live entries.
#ifndef MEDLARWALK_LEDGER_H_
#define MEDLARWALK_LEDGER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "disk_file.h"

namespace medlarwalk {

// The state of an idempotency key as found by BeginRequest.
enum class LedgerKeyState {
  kNew,         // The key was not in the ledger; now recorded as started.
  kRunning,     // The request was started by this process and is not completed.
  kCompleted,   // The request completed; its answer is stored.
  kMayHaveRun,  // The request was started before a restart and never completed:
                // it may have run, so it must not run again.
  kKeyReused,   // The key was used with a different request body.
};

// The record of one idempotency key.
struct LedgerEntry {
  uint64_t fingerprint = 0;  // Hash of the request body.
  bool done = false;
  int http_status = 0;
  std::string body;
};

// The at-most-once ledger. Thread safety: loop thread only.
class Ledger {
 public:
  // `path` is the file in the data directory. "" keeps the ledger in memory
  // only (a host without a disk); it is then lost on restart.
  explicit Ledger(std::string path, FileSystem files = SystemFiles());
  ~Ledger();
  Ledger(const Ledger&) = delete;
  Ledger& operator=(const Ledger&) = delete;

  // Reads the records in the file and makes them durable. Errors: DataLoss
  // naming the line that cannot be read; Unavailable when the file cannot be
  // read; Internal when it cannot be opened for writing or synced.
  absl::Status Open();

  // Looks up `key`. A new key is recorded durably as started before the method
  // returns. Errors: Internal or Unavailable if it cannot be synced; the
  // request must then not be sent.
  absl::Status BeginRequest(absl::string_view key, uint64_t fingerprint,
                            LedgerKeyState* key_state,
                            const LedgerEntry** entry);

  // Records the answer to the request of a started key.
  absl::Status CompleteRequest(absl::string_view key, int http_status,
                               absl::string_view body);

  // Removes a started key whose request is known never to have reached the
  // upstream, so that a resend may run it.
  absl::Status AbandonRequest(absl::string_view key);

  size_t size() const { return entries_.size(); }
  // Returns an upper bound of the number of records in the ledger file.
  size_t log_records() const { return log_records_; }

 private:
  absl::Status AppendRecord(const std::string& line);
  absl::Status Compact();
  // Makes the name of a compacted file durable if it may not be yet.
  absl::Status SyncCompaction();

  FileSystem files_;
  std::string path_;
  std::map<std::string, LedgerEntry, std::less<>> entries_;
  std::set<std::string, std::less<>> started_by_this_process_;
  size_t log_records_ = 0;
  int fd_ = -1;
  // Total length of the complete records in the file in bytes.
  int64_t synced_length_ = 0;
  // Whether the file may hold an incomplete record after `synced_length_`. If
  // so, it is truncated to that length before the next record is written.
  bool tail_dirty_ = false;
  // Whether the rename that completed the last compaction may not be durable
  // yet.
  bool dir_sync_pending_ = false;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_LEDGER_H_
