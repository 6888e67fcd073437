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

// Returns whether `a` and `b` are ordered only by account and time.
bool SameRank(const WaitingRequest& a, const WaitingRequest& b) {
  return a.tier == b.tier && a.returning == b.returning;
}

using Waiting = std::deque<WaitingRequest>;

// Returns the request to shed from a full queue for `w`: the last one in
// serving order, or with `shares` the newest of the account with the most
// consumption among those that only account and time order. Returns end() if
// `w` has no precedence over it.
Waiting::iterator FindShed(Waiting& q, const WaitingRequest& w,
                           const AccountShares* shares) {
  auto shed = q.end() - 1;
  const WaitingRequest& last = *shed;
  if (!shares) return Precedes(w, last) ? shed : q.end();
  TimePoint now = w.enqueued_at;
  double most = shares->Consumption(shed->account, now);
  for (auto it = shed; it != q.begin() && SameRank(*(it - 1), last);) {
    double consumption = shares->Consumption((--it)->account, now);
    if (consumption <= most) continue;
    most = consumption;
    shed = it;
  }
  bool precedes =
      Precedes(w, last) ||
      (SameRank(w, last) && most > shares->Consumption(w.account, now));
  return precedes ? shed : q.end();
}

// Appends the sequence numbers of `tier`, which holds the waiting requests of
// one rank (SameRank), in the order of their accounts' consumption.
void AppendByAccount(absl::Span<const WaitingRequest* const> tier,
                     const AccountShares& shares, TimePoint now,
                     std::vector<uint64_t>* out) {
  std::vector<AccountClaim> claims;
  for (const WaitingRequest* w : tier)
    claims.push_back({w->account, w->tokens});
  for (size_t i : shares.ServingOrder(claims, now))
    out->push_back(tier[i]->seq);
}

}  // namespace

// Returns the expected wait of a new request `w` if slots keep becoming free at
// the recent rate; zero if that rate is unknown.
Duration WaitingQueue::ExpectedWait(const ServiceQueue& queue,
                                    const WaitingRequest& w,
                                    const AccountShares* shares) const {
  if (queue.dispatch_rate <= 0) return Duration::zero();
  TimePoint now = w.enqueued_at;
  double own = shares ? shares->Consumption(w.account, now) : 0;
  auto ahead = std::count_if(
      queue.waiting.begin(), queue.waiting.end(), [&](const auto& o) {
        if (!shares || !SameRank(o, w)) return !Precedes(w, o);
        return shares->Consumption(o.account, now) <= own;
      });
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(ahead) / queue.dispatch_rate));
}

absl::Status WaitingQueue::Enqueue(WaitingRequest w,
                                   std::optional<uint64_t>* shed,
                                   const AccountShares* shares) {
  ServiceQueue& queue = queues_[w.service];
  std::deque<WaitingRequest>& q = queue.waiting;
  shed->reset();
  if (!policy_.tier_order) w.tier = 0;
  if (policy_.reject_unmeetable &&
      ExpectedWait(queue, w, shares) > w.reject_at - w.enqueued_at) {
    return MakeError(ErrorKind::kTargetUnmeetable,
                     "expected wait exceeds the class target");
  }
  if (q.size() >= policy_.max_waiting) {
    auto it = FindShed(q, w, shares);
    if (it == q.end()) {
      return MakeError(ErrorKind::kOverloaded, "waiting room full");
    }
    *shed = it->seq;
    q.erase(it);
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

bool WaitingQueue::LessServedAccountWaits(const std::string& service, Tier tier,
                                          AccountKey account,
                                          const AccountShares& shares,
                                          TimePoint now) const {
  auto it = queues_.find(service);
  if (it == queues_.end()) return false;
  double own = shares.Consumption(account, now);
  const Waiting& q = it->second.waiting;
  return std::any_of(q.begin(), q.end(), [&](const auto& w) {
    return w.tier == tier && w.account != account &&
           shares.Consumption(w.account, now) < own;
  });
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

std::vector<uint64_t> WaitingQueue::ServingOrder(
    const std::string& service, TimePoint now,
    const AccountShares* shares) const {
  std::vector<uint64_t> out;
  auto it = queues_.find(service);
  if (it == queues_.end()) return out;
  const ServiceQueue& queue = it->second;
  const WaitingRequest* first = FirstStarving(queue, now);
  if (queue.dispatches_since_floor + 1 < policy_.floor_interval)
    first = nullptr;
  if (first) out.push_back(first->seq);
  std::vector<const WaitingRequest*> tier;
  for (const WaitingRequest& w : queue.waiting) {
    if (&w == first) continue;
    if (!shares) {
      out.push_back(w.seq);
      continue;
    }
    if (!tier.empty() && !SameRank(*tier.back(), w)) {
      AppendByAccount(tier, *shares, now, &out);
      tier.clear();
    }
    tier.push_back(&w);
  }
  if (shares) AppendByAccount(tier, *shares, now, &out);
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
