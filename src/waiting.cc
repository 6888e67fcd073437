#include "waiting.h"

#include <algorithm>

namespace medlarwalk {

bool WaitingRoom::Enter(WaitingRequest w, std::optional<uint64_t>* shed) {
  std::deque<WaitingRequest>& room = rooms_[w.service];
  shed->reset();
  if (room.size() >= policy_.most_waiting) {
    if (room.back().tier <= w.tier) return false;
    *shed = room.back().seq;
    room.pop_back();
  }
  auto at = std::find_if(room.begin(), room.end(),
                         [&](const auto& o) { return o.tier > w.tier; });
  room.insert(at, std::move(w));
  return true;
}

void WaitingRoom::Leave(uint64_t seq) {
  for (auto& [service, room] : rooms_) {
    auto it = std::find_if(room.begin(), room.end(),
                           [&](const auto& w) { return w.seq == seq; });
    if (it == room.end()) continue;
    room.erase(it);
    return;
  }
}

std::vector<std::string> WaitingRoom::Services() const {
  std::vector<std::string> out;
  for (const auto& [service, room] : rooms_) {
    if (!room.empty()) out.push_back(service);
  }
  return out;
}

std::vector<uint64_t> WaitingRoom::InOrder(const std::string& service) const {
  std::vector<uint64_t> out;
  auto it = rooms_.find(service);
  if (it == rooms_.end()) return out;
  for (const WaitingRequest& w : it->second) out.push_back(w.seq);
  return out;
}

std::vector<uint64_t> WaitingRoom::Expired(TimePoint now) const {
  std::vector<uint64_t> out;
  for (const auto& [service, room] : rooms_) {
    for (const WaitingRequest& w : room) {
      if (now >= w.until) out.push_back(w.seq);
    }
  }
  return out;
}

size_t WaitingRoom::size(const std::string& service) const {
  auto it = rooms_.find(service);
  return it == rooms_.end() ? 0 : it->second.size();
}

}  // namespace medlarwalk
