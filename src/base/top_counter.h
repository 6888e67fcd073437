// Counter of events by key with bounded memory: the keys with the most events
// are counted one by one, all other events are summed. Pure.
//
// Load pattern: an operator configures thousands of client accounts, and in an
// overload each of them has rejected requests. One metric series for each would
// grow every process's memory and every read of its metrics.
#ifndef MEDLARWALK_TOP_COUNTER_H_
#define MEDLARWALK_TOP_COUNTER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace medlarwalk {

// Counts events of at most `max_keys` keys. A key with more than 1 / max_keys
// of all events is always among them (the Space-Saving algorithm). The sum of
// all counts is exact; the count of a key covers the time since it was last
// added. Thread safety: loop thread only.
class TopCounter {
 public:
  struct Entry {
    std::string key;
    int64_t count = 0;  // Events since the key was added.
    // Upper bound of the events of the key, by which keys are replaced.
    int64_t rank = 0;
  };
  // Precondition: max_keys > 0.
  explicit TopCounter(size_t max_keys) : max_keys_(max_keys) {}

  void Increment(absl::string_view key);
  // Returns the counted keys, in no particular order.
  const std::vector<Entry>& entries() const { return entries_; }
  // Returns the number of events of all keys that are not in entries().
  int64_t other() const { return other_; }

 private:
  size_t max_keys_;
  std::vector<Entry> entries_;
  int64_t other_ = 0;
};

// Label of the sum over all accounts that have no series of their own.
inline constexpr char kOtherAccounts[] = "other";

// Returns the name of a client account as logs and metrics show it: printable
// ASCII, at most 73 bytes, and never kOtherAccounts. Other bytes, quotes,
// backslashes and percent signs become %XX. A longer name is cut and ends with
// a hash of the whole, so that two names stay different. Thread safe.
std::string AccountLabel(absl::string_view name);

}  // namespace medlarwalk

#endif  // MEDLARWALK_TOP_COUNTER_H_
