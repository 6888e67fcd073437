// The order in which a turn of the loop serves what is ready. Watchers of one
// priority have none that can be relied on: libev calls timers before sockets.
//
// First what comes from our own processes, which says what to do with all the
// rest; then callers and upstreams; then time limits, so that what has arrived
// is read before it is judged whether it came in time. A process that was late
// itself would else take all others for silent, and give up every link it has.
#ifndef MEDLARWALK_LOOP_ORDER_H_
#define MEDLARWALK_LOOP_ORDER_H_

#include <ev.h>

namespace medlarwalk {

inline constexpr int kLinkPriority = 1;
inline constexpr int kTimerPriority = -1;

// As ev_timer_init, in the order above.
template <typename Callback>
void InitTimer(ev_timer* timer, Callback callback, double after,
               double repeat) {
  ev_timer_init(timer, callback, after, repeat);
  ev_set_priority(timer, kTimerPriority);
}

}  // namespace medlarwalk

#endif  // MEDLARWALK_LOOP_ORDER_H_
