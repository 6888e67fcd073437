// Counts of requests that began to run, by window of true time and client
// account: an entry's own, and at control processes those of all that report
// there. Each process counts for itself and its counts only grow; they are
// joined by the greatest, so that it makes no difference how often or through
// whom they are told.
#ifndef MEDLARWALK_USAGE_BOOK_H_
#define MEDLARWALK_USAGE_BOOK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "types.h"

namespace medlarwalk {

// Requests by client account.
using UsageCounts = std::map<std::string, int64_t>;

// What one start of one process has counted.
struct UsageRecord {
  uint64_t process = 0;  // Drawn at each start.
  int64_t window = 0;
  std::string account;
  int64_t count = 0;
};

// Thread safety: loop thread only.
class UsageBook {
 public:
  // `most`: records kept; beyond them new ones are not taken.
  explicit UsageBook(size_t most = 65536) : most_(most) {}

  // Counts one request.
  void Count(uint64_t process, int64_t window, const std::string& account);
  void Join(absl::Span<const UsageRecord> records);
  // What is fixed is forgotten, and not taken any more.
  void DropThrough(int64_t window);

  UsageCounts Sum(int64_t window) const;
  // Starts of processes that have counted in it.
  size_t Processes(int64_t window) const;
  std::optional<int64_t> first_window() const;
  size_t size() const { return cells_.size(); }

  // Number of the last change.
  uint64_t seq() const { return seq_; }
  // The first `most` records changed after `seq`, in the order of their last
  // change; `*through` gets the number of the last one's.
  std::vector<UsageRecord> ChangedSince(uint64_t seq, size_t most,
                                        uint64_t* through) const;

 private:
  struct Key {
    int64_t window = 0;
    uint64_t process = 0;
    std::string account;
    bool operator<(const Key& o) const;
  };
  struct Cell {
    int64_t count = 0;
    uint64_t seq = 0;
  };
  void Raise(Key key, int64_t count);

  size_t most_;
  std::map<Key, Cell> cells_;
  std::map<uint64_t, Key> by_seq_;
  int64_t dropped_through_ = 0;
  uint64_t seq_ = 0;
};

// What of a book is not yet known to the process it is reported to. Thread
// safety: loop thread only.
class UsageReports {
 public:
  // Precondition: `book` outlives this. `interval`: least time from one telling
  // to the next; what a process had not told is lost with it.
  UsageReports(const UsageBook& book, Duration interval)
      : book_(book), interval_(interval) {}

  // What to tell `target` next.
  std::vector<UsageRecord> For(const std::string& target, TimePoint now);
  // The target has taken what For returned last.
  void Confirmed() { confirmed_ = sent_; }
  // The target failed: it may come back with nothing.
  void Lost();

 private:
  // Records told at once.
  static constexpr size_t kMostTold = 1024;

  const UsageBook& book_;
  Duration interval_;
  std::string target_;
  std::optional<TimePoint> told_at_;
  uint64_t sent_ = 0;
  uint64_t confirmed_ = 0;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_USAGE_BOOK_H_
