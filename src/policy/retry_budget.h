// The share of repeats this process may send to a service. All processes draw
// on one allowance; each keeps to its part of it without talking.
#ifndef MEDLARWALK_RETRY_BUDGET_H_
#define MEDLARWALK_RETRY_BUDGET_H_

#include <algorithm>

#include "types.h"

namespace medlarwalk {

// The allowance for all processes together.
struct RetryAllowance {
  double ratio = 0.2;  // Repeats for each first sending.
  Duration window = std::chrono::seconds(10);
  double slack = 20;  // Repeats a window beside these.
};

// Part of the allowance that is used: what others count may fall into other
// windows than what is counted here.
inline constexpr double kBudgetUse = 0.6;

// A token bucket for one service. Thread safety: loop thread only.
class RetryBudget {
 public:
  explicit RetryBudget(TimePoint now) : at_(now) {}

  // Notes a first sending.
  void NoteRequest(const RetryAllowance& a) { tokens_ += a.ratio * kBudgetUse; }
  // Takes one repeat if there is one; `serving`: processes that share.
  bool Take(const RetryAllowance& a, int serving, TimePoint now) {
    // Half of the slack may be spent at once, half comes back in a window.
    double most =
        std::max(1.0, a.slack * kBudgetUse / 2 / std::max(1, serving));
    if (!filled_) {
      tokens_ = most;
      filled_ = true;
    }
    double share = ToSeconds(now - at_) / ToSeconds(a.window);
    at_ = now;
    tokens_ = std::min(tokens_ + most * share, most + a.ratio * kEarned);
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  // First sendings whose earned repeats may be saved up.
  static constexpr double kEarned = 20;
  double tokens_ = 0;
  bool filled_ = false;
  TimePoint at_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_RETRY_BUDGET_H_
