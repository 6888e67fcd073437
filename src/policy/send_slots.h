// Send slots, by which all processes together keep the rate limit of an
// upstream without a message for each request. Pure functions; the time is a
// parameter.
//
// Load pattern: hundreds of entries receive a dozen requests a second each, for
// an upstream that accepts one request a second from all of them together. If
// each entry had a share of the limit, it could send one request every few
// minutes, and all entries could send their saved-up requests at the same
// moment. So the limit is a sequence of send slots on a clock that all
// processes share: slot k begins at k / limit, and the slots are assigned to
// the processes round-robin. One request may be sent in a slot, shortly after
// the slot begins.
#ifndef MEDLARWALK_SEND_SLOTS_H_
#define MEDLARWALK_SEND_SLOTS_H_

#include <cstdint>
#include <optional>

#include "absl/strings/string_view.h"
#include "types.h"

namespace medlarwalk {

// The index of this process among the processes that share upstreams.
struct ProcessIndex {
  int process_count = 1;  // Number of processes that share upstreams.
  int index = 0;  // Index from 0 to process_count - 1, unique to this process.
};

// Identifies the send slots of one upstream that belong to one process.
struct SendSlotQuery {
  absl::string_view upstream;
  double per_s = 1;  // Rate limit of the upstream, in requests per second.
  ProcessIndex process;
  // Current time on the clock that all processes share; its epoch does not
  // matter.
  Millis time{};
};

// Returns the start of the earliest open slot after the last used one, which
// began at `taken` (nullopt: no slot used yet). Returns nullopt if no slot is
// open.
std::optional<Millis> FindOpenSendSlot(const SendSlotQuery& query,
                                       std::optional<Millis> taken);

// Returns whether an upstream that has announced limits since `since` may
// receive requests yet. All processes exceeded the limit until it was
// announced, so the upstream first gets time to process the excess requests.
bool InitialHoldElapsed(TimePoint since, TimePoint now);

}  // namespace medlarwalk

#endif  // MEDLARWALK_SEND_SLOTS_H_
