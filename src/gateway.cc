#include "gateway.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "gateway_request.h"
#include "http1_client.h"
#include "log.h"

namespace medlarwalk {
namespace {

// Assumed until the control processes have said how many entries there are:
// too many is safe for the shared limits.
constexpr int kAssumedServing = 8;
// Longest wait of a request for the first configuration, or for a newer one.
constexpr auto kConfigWait = Millis(900);
// A part is believed to be kept for this long after it was read, and so many
// parts are remembered.
constexpr auto kPartTrust = std::chrono::seconds(12);
constexpr size_t kMostParts = 4096;

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
      options_(std::move(options)),
      dialect_(std::move(dialect)),
      metrics_(metrics),
      random_(random_seed),
      pool_(clock,
            options_.open_link ? options_.open_link : Http1Links(loop, clock)),
      crashes_(pool_,
               [this](const std::string& upstream, absl::string_view how,
                      const std::vector<CrashWatch::Cut>& cut) {
                 UpstreamCrashed(upstream, how, cut);
               }),
      parts_(kPartTrust, kMostParts),
      waiting_(options_.waiting),
      serving_(kAssumedServing),
      turn_place_{kAssumedServing, 0} {}

Gateway::~Gateway() = default;

void Gateway::SetConfig(std::shared_ptr<const RoutingConfig> config) {
  config_ = std::move(config);
  BeginEarly();
}

void Gateway::NoteInStep(TimePoint as_of) {
  in_step_at_ = std::max(in_step_at_, as_of);
  if (config_) BeginEarly();
}

void Gateway::BeginEarly() {
  std::vector<uint64_t> early = std::move(early_);
  early_.clear();
  for (uint64_t seq : early) {
    auto it = requests_.find(seq);
    if (it != requests_.end()) Begin(*it->second);
  }
}

void Gateway::SetUpstreams(absl::Span<const UpstreamInfo> upstreams) {
  for (const std::string& id : pool_.Update(upstreams)) {
    parts_.Forget(id);
    limits_.Note(id, std::nullopt, clock_.Now());
  }
  crashes_.NoteList();
  ApplyLimits();
  paces_changed_ = true;
  ServeWaiting();
}

void Gateway::NoteLoad(const std::string& upstream, int running, int waiting) {
  UpstreamBoard* u = pool_.Find(upstream);
  if (u) NoteReport(*u, running, waiting, clock_.Now());
}

void Gateway::SetReachable(const std::string& upstream, bool reachable) {
  UpstreamBoard* u = pool_.Find(upstream);
  if (!u || u->reachable == reachable) return;
  u->reachable = reachable;
  LogEvent("upstream_reachable",
           {{"upstream", upstream}, {"reachable", reachable ? 1 : 0}});
}

RetryBudget& Gateway::BudgetFor(const std::string& service) {
  return budgets_.try_emplace(service, clock_.Now()).first->second;
}

ReadingGate& Gateway::GateFor(const std::string& service) {
  return reading_.try_emplace(service, options_.reading).first->second;
}

TierGuard& Gateway::GuardFor(const std::string& service) {
  return guards_.try_emplace(service, options_.tiers).first->second;
}

std::string Gateway::LabelOf(const Request& r) {
  return r.route && !r.route->label.empty() ? r.route->label
                                            : absl::StrCat("tier-", r.tier);
}

Gateway::Request* Gateway::Find(uint64_t seq, int attempt) {
  auto it = requests_.find(seq);
  if (it == requests_.end() || it->second->attempt != attempt) return nullptr;
  return it->second.get();
}

void Gateway::Handle(std::shared_ptr<CallerExchange> ex) {
  auto owned = std::make_unique<Request>();
  Request& r = *owned;
  r.seq = next_seq_++;
  r.exchange = std::move(ex);
  // Refused by then, unless Admit sets its own time.
  r.give_up_at = r.exchange->arrived + kConfigWait;
  r.give_up_entry = give_up_.emplace(r.give_up_at, r.seq);
  requests_[r.seq] = std::move(owned);
  uint64_t seq = r.seq;
  r.exchange->set_on_gone([this, seq] { CallerLeft(seq); });
  if (!config_) {
    // A process that has just started hears of a configuration within a
    // moment: its callers do better to wait than to come back.
    early_.push_back(r.seq);
    return;
  }
  Begin(r);
}

void Gateway::Begin(Request& r) {
  absl::Status s = Admit(r);
  if (!s.ok() && MayBeOutdated(s)) {
    early_.push_back(r.seq);
    return;
  }
  if (!s.ok()) {
    Fail(r, KindOf(s), s.message());
    return;
  }
  BudgetFor(r.service->name).NoteRequest(options_.retry);
  Dispatch(r);
}

// Whether a newer configuration may allow what `refusal` says this one does
// not. An entry whose loop stood still for seconds wakes up among requests sent
// long after a route was added: told "no such route", their callers never come
// back.
bool Gateway::MayBeOutdated(const absl::Status& refusal) const {
  ErrorKind kind = KindOf(refusal);
  bool by_config =
      kind == ErrorKind::kUnknownRoute || kind == ErrorKind::kUnknownKey;
  return by_config && options_.config_trust > Duration::zero() &&
         clock_.Now() - in_step_at_ > options_.config_trust;
}

absl::Status Gateway::Admit(Request& r) {
  absl::StatusOr<RequestFacts> facts =
      dialect_.read_request(r.exchange->head, r.exchange->body);
  if (!facts.ok()) {
    ErrorKind kind = KindOf(facts.status());
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
  if (!config_->accounts.empty() && !r.route->anonymous) {
    const AccountRule* a = FindAccount(*config_, r.facts.key);
    if (!a) return MakeError(ErrorKind::kUnknownKey, "key not held");
    r.account = a->name;
    account_tier = a->tier.value_or(r.tier);
  }
  r.asks = PrintOf(r.exchange->head.target, r.account, r.exchange->body);
  r.rank = RankOf(r.tier, account_tier);
  std::uniform_real_distribution<double> draw(0, 1);
  r.service = &config_->services.at(PickService(*r.route, draw(random_)));
  Duration patience = r.route->timeout;
  if (r.facts.patience) patience = std::min(patience, *r.facts.patience);
  give_up_.erase(r.give_up_entry);
  r.give_up_at = r.exchange->arrived + patience;
  r.give_up_entry = give_up_.emplace(r.give_up_at, r.seq);
  r.last_event = r.facts.last_event;
  if (r.service->engine) {
    int64_t output = r.facts.likely_output_tokens > 0
                         ? r.facts.likely_output_tokens
                         : r.facts.most_output_tokens;
    r.shape = ShapeOf(r.facts.prompt_tokens, output, options_.placement);
  }
  if (quarantine_.Refuses(r.asks)) {
    return MakeError(ErrorKind::kQuarantined, "crashes upstreams");
  }
  if (draining_ && r.shape == WorkShape::kDecode) {
    return MakeError(ErrorKind::kDraining, "stopping");
  }
  // The parts shared with others: all but the request's own.
  if (r.facts.parts.size() >= 2) {
    r.affinity = r.facts.parts[r.facts.parts.size() - 2].id;
    for (size_t i = 0; i + 1 < r.facts.parts.size(); ++i) {
      r.shared_tokens += r.facts.parts[i].tokens;
    }
  }
  return absl::OkStatus();
}

void Gateway::Dispatch(Request& r) {
  if (TrySend(r)) {
    waiting_.NotePlace(r.service->name, clock_.Now());
    return;
  }
  WaitingRequest w;
  w.seq = r.seq;
  w.tier = r.rank;
  w.since = clock_.Now();
  w.until =
      std::min(r.give_up_at, w.since + std::chrono::duration_cast<Duration>(
                                           r.route->latency_target *
                                           options_.waiting.most_target_share));
  w.service = r.service->name;
  r.starves_at = StarvesAt(w, options_.waiting);
  std::optional<uint64_t> shed;
  absl::Status entered = waiting_.Enter(std::move(w), &shed);
  r.waiting = entered.ok();
  if (shed) {
    Request* other = requests_.at(*shed).get();
    other->waiting = false;
    Fail(*other, ErrorKind::kShed, "room needed for a higher tier");
  }
  if (!r.waiting) Fail(r, KindOf(entered), entered.message());
}

PlacementAsk Gateway::AskFor(const Request& r) const {
  PlacementAsk ask;
  ask.service = r.service->name;
  ask.affinity = r.affinity;
  ask.shared_tokens = r.shared_tokens;
  ask.data_centre = options_.data_centre;
  ask.avoid = r.tried;
  ask.shape = r.shape;
  ask.pinned = r.facts.pinned;
  ask.most_load = r.service->engine ? options_.placement.most_engine_load
                                    : options_.placement.most_plain_load;
  return ask;
}

bool Gateway::TrySend(Request& r) {
  // What has begun elsewhere goes on, whoever waits.
  if (r.sends == 0 && !GuardFor(r.service->name).Admits(r.tier, clock_.Now())) {
    return false;
  }
  if (r.shape == WorkShape::kPrefill &&
      !GateFor(r.service->name).open(r.tier)) {
    return false;
  }
  int limit =
      std::max(2, static_cast<int>(r.service->max_connections *
                                   options_.connection_share / serving_));
  bool starves = r.waiting && clock_.Now() >= r.starves_at;
  if (r.tier > 0 && !starves) {
    limit -=
        static_cast<int>(std::ceil(limit * options_.placement.reserved_share));
  }
  TimePoint now = clock_.Now();
  for (UpstreamBoard& b : pool_.boards()) {
    if (b.info.service != r.service->name) continue;
    b.no_turn = b.limit_per_s && !HasTurn(b, now);
    // Each own request there holds a connection: below the limit none can be
    // in the way, and the look through the kept ones is saved.
    b.full = b.in_flight >= limit && pool_.Full(b, limit);
    if (r.shape != WorkShape::kDecode || b.full) continue;
    b.full = !TakesGeneration(b, r.service->engine->slots, serving_, now,
                              options_.placement);
  }
  PlacementAsk ask = AskFor(r);
  if (r.service->engine) {
    int& kept = decode_engines_[r.service->name];
    kept = DecodeEngines(
        demand_[r.service->name], kept, r.service->engine->slots,
        RankedUpstreams(pool_.boards(), r.service->name), options_.placement);
    ask.decode_engines = kept;
  }
  r.decode_engines = ask.decode_engines;
  std::uniform_real_distribution<double> draw(0, 1);
  std::optional<size_t> i =
      Place(pool_.boards(), ask, now, draw(random_), options_.placement);
  if (!i) return false;
  Send(r, *i);
  return true;
}

void Gateway::Send(Request& r, size_t upstream) {
  TimePoint now = clock_.Now();
  UpstreamBoard& u = pool_.boards()[upstream];
  ++r.attempt;
  if (++r.sends == 1) GuardFor(r.service->name).NotePlace(r.tier, now);
  r.upstream = u.info.id;
  r.tried.push_back(u.info.id);
  r.sent_at = r.progress_at = now;
  r.have_head = false;
  r.relaying = false;
  r.held.clear();
  r.splitter.Reset();
  if (u.in_flight == 0) u.quiet_since = now;
  ++u.in_flight;
  if (u.limit_per_s) TakeTurn(u, now);
  r.reading = r.shape == WorkShape::kPrefill;
  u.reading += r.reading;
  if (r.reading) GateFor(r.service->name).Sent(r.tier);
  NotePrefill(u, static_cast<double>(r.facts.prompt_tokens), now,
              options_.placement);
  ForwardFacts f;
  f.id = r.facts.id;
  f.upstream_id = u.info.id;
  f.patience = r.give_up_at - now;
  f.account = r.account;
  if (r.service->engine) {
    f.engine_priority = EnginePriority(*r.config, r.rank);
  }
  f.last_event = r.last_event;
  if (r.service->engine) f.copy_from = CopySource(r, u, now);
  LogEvent("sent",
           {{"request", r.facts.id},
            {"asks", PrintName(r.asks)},
            {"upstream", u.info.id},
            {"attempt", r.sends + static_cast<int>(r.connect_failures)},
            {"load", u.reported},
            {"load_age_ms",
             u.reported_at == TimePoint{} ? -1 : ToMs(now - u.reported_at)},
            {"own", u.in_flight},
            {"limit", u.limit_per_s.value_or(-1)},
            {"copy_from", f.copy_from.ip},
            {"left_ms", ToMs(f.patience)}});
  uint64_t seq = r.seq;
  int attempt = r.attempt;
  UpstreamCall call;
  call.request = dialect_.write_request(r.exchange->head, f, r.exchange->body);
  call.on_head = [this, seq, attempt](const MessageHead& h) {
    Request* q = Find(seq, attempt);
    return q ? OnHead(*q, h) : true;
  };
  call.on_body = [this, seq, attempt](absl::string_view d) {
    if (Request* q = Find(seq, attempt)) OnBody(*q, d);
  };
  call.on_end = [this, seq, attempt](CallEnd end, absl::string_view why) {
    if (Request* q = Find(seq, attempt)) OnEnd(*q, end, why);
  };
  r.connection = pool_.Take(u, kConnectTimeouts[r.connect_failures]);
  r.connection->Start(std::move(call));
}

// The engine that most likely holds leading parts of the prompt that `to` may
// lack: one seen here to have read all that is shared; else another home of
// these parts, where requests for them go from every entry; else one seen to
// have read the first of them.
Endpoint Gateway::CopySource(const Request& r, const UpstreamBoard& to,
                             TimePoint now) {
  if (r.facts.parts.size() < 2) return {};
  PartMemory::Holding seen = parts_.Holder(r.facts.parts, now);
  const UpstreamBoard* h = nullptr;
  if (seen.parts + 1 < r.facts.parts.size()) {
    std::optional<size_t> home =
        FirstHome(pool_.boards(), r.service->name, r.affinity, r.decode_engines,
                  to.info.id, now, options_.placement);
    if (home) h = &pool_.boards()[*home];
  }
  if (!h && !seen.engine.empty()) h = pool_.Find(seen.engine);
  if (!h || h->info.id == to.info.id || h->info.service != to.info.service ||
      !Usable(*h, now, options_.placement)) {
    return {};
  }
  return h->info.address;
}

// Lets go of the upstream; the connection is kept if its call has ended.
void Gateway::ReleaseUpstream(Request& r) {
  if (r.upstream.empty()) return;
  if (UpstreamBoard* u = pool_.Find(r.upstream)) {
    --u->in_flight;
    u->reading -= r.reading;
    if (u->in_flight == 0) u->quiet_since = {};
  }
  if (r.reading) GateFor(r.service->name).Ended(r.tier);
  r.reading = false;
  pool_.Give(r.upstream, r.connection);
  r.connection.reset();
  r.upstream.clear();
}

void Gateway::DropAttempt(Request& r) {
  if (r.upstream.empty()) return;
  ++r.attempt;  // Late callbacks of the attempt find nothing.
  r.connection->Cancel();
  ReleaseUpstream(r);
}

void Gateway::Finish(Request& r, absl::string_view outcome,
                     absl::string_view why) {
  TimePoint now = clock_.Now();
  DropAttempt(r);
  if (r.waiting) waiting_.Leave(r.seq);
  Duration took = now - r.exchange->arrived;
  LogEvent(
      "request_ended",
      {{"request", r.facts.id},
       {"asks", PrintName(r.asks)},
       {"outcome", outcome},
       {"why", why},
       {"route", r.route ? r.route->name : ""},
       {"config_version", r.config ? r.config->version : 0},
       {"tier", r.tier},
       {"rank", r.rank},
       {"sends", r.sends},
       {"ms", ToMs(took)},
       {"first_ms",
        r.stream_started ? ToMs(r.first_event_at - r.exchange->arrived) : -1},
       {"events", r.events},
       {"last_event", r.last_event.value_or(-1)},
       {"end", r.end_known_by},
       {"pause_ms", ToMs(r.longest_pause)},
       {"pause_at", r.longest_pause_at}});
  metrics_.CountFinished(LabelOf(r), outcome);
  metrics_.ObserveDuration(LabelOf(r), ToSeconds(took));
  r.exchange->set_on_gone(nullptr);
  r.exchange->set_on_drained(nullptr);
  give_up_.erase(r.give_up_entry);
  requests_.erase(r.seq);
}

void Gateway::CallerLeft(uint64_t seq) {
  auto it = requests_.find(seq);
  if (it == requests_.end()) return;
  Finish(*it->second, "caller_left", "");
  ServeWaiting();
}

}  // namespace medlarwalk
