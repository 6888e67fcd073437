// Priorities that define the order of callbacks within one loop iteration.
// Among watchers of equal priority no useful order is guaranteed: libev calls
// timers before sockets.
//
// Messages from medlarwalk processes come first, because they decide how to
// handle everything else. Callers and upstreams come second. Timers come last,
// so that data that has arrived is read before its timeout is checked.
// Otherwise a process whose own loop was delayed would consider all its peers
// silent and close every link.
#ifndef MEDLARWALK_LOOP_ORDER_H_
#define MEDLARWALK_LOOP_ORDER_H_

#include <ev.h>

namespace medlarwalk {

inline constexpr int kLinkPriority = 1;
inline constexpr int kTimerPriority = -1;

// Calls ev_timer_init and sets the priority that all timers have.
template <typename Callback>
void InitTimer(ev_timer* timer, Callback callback, double after,
               double repeat) {
  ev_timer_init(timer, callback, after, repeat);
  ev_set_priority(timer, kTimerPriority);
}

}  // namespace medlarwalk

#endif  // MEDLARWALK_LOOP_ORDER_H_
