// Which callers give way when the requests of all callers together take too
// much memory. Pure.
#ifndef MEDLARWALK_REQUEST_MEMORY_H_
#define MEDLARWALK_REQUEST_MEMORY_H_

#include <cstddef>
#include <vector>

#include "absl/types/span.h"
#include "types.h"

namespace medlarwalk {

// Memory for requests, summed over all callers of a server, where the host
// states no limit, in bytes.
inline constexpr size_t kDefaultRequestMemory = size_t{64} << 20;

// Bytes that one caller makes its server hold, apart from answers.
struct HeldRequest {
  size_t bytes = 0;
  // Time since the caller last sent a byte of it.
  Duration since_progress{};
};

// Returns the memory for requests that a server may use if `configured` bytes
// are set and a body may have up to `body_limit` bytes. A single request within
// the limits must fit beside others.
size_t RequestMemoryLimit(size_t configured, size_t body_limit);

// Returns the indexes of the requests in `held` that must be refused, in this
// order, so that `total` bytes drop somewhat below `limit`; none if they do not
// exceed it. `total` includes what cannot be refused any more. Those without
// recent progress go first, then the largest, so that small requests are served
// beside any number of large ones.
std::vector<size_t> ChooseRefused(absl::Span<const HeldRequest> held,
                                  size_t total, size_t limit);

// Returns whether a complete request of `bytes` may be passed on while complete
// ones hold `complete` bytes. It then stays in memory until it is answered, so
// large ones get half of `limit`: the rest stays free for small ones and for
// those that are still arriving.
bool MayPassOn(size_t bytes, size_t complete, size_t limit);

}  // namespace medlarwalk

#endif  // MEDLARWALK_REQUEST_MEMORY_H_
