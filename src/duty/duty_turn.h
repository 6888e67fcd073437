// Whether this process may act on a duty now, and under which fencing token.
//
// The holder is the leader of the group, its term the token: a term has one
// leader at most, so no two hosts ever send one token. A leader begins only
// once any holder before it has surely ended: where leaders change quickly,
// holders would otherwise act in the order A, B, A within one lease.
#ifndef MEDLARWALK_DUTY_TURN_H_
#define MEDLARWALK_DUTY_TURN_H_

#include <cstdint>
#include <optional>

#include "types.h"

namespace medlarwalk {

struct DutyTurnPolicy {
  Duration lease{};  // That the outside system knows of.
  // Beyond it: how long a leader that has lost its quorum may not know, and a
  // call of its may be under way.
  Duration margin = std::chrono::seconds(1);
  // A quorum must have confirmed the leadership this lately, counted from when
  // it was asked: a process that was frozen after it asked asks again.
  Duration confirmed_for = Millis(250);
};

// Thread safety: loop thread only.
class DutyTurn {
 public:
  explicit DutyTurn(DutyTurnPolicy policy) : policy_(policy) {}

  // Whether this process leads now, and the term; call regularly.
  void NoteLead(bool leads, uint64_t term, TimePoint now);
  // A quorum has confirmed this term's leadership, asked for at `asked_at`.
  void NoteConfirmed(uint64_t term, TimePoint asked_at);
  // A holder with a higher token has acted: nothing more under this one.
  void NoteRefused(uint64_t token);
  // Whether it has led for as long as `d`.
  bool LedFor(Duration d, TimePoint now) const {
    return leads_ && now - since_ >= d;
  }
  // Whether this is the holder, but for a fresh confirmation.
  bool Holds(TimePoint now) const;
  // The token to act with now, if this process may.
  std::optional<uint64_t> Token(TimePoint now) const;
  bool refused() const { return refused_; }

 private:
  DutyTurnPolicy policy_;
  bool leads_ = false;
  uint64_t term_ = 0;
  TimePoint since_{};
  TimePoint confirmed_at_{};
  bool confirmed_ = false;
  bool refused_ = false;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_DUTY_TURN_H_
