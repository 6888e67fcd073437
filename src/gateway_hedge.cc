// Gateway: requests whose upstream has fallen silent. A sound upstream may be
// silent for a second and go on, so silence alone never ends an attempt. The
// request is sent to a second upstream as well (a hedged request); the first of
// the two that makes progress keeps it, and the other one is cancelled then.
#include <algorithm>
#include <utility>

#include "gateway.h"
#include "gateway_request.h"
#include "log.h"

namespace medlarwalk {
namespace {

// A stream without progress for this many event gap targets is hedged if
// allowed. Before the first event, the limit is a number of
// latency targets instead. Both limits are at least kMinStreamStall.
constexpr int kStallEventGapTargets = 6;
constexpr int kStallFirstEventTargets = 2;
constexpr auto kMinStreamStall = Millis(1000);
// A repeatable plain request without an answer for this many latency targets,
// and at least kMinPlainStall, is hedged.
constexpr int kPlainStallLatencyTargets = 3;
constexpr auto kMinPlainStall = Millis(300);

}  // namespace

bool Gateway::IsSilent(const Request& r, const Attempt& a) {
  Duration limit;
  if (!r.stream()) {
    limit = std::max<Duration>(
        kMinPlainStall, r.route->latency_target * kPlainStallLatencyTargets);
  } else {
    limit = std::max<Duration>(
        kMinStreamStall,
        r.stream_started ? r.route->event_gap_target * kStallEventGapTargets
                         : r.route->latency_target * kStallFirstEventTargets);
  }
  TimePoint polled_at = poll_clock_.Now();
  if (polled_at - a.progress_at < limit) return false;
  if (!r.stream()) return true;
  // An upstream that still sends data for other requests is busy, not silent.
  const UpstreamState* u = pool_.Find(a.upstream);
  return !u || polled_at - u->last_activity_at >= kMinStreamStall;
}

void Gateway::HedgeIfSilent(Request& r, TimePoint now) {
  if (r.upstream.empty() || !r.repeatable() || r.read_paused) return;
  if (r.sends >= r.route->max_attempts || now < r.hedge_not_before) return;
  if (!IsSilent(r, r)) return;
  for (const auto& other : r.others) {
    if (other->read_paused || !IsSilent(r, *other)) return;
  }
  r.hedge_not_before = now + kHedgeRetryInterval;
  if (!MayBeSentAgain(r) || IsOnTrial(r)) return;
  RetryBudget& budget = RetryBudgetFor(r.service->name);
  if (!budget.TryConsume(options_.retry, entry_count_, now)) return;
  std::string silent = r.upstream;
  Duration silence = now - r.progress_at;
  int sends = r.sends;
  r.others.push_back(std::make_unique<Attempt>());
  SwitchAttempt(r, *r.others.back());
  if (!TrySend(r)) {
    SwitchAttempt(r, *r.others.back());
    r.others.pop_back();
    budget.Refund();
    return;
  }
  if (r.sends == sends) return;  // The connection failed at once.
  r.may_have_run = true;
  metrics_.CountRetry("silent");
  LogEvent("hedged", {{"request", r.facts.id},
                      {"silent", silent},
                      {"silent_ms", ToMs(silence)},
                      {"unread_ms", ToMs(now - poll_clock_.Now())},
                      {"events", r.events}});
}

void Gateway::SwitchAttempt(Request& r, Attempt& other) {
  std::swap(static_cast<Attempt&>(r), other);
}

void Gateway::CancelOtherAttempts(Request& r) {
  for (const auto& other : r.others) CancelAttempt(r, *other);
  r.others.clear();
}

void Gateway::EndSupersededAttempts(Request& r) {
  if (r.others.empty()) return;
  bool newest = true;
  for (const auto& other : r.others) {
    bool hedge_won = other->attempt < r.attempt;
    newest &= hedge_won;
    LogEvent("attempt_superseded", {{"request", r.facts.id},
                                    {"upstream", other->upstream},
                                    {"by", r.upstream},
                                    {"hedge_won", hedge_won ? 1 : 0}});
    // That another upstream was faster even so is evidence; silence is none.
    UpstreamState* silent = hedge_won ? pool_.Find(other->upstream) : nullptr;
    if (silent) RecordFailure(*silent, clock_.Now(), true, options_.placement);
  }
  CancelOtherAttempts(r);
  if (!newest) RecordOriginOfAttempt(r);
}

void Gateway::ContinueWithOtherAttempt(Request& r, CallEnd end) {
  if (end == CallEnd::kNotSent) {
    --r.sends;
    RetryBudgetFor(r.service->name).Refund();
  }
  DiscardBufferedBody(r);
  SwitchAttempt(r, *r.others.back());
  r.others.pop_back();
  RecordOriginOfAttempt(r);
  DispatchWaitingRequests();
}

void Gateway::RecordOriginOfAttempt(Request& r) {
  ++r.origin_number;
  if (const UpstreamState* u = pool_.Find(r.upstream))
    RecordStreamOrigin(r, r.build.value_or(u->info.build));
}

}  // namespace medlarwalk
