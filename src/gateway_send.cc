// Gateway: placing a request on an upstream and sending it there.
#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "gateway.h"
#include "gateway_request.h"
#include "log.h"

namespace medlarwalk {
namespace {

// Engines drawn for a long generation at services with shared_load. The better
// of two random ones is near the best, and entries that see the same loads
// spread over all.
constexpr size_t kDrawnEngines = 2;

}  // namespace

Urgency Gateway::UrgencyOf(const Request& r) {
  return {r.tier,
          std::min(UrgencyLevel(*r.service, r.tier), kUrgencyLevels - 1)};
}

PlacementRequest Gateway::PlacementRequestFor(const Request& r) const {
  PlacementRequest input;
  input.service = r.service->name;
  input.affinity = r.affinity;
  input.shared_tokens = r.shared_tokens;
  input.data_centre = options_.data_centre;
  input.urgency = UrgencyOf(r);
  input.tried_ids = r.tried_upstreams;
  if (r.build) input.build = *r.build;
  input.shape = r.shape;
  input.retryable = r.repeatable() && r.sends + 1 < r.route->max_attempts;
  input.pinned = r.facts.pinned;
  input.max_load = r.service->engine ? options_.placement.max_engine_load
                                     : options_.placement.max_plain_load;
  return input;
}

// Returns the upstreams that this process uses first for requests of the kind
// of `r`. `decode_engines`: number of engines kept for long generations.
UpstreamSubset Gateway::SubsetFor(const Request& r, int decode_engines,
                                  TimePoint now) const {
  int first = r.shape == WorkShape::kPrefill ? decode_engines : 0;
  int end = r.shape == WorkShape::kDecode && decode_engines > 0
                ? decode_engines
                : pool_.RankedCount(r.service->name);
  SubsetDemand demand;
  auto rate = subset_rates_.find({r.service->name, r.shape});
  if (rate != subset_rates_.end())
    demand.requests_per_s = rate->second.PerSecond(now);
  auto idle = link_idle_times_.find(r.service->name);
  if (idle != link_idle_times_.end()) demand.idle_time = idle->second;
  demand.process_count = entry_count_;
  demand.upstream_count = end - first;
  return ComputeSubset(subset_index_, first, demand.upstream_count,
                       SubsetSize(demand, options_.subset));
}

void Gateway::UpdateSendPermissions(const Request& r, TimePoint now) {
  double shares = EqualShares(r.service->name);
  int limit = std::max(2, static_cast<int>(r.service->max_connections *
                                           options_.connection_share / shares));
  bool starving = r.waiting && now >= r.starving_from;
  bool few_left = MayHaveFewUpstreams(r);
  if (r.tier > 0 && !starving) {
    limit -= static_cast<int>(
        std::ceil(limit * options_.placement.reserved_top_tier_share));
  }
  for (UpstreamState& u : pool_.upstreams()) {
    if (u.info.service != r.service->name) continue;
    u.no_send_slot = u.limit_per_s && !HasSendSlot(u, now);
    // Skips the scan of the idle connections if this process has fewer than
    // `limit` requests at the upstream. Each request holds one connection, so
    // one of the `limit` connections is then free.
    u.at_own_limit = u.in_flight >= limit && pool_.AtConnectionLimit(u, limit);
    if (r.shape != WorkShape::kDecode || u.at_own_limit || few_left ||
        r.service->timed_placement) {
      continue;
    }
    u.at_own_limit =
        !AcceptsGeneration(u, UrgencyOf(r), r.service->engine->slots,
                           static_cast<int>(shares), now, options_.placement);
  }
}

bool Gateway::TrySend(Request& r) {
  r.unplaceable = false;
  // Tier admission holds back only requests that were not sent yet. A request
  // that was sent before may be retried even if more urgent requests wait.
  r.held_back =
      r.sends == 0 && !MayHaveFewUpstreams(r) &&
      !TierAdmissionFor(r.service->name).MayStart(r.tier, clock_.Now());
  if (r.held_back) return false;
  if (r.service->timed_placement && r.facts.pinned == 0) return TrySendTimed(r);
  if (r.shape == WorkShape::kPrefill &&
      !PrefillLimiterFor(r.service->name).MaySend(r.tier)) {
    return false;
  }
  TimePoint now = clock_.Now();
  UpdateSendPermissions(r, now);
  PlacementRequest input = PlacementRequestFor(r);
  if (r.service->engine) {
    int& engine_count = decode_engines_[r.service->name];
    engine_count = ComputeDecodeEngines(
        decode_demand_[r.service->name], engine_count, r.service->engine->slots,
        pool_.RankedCount(r.service->name), options_.placement);
    input.decode_engines = engine_count;
  }
  r.decode_engines = input.decode_engines;
  if (r.service->shared_load && r.shape == WorkShape::kDecode)
    input.drawn_engines = kDrawnEngines;
  if (!FollowsPrefix(input))
    input.subset = SubsetFor(r, input.decode_engines, now);
  std::uniform_real_distribution<double> draw(0, 1);
  std::optional<size_t> i = ChooseUpstream(pool_.upstreams(), input, now,
                                           draw(random_), options_.placement);
  if (!i || CallerLeft(r)) return false;
  if (!FollowsPrefix(input))
    subset_rates_[{r.service->name, r.shape}].Record(now);
  SendToUpstream(r, *i);
  return true;
}

// The loop may report the end of the connection late: the last iteration took
// long, or the request was read together with bytes that came long before.
bool Gateway::CallerLeft(Request& r) {
  r.unplaceable = r.exchange->CallerLeft();
  return r.unplaceable;
}

void Gateway::SendToUpstream(Request& r, size_t upstream) {
  TimePoint now = clock_.Now();
  UpstreamState& u = pool_.upstreams()[upstream];
  DiscardBufferedBody(r);
  TimedDecision placement = r.placement;
  static_cast<Attempt&>(r) = Attempt{};
  r.placement = placement;
  r.attempt = ++r.last_attempt;
  if (++r.sends == 1) {
    TierAdmissionFor(r.service->name).RecordDispatch(r.tier, now);
    if (r.service->return_precedence)
      ReturnScheduleFor(r.service->name).RecordPlace(now);
  }
  r.upstream = u.info.id;
  r.tried_upstreams.push_back(u.info.id);
  r.sent_at = r.progress_at = now;
  RecordPromptUse(r);
  if (u.in_flight == 0) u.last_activity_at = now;
  ++u.in_flight;
  u.own_tiers.Add(r.tier);
  if (u.limit_per_s) UseSendSlot(u, now);
  r.prefill_pending = r.shape == WorkShape::kPrefill;
  if (r.prefill_pending) {
    ++u.prefills_in_flight;
    u.own_prefill_tiers.Add(r.tier);
  }
  r.first_event_pending = r.service->engine && r.stream();
  if (r.first_event_pending) RecordStreamSent(u, now);
  if (r.prefill_pending) PrefillLimiterFor(r.service->name).RecordSent(r.tier);
  RecordPrefillSent(u, static_cast<double>(r.facts.prompt_tokens), now,
                    options_.placement);
  ForwardFacts f;
  f.id = r.facts.id;
  f.upstream_id = u.info.id;
  f.time_limit = r.deadline - now;
  f.account = r.account;
  if (r.service->engine) {
    f.engine_priority = EnginePriority(*r.config, r.rank);
  }
  f.last_event = r.last_event;
  if (r.service->engine) f.copy_from = FindCopySource(r, u, now);
  if (r.service->shared_load) CountSent(r, u, !f.copy_from.ip.empty());
  LogSent(r, u, f, now);
  ++r.origin_number;
  RecordStreamOrigin(r, r.build.value_or(u.info.build));
  uint64_t seq = r.seq;
  int attempt = r.attempt;
  UpstreamCall call;
  const std::string& body = r.exchange->body;
  call.request = dialect_.write_request(r.exchange->head, f, body);
  // Attempts hold the exchange, and so the body, in place of a copy.
  if (call.request.body.data() == body.data() &&
      call.request.body.size() == body.size())
    call.request.shared_body = Document(r.exchange, &body);
  call.on_head = [this, seq, attempt](const MessageHead& h) {
    Request* q = FindAttempt(seq, attempt);
    return q ? OnAnswerHead(*q, h) : true;
  };
  call.on_body = [this, seq, attempt](absl::string_view d) {
    if (Request* q = FindAttempt(seq, attempt)) OnAnswerBody(*q, d);
  };
  call.on_end = [this, seq, attempt](CallEnd end, absl::string_view why) {
    if (Request* q = FindAttempt(seq, attempt)) OnCallEnd(*q, end, why);
  };
  r.connection = pool_.AcquireLink(u, kConnectTimeouts[r.connect_failures]);
  r.connection->Start(std::move(call));
}

void Gateway::LogSent(const Request& r, const UpstreamState& u,
                      const ForwardFacts& f, TimePoint now) {
  std::vector<Field> fields = {
      {"request", r.facts.id},
      {"asks", FingerprintToHex(r.fingerprint)},
      {"upstream", u.info.id},
      {"build", u.info.build},
      {"tier", r.tier},
      {"rank", r.rank},
      {"attempt", r.sends + static_cast<int>(r.connect_failures)},
      {"load", u.reported_load},
      {"load_age_ms",
       u.reported_at == TimePoint{} ? -1 : ToMs(now - u.reported_at)},
      {"own", u.in_flight},
      {"idle_links", u.idle_links},
      {"limit", u.limit_per_s.value_or(-1)},
      {"copy_from", f.copy_from.ip},
      {"left_ms", ToMs(f.time_limit)},
      {"framing", BodyFramingName(r.exchange->head.framing)},
      {"body_bytes", r.exchange->body.size()}};
  if (r.service->timed_placement) {
    fields.emplace_back("predicted_first_ms",
                        std::lround(r.placement.first_event_ms));
    fields.emplace_back("predicted_gap_ms", std::lround(r.placement.gap_ms));
  }
  if (r.service->shared_load) {
    fields.emplace_back("others", u.others_work.awaiting_first_event +
                                      u.others_work.generating);
    fields.emplace_back("shared_age_ms", ToMs(ViewOfOthers(now).age));
  }
  if (f.last_event) {
    fields.emplace_back("after_event", *f.last_event);
    fields.emplace_back("resumes", r.facts.resumes);
    metrics_.CountResumedStream(r.events > 0 ? "answer" : "caller",
                                !r.build                   ? "unknown"
                                : *r.build == u.info.build ? "same"
                                                           : "other");
  }
  LogEvent("sent", fields);
}

// Returns the address of the engine that most likely caches leading parts of
// the prompt that `to` may lack, or an empty endpoint. The first choice is an
// engine at which this process saw a prefill of all shared parts. The second is
// another engine preferred for these parts, because all entry processes send
// requests with these parts to it. The third is an engine at which this process
// saw a prefill of some of the leading parts.
Endpoint Gateway::FindCopySource(const Request& r, const UpstreamState& to,
                                 TimePoint now) {
  if (r.facts.parts.size() < 2) return {};
  PrefixCacheIndex::PrefixMatch match =
      prefix_cache_index_.FindLongestPrefix(r.facts.parts, now);
  const UpstreamState* source = nullptr;
  if (match.parts + 1 < r.facts.parts.size()) {
    std::optional<size_t> preferred =
        PreferredEngine(pool_.upstreams(), r.service->name, r.affinity,
                        r.decode_engines, to.info.id, now, options_.placement);
    if (preferred) source = &pool_.upstreams()[*preferred];
  }
  if (!source && !match.engine.empty()) source = pool_.Find(match.engine);
  if (!source || source->info.id == to.info.id ||
      source->info.service != to.info.service ||
      !MayReceiveRequests(*source, now, options_.placement)) {
    return {};
  }
  return source->info.address;
}

// Detaches the request from its upstream. The connection is kept for reuse if
// its call has ended.
void Gateway::ReleaseUpstream(const Request& r, Attempt& a) {
  if (a.upstream.empty()) return;
  if (UpstreamState* u = pool_.Find(a.upstream)) {
    --u->in_flight;
    u->own_tiers.Remove(r.tier);
    if (a.prefill_pending) {
      --u->prefills_in_flight;
      u->own_prefill_tiers.Remove(r.tier);
    }
    u->awaiting_first_event -= a.first_event_pending;
    CountEndedWork(&a.work, *u);
    if (u->in_flight == 0) u->last_activity_at = {};
  }
  if (a.prefill_pending)
    PrefillLimiterFor(r.service->name).RecordPrefillEnd(r.tier);
  a.prefill_pending = false;
  a.first_event_pending = false;
  pool_.ReleaseLink(a.upstream, a.connection);
  if (const UpstreamState* u = pool_.Find(a.upstream);
      u && u->link_idle_time > Duration::zero()) {
    link_idle_times_[r.service->name] = u->link_idle_time;
  }
  a.connection.reset();
  a.upstream.clear();
}

void Gateway::CancelAttempt(Request& r, Attempt& a) {
  if (a.upstream.empty()) return;
  // Late callbacks of the old attempt have no effect.
  a.attempt = ++r.last_attempt;
  a.connection->Cancel();
  ReleaseUpstream(r, a);
  DiscardBufferedBody(a);
}

}  // namespace medlarwalk
