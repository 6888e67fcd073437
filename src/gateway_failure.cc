// The gateway's part that decides what becomes of a request whose attempt has
// failed: it goes elsewhere where that is allowed, or gets its final answer.
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gateway.h"
#include "gateway_request.h"
#include "log.h"

namespace medlarwalk {
namespace {

// Less time than this left is not worth another sending.
constexpr auto kLeastTime = Millis(20);
// The first come-back time told, before any load is known, and its spread:
// callers told the same moment would return together.
constexpr double kRetryAfterSeconds = 0.3;
constexpr double kRetryAfterSpread = 0.5;
constexpr double kMostRetryAfterSeconds = 3;
// A request began to run no longer ago than this where its answer's head, or
// before that the request itself, is no older.
constexpr auto kJustBegun = Millis(500);
// Come-back time where another entry can serve at once.
constexpr auto kRetryElsewhere = Millis(20);

// Whether a request that ended so was turned away for want of a place.
bool NoPlace(ErrorKind kind) {
  return kind == ErrorKind::kTargetUnmeetable ||
         kind == ErrorKind::kOverloaded || kind == ErrorKind::kShed;
}

absl::string_view Name(CallEnd e) {
  switch (e) {
    case CallEnd::kWhole:
      return "whole";
    case CallEnd::kNotSent:
      return "not_sent";
    case CallEnd::kNoAnswer:
      return "no_answer";
    case CallEnd::kBrokenOff:
      return "broken_off";
  }
  return "";
}

}  // namespace

bool Gateway::MayMove(Request& r, CallEnd end) {
  TimePoint now = clock_.Now();
  if (r.exchange->gone() || r.give_up_at - now < kLeastTime) return false;
  // Whatever it is sent to ends as well.
  if (quarantine_.Refuses(r.asks)) return false;
  // Waiting for a place helps only where an upstream is left to try.
  bool anyone_left = AnyLeft(pool_.boards(), AskFor(r));
  if (end == CallEnd::kNotSent) {
    // Nothing reached that upstream: it costs neither an attempt nor budget.
    --r.sends;
    return ++r.connect_failures < kConnectTimeouts.size() && anyone_left;
  }
  bool not_run = r.have_head && r.answer_facts.not_run;
  if (!not_run && !r.repeatable()) return false;
  if (r.sends >= r.route->max_attempts || !anyone_left) return false;
  if (!BudgetFor(r.service->name).Take(options_.retry, serving_, now)) {
    metrics_.CountRetry("budget_spent");
    return false;
  }
  metrics_.CountRetry(not_run ? "refused" : Name(end));
  return true;
}

// What the end of an attempt says of its upstream's own end.
void Gateway::NoteEndOf(const Request& r, CallEnd end) {
  bool answered = r.have_head && end == CallEnd::kWhole;
  TimePoint now = clock_.Now();
  if (answered && !r.answer_facts.upstream_end.empty()) {
    bool just_begun = now - r.sent_at < kJustBegun;
    UpstreamCrashed(absl::StrCat(r.upstream, "/", r.answer_facts.upstream_end),
                    "told", {{r.asks, {0, r.sent_at, now, just_begun, false}}});
  } else if (answered && r.answer_facts.other_upstream) {
    crashes_.NoteEnded(r.upstream, "replaced");
  } else if (end == CallEnd::kNotSent) {
    if (r.connection->refused()) crashes_.NoteEnded(r.upstream, "refused");
  } else if (!answered && !r.connection->open()) {
    TimePoint began = r.have_head ? r.head_at : r.sent_at;
    bool just_begun = now - began < kJustBegun;
    crashes_.NoteCut(r.upstream,
                     {r.asks, {0, r.sent_at, now, just_begun, false}});
  }
}

void Gateway::UpstreamCrashed(const std::string& upstream,
                              absl::string_view how,
                              const std::vector<CrashWatch::Cut>& cut) {
  metrics_.CountCrash(how);
  for (const CrashWatch::Cut& c : cut) {
    quarantine_.NoteCrash(c.asks, upstream, c.crash);
    LogEvent("crashed_under", {{"upstream", upstream},
                               {"asks", PrintName(c.asks)},
                               {"sent_ms", ToMs(c.crash.at - c.crash.sent_at)},
                               {"just_begun", c.crash.just_begun ? 1 : 0}});
  }
}

// A request under way that has not begun to answer may wait at an upstream, and
// would crash that as well.
void Gateway::EndQuarantined() {
  if (quarantine_.verdicts() == verdicts_seen_) return;
  verdicts_seen_ = quarantine_.verdicts();
  metrics_.SetQuarantined(quarantine_.refused());
  std::vector<uint64_t> ended;
  for (const auto& [seq, r] : requests_) {
    if (!r->stream_started && quarantine_.Refuses(r->asks)) {
      ended.push_back(seq);
    }
  }
  for (uint64_t seq : ended) {
    Request& r = *requests_.at(seq);
    bool sent = !r.upstream.empty() && r.connection->sent();
    Fail(r,
         sent || r.maybe_run ? ErrorKind::kOutcomeUnknown
                             : ErrorKind::kQuarantined,
         "crashes upstreams");
  }
  if (!ended.empty()) ServeWaiting();
}

void Gateway::AttemptFailed(Request& r, CallEnd end, absl::string_view why) {
  TimePoint now = clock_.Now();
  bool not_run = r.have_head && r.answer_facts.not_run;
  if (UpstreamBoard* u = pool_.Find(r.upstream)) {
    NoteFailure(*u, now, end != CallEnd::kWhole, options_.placement);
    if (r.have_head && r.answer_facts.other_upstream && !u->ended) {
      u->ended = true;
      parts_.Forget(u->info.id);
      LogEvent("upstream_ended", {{"upstream", u->info.id}});
    }
  }
  NoteEndOf(r, end);
  if (end != CallEnd::kNotSent && !not_run) {
    r.maybe_run = true;
    // A plain service whose answer is lost has run it, as a rule.
    if (!r.service->engine) NoteRun(r);
  }
  LogEvent("attempt_failed",
           {{"request", r.facts.id},
            {"asks", PrintName(r.asks)},
            {"upstream", r.upstream},
            {"attempt", r.sends + static_cast<int>(r.connect_failures)},
            {"end", Name(end)},
            {"why", why},
            {"events", r.events}});
  bool answered = end == CallEnd::kWhole && r.have_head;
  if (answered) {
    ReleaseUpstream(r);
  } else {
    DropAttempt(r);
  }
  if (MayMove(r, end)) {
    Dispatch(r);
    return;
  }
  if (answered && !not_run && !r.stream_started) {
    AnswerWhole(r);
    Finish(r, "answered", absl::StrCat(r.answer.status));
  } else if (r.maybe_run) {
    Fail(r, ErrorKind::kOutcomeUnknown, why);
  } else {
    Fail(r, ErrorKind::kNotRun, why);
  }
  ServeWaiting();
}

Duration Gateway::RetryAfter(const Request& r, ErrorKind kind) {
  if (kind == ErrorKind::kQuarantined) {
    return quarantine_.RefusedFor(r.asks, clock_.Now());
  }
  // Other entries are there: nothing to wait for.
  if (kind == ErrorKind::kDraining) return kRetryElsewhere;
  std::uniform_real_distribution<double> spread(1 - kRetryAfterSpread,
                                                1 + kRetryAfterSpread);
  double seconds = kRetryAfterSeconds;
  // A service that answers nobody has been down for a while and will be for
  // about as long again.
  auto it = r.service ? served_at_.find(r.service->name) : served_at_.end();
  if (it != served_at_.end()) {
    seconds = std::clamp(ToSeconds(clock_.Now() - it->second),
                         kRetryAfterSeconds, kMostRetryAfterSeconds);
  }
  // Sooner there is nobody to send it to; not all at the first moment either.
  Duration rest{};
  if (r.service) {
    rest = RestLeft(pool_.boards(), r.service->name, clock_.Now());
  }
  if (rest > Duration::zero()) seconds = kRetryAfterSeconds;
  return rest + BoundedSeconds(seconds * spread(random_));
}

// Tells the guard of a request that had no place, where there was any to be
// had: in an outage nobody takes the place of another, and once it is over the
// less urgent need not wait until it is forgotten.
void Gateway::NoteTurnedAway(const Request& r) {
  TimePoint now = clock_.Now();
  NoPlaceCounts n =
      CountNoPlace(pool_.boards(), AskFor(r), now, options_.placement);
  if (n.unusable == n.upstreams) return;
  GuardFor(r.service->name).NoteTurnedAway(r.tier, now);
}

// The request's one final answer when it gets none from an upstream.
void Gateway::Fail(Request& r, ErrorKind kind, absl::string_view why) {
  const Answer& a = AnswerFor(kind);
  if (r.stream_started) {
    // A cut stream must not look complete.
    r.exchange->Abort();
    Finish(r, "cut", why);
    return;
  }
  if (r.sends == 0 && r.service && NoPlace(kind)) NoteTurnedAway(r);
  metrics_.CountRefusal(a.code);
  Refusal refusal = dialect_.write_refusal(kind, why, RetryAfter(r, kind));
  r.exchange->Respond(a.http_status, refusal.headers, refusal.body);
  Finish(r, a.code, why);
}

}  // namespace medlarwalk
