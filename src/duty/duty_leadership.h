// Decides whether this process may act on a duty now, and with which fencing
// token.
//
// The duty holder is the leader of the group, and its term is the token. A term
// has at most one leader, so no two hosts ever use the same token. A new leader
// waits until any previous holder must have stopped. Without this wait, quick
// changes of leader would let hosts act in the order A, B, A within one lease.
#ifndef MEDLARWALK_DUTY_LEADERSHIP_H_
#define MEDLARWALK_DUTY_LEADERSHIP_H_

#include <cstdint>
#include <optional>

#include "types.h"

namespace medlarwalk {

struct DutyLeadershipPolicy {
  // Duration of the lease that the outside system grants a holder.
  Duration lease{};
  // Time added to the lease, for the delay until a leader that has lost its
  // quorum makes no more calls and for the transit of its last call.
  Duration margin = std::chrono::seconds(1);
  // Maximum age of the quorum's last confirmation of the leadership, counted
  // from the time at which it was requested. A process that was frozen after
  // its request must therefore request another confirmation.
  Duration max_confirmation_age = Millis(250);
};

// Tracks this process's leadership. Thread safety: loop thread only.
class DutyLeadership {
 public:
  explicit DutyLeadership(DutyLeadershipPolicy policy) : policy_(policy) {}

  // Records whether this process leads now, and the term. Call regularly.
  void UpdateLeadership(bool leads, uint64_t term, TimePoint now);
  // Records that a quorum has confirmed the leadership in `term`. The
  // confirmation was requested at `requested_at`.
  void RecordConfirmation(uint64_t term, TimePoint requested_at);
  // Records that the outside system refused `token`, because a holder with a
  // higher token has acted. The token is not used again.
  void RecordRefusal(uint64_t token);
  // Returns the time since this process became the leader; 0 if it is not.
  Duration LedFor(TimePoint now) const {
    return leads_ ? now - since_ : Duration::zero();
  }
  // Returns whether this process is the duty holder. A holder may act only
  // while it also has a recent confirmation: see UsableToken().
  bool IsHolder(TimePoint now) const;
  // Returns the token to act with, or nullopt if this process may not act now.
  std::optional<uint64_t> UsableToken(TimePoint now) const;
  // Whether the outside system refused the token of this term.
  bool refused() const { return refused_; }

 private:
  DutyLeadershipPolicy policy_;
  bool leads_ = false;
  uint64_t term_ = 0;
  TimePoint since_{};         // When the current leadership began.
  TimePoint confirmed_at_{};  // When the last confirmation was requested.
  bool confirmed_ = false;
  bool refused_ = false;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_DUTY_LEADERSHIP_H_
