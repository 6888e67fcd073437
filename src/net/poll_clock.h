// A clock that stands still while an event loop delivers events.
#ifndef MEDLARWALK_POLL_CLOCK_H_
#define MEDLARWALK_POLL_CLOCK_H_

#include <ev.h>

#include "types.h"

namespace medlarwalk {

// Tells the time up to which the process has looked for input: when the loop
// last began to wait for events. Whether a peer is silent must be judged at
// this time. After an iteration that took long, bytes that came meanwhile are
// still unread, and a timer that was already due runs before they are read. The
// same holds after a wait that a standstill of the process (SIGSTOP) has
// interrupted: it returns without looking for input again. Thread safety: loop
// thread only.
class PollClock : public Clock {
 public:
  // Precondition: `loop` and `clock` outlive this object.
  PollClock(struct ev_loop* loop, const Clock& clock);
  ~PollClock() override;
  PollClock(const PollClock&) = delete;
  PollClock& operator=(const PollClock&) = delete;

  TimePoint Now() const override { return polled_at_; }

 private:
  static void OnPrepare(struct ev_loop* loop, ev_prepare* w, int revents);

  struct ev_loop* loop_;
  const Clock& clock_;
  ev_prepare prepare_{};
  TimePoint polled_at_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_POLL_CLOCK_H_
