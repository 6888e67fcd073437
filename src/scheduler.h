// Admission and scheduling at the entry: one FIFO queue per class, served by
// tier, with a floor share for classes that have waited past the starvation
// bound, shedding only of lower tiers, and refusal at once of a request that
// cannot meet its class target. Pure logic over a Clock; no I/O.
#ifndef MEDLARWALK_SCHEDULER_H_
#define MEDLARWALK_SCHEDULER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "absl/functional/function_ref.h"
#include "absl/status/status.h"
#include "absl/types/span.h"
#include "types.h"

namespace medlarwalk {

// One request waiting at the entry.
struct QueuedRequest {
  RequestId id = 0;
  int klass = 0;  // Index into the class list.
  TimePoint enqueued{};
  TimePoint give_up_at{};  // Answered at once when still queued then.
  uint64_t route_key = 0;  // Prefix or idempotency key hash, for the router.
  std::string model;
};

// One class as the scheduler sees it.
struct SchedulerClass {
  Tier tier = 0;
  Duration first_token_target{};
};

// Limits of the scheduler.
struct SchedulerConfig {
  int queue_limit = 512;
  Duration starvation_bound = std::chrono::seconds(4);
  // While any class starves, one dispatch in this many serves the class that
  // has waited longest, whatever its tier: the floor share that bounds
  // starvation while costing higher tiers at most 1/kFloorEvery of capacity.
  int floor_every = 8;
};

// What Admit decided.
struct AdmitResult {
  absl::Status status;            // Ok when queued.
  std::optional<RequestId> shed;  // A lower-tier request removed for it.
};

// The tier-ordered scheduler. Thread safety: loop thread only.
class Scheduler {
 public:
  Scheduler(const Clock& clock, SchedulerConfig config,
            std::vector<SchedulerClass> classes);

  // Queues `r`, or refuses it at once: kOverloaded when the queue is full
  // and holds nothing of a lower tier to shed; kTargetUnmeetable when the
  // estimated wait already exceeds its class target. Precondition: r.klass
  // is a valid index.
  AdmitResult Admit(const QueuedRequest& r);

  // Removes and returns the next request to dispatch, skipping any for which
  // `can_run` is false (its model has no free upstream now).
  std::optional<QueuedRequest> Next(
      absl::FunctionRef<bool(const QueuedRequest&)> can_run);

  // Removes and returns every queued request whose give_up_at has passed;
  // the caller answers them at once.
  std::vector<QueuedRequest> Expire();

  // Removes the request (its caller went away). Returns whether it was queued.
  bool Remove(RequestId id);

  int queued(int klass) const {
    return static_cast<int>(queues_[klass].size());
  }
  int queued_total() const { return total_; }

 private:
  std::optional<size_t> StarvingClass() const;
  std::optional<QueuedRequest> PopFirstRunnable(
      size_t klass, absl::FunctionRef<bool(const QueuedRequest&)> can_run);
  Duration EstimatedWait(const QueuedRequest& r) const;
  void NoteDispatch();

  const Clock& clock_;
  SchedulerConfig config_;
  std::vector<SchedulerClass> classes_;
  std::vector<std::deque<QueuedRequest>> queues_;
  std::vector<size_t> by_tier_;  // Class indices, most protected tier first.
  int total_ = 0;
  int since_floor_ = 0;
  // Dispatches a second, smoothed; 0 until the first two dispatches.
  double drain_rate_ = 0;
  std::optional<TimePoint> last_dispatch_;
};

// The naive baseline: one FIFO over all classes, no tiers, no shedding, no
// early refusal; for differential tests and the load comparison.
class NaiveScheduler {
 public:
  explicit NaiveScheduler(int queue_limit) : queue_limit_(queue_limit) {}
  AdmitResult Admit(const QueuedRequest& r);
  std::optional<QueuedRequest> Next(
      absl::FunctionRef<bool(const QueuedRequest&)> can_run);
  std::vector<QueuedRequest> Expire(TimePoint now);
  bool Remove(RequestId id);
  int queued_total() const { return static_cast<int>(queue_.size()); }

 private:
  int queue_limit_;
  std::deque<QueuedRequest> queue_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_SCHEDULER_H_
