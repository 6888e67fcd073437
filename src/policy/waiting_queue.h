// Queue of requests that wait for a slot at an upstream: decides which one is
// served next and which one is rejected on arrival. Pure; callers pass the
// current time.
#ifndef MEDLARWALK_WAITING_QUEUE_H_
#define MEDLARWALK_WAITING_QUEUE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "account_shares.h"
#include "types.h"

namespace medlarwalk {

// Parameters of the waiting queue.
struct WaitingPolicy {
  // Maximum wait for a slot, in shares of the latency target of the request. In
  // overload every served request has waited this long, which leaves less of
  // the target for the engine. A small share is better: a caller that is
  // rejected early has most of its target left for another entry.
  double max_wait_target_share = 0.1;
  // Maximum number of waiting requests of one service.
  size_t max_waiting = 256;
  // If true, serves the most urgent tier first; if false, serves requests in
  // order of arrival.
  bool tier_order = true;
  // If true, rejects a request on arrival when the recent rate of dispatches
  // shows that it would not get a slot in time.
  bool reject_unmeetable = false;
  // A request starves once it has waited for starvation_bound or for
  // starving_share of its maximum wait. While any request starves, one slot in
  // floor_interval goes to the starving request with the earliest deadline,
  // regardless of its tier. Higher tiers thus lose at most 1 / floor_interval
  // of the slots to starving requests. starvation_bound zero: no request
  // starves.
  Duration starvation_bound{};
  double starving_share = 0.5;
  int floor_interval = 8;
};

struct WaitingRequest {
  uint64_t seq = 0;
  Tier tier = 0;
  TimePoint enqueued_at{};  // When the wait began.
  TimePoint reject_at{};    // When the request is rejected if it still waits.
  // The request was rejected before and returned when it was told to: it is
  // served before other requests of its tier.
  bool returning = false;
  std::string service;
  AccountKey account = 0;  // Used only with AccountShares.
  int64_t tokens = 0;      // Prompt tokens.
};

// Returns the time from which `w` starves.
TimePoint StarvesAt(const WaitingRequest& w, const WaitingPolicy& policy);

// The waiting requests, by service. Where a function takes `shares`, a non-null
// value lets the accounts with the least recent consumption go first within
// each tier; with null, requests of one tier are treated in order of arrival.
// Thread safety: loop thread only.
class WaitingQueue {
 public:
  explicit WaitingQueue(WaitingPolicy policy) : policy_(policy) {}

  // Adds `w` to the queue of its service. Sets `*shed` to the request removed
  // to make room for `w`, if any. Errors: kOverloaded when the queue is full of
  // requests of the same or a more urgent tier; kTargetUnmeetable when `w`
  // would not get a slot in time.
  // With `shares`, a full queue also sheds a request of the same tier whose
  // account has consumed more than the account of `w`.
  absl::Status Enqueue(WaitingRequest w, std::optional<uint64_t>* shed,
                       const AccountShares* shares = nullptr);
  // Removes a request that got a slot. If a request starves, also counts the
  // slots that other requests got.
  void RemoveServed(uint64_t seq, TimePoint now);
  // Removes a request that got no slot.
  void RemoveUnserved(uint64_t seq);
  // Records that a request of `service` got a slot, whether or not it had
  // waited.
  void RecordDispatch(const std::string& service, TimePoint now);
  // Returns whether a request of the tier waits whose account has consumed less
  // than `account`.
  bool LessServedAccountWaits(const std::string& service, Tier tier,
                              AccountKey account, const AccountShares& shares,
                              TimePoint now) const;
  // Returns the services that have waiting requests.
  std::vector<std::string> WaitingServices() const;
  // Returns the waiting requests of `service` in serving order: most urgent
  // tier first, then returning requests, then by account if `shares` is given,
  // then longest wait. A starving request comes first when a slot is due to it.
  std::vector<uint64_t> ServingOrder(
      const std::string& service, TimePoint now,
      const AccountShares* shares = nullptr) const;
  // Returns the waiting requests of `service` and `tier` that were rejected
  // before and returned when they were told to, longest wait first.
  std::vector<uint64_t> ReturningRequests(const std::string& service,
                                          Tier tier) const;
  // Returns the requests whose maximum wait has passed.
  std::vector<uint64_t> ExpiredRequests(TimePoint now) const;
  size_t size(const std::string& service) const;

 private:
  struct ServiceQueue {
    std::deque<WaitingRequest> waiting;  // Serving order, ignoring starvation.
    // Number of slots given to other requests since the last slot for a
    // starving one.
    int dispatches_since_floor = 0;
    // Smoothed number of dispatches per second; 0 before the second dispatch.
    double dispatch_rate = 0;
    std::optional<TimePoint> last_dispatch_at;
  };
  const WaitingRequest* FirstStarving(const ServiceQueue& queue,
                                      TimePoint now) const;
  Duration ExpectedWait(const ServiceQueue& queue, const WaitingRequest& w,
                        const AccountShares* shares) const;

  WaitingPolicy policy_;
  std::map<std::string, ServiceQueue> queues_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_WAITING_QUEUE_H_
