#include "prefix_cache_index.h"

namespace medlarwalk {

void PrefixCacheIndex::RecordPrefilled(absl::Span<const PromptPart> parts,
                                       const std::string& engine,
                                       TimePoint now) {
  for (size_t i = 0; i + 1 < parts.size(); ++i) {
    if (seen_.size() >= max_parts_ && !seen_.count(parts[i].id)) return;
    seen_[parts[i].id] = LastSeen{engine, now};
  }
}

void PrefixCacheIndex::RemoveEngine(const std::string& engine) {
  for (auto it = seen_.begin(); it != seen_.end();) {
    it = it->second.engine == engine ? seen_.erase(it) : std::next(it);
  }
}

PrefixCacheIndex::PrefixMatch PrefixCacheIndex::FindLongestPrefix(
    absl::Span<const PromptPart> parts, TimePoint now) const {
  for (size_t i = parts.size(); i-- > 0;) {
    if (i + 1 == parts.size()) continue;
    auto it = seen_.find(parts[i].id);
    if (it != seen_.end() && now - it->second.at <= lifetime_) {
      return {it->second.engine, i + 1};
    }
  }
  return {};
}

void PrefixCacheIndex::RemoveExpired(TimePoint now) {
  for (auto it = seen_.begin(); it != seen_.end();) {
    it = now - it->second.at > lifetime_ ? seen_.erase(it) : std::next(it);
  }
}

}  // namespace medlarwalk
