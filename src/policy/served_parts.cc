#include "served_parts.h"

#include <algorithm>
#include <utility>

namespace medlarwalk {

void ServedParts::Record(RequestFingerprint part, TimePoint began_at) {
  if (recent_.size() >= max_parts_ || began_at - recent_since_ >= memory_) {
    older_ = std::move(recent_);
    recent_.clear();
    recent_since_ = began_at;
  }
  auto [it, inserted] = recent_.emplace(part, began_at);
  it->second = std::max(it->second, began_at);
}

TimePoint ServedParts::LastServedAt(RequestFingerprint part) const {
  TimePoint at = kNever;
  for (const auto* parts : {&recent_, &older_}) {
    auto it = parts->find(part);
    if (it != parts->end()) at = std::max(at, it->second);
  }
  return at;
}

}  // namespace medlarwalk
