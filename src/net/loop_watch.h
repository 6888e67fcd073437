// Measures the duration of event loop iterations. A long iteration delays all
// events of the next one: messages that have arrived and the timeouts that
// apply to them.
#ifndef MEDLARWALK_LOOP_WATCH_H_
#define MEDLARWALK_LOOP_WATCH_H_

#include <ev.h>

#include <functional>

#include "types.h"

namespace medlarwalk {

// Measures the iterations of one event loop. Thread safety: loop thread only.
class LoopWatch {
 public:
  // `on_iteration` is called after each iteration with its duration; may be
  // empty. Precondition: `loop` and `clock` outlive this object.
  LoopWatch(struct ev_loop* loop, const Clock& clock,
            std::function<void(Duration)> on_iteration);
  ~LoopWatch();
  LoopWatch(const LoopWatch&) = delete;
  LoopWatch& operator=(const LoopWatch&) = delete;

  // Returns the duration of the longest iteration in the current and the
  // previous second, including the current iteration.
  Duration longest_iteration() const;

 private:
  static void OnCheck(struct ev_loop* loop, ev_check* w, int revents);
  static void OnPrepare(struct ev_loop* loop, ev_prepare* w, int revents);
  void OnIterationEnd();

  struct ev_loop* loop_;
  const Clock& clock_;
  std::function<void(Duration)> on_iteration_;
  ev_check check_{};
  ev_prepare prepare_{};
  // When the current iteration began, that is, when the loop's last wait ended.
  TimePoint iteration_started_{};
  bool in_iteration_ = false;
  // Start of the current second, and the longest iterations of the current and
  // the previous second.
  TimePoint second_started_{};
  Duration longest_this_second_{};
  Duration longest_last_second_{};
  TimePoint logged_at_{};
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_LOOP_WATCH_H_
