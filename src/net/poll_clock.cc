#include "poll_clock.h"

namespace medlarwalk {

PollClock::PollClock(struct ev_loop* loop, const Clock& clock)
    : loop_(loop), clock_(clock), polled_at_(clock.Now()) {
  // Before the loop's wait, the prepare watcher runs after all other watchers.
  ev_prepare_init(&prepare_, OnPrepare);
  ev_set_priority(&prepare_, EV_MINPRI);
  prepare_.data = this;
  ev_prepare_start(loop_, &prepare_);
  // It must not keep the loop running.
  ev_unref(loop_);
}

PollClock::~PollClock() {
  ev_ref(loop_);
  ev_prepare_stop(loop_, &prepare_);
}

void PollClock::OnPrepare(struct ev_loop*, ev_prepare* w, int) {
  auto* self = static_cast<PollClock*>(w->data);
  self->polled_at_ = self->clock_.Now();
}

}  // namespace medlarwalk
