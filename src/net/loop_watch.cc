#include "loop_watch.h"

#include <algorithm>
#include <utility>

#include "log.h"

namespace medlarwalk {
namespace {

// Iterations of at least kSlowIteration are logged, at most one per
// kLogInterval.
constexpr auto kSlowIteration = Millis(250);
constexpr auto kLogInterval = std::chrono::seconds(1);

}  // namespace

LoopWatch::LoopWatch(struct ev_loop* loop, const Clock& clock,
                     std::function<void(Duration)> on_iteration)
    : loop_(loop), clock_(clock), on_iteration_(std::move(on_iteration)) {
  // After the loop's wait, the check watcher runs before all other watchers.
  // Before the next wait, the prepare watcher runs after all others.
  ev_check_init(&check_, OnCheck);
  ev_set_priority(&check_, EV_MAXPRI);
  check_.data = this;
  ev_check_start(loop_, &check_);
  ev_prepare_init(&prepare_, OnPrepare);
  ev_set_priority(&prepare_, EV_MINPRI);
  prepare_.data = this;
  ev_prepare_start(loop_, &prepare_);
  // The two watchers must not keep the loop running.
  ev_unref(loop_);
  ev_unref(loop_);
}

LoopWatch::~LoopWatch() {
  ev_ref(loop_);
  ev_ref(loop_);
  ev_check_stop(loop_, &check_);
  ev_prepare_stop(loop_, &prepare_);
}

void LoopWatch::OnCheck(struct ev_loop*, ev_check* w, int) {
  auto* self = static_cast<LoopWatch*>(w->data);
  self->iteration_started_ = self->clock_.Now();
  self->in_iteration_ = true;
}

void LoopWatch::OnPrepare(struct ev_loop*, ev_prepare* w, int) {
  static_cast<LoopWatch*>(w->data)->OnIterationEnd();
}

void LoopWatch::OnIterationEnd() {
  if (!in_iteration_) return;
  in_iteration_ = false;
  TimePoint now = clock_.Now();
  Duration elapsed = now - iteration_started_;
  if (now - second_started_ > std::chrono::seconds(1)) {
    bool consecutive = now - second_started_ < std::chrono::seconds(2);
    longest_last_second_ =
        consecutive ? longest_this_second_ : Duration::zero();
    longest_this_second_ = Duration::zero();
    second_started_ = now;
  }
  longest_this_second_ = std::max(longest_this_second_, elapsed);
  if (on_iteration_) on_iteration_(elapsed);
  if (elapsed < kSlowIteration || now - logged_at_ < kLogInterval) return;
  logged_at_ = now;
  LogEvent("slow_turn", {{"ms", ToMs(elapsed)}});
}

Duration LoopWatch::longest_iteration() const {
  Duration current =
      in_iteration_ ? clock_.Now() - iteration_started_ : Duration::zero();
  return std::max({current, longest_this_second_, longest_last_second_});
}

}  // namespace medlarwalk
