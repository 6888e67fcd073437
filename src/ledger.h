// The at-most-once ledger: for each idempotency key, whether its request has
// started and, once done, the answer. A key is recorded (and synced) before
// the request is sent upstream, so a resend, or a resend after this process
// restarts, never runs it twice: it gets the stored answer, "still running",
// or "outcome unknown". Records are JSON lines in one file, compacted into a
// snapshot when the file grows to twice the live entries.
#ifndef MEDLARWALK_LEDGER_H_
#define MEDLARWALK_LEDGER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"

namespace medlarwalk {

// What Begin found for a key.
enum class LedgerVerdict {
  kNew,        // Not seen: recorded as started; the caller sends it.
  kRunning,    // Started by this process and not done yet.
  kDone,       // Done: the stored answer is the answer.
  kUnknown,    // Started before a restart and never finished: it may have
               // run, so it must not run again.
  kKeyReused,  // The key was used for a different request body.
};

// One key's record.
struct LedgerEntry {
  uint64_t fingerprint = 0;  // Hash of the request body.
  bool done = false;
  int http_status = 0;
  std::string body;
};

// The ledger. Thread safety: loop thread only.
class Ledger {
 public:
  // `path` is the file under the data folder; "" keeps the ledger in memory
  // only (a host without a disk), which loses it on restart.
  explicit Ledger(std::string path);

  // Replays the file. Errors: DataLoss naming the line that cannot be read.
  absl::Status Open();

  // Looks the key up and, when new, records it as started durably before
  // returning. Errors: Internal when the record cannot be synced, in which
  // case the request must not be sent.
  absl::Status Begin(absl::string_view key, uint64_t fingerprint,
                     LedgerVerdict* verdict, const LedgerEntry** entry);

  // Records the answer of a started key.
  absl::Status Complete(absl::string_view key, int http_status,
                        absl::string_view body);

  // Forgets a started key whose request is known never to have reached the
  // upstream, so that a resend may run it.
  absl::Status Abandon(absl::string_view key);

  size_t size() const { return entries_.size(); }
  // Records appended since the last compaction.
  size_t log_records() const { return log_records_; }

 private:
  absl::Status Append(const std::string& line);
  absl::Status Compact();

  std::string path_;
  std::map<std::string, LedgerEntry, std::less<>> entries_;
  std::set<std::string, std::less<>> started_here_;
  size_t log_records_ = 0;
  int fd_ = -1;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_LEDGER_H_
