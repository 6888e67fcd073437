#include "waiting_queue.h"

#include <algorithm>

#include "errors.h"

namespace medlarwalk {
namespace {

// Weight of the newest interval in the smoothed dispatch rate.
constexpr double kRateSmoothing = 0.1;

// Returns whether `a` is served before `b`, whichever began to wait first.
bool Precedes(const WaitingRequest& a, const WaitingRequest& b) {
  if (a.tier != b.tier) return a.tier < b.tier;
  return a.returning && !b.returning;
}

}  // namespace

// Returns the expected wait of the new request `w` if slots keep becoming free
// at the recent rate; zero if that rate is unknown.
Duration WaitingQueue::ExpectedWait(const ServiceQueue& queue,
                                    const WaitingRequest& w) const {
  if (queue.dispatch_rate <= 0) return Duration::zero();
  auto ahead = std::count_if(queue.waiting.begin(), queue.waiting.end(),
                             [&](const auto& o) { return !Precedes(w, o); });
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(ahead) / queue.dispatch_rate));
}

absl::Status WaitingQueue::Enqueue(WaitingRequest w,
                                   std::optional<uint64_t>* shed) {
  ServiceQueue& queue = queues_[w.service];
  std::deque<WaitingRequest>& q = queue.waiting;
  shed->reset();
  if (!policy_.tier_order) w.tier = 0;
  if (policy_.reject_unmeetable &&
      ExpectedWait(queue, w) > w.reject_at - w.enqueued_at) {
    return MakeError(ErrorKind::kTargetUnmeetable,
                     "expected wait exceeds the class target");
  }
  if (q.size() >= policy_.max_waiting) {
    if (!Precedes(w, q.back())) {
      return MakeError(ErrorKind::kOverloaded, "waiting room full");
    }
    *shed = q.back().seq;
    q.pop_back();
  }
  auto position = std::find_if(q.begin(), q.end(),
                               [&](const auto& o) { return Precedes(w, o); });
  q.insert(position, std::move(w));
  return absl::OkStatus();
}

void WaitingQueue::RemoveUnserved(uint64_t seq) {
  for (auto& [service, queue] : queues_) {
    auto it = std::find_if(queue.waiting.begin(), queue.waiting.end(),
                           [&](const auto& w) { return w.seq == seq; });
    if (it == queue.waiting.end()) continue;
    queue.waiting.erase(it);
    return;
  }
}

void WaitingQueue::RemoveServed(uint64_t seq, TimePoint now) {
  for (auto& [service, queue] : queues_) {
    const WaitingRequest* starving = FirstStarving(queue, now);
    bool found = std::any_of(queue.waiting.begin(), queue.waiting.end(),
                             [&](const auto& w) { return w.seq == seq; });
    if (!found) continue;
    queue.dispatches_since_floor =
        starving && starving->seq != seq ? queue.dispatches_since_floor + 1 : 0;
    break;
  }
  RemoveUnserved(seq);
}

void WaitingQueue::RecordDispatch(const std::string& service, TimePoint now) {
  ServiceQueue& queue = queues_[service];
  if (queue.last_dispatch_at && now > *queue.last_dispatch_at) {
    double rate = 1 / ToSeconds(now - *queue.last_dispatch_at);
    queue.dispatch_rate += queue.dispatch_rate == 0
                               ? rate
                               : kRateSmoothing * (rate - queue.dispatch_rate);
  }
  queue.last_dispatch_at = now;
}

TimePoint StarvesAt(const WaitingRequest& w, const WaitingPolicy& policy) {
  if (policy.starvation_bound <= Duration::zero()) return TimePoint::max();
  auto share = std::chrono::duration_cast<Duration>(
      (w.reject_at - w.enqueued_at) * policy.starving_share);
  return w.enqueued_at + std::min(policy.starvation_bound, share);
}

// Returns the starving request with the earliest deadline, or nullptr.
const WaitingRequest* WaitingQueue::FirstStarving(const ServiceQueue& queue,
                                                  TimePoint now) const {
  const WaitingRequest* first = nullptr;
  for (const WaitingRequest& w : queue.waiting) {
    if (now < StarvesAt(w, policy_)) continue;
    if (!first || w.reject_at < first->reject_at) first = &w;
  }
  return first;
}

std::vector<std::string> WaitingQueue::WaitingServices() const {
  std::vector<std::string> out;
  for (const auto& [service, queue] : queues_) {
    if (!queue.waiting.empty()) out.push_back(service);
  }
  return out;
}

std::vector<uint64_t> WaitingQueue::ServingOrder(const std::string& service,
                                                 TimePoint now) const {
  std::vector<uint64_t> out;
  auto it = queues_.find(service);
  if (it == queues_.end()) return out;
  const ServiceQueue& queue = it->second;
  const WaitingRequest* first = FirstStarving(queue, now);
  if (queue.dispatches_since_floor + 1 < policy_.floor_interval)
    first = nullptr;
  if (first) out.push_back(first->seq);
  for (const WaitingRequest& w : queue.waiting) {
    if (&w != first) out.push_back(w.seq);
  }
  return out;
}

std::vector<uint64_t> WaitingQueue::ReturningRequests(
    const std::string& service, Tier tier) const {
  std::vector<uint64_t> out;
  auto it = queues_.find(service);
  if (it == queues_.end()) return out;
  for (const WaitingRequest& w : it->second.waiting) {
    if (w.tier == tier && w.returning) out.push_back(w.seq);
  }
  return out;
}

std::vector<uint64_t> WaitingQueue::ExpiredRequests(TimePoint now) const {
  std::vector<uint64_t> out;
  for (const auto& [service, queue] : queues_) {
    for (const WaitingRequest& w : queue.waiting) {
      if (now >= w.reject_at) out.push_back(w.seq);
    }
  }
  return out;
}

size_t WaitingQueue::size(const std::string& service) const {
  auto it = queues_.find(service);
  return it == queues_.end() ? 0 : it->second.waiting.size();
}

}  // namespace medlarwalk
