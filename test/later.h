// Delayed calls on an event loop, for tests.
#ifndef MEDLARWALK_TEST_LATER_H_
#define MEDLARWALK_TEST_LATER_H_

#include <ev.h>

#include <functional>
#include <memory>
#include <utility>

namespace medlarwalk::testing {

// Calls `f` once on `loop`, after `ms` milliseconds.
inline void CallAfter(struct ev_loop* loop, int ms, std::function<void()> f) {
  struct DelayedCall {
    ev_timer timer;
    std::function<void()> f;
  };
  auto* call = new DelayedCall{{}, std::move(f)};
  ev_timer_init(
      &call->timer,
      [](struct ev_loop*, ev_timer* w, int) {
        std::unique_ptr<DelayedCall> fired(static_cast<DelayedCall*>(w->data));
        fired->f();
      },
      ms / 1000.0, 0.);
  call->timer.data = call;
  ev_timer_start(loop, &call->timer);
}

}  // namespace medlarwalk::testing

#endif  // MEDLARWALK_TEST_LATER_H_
