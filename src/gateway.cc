#include "gateway.h"

#include <algorithm>

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
