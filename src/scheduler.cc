#include "scheduler.h"

#include <algorithm>
#include <numeric>

#include "errors.h"

namespace medlarwalk {

namespace {

// Weight of the newest interval in the smoothed drain rate.
constexpr double kRateSmoothing = 0.1;

}  // namespace

Scheduler::Scheduler(const Clock& clock, SchedulerConfig config,
                     std::vector<SchedulerClass> classes)
    : clock_(clock),
      config_(config),
      classes_(std::move(classes)),
      queues_(classes_.size()),
      by_tier_(classes_.size()) {
  std::iota(by_tier_.begin(), by_tier_.end(), 0);
  std::stable_sort(by_tier_.begin(), by_tier_.end(),
                   [this](size_t a, size_t b) {
                     return classes_[a].tier < classes_[b].tier;
                   });
}

// The time until `r` would be dispatched if the entry keeps draining at its
// recent rate: everything queued at the same or a more protected tier goes
// first. Unknown rate (just started) means no estimate: zero.
Duration Scheduler::EstimatedWait(const QueuedRequest& r) const {
  if (drain_rate_ <= 0) return Duration::zero();
  int ahead = 0;
  Tier tier = classes_[r.klass].tier;
  for (size_t k = 0; k < classes_.size(); ++k) {
    if (classes_[k].tier <= tier) ahead += static_cast<int>(queues_[k].size());
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(ahead / drain_rate_));
}

AdmitResult Scheduler::Admit(const QueuedRequest& r) {
  AdmitResult result;
  const SchedulerClass& c = classes_[r.klass];
  if (EstimatedWait(r) > c.first_token_target) {
    result.status = MakeError(ErrorKind::kTargetUnmeetable,
                              "estimated wait exceeds the class target");
    return result;
  }
  if (total_ >= config_.queue_limit) {
    // Shed the newest request of the least protected tier, and only if it is
    // strictly less protected than `r`: a higher tier is never shed for a
    // lower or equal one.
    for (auto it = by_tier_.rbegin(); it != by_tier_.rend(); ++it) {
      if (classes_[*it].tier <= c.tier) break;
      if (queues_[*it].empty()) continue;
      result.shed = queues_[*it].back().id;
      queues_[*it].pop_back();
      --total_;
      break;
    }
    if (!result.shed) {
      result.status = MakeError(ErrorKind::kOverloaded, "entry queue is full");
      return result;
    }
  }
  queues_[r.klass].push_back(r);
  ++total_;
  return result;
}

// The class whose head has waited longest past the starvation bound, if any.
std::optional<size_t> Scheduler::StarvingClass() const {
  TimePoint now = clock_.Now();
  std::optional<size_t> oldest;
  for (size_t k = 0; k < queues_.size(); ++k) {
    if (queues_[k].empty()) continue;
    if (now - queues_[k].front().enqueued < config_.starvation_bound) continue;
    if (!oldest ||
        queues_[k].front().enqueued < queues_[*oldest].front().enqueued) {
      oldest = k;
    }
  }
  return oldest;
}

std::optional<QueuedRequest> Scheduler::PopFirstRunnable(
    size_t klass, absl::FunctionRef<bool(const QueuedRequest&)> can_run) {
  auto& q = queues_[klass];
  for (auto it = q.begin(); it != q.end(); ++it) {
    if (!can_run(*it)) continue;
    QueuedRequest r = std::move(*it);
    q.erase(it);
    --total_;
    return r;
  }
  return std::nullopt;
}

void Scheduler::NoteDispatch() {
  TimePoint now = clock_.Now();
  if (last_dispatch_) {
    double dt = std::chrono::duration<double>(now - *last_dispatch_).count();
    if (dt > 0) {
      double rate = 1.0 / dt;
      drain_rate_ = drain_rate_ == 0 ? rate
                                     : (1 - kRateSmoothing) * drain_rate_ +
                                           kRateSmoothing * rate;
    }
  }
  last_dispatch_ = now;
}

std::optional<QueuedRequest> Scheduler::Next(
    absl::FunctionRef<bool(const QueuedRequest&)> can_run) {
  if (total_ == 0) return std::nullopt;
  std::optional<size_t> starving = StarvingClass();
  if (starving && since_floor_ + 1 >= config_.floor_every) {
    if (auto r = PopFirstRunnable(*starving, can_run)) {
      since_floor_ = 0;
      NoteDispatch();
      return r;
    }
  }
  // Within a tier, the class whose head came first goes first.
  for (size_t i = 0; i < by_tier_.size();) {
    size_t j = i;
    while (j < by_tier_.size() &&
           classes_[by_tier_[j]].tier == classes_[by_tier_[i]].tier) {
      ++j;
    }
    std::vector<size_t> tier(by_tier_.begin() + static_cast<std::ptrdiff_t>(i),
                             by_tier_.begin() + static_cast<std::ptrdiff_t>(j));
    std::sort(tier.begin(), tier.end(), [this](size_t a, size_t b) {
      if (queues_[a].empty() != queues_[b].empty()) return queues_[b].empty();
      if (queues_[a].empty()) return a < b;
      return queues_[a].front().enqueued < queues_[b].front().enqueued;
    });
    for (size_t k : tier) {
      if (auto r = PopFirstRunnable(k, can_run)) {
        since_floor_ = starving ? since_floor_ + 1 : 0;
        NoteDispatch();
        return r;
      }
    }
    i = j;
  }
  return std::nullopt;
}

std::vector<QueuedRequest> Scheduler::Expire() {
  TimePoint now = clock_.Now();
  std::vector<QueuedRequest> out;
  for (auto& q : queues_) {
    for (auto it = q.begin(); it != q.end();) {
      if (it->give_up_at <= now) {
        out.push_back(std::move(*it));
        it = q.erase(it);
        --total_;
      } else {
        ++it;
      }
    }
  }
  return out;
}

bool Scheduler::Remove(RequestId id) {
  for (auto& q : queues_) {
    for (auto it = q.begin(); it != q.end(); ++it) {
      if (it->id == id) {
        q.erase(it);
        --total_;
        return true;
      }
    }
  }
  return false;
}

AdmitResult NaiveScheduler::Admit(const QueuedRequest& r) {
  AdmitResult result;
  if (static_cast<int>(queue_.size()) >= queue_limit_) {
    result.status = MakeError(ErrorKind::kOverloaded, "queue is full");
    return result;
  }
  queue_.push_back(r);
  return result;
}

std::optional<QueuedRequest> NaiveScheduler::Next(
    absl::FunctionRef<bool(const QueuedRequest&)> can_run) {
  for (auto it = queue_.begin(); it != queue_.end(); ++it) {
    if (!can_run(*it)) continue;
    QueuedRequest r = std::move(*it);
    queue_.erase(it);
    return r;
  }
  return std::nullopt;
}

std::vector<QueuedRequest> NaiveScheduler::Expire(TimePoint now) {
  std::vector<QueuedRequest> out;
  for (auto it = queue_.begin(); it != queue_.end();) {
    if (it->give_up_at <= now) {
      out.push_back(std::move(*it));
      it = queue_.erase(it);
    } else {
      ++it;
    }
  }
  return out;
}

bool NaiveScheduler::Remove(RequestId id) {
  for (auto it = queue_.begin(); it != queue_.end(); ++it) {
    if (it->id == id) {
      queue_.erase(it);
      return true;
    }
  }
  return false;
}

}  // namespace medlarwalk
