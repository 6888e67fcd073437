// Table of rejected requests whose callers were told when to return, at any
// entry process. Pure; callers pass the current time.
//
// Load pattern: a burst exceeds the capacity for a second or two. Rejected
// callers wait as long as they were told and send the request again, to any
// entry. If they compete with newcomers then, part of them is rejected again
// and gives up, although requests that arrived later are served.
#ifndef MEDLARWALK_RETURN_TABLE_H_
#define MEDLARWALK_RETURN_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "absl/types/span.h"
#include "request_fingerprint.h"
#include "types.h"

namespace medlarwalk {

// A row of the table as entry processes send it to each other.
struct ReturnRecord {
  uint32_t fingerprint = 0;  // Low 32 bits of the request's fingerprint.
  Tier tier = 0;
  // Time until the promised time; negative after it. At most -kReturnMemory:
  // the row has been used and gives no precedence any more.
  Duration remaining{};
};

// Time after the promised time for which a row is kept.
inline constexpr Duration kReturnMemory = std::chrono::seconds(2);
// A caller counts as early if it returns earlier than this before the promised
// time. Covers the time that a record spends on the network, by which other
// processes take the promised time for later than it is.
inline constexpr Duration kReturnTolerance = Millis(50);
inline constexpr size_t kMaxReturnRows = 4096;
// Longest time until a promised time that Merge() accepts.
inline constexpr Duration kMaxReturnDelay = std::chrono::minutes(1);

// Result of looking up an arriving request.
enum class ReturnClaim {
  kUnknown,  // Not rejected before, or its row was used, forgotten or dropped.
  kEarly,    // Returned before the promised time.
  kKept,     // Returned when it was told to.
};

// Thread safety: loop thread only.
class ReturnTable {
 public:
  // Records that this process rejected a request and told its caller to return
  // at `promised_at`. Replaces an earlier row of the same request.
  void RecordPromise(RequestFingerprint fingerprint, Tier tier,
                     TimePoint promised_at, TimePoint now);
  // Returns what is known of an arriving request. A row is used by the first
  // claim, also by an early one: a caller that does not wait gains nothing by
  // trying often.
  ReturnClaim Claim(RequestFingerprint fingerprint, Tier tier, TimePoint now);
  // Returns at most `max` rows that this process recorded or used and that were
  // not returned before, newest first.
  std::vector<ReturnRecord> TakeNew(size_t max, TimePoint now);
  // Merges rows of other processes; the order and repetitions do not matter.
  // Merged rows are not returned by TakeNew().
  void Merge(absl::Span<const ReturnRecord> records, TimePoint now);
  // Forgets the rows whose time has passed.
  void RemoveExpired(TimePoint now);

  size_t size() const { return rows_.size(); }
  // Returns the number of unused rows dropped because the table was full, and
  // of merged records that were out of range.
  uint64_t dropped() const { return dropped_; }

 private:
  struct Row {
    Tier tier = 0;
    TimePoint promised_at{};
    bool used = false;
    uint64_t unsent_seq = 0;  // Key in unsent_; 0: nothing to send.
  };
  using Rows = std::unordered_map<uint32_t, Row>;

  // Inserts or replaces the row of `fingerprint`.
  Row& SetRow(uint32_t fingerprint, Tier tier, TimePoint promised_at);
  void Erase(Rows::iterator it);
  void MarkUnsent(uint32_t fingerprint, Row& row);

  Rows rows_;
  // The rows by promised time. The first one is forgotten next; it is dropped
  // when the table is full.
  std::set<std::pair<TimePoint, uint32_t>> by_time_;
  std::map<uint64_t, uint32_t> unsent_;  // Fingerprints, oldest change first.
  uint64_t next_seq_ = 1;
  uint64_t dropped_ = 0;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_RETURN_TABLE_H_
