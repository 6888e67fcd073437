// A function called once later on a loop. Scaffolding for tests.
#ifndef MEDLARWALK_TEST_LATER_H_
#define MEDLARWALK_TEST_LATER_H_

#include <ev.h>

#include <functional>
#include <memory>
#include <utility>

namespace medlarwalk::testing {

// Runs `f` once after `ms` on `loop`.
inline void Later(struct ev_loop* loop, int ms, std::function<void()> f) {
  struct Once {
    ev_timer timer;
    std::function<void()> f;
  };
  auto* once = new Once{{}, std::move(f)};
  ev_timer_init(
      &once->timer,
      [](struct ev_loop*, ev_timer* w, int) {
        std::unique_ptr<Once> o(static_cast<Once*>(w->data));
        o->f();
      },
      ms / 1000.0, 0.);
  once->timer.data = once;
  ev_timer_start(loop, &once->timer);
}

}  // namespace medlarwalk::testing

#endif  // MEDLARWALK_TEST_LATER_H_
