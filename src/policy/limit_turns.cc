#include "limit_turns.h"

#include <algorithm>
#include <cmath>

namespace medlarwalk {
namespace {

// A turn is open for this long: a request that may take it comes seldom at the
// very moment. Short beside the spans over which a limit is judged, as turns
// that were left over are taken together.
constexpr auto kTurnOpen = Millis(1000);
constexpr auto kBeforeTurns = Millis(3000);
// One that takes nothing is asked so often whether that has changed.
constexpr double kLeastPerS = 0.1;

}  // namespace

std::optional<Millis> OpenTurn(const TurnAsk& ask,
                               std::optional<Millis> taken) {
  double per_s = std::max(kLeastPerS, ask.per_s);
  int serving = std::max(1, ask.place.serving);
  // Another process begins at each upstream.
  auto shift = static_cast<int>(StableHash(ask.upstream) %
                                static_cast<uint64_t>(serving));
  int place = (ask.place.place + shift) % serving;
  Millis after = ask.time - kTurnOpen;
  // A clock that was set back must not close the turns until it has caught up.
  if (taken && *taken - ask.time < kTurnOpen) after = std::max(after, *taken);
  // Between two whole milliseconds: no turn begins just there.
  double turns = (static_cast<double>(after.count()) + 0.5) / 1000.0 * per_s;
  double cycle = std::floor((turns - place) / serving) + 1;
  double begins = (cycle * serving + place) / per_s * 1000.0;
  Millis at(static_cast<int64_t>(std::ceil(begins)));
  if (at > ask.time) return std::nullopt;
  return at;
}

bool TurnsHaveBegun(TimePoint since, TimePoint now) {
  return now - since >= kBeforeTurns;
}

}  // namespace medlarwalk
