#include "stream_origin_table.h"

#include <algorithm>

namespace medlarwalk {

void StreamOriginTable::Record(const StreamRecord& record, TimePoint now) {
  auto [it, added] = records_.try_emplace(record.key);
  Entry& e = it->second;
  if (!added) {
    if (record.attempt < e.attempt) return;
    by_expiry_.erase({e.expires_at, record.key});
  }
  e.attempt = record.attempt;
  e.origin = record.origin;
  e.expires_at = now + record.lifetime;
  by_expiry_.emplace(e.expires_at, record.key);
  while (records_.size() > max_records_) RemoveFirst();
}

const StreamOrigin* StreamOriginTable::Find(StreamKey key,
                                            TimePoint now) const {
  auto it = records_.find(key);
  if (it == records_.end() || it->second.expires_at <= now) return nullptr;
  return &it->second.origin;
}

void StreamOriginTable::RemoveFirst() {
  records_.erase(by_expiry_.begin()->second);
  by_expiry_.erase(by_expiry_.begin());
}

void StreamOriginTable::RemoveExpired(TimePoint now) {
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) RemoveFirst();
}

std::vector<Endpoint> HoldersOf(StreamKey key, absl::Span<const Endpoint> peers,
                                size_t count) {
  std::vector<std::pair<uint64_t, size_t>> order;
  order.reserve(peers.size());
  for (size_t i = 0; i < peers.size(); ++i) {
    uint64_t peer =
        StableHash(peers[i].ip, static_cast<uint64_t>(peers[i].port));
    order.emplace_back(
        StableHash({reinterpret_cast<const char*>(&peer), sizeof(peer)}, key),
        i);
  }
  count = std::min(count, order.size());
  auto end = order.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(order.begin(), end, order.end());
  std::vector<Endpoint> out;
  out.reserve(count);
  for (auto it = order.begin(); it != end; ++it)
    out.push_back(peers[it->second]);
  return out;
}

}  // namespace medlarwalk
