// Deterministic subsetting: the part of a service's upstreams that one entry
// process sends to first. Pure functions over plain values.
//
// Load pattern: hundreds of entry processes with a few requests a second each,
// and hundreds of upstreams. If each process spread its requests over all
// upstreams, it would meet each of them once in minutes: every request would
// open a connection, and what the process knows of an upstream (load, failures)
// would be out of date at the next request.
#ifndef MEDLARWALK_UPSTREAM_SUBSET_H_
#define MEDLARWALK_UPSTREAM_SUBSET_H_

#include <optional>

#include "send_slots.h"
#include "types.h"

namespace medlarwalk {

struct SubsetPolicy {
  // Number of requests that an upstream of the subset should get within the
  // time for which it keeps an idle connection. With random arrivals, the
  // connection is closed before a twentieth of the requests.
  double requests_per_idle_time = 3;
  // Least number of upstreams in a subset, so that a few unusable or loaded
  // ones leave a choice.
  int min_size = 4;
  // Least number of processes whose subsets contain an upstream, on average.
  double min_cover = 3;
};

// What the size of a subset is derived from.
struct SubsetDemand {
  double requests_per_s = 0;  // Rate of this process's requests.
  Duration idle_time{};  // Time for which upstreams keep an idle connection.
  int process_count = 1;
  int upstream_count = 0;
};

// Returns the number of upstreams in the subset; upstream_count (no subset) if
// the upstreams close no idle connections or the requests of this process keep
// a connection to each of them open.
int SubsetSize(const SubsetDemand& demand, const SubsetPolicy& policy);

// The upstreams of a subset, by their position in an order that all processes
// share: `size` consecutive ones of the `count` positions from `first` on,
// beginning `offset` after `first`, and continued at `first` after the last.
// The first `home` of them are the ones that this process uses before others.
struct UpstreamSubset {
  int first = 0;
  int count = 0;
  int offset = 0;
  int size = 0;
  int home = 0;

  // Returns how far `position` lies behind the home positions, from 0 (home) to
  // 1 (not in the subset). Positions outside of [first, first + count) are not
  // subject to the subset and have the distance 0.
  double Distance(int position) const;
  bool Contains(int position) const { return Distance(position) < 1; }
  bool IsWhole() const { return size >= count; }
};

// Returns the subset of `process` with `size` of the `count` upstreams at the
// positions from `first` on. The subsets of all processes begin at even
// distances, so each upstream is in about the same number of them, and at home
// in about as many. If it is not
// known which of the processes this is, the subset contains all upstreams.
// One process more, or all indexes shifted by one, moves the subsets by at most
// count / process_count positions; one upstream more or less, by one position.
// A larger size only adds upstreams.
UpstreamSubset ComputeSubset(std::optional<ProcessIndex> process, int first,
                             int count, int size);

// Smoothed rate of events.
class EventRate {
 public:
  void Record(TimePoint now);
  // Returns events per second.
  double PerSecond(TimePoint now) const;

 private:
  double Decayed(TimePoint now) const;

  double events_ = 0;  // Weighted sum of the events until `at_`.
  TimePoint at_{};
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_UPSTREAM_SUBSET_H_
