// Which requests a stopping process still takes: those that end before it does.
#ifndef MEDLARWALK_STOP_ADMISSION_H_
#define MEDLARWALK_STOP_ADMISSION_H_

#include <optional>

#include "placement.h"
#include "types.h"

namespace medlarwalk {

// Time from the start of a stop for which new connections still arrive: until
// two readiness probes have failed and the load balancer has removed the host.
inline constexpr auto kRoutedAfterStop = Millis(2500);
// Upper bound of a plain answer's time, in latency targets of its route.
inline constexpr int kMaxPlainTargets = 10;

struct PlannedStop {
  TimePoint began_at;
  // Time at which unfinished requests are cut; none: not before they end.
  std::optional<TimePoint> ends_at;
};

struct StopCandidate {
  bool stream = false;
  WorkShape shape = WorkShape::kPlain;
  Duration latency_target{};  // Zero: the route states none.
  TimePoint deadline{};       // When the request ends at the latest.
};

// Returns whether a stopping process takes a request that is complete at `now`.
// The caller of a refused request can go to another process at once, whereas a
// request that is cut may have run. How long a stream lasts is not known in
// advance, so only its deadline counts. Thread safety: any thread.
inline bool MayTakeWhileStopping(const StopCandidate& c, const PlannedStop& s,
                                 TimePoint now) {
  if (!s.ends_at) return c.shape != WorkShape::kDecode;
  if (c.deadline <= *s.ends_at) return true;
  if (c.stream || c.latency_target <= Duration::zero()) return false;
  if (now - s.began_at > kRoutedAfterStop) return false;
  return c.latency_target * kMaxPlainTargets <= *s.ends_at - now;
}

}  // namespace medlarwalk

#endif  // MEDLARWALK_STOP_ADMISSION_H_
