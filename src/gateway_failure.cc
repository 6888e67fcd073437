// Gateway: handling of failed attempts. A request is retried at another
// upstream where that is allowed; otherwise it gets its final answer.
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gateway.h"
#include "gateway_request.h"
#include "log.h"

namespace medlarwalk {
namespace {

// Minimum time left until the deadline for a request to be sent again.
constexpr auto kMinTimeToRetry = Millis(20);
// Lower bound, random spread and upper bound of Retry-After; the bounds are in
// seconds. The lower bound is also used if it is unknown when the service last
// answered. Without the spread, callers that are rejected at the same moment
// would all return at the same moment.
constexpr double kMinRetryAfterSeconds = 0.3;
constexpr double kRetryAfterSpread = 0.5;
constexpr double kMaxRetryAfterSeconds = 3;
// Time after the arrival of the answer's head for which a request counts as
// just begun. If no head has arrived, the time counts from the sending of the
// request.
constexpr auto kJustBegunWindow = Millis(500);
// Retry-After for callers that this process rejects because it is draining.
// Another entry process can serve them at once.
constexpr auto kDrainRetryAfter = Millis(20);

// Mean Retry-After, in seconds, of requests that are rejected while a trial of
// what they share is in progress. A trial that is served clears it within about
// this time.
constexpr double kTrialRetryAfterSeconds = 1;

// Returns whether `kind` means that the request was rejected or shed for lack
// of capacity.
bool IsCapacityRejection(ErrorKind kind) {
  return kind == ErrorKind::kTargetUnmeetable ||
         kind == ErrorKind::kOverloaded || kind == ErrorKind::kShed;
}

// Returns the ids of those of `parts` that are parts of the prompt or, if
// `accounts`, that stand for an account.
std::string IdsToHex(absl::Span<const PartAtCrash> parts, bool accounts) {
  std::vector<uint64_t> ids;
  for (const PartAtCrash& part : parts) {
    if ((part.position < 0) == accounts) ids.push_back(part.id);
  }
  return PartsToHex(ids);
}

absl::string_view Name(CallEnd e) {
  switch (e) {
    case CallEnd::kWhole:
      return "whole";
    case CallEnd::kNotSent:
      return "not_sent";
    case CallEnd::kNoAnswer:
      return "no_answer";
    case CallEnd::kInterrupted:
      return "broken_off";
  }
  return "";
}

}  // namespace

bool Gateway::MayBeSentAgain(const Request& r) const {
  if (r.exchange->disconnected() || r.deadline - clock_.Now() < kMinTimeToRetry)
    return false;
  // A quarantined request would crash the next upstream too. Waiting for a slot
  // helps only if there is an upstream that the request has not tried.
  return !MustNotBeSent(r) &&
         HasUntriedUpstream(pool_.upstreams(), PlacementRequestFor(r));
}

bool Gateway::ClaimRetry(Request& r, CallEnd end) {
  TimePoint now = clock_.Now();
  bool may_be_sent = MayBeSentAgain(r);
  if (end == CallEnd::kNotSent) {
    // Nothing reached the upstream, so the failed connection counts neither as
    // an attempt nor against the retry budget.
    --r.sends;
    return ++r.connect_failures < kConnectTimeouts.size() && may_be_sent;
  }
  bool not_run = r.have_head && r.answer_facts.not_run;
  // The crash of the upstream under a trial may not be known yet.
  if (!not_run && (!r.repeatable() || IsOnTrial(r))) return false;
  if (r.sends >= r.route->max_attempts || !may_be_sent) return false;
  if (!RetryBudgetFor(r.service->name)
           .TryConsume(options_.retry, entry_count_, now)) {
    metrics_.CountRetry("budget_spent");
    return false;
  }
  metrics_.CountRetry(not_run ? "refused" : Name(end));
  return true;
}

// Records that the upstream has terminated if the end of the attempt proves it,
// or that it may have terminated if the end only suggests it.
void Gateway::CheckForUpstreamTermination(const Request& r, CallEnd end) {
  bool answered = r.have_head && end == CallEnd::kWhole;
  bool ends_with_connection =
      answered && r.stream() && !ProvesServed(r) && !WentOn(r, clock_.Now());
  if (answered && !r.answer_facts.termination_id.empty()) {
    OnUpstreamCrash(
        absl::StrCat(r.upstream, "/", r.answer_facts.termination_id), "told",
        {InterruptedCallOf(r, r.sent_at)});
  } else if (answered && r.answer_facts.other_upstream) {
    crash_watch_.RecordTermination(r.upstream, "replaced");
  } else if (end == CallEnd::kNotSent) {
    if (r.connection->refused())
      crash_watch_.RecordTermination(r.upstream, "refused");
  } else if (ends_with_connection || (!answered && !r.connection->open())) {
    crash_watch_.RecordInterruptedCall(
        r.upstream, InterruptedCallOf(r, r.have_head ? r.head_at : r.sent_at));
  }
}

// Returns the call of `r`, which just began if it began less than
// kJustBegunWindow after `began`.
CrashWatch::InterruptedCall Gateway::InterruptedCallOf(const Request& r,
                                                       TimePoint began) const {
  TimePoint now = clock_.Now();
  bool just_started = now - began < kJustBegunWindow;
  return {r.fingerprint,
          {0, r.sent_at, now, just_started, false},
          r.parts_at_crash(),
          r.events,
          WentOn(r, now)};
}

void Gateway::SetCrashKeys(Request& r) {
  r.crash_keys.clear();
  for (size_t i = 0; i + 1 < r.facts.parts.size(); ++i)
    r.crash_keys.push_back(r.facts.parts[i].id);
  r.has_account_key = !r.account.empty();
  if (r.has_account_key)
    r.crash_keys.push_back(ComputeAccountRouteKey(r.account, r.route->name));
}

bool Gateway::IsAccountKey(const Request& r, uint64_t key) {
  return r.has_account_key && r.crash_keys.back() == key;
}

TimePoint Gateway::QuarantineTime() const {
  // A process that does not know its place tries last.
  int place = subset_index_ ? subset_index_->index : entry_count_;
  return HoldTime(clock_.Now(), place, entry_count_);
}

std::optional<uint64_t> Gateway::FindQuarantinedKey(const Request& r) const {
  return quarantine_.FindQuarantinedPart(r.crash_keys, QuarantineTime());
}

std::vector<PartHold> Gateway::FindLapsedHolds(const Request& r) const {
  return quarantine_.FindLapsedHolds(r.crash_keys, QuarantineTime());
}

bool Gateway::IsOnTrial(const Request& r) const {
  return hold_trials_.IsUndecided(FindLapsedHolds(r), clock_.Now());
}

bool Gateway::WentOn(const Request& r, TimePoint now) {
  return r.attempt_began_at != TimePoint{} &&
         now - r.attempt_began_at >= kBeginsAnswerWindow;
}

void Gateway::OnUpstreamCrash(
    const std::string& upstream, absl::string_view how,
    const std::vector<CrashWatch::InterruptedCall>& calls) {
  metrics_.CountUpstreamTermination(how);
  std::vector<Quarantine::Suspect> suspects;
  for (const CrashWatch::InterruptedCall& c : calls) {
    Quarantine::Suspect s{c.fingerprint, c.crash, {}};
    if (!c.went_on) s.parts = c.parts;
    suspects.push_back(std::move(s));
    LogEvent("crashed_under", {{"upstream", upstream},
                               {"asks", FingerprintToHex(c.fingerprint)},
                               {"parts", IdsToHex(c.parts, false)},
                               {"account_key", IdsToHex(c.parts, true)},
                               {"events", c.events},
                               {"sent_ms", ToMs(c.crash.at - c.crash.sent_at)},
                               {"just_begun", c.crash.just_started ? 1 : 0},
                               {"went_on", c.went_on ? 1 : 0}});
  }
  quarantine_.RecordCrash(upstream, suspects);
}

bool Gateway::MustNotBeSent(const Request& r) const {
  return quarantine_.IsQuarantined(r.fingerprint) || FindQuarantinedKey(r);
}

// Fails quarantined requests whose answers have not begun. Such a request may
// still be queued at an upstream and would crash it too.
void Gateway::FailQuarantinedRequests() {
  if (quarantine_.quarantine_changes() == quarantine_changes_seen_) return;
  quarantine_changes_seen_ = quarantine_.quarantine_changes();
  metrics_.SetQuarantined(quarantine_.quarantined_count(),
                          quarantine_.blamed_part_count());
  std::vector<uint64_t> to_fail;
  for (const auto& [seq, r] : requests_) {
    // Of an account that is held back, requests that were sent may be harmless.
    std::optional<uint64_t> key = FindQuarantinedKey(*r);
    bool may_go_on = key && IsAccountKey(*r, *key) && !r->upstream.empty() &&
                     !quarantine_.IsQuarantined(r->fingerprint);
    if (!r->stream_started && MustNotBeSent(*r) && !may_go_on)
      to_fail.push_back(seq);
  }
  for (uint64_t seq : to_fail) {
    Request& r = *requests_.at(seq);
    bool sent = !r.upstream.empty() && r.connection->sent();
    FailRequest(r,
                sent || r.may_have_run ? ErrorKind::kOutcomeUnknown
                                       : ErrorKind::kQuarantined,
                "crashes upstreams");
  }
  if (!to_fail.empty()) DispatchWaitingRequests();
}

void Gateway::HandleFailedAttempt(Request& r, CallEnd end,
                                  absl::string_view why) {
  TimePoint now = clock_.Now();
  bool not_run = r.have_head && r.answer_facts.not_run;
  double failure_share = 0;
  Duration ejected{};
  if (UpstreamState* u = pool_.Find(r.upstream)) {
    // An upstream that requests a backoff has stated when it can serve again.
    bool backoff = not_run && r.answer_facts.backoff > Duration::zero();
    if (!backoff)
      RecordFailure(*u, now, end != CallEnd::kWhole, options_.placement);
    failure_share = u->failure_share;
    ejected = std::max(Duration::zero(), u->ejected_until - now);
    if (r.have_head && r.answer_facts.other_upstream && !u->terminated) {
      u->terminated = true;
      prefix_cache_index_.RemoveEngine(u->info.id);
      LogEvent("upstream_ended", {{"upstream", u->info.id}});
    }
  }
  CheckForUpstreamTermination(r, end);
  if (end != CallEnd::kNotSent && !not_run) {
    r.may_have_run = true;
    // A plain service whose answer was lost has usually executed the request.
    if (!r.service->engine) CountAccountRequest(r);
  }
  LogEvent("attempt_failed",
           {{"request", r.facts.id},
            {"asks", FingerprintToHex(r.fingerprint)},
            {"upstream", r.upstream},
            {"attempt", r.sends + static_cast<int>(r.connect_failures)},
            {"end", Name(end)},
            {"why", why},
            {"events", r.events},
            {"failure_share", failure_share},
            {"ejected_ms", ToMs(ejected)}});
  bool answered = end == CallEnd::kWhole && r.have_head;
  if (answered) {
    ReleaseUpstream(r, r);
  } else {
    CancelAttempt(r, r);
  }
  if (!r.others.empty()) {
    ContinueWithOtherAttempt(r, end);
    return;
  }
  if (ClaimRetry(r, end)) {
    Dispatch(r);
    return;
  }
  bool unconfirmed = r.answer_facts.unconfirmed_not_run && !r.repeatable();
  if (answered && !not_run && !unconfirmed && !r.stream_started) {
    SendBufferedAnswer(r);
    FinishRequest(r, "answered", absl::StrCat(r.answer.status));
  } else if (r.may_have_run) {
    FailRequest(r, ErrorKind::kOutcomeUnknown, why);
  } else {
    FailRequest(r, ErrorKind::kNotRun, why);
  }
  DispatchWaitingRequests();
}

Duration Gateway::ComputeRetryAfter(const Request& r, ErrorKind kind) {
  bool awaits_trial = kind == ErrorKind::kQuarantined && !MustNotBeSent(r);
  if (kind == ErrorKind::kQuarantined && !awaits_trial) {
    TimePoint now = QuarantineTime();
    std::optional<uint64_t> key = FindQuarantinedKey(r);
    return key ? quarantine_.RemainingPartQuarantine(*key, now)
               : quarantine_.RemainingQuarantine(r.fingerprint, now);
  }
  // Another entry process can serve the caller at once.
  if (kind == ErrorKind::kDraining) return kDrainRetryAfter;
  std::uniform_real_distribution<double> spread(1 - kRetryAfterSpread,
                                                1 + kRetryAfterSpread);
  if (awaits_trial)
    return ClampedSeconds(kTrialRetryAfterSeconds * spread(random_));
  double seconds = kMinRetryAfterSeconds;
  // A service that has been down for some time is expected to stay down for
  // about as long again.
  auto it = r.service ? last_answered_at_.find(r.service->name)
                      : last_answered_at_.end();
  if (it != last_answered_at_.end()) {
    seconds = std::clamp(ToSeconds(clock_.Now() - it->second),
                         kMinRetryAfterSeconds, kMaxRetryAfterSeconds);
  }
  // While all upstreams have requested backoff, no request can be sent. The
  // random spread keeps callers from all returning at the moment the backoff
  // ends.
  Duration backoff{};
  if (r.service) {
    backoff =
        RemainingBackoff(pool_.upstreams(), r.service->name, clock_.Now());
  }
  if (backoff > Duration::zero()) seconds = kMinRetryAfterSeconds;
  return backoff + ClampedSeconds(seconds * spread(random_));
}

// Tells the service's tier admission that a request was rejected for lack of
// capacity. Rejections are not recorded while no upstream is usable: in such an
// outage no request takes the slot of another, and tier admission would
// otherwise still hold back less urgent tiers after the outage.
void Gateway::RecordCapacityRejection(const Request& r) {
  TimePoint now = clock_.Now();
  AvailabilityCounts n = CountAvailability(
      pool_.upstreams(), PlacementRequestFor(r), now, options_.placement);
  if (n.unusable == n.upstreams) return;
  TierAdmissionFor(r.service->name).RecordRejection(r.tier, now);
}

// Sends an error as the final answer of a request that no upstream has
// answered.
void Gateway::FailRequest(Request& r, ErrorKind kind, absl::string_view why) {
  // A retry that gets no place does not mean that the first attempt did not
  // run.
  if (r.may_have_run && ErrorAnswerFor(kind).not_run)
    kind = ErrorKind::kOutcomeUnknown;
  const ErrorAnswer& a = ErrorAnswerFor(kind);
  if (r.stream_started) {
    // An interrupted stream must not look complete.
    r.exchange->Abort();
    FinishRequest(r, "cut", why);
    return;
  }
  if (r.sends == 0 && r.service && IsCapacityRejection(kind))
    RecordCapacityRejection(r);
  metrics_.CountRejection(a.code);
  metrics_.CountAccountRejection(r.account);
  Duration retry_after = ComputeRetryAfter(r, kind);
  if (PromisesReturn(r, kind)) retry_after = PromiseReturn(r, retry_after);
  ErrorResponse refusal = dialect_.write_error_response(kind, why, retry_after);
  r.exchange->Respond(a.http_status, refusal.headers, refusal.body);
  FinishRequest(r, a.code, why);
}

}  // namespace medlarwalk
