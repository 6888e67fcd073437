#include "request_memory.h"

#include <algorithm>
#include <numeric>

namespace medlarwalk {
namespace {

// Time without a byte after which a request counts as stalled: several round
// trips and a retransmission.
constexpr Duration kStalledAfter = Millis(500);
// A refusal lowers the sum by at least 1/kHeadroomOneIn of the limit, because
// the requests of all callers are examined each time.
constexpr size_t kHeadroomOneIn = 8;
constexpr size_t kSmallRequestBytes = size_t{64} * 1024;
// Share of the limit for complete large requests.
constexpr size_t kLargeOneIn = 2;

}  // namespace

size_t RequestMemoryLimit(size_t configured, size_t body_limit) {
  return std::max(configured, 2 * body_limit);
}

std::vector<size_t> ChooseRefused(absl::Span<const HeldRequest> held,
                                  size_t total, size_t limit) {
  if (total <= limit) return {};
  std::vector<size_t> order(held.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    bool stalled_a = held[a].since_progress >= kStalledAfter;
    bool stalled_b = held[b].since_progress >= kStalledAfter;
    if (stalled_a != stalled_b) return stalled_a;
    return held[a].bytes > held[b].bytes;
  });
  size_t target = limit - limit / kHeadroomOneIn;
  size_t count = 0;
  while (count < order.size() && total > target) {
    total -= std::min(total, held[order[count]].bytes);
    ++count;
  }
  order.resize(count);
  return order;
}

bool MayPassOn(size_t bytes, size_t complete, size_t limit) {
  if (complete == 0) return true;
  size_t allowed = bytes <= kSmallRequestBytes ? limit : limit / kLargeOneIn;
  return complete + bytes <= allowed;
}

}  // namespace medlarwalk
