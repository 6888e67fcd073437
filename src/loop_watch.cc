#include "loop_watch.h"

#include <algorithm>
#include <utility>

#include "log.h"

namespace medlarwalk {
namespace {

// Longer turns are told in the log, one a second at most.
constexpr auto kSlowTurn = Millis(250);
constexpr auto kTellInterval = std::chrono::seconds(1);

}  // namespace

LoopWatch::LoopWatch(struct ev_loop* loop, const Clock& clock,
                     std::function<void(Duration)> on_turn)
    : loop_(loop), clock_(clock), on_turn_(std::move(on_turn)) {
  // First after the wait, last before the next.
  ev_check_init(&check_, OnCheck);
  ev_set_priority(&check_, EV_MAXPRI);
  check_.data = this;
  ev_check_start(loop_, &check_);
  ev_prepare_init(&prepare_, OnPrepare);
  ev_set_priority(&prepare_, EV_MINPRI);
  prepare_.data = this;
  ev_prepare_start(loop_, &prepare_);
  // Neither keeps the loop running.
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
  self->began_ = self->clock_.Now();
  self->in_turn_ = true;
}

void LoopWatch::OnPrepare(struct ev_loop*, ev_prepare* w, int) {
  static_cast<LoopWatch*>(w->data)->TurnEnded();
}

void LoopWatch::TurnEnded() {
  if (!in_turn_) return;
  in_turn_ = false;
  TimePoint now = clock_.Now();
  Duration took = now - began_;
  if (now - second_began_ > std::chrono::seconds(1)) {
    bool next = now - second_began_ < std::chrono::seconds(2);
    last_second_ = next ? this_second_ : Duration::zero();
    this_second_ = Duration::zero();
    second_began_ = now;
  }
  this_second_ = std::max(this_second_, took);
  if (on_turn_) on_turn_(took);
  if (took < kSlowTurn || now - told_at_ < kTellInterval) return;
  told_at_ = now;
  LogEvent("slow_turn", {{"ms", ToMs(took)}});
}

Duration LoopWatch::longest() const {
  Duration under_way = in_turn_ ? clock_.Now() - began_ : Duration::zero();
  return std::max({under_way, this_second_, last_second_});
}

}  // namespace medlarwalk
