#include "gateway.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "gateway_request.h"
#include "http1_client.h"
#include "log.h"

namespace medlarwalk {
namespace {

// Number of entry processes assumed until control publishes the real one. If
// the estimate is too high, this process uses less than its share of the shared
// limits.
constexpr int kAssumedEntryCount = 8;
// Longest time that a request waits for the first configuration or for a newer
// one.
constexpr auto kMaxConfigWait = Millis(900);
// Time after a prefill for which the engine is assumed to cache the prompt
// part, and maximum number of prompt parts in the prefix cache index.
constexpr auto kPrefixHolderTrust = std::chrono::seconds(12);
constexpr size_t kMaxRememberedParts = 4096;
// Longest wait of a request that an upstream has rejected, in shares of its
// latency target, at services with timed_placement. Such a request may miss its
// target, and must not wait until its deadline either.
constexpr double kMaxTimedRetryWaitShare = 0.5;
// Engines drawn for a long generation at services with shared_load. The better
// of two random ones is near the best, and entries that see the same loads
// spread over all.
constexpr size_t kDrawnEngines = 2;

LinkOpener Http1Links(struct ev_loop* loop, const Clock& clock) {
  return [loop, &clock](const UpstreamInfo& to, Duration connect_timeout) {
    return Http1Client::Open(loop, clock, to.address, connect_timeout);
  };
}

}  // namespace

Gateway::Gateway(struct ev_loop* loop, const Clock& clock,
                 GatewayOptions options, Dialect dialect, Metrics& metrics,
                 uint64_t random_seed)
    : clock_(clock),
      poll_clock_(loop, clock),
      options_(std::move(options)),
      dialect_(std::move(dialect)),
      metrics_(metrics),
      random_(random_seed),
      pool_(clock,
            options_.open_link ? options_.open_link : Http1Links(loop, clock)),
      crash_watch_(
          pool_,
          [this](const std::string& upstream, absl::string_view how,
                 const std::vector<CrashWatch::InterruptedCall>& calls) {
            OnUpstreamCrash(upstream, how, calls);
          }),
      builds_complete_at_(clock.Now() + kBuildMemory),
      prefix_cache_index_(kPrefixHolderTrust, kMaxRememberedParts),
      waiting_queue_(options_.waiting),
      account_shares_(options_.account_shares),
      entry_count_(kAssumedEntryCount),
      process_index_{kAssumedEntryCount, 0} {}

Gateway::~Gateway() = default;

void Gateway::SetConfig(std::shared_ptr<const RoutingConfig> config) {
  config_ = std::move(config);
  ResumeRequestsAwaitingConfig();
}

void Gateway::RecordConfigCurrent(TimePoint as_of) {
  config_current_at_ = std::max(config_current_at_, as_of);
  if (config_) ResumeRequestsAwaitingConfig();
}

void Gateway::ResumeRequestsAwaitingConfig() {
  std::vector<uint64_t> awaiting = std::move(awaiting_config_);
  awaiting_config_.clear();
  for (uint64_t seq : awaiting) {
    auto it = requests_.find(seq);
    if (it != requests_.end()) AdmitAndDispatch(*it->second);
  }
}

void Gateway::SetUpstreams(absl::Span<const UpstreamInfo> upstreams) {
  for (const std::string& id : pool_.Update(upstreams)) {
    prefix_cache_index_.RemoveEngine(id);
    limits_.RecordLimit(id, std::nullopt, clock_.Now());
  }
  builds_.RecordList(upstreams, clock_.Now());
  crash_watch_.OnListUpdate();
  ApplyLimitsToUpstreams();
  decode_paces_changed_ = true;
  // The order of engines holds positions in the list of upstreams.
  RefreshForecasts(clock_.Now());
  DispatchWaitingRequests();
}

void Gateway::RecordPolledLoad(const std::string& upstream, int running,
                               int waiting) {
  UpstreamState* u = pool_.Find(upstream);
  if (u) RecordLoadReport(*u, running, waiting, clock_.Now());
}

void Gateway::SetReachable(const std::string& upstream, bool reachable) {
  UpstreamState* u = pool_.Find(upstream);
  if (!u || u->reachable == reachable) return;
  u->reachable = reachable;
  LogEvent("upstream_reachable",
           {{"upstream", upstream}, {"reachable", reachable ? 1 : 0}});
}

RetryBudget& Gateway::RetryBudgetFor(const std::string& service) {
  return retry_budgets_.try_emplace(service, clock_.Now()).first->second;
}

PrefillLimiter& Gateway::PrefillLimiterFor(const std::string& service) {
  return prefill_limiters_.try_emplace(service, options_.prefill_limiter)
      .first->second;
}

TierAdmission& Gateway::TierAdmissionFor(const std::string& service) {
  return tier_admissions_.try_emplace(service, options_.tier_admission)
      .first->second;
}

std::string Gateway::MetricLabel(const Request& r) {
  return r.route && !r.route->label.empty() ? r.route->label
                                            : absl::StrCat("tier-", r.tier);
}

Gateway::Request* Gateway::FindAttempt(uint64_t seq, int attempt) {
  auto it = requests_.find(seq);
  if (it == requests_.end()) return nullptr;
  Request& r = *it->second;
  for (const auto& other : r.others) {
    if (other->attempt == attempt) SwitchAttempt(r, *other);
  }
  return r.attempt == attempt ? &r : nullptr;
}

void Gateway::HandleRequest(std::shared_ptr<CallerExchange> ex) {
  auto owned = std::make_unique<Request>();
  Request& r = *owned;
  r.seq = next_seq_++;
  r.exchange = std::move(ex);
  // Deadline of a request that is rejected before AdmitRequest has set one.
  r.deadline = r.exchange->arrived + kMaxConfigWait;
  r.deadline_entry = deadlines_.emplace(r.deadline, r.seq);
  requests_[r.seq] = std::move(owned);
  uint64_t seq = r.seq;
  r.exchange->set_on_disconnect([this, seq] { OnCallerDisconnect(seq); });
  if (!config_) {
    // Requests wait for the first configuration, which a process receives soon
    // after its start. For the caller, waiting is cheaper than a retry.
    awaiting_config_.push_back(r.seq);
    return;
  }
  AdmitAndDispatch(r);
}

void Gateway::AdmitAndDispatch(Request& r) {
  absl::Status s = AdmitRequest(r);
  if (!s.ok() && ConfigMayBeOutdated(s)) {
    awaiting_config_.push_back(r.seq);
    return;
  }
  if (!s.ok()) {
    FailRequest(r, ErrorKindOf(s), s.message());
    return;
  }
  if (TakesUpStream(r)) {
    DispatchTakenUpStream(r);
    return;
  }
  DispatchAdmitted(r);
}

void Gateway::DispatchAdmitted(Request& r) {
  RecognizeReturn(r);
  RetryBudgetFor(r.service->name).RecordFirstAttempt(options_.retry);
  Dispatch(r);
}

// Sets the kind of engine work of `r`.
void Gateway::ClassifyRequest(Request& r) const {
  if (!r.service->engine) return;
  int64_t output = r.facts.expected_output_tokens > 0
                       ? r.facts.expected_output_tokens
                       : r.facts.max_output_tokens;
  r.shape = ClassifyWork(r.facts.prompt_tokens, output, options_.placement);
}

// Returns whether a newer configuration may allow a request that this one
// rejects with `rejection`. An entry process whose event loop was blocked for
// seconds finds requests that were sent long after a route was added. They must
// wait for the newer configuration, because callers that get "no such route"
// never retry.
bool Gateway::ConfigMayBeOutdated(const absl::Status& rejection) const {
  ErrorKind kind = ErrorKindOf(rejection);
  bool depends_on_config =
      kind == ErrorKind::kUnknownRoute || kind == ErrorKind::kUnknownKey;
  return depends_on_config && options_.config_trust > Duration::zero() &&
         clock_.Now() - config_current_at_ > options_.config_trust;
}

absl::Status Gateway::AdmitRequest(Request& r) {
  absl::StatusOr<RequestFacts> facts =
      dialect_.read_request(r.exchange->head, r.exchange->body);
  if (!facts.ok()) {
    ErrorKind kind = ErrorKindOf(facts.status());
    return MakeError(
        kind == ErrorKind::kInternal ? ErrorKind::kBadRequest : kind,
        facts.status().message());
  }
  r.facts = *std::move(facts);
  r.config = config_;
  r.route = FindRoute(*config_, r.facts.host, r.facts.path);
  if (!r.route) return MakeError(ErrorKind::kUnknownRoute, "no route");
  r.tier = r.route->tier;
  Tier account_tier = r.tier;
  r.account = r.facts.account;
  if (!config_->accounts.empty() && !r.route->anonymous) {
    const AccountRule* a = FindAccount(*config_, r.facts.key);
    if (!a) return MakeError(ErrorKind::kUnknownKey, "key not held");
    r.account = a->name;
    account_tier = a->tier.value_or(r.tier);
  }
  r.account_key = KeyOfAccount(r.account);
  r.fingerprint =
      ComputeFingerprint(r.exchange->head.target, r.account, r.exchange->body);
  SetCrashKeys(r);
  r.rank = RequestRank(r.tier, account_tier);
  std::uniform_real_distribution<double> draw(0, 1);
  r.service = &config_->services.at(PickService(*r.route, draw(random_)));
  Duration time_limit = r.route->timeout;
  if (r.facts.time_limit)
    time_limit = std::min(time_limit, *r.facts.time_limit);
  deadlines_.erase(r.deadline_entry);
  r.deadline = r.exchange->arrived + time_limit;
  r.deadline_entry = deadlines_.emplace(r.deadline, r.seq);
  r.last_event = r.facts.last_event;
  ClassifyRequest(r);
  if (quarantine_.IsQuarantined(r.fingerprint)) {
    return MakeError(ErrorKind::kQuarantined, "crashes upstreams");
  }
  if (std::optional<uint64_t> key = FindQuarantinedKey(r)) {
    return MakeError(ErrorKind::kQuarantined, IsAccountKey(r, *key)
                                                  ? kAccountCrashesUpstreams
                                                  : kPartCrashesUpstreams);
  }
  StopCandidate candidate = {r.stream(), r.shape, r.route->latency_target,
                             r.deadline};
  if (stop_ && !MayTakeWhileStopping(candidate, *stop_, clock_.Now()))
    return MakeError(ErrorKind::kDraining, "stopping");
  std::vector<PartHold> lapsed = FindLapsedHolds(r);
  if (!hold_trials_.Start(lapsed, r.seq, clock_.Now())) {
    return MakeError(ErrorKind::kQuarantined,
                     IsAccountKey(r, lapsed.front().key)
                         ? kAccountCrashesUpstreams
                         : kPartCrashesUpstreams);
  }
  // All prompt parts but the last may be shared with other requests; the last
  // one belongs to this request alone.
  if (r.facts.parts.size() >= 2) {
    r.affinity = r.facts.parts[r.facts.parts.size() - 2].id;
    for (size_t i = 0; i + 1 < r.facts.parts.size(); ++i) {
      r.shared_tokens += r.facts.parts[i].tokens;
    }
  }
  return absl::OkStatus();
}

void Gateway::Dispatch(Request& r) {
  if (r.service->shared_load)
    account_shares_.RecordRequest(r.account_key, clock_.Now());
  std::vector<uint64_t> returning = ReturningBefore(r);
  bool held = MustQueue(r);
  if (!held && returning.empty() && TrySend(r)) {
    waiting_queue_.RecordDispatch(r.service->name, clock_.Now());
    return;
  }
  if (r.unplaceable) {
    FailUnplaceable(r, clock_.Now());
    return;
  }
  WaitingRequest w;
  w.seq = r.seq;
  w.tier = r.rank;
  w.enqueued_at = clock_.Now();
  w.reject_at = WaitEnd(r, w.enqueued_at);
  w.returning = r.returning;
  w.service = r.service->name;
  w.account = r.account_key;
  w.tokens = r.facts.prompt_tokens;
  r.starving_from = StarvesAt(w, options_.waiting);
  std::optional<uint64_t> shed;
  absl::Status entered =
      waiting_queue_.Enqueue(std::move(w), &shed, SharesFor(r.service->name));
  r.waiting = entered.ok();
  if (shed) {
    Request* other = requests_.at(*shed).get();
    other->waiting = false;
    FailRequest(*other, ErrorKind::kShed,
                "room needed for a request with precedence");
  }
  if (!r.waiting) {
    FailRequest(r, ErrorKindOf(entered), entered.message());
    return;
  }
  if (held) {
    DispatchHeldRequest();
  } else if (!returning.empty()) {
    DispatchReturningThen(returning, r);
  }
}

// Returns the time at which `r` is rejected if it still waits.
TimePoint Gateway::WaitEnd(const Request& r, TimePoint now) const {
  double share = options_.waiting.max_wait_target_share;
  bool timed = r.service->timed_placement && r.facts.pinned == 0;
  // Placement decides at each try whether a request can still be in time. A
  // returning request has been rejected before and may wait as long.
  if (r.returning || (timed && r.sends == 0 && r.connect_failures == 0)) {
    TimePoint target = r.exchange->arrived + r.route->latency_target;
    return std::max(now, std::min(r.deadline, target));
  }
  if (timed) share = kMaxTimedRetryWaitShare;
  return std::min(r.deadline, now + std::chrono::duration_cast<Duration>(
                                        r.route->latency_target * share));
}

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
  call.request = dialect_.write_request(r.exchange->head, f, r.exchange->body);
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

void Gateway::FinishRequest(Request& r, absl::string_view outcome,
                            absl::string_view why) {
  TimePoint now = clock_.Now();
  CancelOtherAttempts(r);
  CancelAttempt(r, r);
  DiscardBufferedBody(r);
  RecordOutputUse(r, true);
  if (r.waiting) waiting_queue_.RemoveUnserved(r.seq);
  hold_trials_.End(r.seq,
                   r.sends == 0 ? TrialEnd::kNotSent : TrialEnd::kUnknown, now);
  Duration elapsed = now - r.exchange->arrived;
  LogEvent(
      "request_ended",
      {{"request", r.facts.id},
       {"asks", FingerprintToHex(r.fingerprint)},
       {"parts", PartsToHex(r.shared_parts())},
       {"account", AccountLabel(r.account)},
       {"outcome", outcome},
       {"why", why},
       {"route", r.route ? r.route->name : ""},
       {"config_version", r.config ? r.config->version : 0},
       {"tier", r.tier},
       {"rank", r.rank},
       {"sends", r.sends},
       {"returning", r.returning ? 1 : 0},
       {"promised_ms", r.promised_delay ? ToMs(*r.promised_delay) : -1},
       {"ms", ToMs(elapsed)},
       {"stop_ms",
        stop_ ? absl::StrCat(ToMs(r.exchange->arrived - stop_->began_at)) : ""},
       {"first_ms",
        r.stream_started ? ToMs(r.first_event_at - r.exchange->arrived) : -1},
       {"events", r.events},
       {"last_event", r.last_event.value_or(-1)},
       {"end", r.end_detected_by},
       {"pause_ms", ToMs(r.longest_gap)},
       {"pause_at", r.longest_gap_upstream}});
  metrics_.CountFinishedRequest(MetricLabel(r), outcome);
  metrics_.ObserveRequestDuration(MetricLabel(r), ToSeconds(elapsed));
  r.exchange->set_on_disconnect(nullptr);
  r.exchange->set_on_drained(nullptr);
  deadlines_.erase(r.deadline_entry);
  requests_.erase(r.seq);
}

void Gateway::OnCallerDisconnect(uint64_t seq) {
  auto it = requests_.find(seq);
  if (it == requests_.end()) return;
  FinishRequest(*it->second, "caller_left", "");
  DispatchWaitingRequests();
}

}  // namespace medlarwalk
