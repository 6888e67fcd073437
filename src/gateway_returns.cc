// Gateway: callers that were rejected and return when they were told to. Only
// for services with return_precedence.
#include "gateway.h"
#include "gateway_request.h"

namespace medlarwalk {

ReturnSchedule& Gateway::ReturnScheduleFor(const std::string& service) {
  return return_schedules_[service];
}

// Recognizes a request that was rejected before, by any entry process.
void Gateway::RecognizeReturn(Request& r) {
  if (!r.service->return_precedence) return;
  ReturnClaim claim = returns_.Claim(r.fingerprint, r.tier, clock_.Now());
  r.returning = claim == ReturnClaim::kKept;
  if (claim == ReturnClaim::kKept) metrics_.CountReturn("kept");
  if (claim == ReturnClaim::kEarly) metrics_.CountReturn("early");
}

// Returns whether a rejection of `r` with `kind` tells the caller when to
// return with precedence. A draining process names no such time, because
// another one can serve the caller at once.
bool Gateway::PromisesReturn(const Request& r, ErrorKind kind) const {
  const ErrorAnswer& a = ErrorAnswerFor(kind);
  if (!r.service || !r.service->return_precedence) return false;
  if (!a.not_run || !a.retry_after) return false;
  if (kind == ErrorKind::kQuarantined || kind == ErrorKind::kDraining)
    return false;
  return r.deadline > clock_.Now();
}

// Returns the time until the caller of the rejected request `r` should return,
// and records the promise. `unpredicted`: delay to use if the time of the next
// place is not known.
Duration Gateway::PromiseReturn(Request& r, Duration unpredicted) {
  TimePoint now = clock_.Now();
  r.promised_delay = unpredicted;
  // No place is free before the end of a backoff of all upstreams, however
  // short the time is for which the caller would wait.
  if (RemainingBackoff(pool_.upstreams(), r.service->name, now) <=
      Duration::zero()) {
    ReturnRequest request;
    request.tier = r.rank;
    request.place_delay = r.placement.delay.value_or(unpredicted);
    request.time_left = r.deadline - now;
    std::uniform_real_distribution<double> draw(0, 1);
    r.promised_delay =
        ReturnScheduleFor(r.service->name).Promise(request, now, draw(random_));
  }
  returns_.RecordPromise(r.fingerprint, r.tier, now + *r.promised_delay, now);
  metrics_.CountReturn("promised");
  if (r.returning) metrics_.CountReturn("rejected_again");
  return *r.promised_delay;
}

// Returns the waiting requests that must be tried before `r`, which has just
// arrived: those of its rank whose callers returned when they were told to.
std::vector<uint64_t> Gateway::ReturningBefore(const Request& r) const {
  if (!r.service->return_precedence || r.sends > 0 || r.connect_failures > 0)
    return {};
  return waiting_queue_.ReturningRequests(r.service->name, r.rank);
}

// Sends the waiting requests `returning` and then the newcomer `r`, as long as
// there are places. The first one without a place ends the attempt; the next
// dispatch of all waiting requests considers those behind it.
void Gateway::DispatchReturningThen(absl::Span<const uint64_t> returning,
                                    Request& r) {
  std::vector<uint64_t> order(returning.begin(), returning.end());
  order.push_back(r.seq);
  for (uint64_t seq : order) {
    auto it = requests_.find(seq);
    if (it == requests_.end() || !it->second->waiting) continue;
    if (!TrySend(*it->second)) {
      if (!it->second->unplaceable) return;
      FailUnplaceable(*it->second, clock_.Now());
      continue;
    }
    it->second->waiting = false;
    TimePoint now = clock_.Now();
    waiting_queue_.RemoveServed(seq, now);
    waiting_queue_.RecordDispatch(it->second->service->name, now);
  }
}

void Gateway::UpdateReturns(TimePoint now) {
  returns_.RemoveExpired(now);
  metrics_.CountDroppedReturnRows(returns_.dropped() - reported_return_drops_);
  reported_return_drops_ = returns_.dropped();
}

}  // namespace medlarwalk
