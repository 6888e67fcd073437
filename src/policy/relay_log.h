// Items that a control process passes on between processes: each item once to
// each receiver, for as long as it is of use.
//
// Load pattern: at several times the usual load, every entry reports accounts
// and rejected callers ten times a second. What is passed on is bounded for
// each message and in total; the newest items are kept.
#ifndef MEDLARWALK_RELAY_LOG_H_
#define MEDLARWALK_RELAY_LOG_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "types.h"

namespace medlarwalk {

// Tokens that requests of one client account consumed.
struct AccountTokens {
  uint32_t account = 0;  // Hash of the account's name.
  int64_t tokens = 0;
};

// The time that was given to a rejected caller for its return.
struct PromisedReturn {
  uint32_t fingerprint = 0;  // Low bits of the request's fingerprint.
  Tier tier = 0;
  // Time until the promised one; negative: it has passed; -kReturnGrace: the
  // promise has been used.
  Millis remaining{};
};

// Maximum number of each kind of item in one message.
inline constexpr size_t kMaxAccountItems = 64;
inline constexpr size_t kMaxReturnItems = 256;
// Time after the promised one at which a promise is forgotten.
inline constexpr auto kReturnGrace = Millis(2000);

// Items by order of arrival, and how far each receiver has got them. Thread
// safety: loop thread only.
template <typename Item>
class RelayLog {
 public:
  // Which items a receiver gets.
  enum class Scope {
    kAll,         // An entry: also those from other control processes.
    kDirectOnly,  // A control process: those that entries reported here.
  };
  struct Row {
    Item item;
    TimePoint received_at{};
  };

  // Keeps at most `max_rows` items.
  explicit RelayLog(size_t max_rows) : max_rows_(max_rows) {}

  // Adds an item that `origin` sent. `direct`: an entry reported it here.
  void Add(uint64_t origin, bool direct, Item item, TimePoint now,
           TimePoint expires) {
    rows_.push_back(
        {{std::move(item), now}, ++last_seq_, origin, direct, expires});
    if (rows_.size() > max_rows_) rows_.pop_front();
  }

  // Returns the items that `receiver` has not got yet, oldest first, without
  // those that it sent itself. A receiver not seen within the last 2 s gets all
  // that are kept, and may have got some of them through another control
  // process.
  std::vector<Row> TakeFor(uint64_t receiver, Scope scope, TimePoint now) {
    Receiver& to = receivers_[receiver];
    to.seen_at = now;
    std::vector<Row> out;
    auto first = std::lower_bound(
        rows_.begin(), rows_.end(), to.through + 1,
        [](const Kept& k, uint64_t seq) { return k.seq < seq; });
    for (auto it = first; it != rows_.end(); ++it) {
      if (it->origin == receiver || it->expires <= now) continue;
      if (scope == Scope::kDirectOnly && !it->direct) continue;
      out.push_back(it->row);
    }
    to.through = last_seq_;
    return out;
  }

  // Removes expired items, and receivers that have not asked for 2 s.
  void RemoveExpired(TimePoint now) {
    rows_.erase(std::remove_if(rows_.begin(), rows_.end(),
                               [&](const Kept& k) { return k.expires <= now; }),
                rows_.end());
    for (auto it = receivers_.begin(); it != receivers_.end();) {
      it = now - it->second.seen_at >= kReceiverMemory ? receivers_.erase(it)
                                                       : std::next(it);
    }
  }
  bool empty() const { return rows_.empty(); }
  size_t size() const { return rows_.size(); }

 private:
  static constexpr auto kReceiverMemory = Millis(2000);

  struct Kept {
    Row row;
    uint64_t seq = 0;
    uint64_t origin = 0;
    bool direct = false;
    TimePoint expires{};
  };
  struct Receiver {
    uint64_t through = 0;  // Sequence number of the last item considered.
    TimePoint seen_at{};
  };

  size_t max_rows_;
  uint64_t last_seq_ = 0;
  std::deque<Kept> rows_;
  std::map<uint64_t, Receiver> receivers_;
};

// Returns the tokens summed by account: the accounts with most, at most
// kMaxAccountItems.
std::vector<AccountTokens> SumByAccount(
    const std::vector<RelayLog<AccountTokens>::Row>& rows);
// Returns the newest promises, at most kMaxReturnItems, with the time that
// remains at `now`.
std::vector<PromisedReturn> NewestReturns(
    const std::vector<RelayLog<PromisedReturn>::Row>& rows, TimePoint now);

}  // namespace medlarwalk

#endif  // MEDLARWALK_RELAY_LOG_H_
