// Estimates how much more of a service's work one process sends than its equal
// share. Pure.
//
// Load pattern: the balancer hands most new connections of a zone, or of a
// whole region, to one entry for some seconds. The limits of an entry on what
// it has at the engines are equal shares of what the engines hold, so that this
// entry rejects a third of its callers while the shares of all others are
// unused.
#ifndef MEDLARWALK_WORK_SHARE_H_
#define MEDLARWALK_WORK_SHARE_H_

#include <algorithm>
#include <chrono>

#include "types.h"

namespace medlarwalk {

struct WorkSharePolicy {
  Duration smoothing = std::chrono::seconds(1);
  // A process may send this many times its equal share before its limits grow:
  // callers are never spread evenly.
  double tolerated_excess = 2;
  // Growth of the factor per equal share beyond the tolerated ones, until it is
  // the process's whole share.
  double growth = 2;
  // Least number of own requests in flight. With fewer, the engines' reports
  // show little but the own requests.
  double min_own = 8;
};

// Requests in flight at the upstreams of a service, as far as one process
// knows.
struct ServiceLoad {
  double own = 0;       // Requests of this process.
  double reported = 0;  // Requests of all processes in the recent reports.
  int reporting_upstreams = 0;
  int upstreams = 0;  // Of the service.
};

// Returns the estimate of the requests in flight at all upstreams. Those
// without a recent report are taken to hold as many as the others: a process
// has reports mostly of the upstreams to which it sends, and its own requests
// would seem to be most of the work.
inline double EstimateTotal(const ServiceLoad& l) {
  if (l.reporting_upstreams == 0) return l.own;
  return l.reported * l.upstreams / l.reporting_upstreams;
}

// Share of one process in the requests in flight at the upstreams of a service.
// Thread safety: loop thread only.
class WorkShare {
 public:
  explicit WorkShare(const WorkSharePolicy& policy = {}) : policy_(policy) {}

  // Records that the upstreams of the service held `total` requests when `own`
  // of them were those of this process.
  void Record(double own, double total, TimePoint now) {
    double elapsed = ToSeconds(now - recorded_at_);
    double weight = std::min(1.0, elapsed / ToSeconds(policy_.smoothing));
    recorded_at_ = now;
    own_ += (own - own_) * weight;
    total_ += (std::max(own, total) - total_) * weight;
  }
  // Returns the factor by which this process may exceed the equal share of one
  // of `process_count` processes: from 1 to `process_count`.
  double LimitFactor(int process_count) const {
    if (own_ < policy_.min_own) return 1;
    double excess = own_ / total_ * process_count;
    double grown = 1 + policy_.growth * (excess - policy_.tolerated_excess);
    return std::max(1.0, std::min(grown, excess));
  }

 private:
  WorkSharePolicy policy_;
  double own_ = 0;
  double total_ = 0;
  TimePoint recorded_at_{};
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_WORK_SHARE_H_
