// Chooses when rejected callers of one service are told to return. Pure;
// callers pass the current time.
//
// Load pattern: hundreds of requests are rejected within a few hundred
// milliseconds. If they are told the same time, they return together, and most
// of them are rejected again. Therefore each is told the time when the places
// that come free until then suffice for all who were told to return before it.
#ifndef MEDLARWALK_RETURN_SCHEDULE_H_
#define MEDLARWALK_RETURN_SCHEDULE_H_

#include <cstddef>
#include <set>
#include <utility>

#include "types.h"

namespace medlarwalk {

struct ReturnSchedulePolicy {
  // Shortest delay. Within it, a row of the return table usually reaches the
  // other entry processes.
  Duration min_delay = Millis(150);
  // Longest delay, in shares of the time that the caller has left. Callers wait
  // up to a third of it; the time on the network takes part of that.
  double max_time_left_share = 0.3;
  // Longest delay for callers with much time left. A burst of a second or two
  // is over then.
  Duration max_delay = std::chrono::seconds(3);
  // Longest random addition to a delay. Other processes make promises for the
  // same place at the same moment.
  Duration max_jitter = Millis(100);
  // Time over which the rate of places is smoothed. It has to follow a burst of
  // a second or two.
  Duration rate_smoothing = Millis(1000);
  // Maximum number of promises that are remembered. More are made without
  // counting.
  size_t max_promises = 4096;
};

// A rejected request whose caller is told when to return.
struct ReturnRequest {
  Tier tier = 0;
  // Time until a place is expected to be free for the request.
  Duration place_delay{};
  Duration time_left{};  // Until the request's deadline.
};

// The promises made by this process for one service. Thread safety: loop thread
// only.
class ReturnSchedule {
 public:
  explicit ReturnSchedule(const ReturnSchedulePolicy& policy = {})
      : policy_(policy) {}

  // Records that a request of the service got a place.
  void RecordPlace(TimePoint now);
  // Returns the time until the caller should return, and counts the promise.
  // `draw` is uniform in [0, 1).
  Duration Promise(const ReturnRequest& request, TimePoint now, double draw);
  // Returns the number of promises for the coming time.
  size_t pending(TimePoint now);
  // Returns the smoothed number of places per second.
  double places_per_s(TimePoint now) const;

 private:
  // Returns the number of promises at or after `from` to requests that are
  // served before one of `tier` that arrives later.
  size_t CountFrom(TimePoint from, Tier tier) const;

  ReturnSchedulePolicy policy_;
  std::multiset<std::pair<TimePoint, Tier>> promises_;
  double places_ = 0;  // Decayed sum of the places until places_at_.
  TimePoint places_at_{};
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_RETURN_SCHEDULE_H_
