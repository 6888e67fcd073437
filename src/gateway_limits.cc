// The gateway's part that keeps to the limits upstreams name: what is heard of
// them from answers and from others, and which sendings are this process's.
#include <algorithm>

#include "gateway.h"
#include "gateway_request.h"
#include "log.h"

namespace medlarwalk {
namespace {

// Fewer processes than before are believed after this: while control processes
// change, some of their followers are not counted for a moment.
constexpr auto kFewerTrust = std::chrono::seconds(5);

}  // namespace

void Gateway::SetServing(int serving, int place) {
  serving_ = std::max(1, serving);
  TimePoint now = clock_.Now();
  bool fewer = serving_ < turn_place_.serving;
  if (!fewer || now - turn_place_at_ > kFewerTrust) {
    turn_place_.serving = serving_;
    turn_place_at_ = now;
  }
  if (place >= 0) turn_place_.place = place;
}

// Only what bears the upstream's signature ends a limit: an answer that was
// spoiled on its way may lack more than that.
void Gateway::NoteLimit(const Request& r, const UpstreamBoard& u,
                        const AnswerFacts& f) {
  if (f.other_upstream || (!f.limit_per_s && !f.signed_whole)) return;
  if (f.limit_per_s) metrics_.CountLimitTold();
  std::optional<double> before = u.limit_per_s;
  if (!limits_.Note(u.info.id, f.limit_per_s, clock_.Now())) return;
  LogEvent("upstream_limit", {{"upstream", u.info.id},
                              {"request", r.facts.id},
                              {"per_s", f.limit_per_s.value_or(-1)},
                              {"before", before.value_or(-1)},
                              {"own", u.in_flight}});
  ApplyLimits();
}

void Gateway::NoteRest(const Request& r, UpstreamBoard& u, Duration rest) {
  if (rest == Duration::zero()) return;
  TimePoint now = clock_.Now();
  metrics_.CountRest();
  LogEvent("upstream_rest",
           {{"upstream", u.info.id},
            {"request", r.facts.id},
            {"rest_ms", ToMs(rest)},
            {"left_ms", u.rest_until > now ? ToMs(u.rest_until - now) : 0},
            {"load", u.reported},
            {"own", u.in_flight}});
  u.rest_until = std::max(u.rest_until, now + rest);
}

void Gateway::TakeLimits(absl::Span<const LimitRecord> told) {
  uint64_t before = limits_.changes();
  limits_.TakeTold(told);
  if (limits_.changes() != before) ApplyLimits();
}

// Sets on each board what is known of its upstream's limit.
void Gateway::ApplyLimits() {
  limits_applied_ = limits_.changes();
  for (UpstreamBoard& u : pool_.boards()) {
    const LimitRecord* l = limits_.Find(u.info.id);
    std::optional<double> per_s;
    if (l) per_s = l->per_s;
    if (l) u.limit_since = l->since;
    if (u.limit_per_s == per_s) continue;
    LogEvent("limit_in_force",
             {{"upstream", u.info.id},
              {"per_s", per_s.value_or(-1)},
              {"heard_ms", l ? ToMs(clock_.Now() - l->at) : -1},
              {"serving", turn_place_.serving},
              {"place", turn_place_.place}});
    u.limit_per_s = per_s;
    if (!per_s) u.no_turn = false;
  }
  metrics_.SetLimited(limits_.in_force());
}

void Gateway::KeepLimits(TimePoint now) {
  limits_.Keep(
      [this](const std::string& id) { return pool_.Find(id) != nullptr; }, now);
  if (limits_.changes() != limits_applied_) ApplyLimits();
}

TurnAsk Gateway::TurnAskFor(const UpstreamBoard& u, TimePoint now) const {
  Millis time =
      options_.shared_time
          ? options_.shared_time(now)
          : std::chrono::duration_cast<Millis>(now.time_since_epoch());
  return {u.info.id, *u.limit_per_s, turn_place_, time};
}

// Precondition of both: `u` names a limit.
bool Gateway::HasTurn(const UpstreamBoard& u, TimePoint now) const {
  return TurnsHaveBegun(u.limit_since, now) &&
         OpenTurn(TurnAskFor(u, now), u.turn_taken).has_value();
}

void Gateway::TakeTurn(UpstreamBoard& u, TimePoint now) {
  std::optional<Millis> turn = OpenTurn(TurnAskFor(u, now), u.turn_taken);
  if (turn) u.turn_taken = turn;
}

}  // namespace medlarwalk
