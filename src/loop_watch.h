// How long the turns of a process's loop take. A turn that takes long delays
// all that waits for the next one: what others have sent, and the time limits
// by which this process judges them.
#ifndef MEDLARWALK_LOOP_WATCH_H_
#define MEDLARWALK_LOOP_WATCH_H_

#include <ev.h>

#include <functional>

#include "types.h"

namespace medlarwalk {

// Thread safety: loop thread only.
class LoopWatch {
 public:
  // `on_turn` is called after each turn with its length; may be empty.
  // Precondition: `loop` and `clock` outlive this.
  LoopWatch(struct ev_loop* loop, const Clock& clock,
            std::function<void(Duration)> on_turn);
  ~LoopWatch();
  LoopWatch(const LoopWatch&) = delete;
  LoopWatch& operator=(const LoopWatch&) = delete;

  // When this turn began, after the loop had waited.
  TimePoint turn_began() const { return began_; }
  // The longest turn of late: of this second and the one before, the turn under
  // way among them.
  Duration longest() const;

 private:
  static void OnCheck(struct ev_loop* loop, ev_check* w, int revents);
  static void OnPrepare(struct ev_loop* loop, ev_prepare* w, int revents);
  void TurnEnded();

  struct ev_loop* loop_;
  const Clock& clock_;
  std::function<void(Duration)> on_turn_;
  ev_check check_{};
  ev_prepare prepare_{};
  TimePoint began_{};
  bool in_turn_ = false;
  // The longest turn of the current second, and of the one before.
  TimePoint second_began_{};
  Duration this_second_{};
  Duration last_second_{};
  TimePoint told_at_{};
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_LOOP_WATCH_H_
