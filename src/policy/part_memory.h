// Which engine was last seen to hold a prompt part. A hint only: engines drop
// parts when their memory fills, and other entries send there as well.
#ifndef MEDLARWALK_PART_MEMORY_H_
#define MEDLARWALK_PART_MEMORY_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/types/span.h"
#include "types.h"

namespace medlarwalk {

// One part of a prompt: requests that share leading parts share cached state.
struct PromptPart {
  uint64_t id = 0;
  int64_t tokens = 0;
};

// Thread safety: loop thread only.
class PartMemory {
 public:
  // `trust`: how long after it was seen a part is believed to be kept.
  // `most`: parts remembered.
  PartMemory(Duration trust, size_t most) : trust_(trust), most_(most) {}

  // `engine` has just read all of `parts`.
  void Note(absl::Span<const PromptPart> parts, const std::string& engine,
            TimePoint now);
  // Forgets what `engine` held: it ended or lost its memory.
  void Forget(const std::string& engine);
  struct Holding {
    std::string engine;  // "" when none is known.
    size_t parts = 0;    // Leading parts it holds.
  };
  // The engine that holds the longest leading run of `parts`, the request's
  // own last part left out.
  Holding Holder(absl::Span<const PromptPart> parts, TimePoint now) const;
  // Drops what is no longer believed.
  void Tick(TimePoint now);
  size_t size() const { return seen_.size(); }

 private:
  struct Seen {
    std::string engine;
    TimePoint at{};
  };
  Duration trust_;
  size_t most_;
  std::unordered_map<uint64_t, Seen> seen_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_PART_MEMORY_H_
