// Limits the retries that this process sends to a service. All processes share
// one allowance, and each process uses only its part of the allowance, without
// communication.
#ifndef MEDLARWALK_RETRY_BUDGET_H_
#define MEDLARWALK_RETRY_BUDGET_H_

#include <algorithm>

#include "types.h"

namespace medlarwalk {

// Retry allowance of all processes together.
struct RetryAllowance {
  double ratio = 0.2;  // Retries allowed per first attempt.
  Duration window = std::chrono::seconds(10);
  double slack = 20;  // Further retries allowed per window.
};

// Share of the allowance that is divided among the processes. The windows of
// the processes are not aligned, so dividing all of it could exceed the
// allowance in some window.
inline constexpr double kUsableAllowanceShare = 0.6;

// Token bucket of one service. Thread safety: loop thread only.
class RetryBudget {
 public:
  explicit RetryBudget(TimePoint now) : refilled_at_(now) {}

  // Records a first attempt.
  void RecordFirstAttempt(const RetryAllowance& a) {
    tokens_ += a.ratio * kUsableAllowanceShare;
  }
  // Consumes one retry. Returns false if none is left. `serving`: number of
  // processes that share the allowance.
  bool TryConsume(const RetryAllowance& a, int serving, TimePoint now) {
    // Half of this process's part of `slack` may be spent at once; the same
    // number of retries is refilled per window.
    double capacity = std::max(
        1.0, a.slack * kUsableAllowanceShare / 2 / std::max(1, serving));
    if (!initialized_) {
      tokens_ = capacity;
      initialized_ = true;
    }
    double share = ToSeconds(now - refilled_at_) / ToSeconds(a.window);
    refilled_at_ = now;
    tokens_ = std::min(tokens_ + capacity * share,
                       capacity + a.ratio * kMaxSavedAttempts);
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

  // Takes back a TryConsume that returned true: nothing was sent.
  void Refund() { tokens_ += 1; }

 private:
  // Unused retries are saved only up to the capacity of the bucket plus `ratio`
  // times this number of first attempts.
  static constexpr double kMaxSavedAttempts = 20;
  double tokens_ = 0;
  bool initialized_ = false;
  TimePoint refilled_at_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_RETRY_BUDGET_H_
