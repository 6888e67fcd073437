// Gateway: engine load of services with shared_load, and placement of requests
// by predicted times at services with timed_placement.
#include <algorithm>
#include <cmath>

#include "gateway.h"
#include "gateway_request.h"
#include "log.h"

namespace medlarwalk {
namespace {

// Time that an engine needs to copy a prompt part from another engine, as a
// share of the time that it needs to prefill the part.
constexpr double kCopyCostShare = 0.1;

// A prompt goes to the homes of its shared part if this is at least such a
// share of the prompt; otherwise an even load is worth more.
constexpr double kMinSharedShare = 0.2;

double Milliseconds(Duration d) { return ToSeconds(d) * 1000; }

// Returns the expected output of a request, in tokens.
int64_t OutputTokens(const RequestFacts& f) {
  return f.expected_output_tokens > 0 ? f.expected_output_tokens
                                      : f.max_output_tokens;
}

int64_t UnsharedTokens(const RequestFacts& f, int64_t shared_tokens) {
  return std::max<int64_t>(0, f.prompt_tokens - shared_tokens);
}

// Returns the number of tokens of the first `count` parts.
int64_t TokensOfParts(absl::Span<const PromptPart> parts, size_t count) {
  int64_t n = 0;
  for (size_t i = 0; i < count; ++i) n += parts[i].tokens;
  return n;
}

// Returns whether `u` is the first preferred engine of the prompt prefix
// `prefix_hash`, in the order of all entries.
bool IsPreferredEngine(absl::Span<const UpstreamState> upstreams,
                       const UpstreamState& u, uint64_t prefix_hash) {
  uint64_t own_hash = StableHash(u.info.id, prefix_hash);
  return std::none_of(upstreams.begin(), upstreams.end(), [&](const auto& o) {
    return o.info.service == u.info.service && o.listed && !o.info.draining &&
           !o.terminated && StableHash(o.info.id, prefix_hash) > own_hash;
  });
}

// Returns the time in milliseconds for which `u` has sent none of the first
// events that it owes.
double SilentMs(const UpstreamState& u, TimePoint now) {
  return u.awaiting_first_event > 0 ? Milliseconds(now - u.awaiting_since) : 0;
}

// Returns the work of all processes at `u`: what they have told, corrected by a
// load report of the engine that is younger than `shared_age`.
EngineWork TotalWork(const UpstreamState& u, Duration shared_age,
                     TimePoint now) {
  EngineWork total = u.own_work;
  total.Add(u.others_work);
  bool fresh_report =
      u.reported_at != TimePoint{} && now - u.reported_at < shared_age;
  if (!fresh_report) return total;
  int reported = u.reported_load + u.in_flight - u.in_flight_at_report;
  int told = total.awaiting_first_event + total.generating;
  total.generating += std::max(0, reported - told);
  return total;
}

}  // namespace

TimedService& Gateway::TimedServiceFor(const std::string& service) {
  return timed_services_.try_emplace(service, options_.forecast).first->second;
}

// Returns the number of prompt tokens that `u` is expected to prefill for `r`:
// all but those of the shared parts that it holds. Parts that it copies count
// by the time that this takes.
int64_t Gateway::ExpectedPrefill(const Request& r, const UpstreamState& u,
                                 bool copied, TimePoint now) const {
  if (r.shared_tokens == 0) return r.facts.prompt_tokens;
  int64_t held = 0;
  PrefixCacheIndex::PrefixMatch match =
      prefix_cache_index_.FindLongestPrefix(r.facts.parts, now);
  if (match.engine == u.info.id) {
    held = TokensOfParts(r.facts.parts, match.parts);
  } else if (IsPreferredEngine(pool_.upstreams(), u, r.affinity)) {
    held = r.shared_tokens;
  }
  auto missing = static_cast<double>(r.shared_tokens - held);
  if (copied) missing *= kCopyCostShare;
  return UnsharedTokens(r.facts, r.shared_tokens) +
         static_cast<int64_t>(missing);
}

void Gateway::CountSent(Request& r, UpstreamState& u, bool copied) {
  r.work = {};
  r.work.level = UrgencyOf(r).level;
  r.work.pending_prefill = ExpectedPrefill(r, u, copied, clock_.Now());
  r.work.memory_tokens = r.work.pending_prefill + OutputTokens(r.facts);
  if (r.stream()) {
    r.work.gap_target =
        std::chrono::duration_cast<Millis>(r.route->event_gap_target);
  }
  CountSentWork(&r.work, u);
}

TimedRequest Gateway::TimedRequestFor(const Request& r, TimePoint now) const {
  TimedRequest t;
  t.level = UrgencyOf(r).level;
  t.packed = r.stream() && r.shape == WorkShape::kDecode;
  t.follows_prefix =
      r.affinity != 0 && r.shape == WorkShape::kPrefill &&
      static_cast<double>(r.shared_tokens) >=
          kMinSharedShare * static_cast<double>(r.facts.prompt_tokens);
  // The target of a request that an upstream has failed does not bound it any
  // more: its caller is served as soon as possible.
  if (r.sends == 0 && r.connect_failures == 0) {
    t.target_ms = Milliseconds(r.route->latency_target);
    t.left_ms = t.target_ms - Milliseconds(now - r.exchange->arrived);
  }
  if (r.stream()) t.gap_target_ms = Milliseconds(r.route->event_gap_target);
  t.output_tokens = static_cast<double>(OutputTokens(r.facts));
  return t;
}

// Fills the candidates of `service` for `r`, in the order of all entries.
void Gateway::FillCandidates(const Request& r, TimePoint now,
                             TimedService* service) {
  std::vector<TimedEngine>& out = service->candidates;
  out.clear();
  PlacementRequest input = PlacementRequestFor(r);
  double mean_failure_share =
      MeanFailureShare(pool_.upstreams(), input, now, options_.placement);
  PrefixCacheIndex::PrefixMatch match;
  if (r.shared_tokens > 0)
    match = prefix_cache_index_.FindLongestPrefix(r.facts.parts, now);
  int64_t matched = TokensOfParts(r.facts.parts, match.parts);
  auto unshared = static_cast<double>(UnsharedTokens(r.facts, r.shared_tokens));
  auto shared =
      static_cast<double>(std::min(r.shared_tokens, r.facts.prompt_tokens));
  Duration shared_age = ViewOfOthers(now).age;
  std::optional<size_t> home;
  for (size_t i : service->order) {
    const UpstreamState& u = pool_.upstreams()[i];
    bool tried = std::find(r.tried_upstreams.begin(), r.tried_upstreams.end(),
                           u.info.id) != r.tried_upstreams.end();
    if (tried || !Fits(u, input) ||
        !MayReceiveRequests(u, now, options_.placement)) {
      continue;
    }
    TimedEngine e;
    e.index = i;
    e.work = TotalWork(u, shared_age, now);
    e.forecast = u.forecast;
    e.slots = r.service->engine->slots;
    e.memory_tokens = r.service->engine->memory_tokens;
    e.silent_ms = SilentMs(u, now);
    e.avoided = FailsMoreThanOthers(u, input, mean_failure_share, now,
                                    options_.placement);
    e.own_tokens = unshared + shared * kCopyCostShare;
    if (match.engine == u.info.id)
      e.own_tokens = unshared + shared - static_cast<double>(matched);
    if (r.affinity != 0) {
      e.affinity_hash = StableHash(u.info.id, r.affinity);
      if (!home || e.affinity_hash > out[*home].affinity_hash)
        home = out.size();
    }
    out.push_back(e);
  }
  if (home) out[*home].own_tokens = unshared;
}

bool Gateway::TrySendTimed(Request& r) {
  TimePoint now = clock_.Now();
  UpdateSendPermissions(r, now);
  TimedService& service = TimedServiceFor(r.service->name);
  if (service.order.empty())
    RefreshService(pool_.upstreams(), r.service->name, &service);
  FillCandidates(r, now, &service);
  if (service.candidates.empty()) {
    // An ejected upstream is used only when no other is left.
    std::optional<size_t> i = ChooseUpstream(
        pool_.upstreams(), PlacementRequestFor(r), now, 0, options_.placement);
    if (!i || CallerLeft(r)) return false;
    SendToUpstream(r, *i);
    return true;
  }
  TimedRequest request = TimedRequestFor(r, now);
  RecordTry(request,
            static_cast<double>(UnsharedTokens(r.facts, r.shared_tokens)), now,
            &service);
  r.placement =
      ChooseEngine(absl::MakeSpan(service.candidates), request,
                   EstimateUnseenWork(service, ViewOfOthers(now), now), random_,
                   options_.timed);
  if (r.placement.ruling == TimedRuling::kSend) {
    if (CallerLeft(r)) return false;
    const TimedEngine& chosen = service.candidates[r.placement.engine];
    RecordTimedSend(request, chosen.own_tokens, now, &service);
    SendToUpstream(r, chosen.index);
    return true;
  }
  r.unplaceable =
      r.placement.ruling == TimedRuling::kReject && request.target_ms > 0;
  return false;
}

// Ends a request whose caller has left, or rejects one that no engine is
// predicted to serve in time.
void Gateway::FailUnplaceable(Request& r, TimePoint now) {
  if (r.exchange->CallerLeft()) {
    FinishRequest(r, "caller_left", "");
    return;
  }
  LogPlacementFailure(r, now);
  FailRequest(r, ErrorKind::kTargetUnmeetable, "no place in time");
}

void Gateway::LogTimedPlacementFailure(const Request& r, TimePoint now) {
  Tier rejected_tier = -1;
  TierAdmissionFor(r.service->name).MostUrgentRejectedTier(now, &rejected_tier);
  const TimedDecision& d = r.placement;
  LogEvent("no_place", {{"request", r.facts.id},
                        {"account", AccountLabel(r.account)},
                        {"tier", r.tier},
                        {"rank", r.rank},
                        {"sends", r.sends},
                        {"waited_ms", ToMs(now - r.exchange->arrived)},
                        {"tier_turned_away", rejected_tier},
                        {"predicted_first_ms", std::lround(d.first_event_ms)},
                        {"predicted_gap_ms", std::lround(d.gap_ms)},
                        {"delay_ms", d.delay ? ToMs(*d.delay) : -1},
                        {"shared_age_ms", ToMs(ViewOfOthers(now).age)},
                        {"full", d.ruled_out.slots},
                        {"memory", d.ruled_out.memory},
                        {"late", d.ruled_out.first_event},
                        {"own_gap", d.ruled_out.own_gap},
                        {"others_gap", d.ruled_out.others_gap},
                        {"set_apart", d.ruled_out.set_apart}});
}

OthersView Gateway::ViewOfOthers(TimePoint now) const {
  OthersView view;
  view.process_count = entry_count_;
  view.age = shared_load_.usable(now) ? shared_load_.Age(now) : Duration(-1);
  return view;
}

// Updates the work of all other processes at the engines of `service`.
void Gateway::RefreshOthersWork(const TimedService& service, TimePoint now) {
  bool usable = shared_load_.usable(now);
  EngineWork mean;
  if (!usable && !service.order.empty()) {
    for (size_t i : service.order) mean.Add(pool_.upstreams()[i].own_work);
    mean.Scale(1.0 / static_cast<double>(service.order.size()));
  }
  for (size_t i : service.order) {
    UpstreamState& u = pool_.upstreams()[i];
    u.others_known = usable;
    u.others_work = usable ? shared_load_.OthersAt(u.engine_key, now)
                           : EstimateOthersWork(u.own_work, mean, entry_count_);
  }
}

// Updates what placement at services with shared load uses of each engine.
void Gateway::RefreshForecasts(TimePoint now) {
  if (!config_) return;
  for (const auto& [name, rule] : config_->services) {
    if (!rule.shared_load || !rule.engine) continue;
    TimedService& service = TimedServiceFor(name);
    RefreshService(pool_.upstreams(), name, &service);
    RefreshOthersWork(service, now);
    if (!rule.timed_placement) continue;
    RefreshPaces(
        absl::MakeSpan(pool_.upstreams()),
        [&](EngineKey key) { return shared_load_.PaceOf(key, now); }, now,
        &service);
  }
}

void Gateway::RecordTimedFirstEvent(const Request& r, UpstreamState& u,
                                    TimePoint now) {
  FirstEventSample sample;
  sample.tokens_ahead = r.placement.tokens_ahead;
  sample.own_tokens = static_cast<double>(r.work.pending_prefill);
  sample.took_ms = Milliseconds(now - r.sent_at);
  TimedServiceFor(r.service->name)
      .forecast.RecordFirstEvent(sample, now, &u.observed_pace);
  if (r.placement.first_event_ms > 0) {
    metrics_.ObserveFirstEventRatio(
        MetricLabel(r), sample.took_ms / r.placement.first_event_ms);
  }
}

void Gateway::RecordTimedEventGap(const Request& r, UpstreamState& u,
                                  Duration gap, TimePoint now) {
  auto pending = static_cast<int64_t>(PendingTokens(u.own_work) +
                                      PendingTokens(u.others_work));
  TimedServiceFor(r.service->name)
      .forecast.RecordEventGap(gap, pending, now, &u.observed_pace);
}

std::vector<EngineRecord> Gateway::OwnEngineRecords() const {
  std::vector<EngineRecord> out;
  if (!config_) return out;
  for (const UpstreamState& u : pool_.upstreams()) {
    if (u.terminated) continue;
    if (u.own_work.empty() && u.own_pace.empty()) continue;
    auto it = config_->services.find(u.info.service);
    if (it == config_->services.end() || !it->second.shared_load) continue;
    out.push_back({u.engine_key, u.own_work, u.own_pace});
  }
  return out;
}

}  // namespace medlarwalk
