// How the processes keep together to the limit that an upstream names, without
// a message for each request. Pure functions, the clock passed in as a time.
//
// Load pattern: hundreds of entries with a dozen requests a second each, and an
// upstream that takes one a second from all of them. A part of the limit for
// each would be a request in minutes, saved up at all of them for the same
// moment. So the limit is a sequence of turns in the time that all processes
// share: turn k begins at k / limit, and belongs to one process, each in its
// place. One request may begin in a turn, within a moment of its beginning.
#ifndef MEDLARWALK_LIMIT_TURNS_H_
#define MEDLARWALK_LIMIT_TURNS_H_

#include <cstdint>
#include <optional>

#include "absl/strings/string_view.h"
#include "types.h"

namespace medlarwalk {

// This process among those that share upstreams.
struct TurnPlace {
  int serving = 1;
  int place = 0;  // From 0 to serving - 1; no other process has the same.
};

// When the turns of `upstream` that belong to this process are open.
struct TurnAsk {
  absl::string_view upstream;
  double per_s = 1;  // The limit.
  TurnPlace place;
  // The time all processes share, since any one moment.
  Millis time{};
};

// The beginning of the earliest open turn that begins after `taken`, the last
// one used (nullopt: none yet); nullopt when there is none.
std::optional<Millis> OpenTurn(const TurnAsk& ask, std::optional<Millis> taken);

// Whether an upstream that has named a limit since `since` takes anything yet:
// it has just been given more, from everywhere, and is first left to work that
// off.
bool TurnsHaveBegun(TimePoint since, TimePoint now);

}  // namespace medlarwalk

#endif  // MEDLARWALK_LIMIT_TURNS_H_
