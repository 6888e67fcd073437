#include "send_slots.h"

#include <algorithm>
#include <cmath>

namespace medlarwalk {
namespace {

// How long a send slot stays open: requests rarely arrive exactly when a slot
// begins. The time is short compared with the period over which an upstream
// measures its rate, because the slots that are open at one moment can all be
// used at once.
constexpr auto kOpenTime = Millis(1000);
// How long an upstream receives no requests after it becomes limited.
constexpr auto kInitialHold = Millis(3000);
// Lower bound of the rate, in requests per second. An upstream with a lower
// limit, such as 0, still receives requests at this rate: their answers show
// whether the limit has changed.
constexpr double kMinPerS = 0.1;

}  // namespace

std::optional<Millis> FindOpenSendSlot(const SendSlotQuery& query,
                                       std::optional<Millis> taken) {
  double per_s = std::max(kMinPerS, query.per_s);
  int process_count = std::max(1, query.process.process_count);
  // Rotates the processes by a hash of the upstream, so that slot 0 of
  // different upstreams belongs to different processes.
  auto offset = static_cast<int>(StableHash(query.upstream) %
                                 static_cast<uint64_t>(process_count));
  int index = (query.process.index + offset) % process_count;
  Millis after = query.time - kOpenTime;
  // After the clock is set back, `taken` may lie far in the future. Such a
  // `taken` is ignored: otherwise no slot would open until the clock catches
  // up.
  if (taken && *taken - query.time < kOpenTime) after = std::max(after, *taken);
  // Adding half a millisecond excludes the slot that begins at `after`, because
  // slots begin at whole milliseconds.
  double slots_before =
      (static_cast<double>(after.count()) + 0.5) / 1000.0 * per_s;
  double cycle = std::floor((slots_before - index) / process_count) + 1;
  double begins_ms = (cycle * process_count + index) / per_s * 1000.0;
  Millis slot_start(static_cast<int64_t>(std::ceil(begins_ms)));
  if (slot_start > query.time) return std::nullopt;
  return slot_start;
}

bool InitialHoldElapsed(TimePoint since, TimePoint now) {
  return now - since >= kInitialHold;
}

}  // namespace medlarwalk
