// Records which engine last prefilled a prompt part. The result is only a hint:
// an engine evicts parts when its memory fills, and other entries send prompts
// to it as well.
#ifndef MEDLARWALK_PREFIX_CACHE_INDEX_H_
#define MEDLARWALK_PREFIX_CACHE_INDEX_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/types/span.h"
#include "types.h"

namespace medlarwalk {

// One part of a prompt. Requests that share leading parts share cached state.
struct PromptPart {
  uint64_t id = 0;
  int64_t tokens = 0;
};

// Table of prompt parts and the engines that hold them. Thread safety: loop
// thread only.
class PrefixCacheIndex {
 public:
  // `lifetime`: time after which a recorded part is ignored. `max_parts`:
  // maximum number of recorded parts.
  PrefixCacheIndex(Duration lifetime, size_t max_parts)
      : lifetime_(lifetime), max_parts_(max_parts) {}

  // Records that `engine` has just prefilled all of `parts`.
  void RecordPrefilled(absl::Span<const PromptPart> parts,
                       const std::string& engine, TimePoint now);
  // Removes all parts of `engine`, which terminated or lost its memory.
  void RemoveEngine(const std::string& engine);
  // An engine and the number of leading parts of a prompt that it holds.
  struct PrefixMatch {
    std::string engine;  // "" if no engine is known to hold any part.
    size_t parts = 0;    // Number of leading parts that the engine holds.
  };
  // Returns the engine that holds the longest leading run of `parts`. The last
  // part belongs to the request alone and is ignored.
  PrefixMatch FindLongestPrefix(absl::Span<const PromptPart> parts,
                                TimePoint now) const;
  // Removes expired parts.
  void RemoveExpired(TimePoint now);
  size_t size() const { return seen_.size(); }

 private:
  struct LastSeen {
    std::string engine;
    TimePoint at{};
  };
  Duration lifetime_;
  size_t max_parts_;
  std::unordered_map<uint64_t, LastSeen> seen_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_PREFIX_CACHE_INDEX_H_
