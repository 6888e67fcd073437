// Items that wait until a report has carried them to a control process.
#ifndef MEDLARWALK_LOAD_OUTBOX_H_
#define MEDLARWALK_LOAD_OUTBOX_H_

#include <vector>

#include "relay_log.h"
#include "types.h"

namespace medlarwalk {

// Items with the time of their arrival. One report is in flight at a time.
// Thread safety: loop thread only.
template <typename Item>
class LoadOutbox {
 public:
  using Row = typename RelayLog<Item>::Row;

  // Adds items, and drops the oldest beyond kMaxRows.
  void Add(const std::vector<Item>& items, TimePoint now) {
    for (const Item& item : items) rows_.push_back({item, now});
    if (rows_.size() <= kMaxRows) return;
    size_t excess = rows_.size() - kMaxRows;
    EraseFirst(excess);
    in_flight_ -= std::min(excess, in_flight_);
  }
  // Removes items that arrived more than `lifetime` ago, unless in flight.
  void RemoveOlderThan(Duration lifetime, TimePoint now) {
    if (in_flight_ > 0) return;
    rows_.erase(std::remove_if(rows_.begin(), rows_.end(),
                               [&](const Row& r) {
                                 return now - r.received_at > lifetime;
                               }),
                rows_.end());
  }
  // Returns all items; they are in flight until OnDelivered() or OnLost().
  const std::vector<Row>& Send() {
    in_flight_ = rows_.size();
    return rows_;
  }
  void OnDelivered() {
    EraseFirst(in_flight_);
    in_flight_ = 0;
  }
  // The items in flight are sent again.
  void OnLost() { in_flight_ = 0; }
  bool empty() const { return rows_.empty(); }

 private:
  static constexpr size_t kMaxRows = 1024;

  void EraseFirst(size_t n) {
    rows_.erase(rows_.begin(), rows_.begin() + static_cast<ptrdiff_t>(n));
  }

  std::vector<Row> rows_;
  size_t in_flight_ = 0;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_LOAD_OUTBOX_H_
