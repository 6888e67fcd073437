#include "gateway.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "gateway_request.h"
#include "http1_client.h"
#include "log.h"

namespace medlarwalk {
namespace {

// Assumed until the control processes have said how many entries there are:
// too many is safe for the shared limits.
constexpr int kAssumedServing = 8;
// Answers that are not streams are held until whole, up to this.
constexpr size_t kMostHeldAnswer = 4 << 20;
// A caller that reads more slowly than its upstream sends holds this much.
constexpr size_t kMostUnsent = size_t{256} * 1024;
// Connections tried for one request beside the sendings that count, and how
// long each may take. A host that is there answers within a round trip; one
// without power never does, and a request must not spend its latency target on
// it. The last ones outlast a lost first packet, which the kernel sends again
// after a second: then it is the network that is slow.
constexpr std::array<Millis, 4> kConnectTimeouts = {Millis(250), Millis(250),
                                                    Millis(600), Millis(1200)};
// Less time than this left is not worth another sending.
constexpr auto kLeastTime = Millis(20);
// The first come-back time told, before any load is known, and its spread:
// callers told the same moment would return together.
constexpr double kRetryAfterSeconds = 0.3;
constexpr double kRetryAfterSpread = 0.5;
constexpr double kMostRetryAfterSeconds = 3;
// Longest wait of a request for the first configuration.
constexpr auto kConfigWait = Millis(900);
// Come-back time where another entry can serve at once.
constexpr auto kRetryElsewhere = Millis(20);
// A part is believed to be kept for this long after it was read, and so many
// parts are remembered.
constexpr auto kPartTrust = std::chrono::seconds(12);
constexpr size_t kMostParts = 4096;
// Lowest rank an engine knows.
constexpr int kLastEnginePriority = 9;

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

LinkOpener Http1Links(struct ev_loop* loop, const Clock& clock) {
  return [loop, &clock](const UpstreamInfo& to, Duration connect_timeout) {
    return Http1Client::Open(loop, clock, to.address, connect_timeout);
  };
}

}  // namespace

Gateway::Gateway(struct ev_loop* loop, const Clock& clock,
                 GatewayOptions options, Dialect dialect, Metrics& metrics,
                 uint64_t random_seed)
    : loop_(loop),
      clock_(clock),
      options_(std::move(options)),
      dialect_(std::move(dialect)),
      metrics_(metrics),
      random_(random_seed),
      pool_(clock,
            options_.open_link ? options_.open_link : Http1Links(loop, clock)),
      parts_(kPartTrust, kMostParts),
      waiting_(options_.waiting),
      serving_(kAssumedServing) {}

Gateway::~Gateway() = default;

void Gateway::SetConfig(std::shared_ptr<const RoutingConfig> config) {
  config_ = std::move(config);
  std::vector<uint64_t> early = std::move(early_);
  early_.clear();
  for (uint64_t seq : early) {
    auto it = requests_.find(seq);
    if (it != requests_.end()) Begin(*it->second);
  }
}

void Gateway::SetUpstreams(const UpstreamList& list) {
  pool_.Update(list);
  ServeWaiting();
}

void Gateway::SetServing(int serving) { serving_ = std::max(1, serving); }

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
  if (!s.ok()) {
    Fail(r, KindOf(s), s.message());
    return;
  }
  BudgetFor(r.service->name).NoteRequest(options_.retry);
  Dispatch(r);
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
  if (!config_->accounts.empty() && !r.route->anonymous) {
    const AccountRule* a = FindAccount(*config_, r.facts.key);
    if (!a) return MakeError(ErrorKind::kUnknownKey, "key not held");
    r.account = a->name;
    if (a->tier) r.tier = *a->tier;
  }
  r.rank = RankOf(r.tier, r.route->tier);
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
  if (r.shape == WorkShape::kPrefill &&
      !GateFor(r.service->name).open(r.rank)) {
    return false;
  }
  bool engine = r.service->engine.has_value();
  int limit =
      std::max(2, static_cast<int>(r.service->max_connections *
                                   options_.connection_share / serving_));
  bool starves = r.waiting && clock_.Now() >= r.starves_at;
  if (r.tier > 0 && !starves) {
    limit -=
        static_cast<int>(std::ceil(limit * options_.placement.reserved_share));
  }
  for (UpstreamBoard& b : pool_.boards()) {
    // Each own request there holds a connection: below the limit none can be
    // in the way, and the look through the kept ones is saved.
    if (b.info.service == r.service->name) {
      b.full = b.in_flight >= limit && pool_.Full(b, limit);
    }
  }
  PlacementAsk ask = AskFor(r);
  if (engine) {
    int engines = 1;
    for (const UpstreamBoard& b : pool_.boards()) {
      if (b.info.service == r.service->name) engines = b.ranks;
    }
    int& kept = decode_engines_[r.service->name];
    kept = DecodeEngines(demand_[r.service->name], kept,
                         r.service->engine->slots, engines, options_.placement);
    ask.decode_engines = kept;
  }
  r.decode_engines = ask.decode_engines;
  std::uniform_real_distribution<double> draw(0, 1);
  std::optional<size_t> i = Place(pool_.boards(), ask, clock_.Now(),
                                  draw(random_), options_.placement);
  if (!i) return false;
  Send(r, *i);
  return true;
}

void Gateway::Send(Request& r, size_t upstream) {
  TimePoint now = clock_.Now();
  UpstreamBoard& u = pool_.boards()[upstream];
  ++r.attempt;
  ++r.sends;
  r.upstream = u.info.id;
  r.tried.push_back(u.info.id);
  r.sent_at = r.progress_at = now;
  r.have_head = false;
  r.relaying = false;
  r.held.clear();
  r.splitter.Reset();
  if (u.in_flight == 0) u.quiet_since = now;
  ++u.in_flight;
  r.reading = r.shape == WorkShape::kPrefill;
  u.reading += r.reading;
  if (r.reading) GateFor(r.service->name).Sent(r.rank);
  NotePrefill(u, static_cast<double>(r.facts.prompt_tokens), now,
              options_.placement);
  ForwardFacts f;
  f.id = r.facts.id;
  f.upstream_id = u.info.id;
  f.patience = r.give_up_at - now;
  f.account = r.account;
  if (r.service->engine) {
    f.engine_priority = std::clamp(r.rank, 0, kLastEnginePriority);
  }
  f.last_event = r.last_event;
  if (r.service->engine) f.copy_from = CopySource(r, u, now);
  LogEvent("sent",
           {{"request", r.facts.id},
            {"upstream", u.info.id},
            {"attempt", r.attempt},
            {"load", u.reported},
            {"load_age_ms",
             u.reported_at == TimePoint{} ? -1 : ToMs(now - u.reported_at)},
            {"own", u.in_flight},
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
// lack: the last one seen to read them here, else the first home of the first
// part, where other entries' requests for it began.
Endpoint Gateway::CopySource(const Request& r, const UpstreamBoard& to,
                             TimePoint now) {
  if (r.facts.parts.size() < 2) return {};
  std::string holder = parts_.Holder(r.facts.parts, now);
  const UpstreamBoard* h = nullptr;
  if (!holder.empty()) {
    h = pool_.Find(holder);
  } else if (std::optional<size_t> i =
                 FirstHome(pool_.boards(), r.service->name, r.facts.parts[0].id,
                           r.decode_engines, now, options_.placement)) {
    h = &pool_.boards()[*i];
  }
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
  if (r.reading) GateFor(r.service->name).Ended(r.rank);
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

bool Gateway::OnHead(Request& r, const MessageHead& head) {
  AnswerFacts f = dialect_.read_answer(head);
  TimePoint now = clock_.Now();
  bool success = head.status / 100 == 2;
  if (f.echoed_id && *f.echoed_id != r.facts.id &&
      (!f.echoed_id->empty() || success)) {
    LogEvent("answer_skipped", {{"request", r.facts.id},
                                {"upstream", r.upstream},
                                {"bears", *f.echoed_id}});
    return false;
  }
  r.progress_at = now;
  if (UpstreamBoard* u = pool_.Find(r.upstream)) {
    u->quiet_since = now;
    if (f.has_load) NoteReport(*u, f.running, f.waiting, now);
  }
  r.answer = head;
  r.answer_facts = std::move(f);
  r.have_head = true;
  if (!r.answer_facts.not_run) r.maybe_run = true;
  r.relaying = r.stream() && success && r.answer_facts.signed_whole;
  return true;
}

void Gateway::OnBody(Request& r, absl::string_view data) {
  TimePoint now = clock_.Now();
  r.progress_at = now;
  if (UpstreamBoard* u = pool_.Find(r.upstream)) u->quiet_since = now;
  if (r.reading) {
    PromptRead(r, now);
    // Before anyone who comes now: those who wait were here first.
    ServeWaiting();
  }
  if (!r.relaying) {
    r.held.append(data.data(), data.size());
    if (r.held.size() > kMostHeldAnswer) {
      AttemptFailed(r, CallEnd::kBrokenOff, "answer too large");
    }
    return;
  }
  uint64_t seq = r.seq;
  int attempt = r.attempt;
  bool whole = r.splitter.Feed(
      data, [&](absl::string_view event) { return RelayEvent(r, event); });
  if (!Find(seq, attempt)) return;
  if (!whole) {
    AttemptFailed(r, CallEnd::kBrokenOff, "events out of order");
    return;
  }
  if (r.exchange->unsent() > kMostUnsent) {
    r.connection->PauseRead(true);
    r.exchange->set_on_drained([this, seq, attempt] {
      if (Request* q = Find(seq, attempt)) q->connection->PauseRead(false);
    });
  }
}

// The first of the answer's body has come: the prompt has been read.
void Gateway::PromptRead(Request& r, TimePoint now) {
  r.reading = false;
  ReadingGate& gate = GateFor(r.service->name);
  gate.Ended(r.rank);
  Duration took = now - r.sent_at;
  gate.NoteFirstEvent(took, r.route->latency_target);
  UpstreamBoard* u = pool_.Find(r.upstream);
  if (!u) return;
  --u->reading;
  NoteFirstEvent(*u, took, r.route->latency_target, options_.placement);
}

// Passes one event on. Returns false when it does not follow the last one.
bool Gateway::RelayEvent(Request& r, absl::string_view event) {
  std::optional<int64_t> id = EventId(event);
  if (id && r.last_event) {
    if (*id <= *r.last_event) return true;  // Sent again by a resumed run.
    if (*id != *r.last_event + 1) return false;
  }
  if (r.service->engine && r.events == 0) {
    parts_.Note(r.facts.parts, r.upstream, clock_.Now());
  }
  if (!r.stream_started) {
    r.exchange->StartAnswer(r.answer.status, r.answer.reason,
                            HeadersOf(r.answer));
    r.stream_started = true;
    r.first_event_at = clock_.Now();
    metrics_.ObserveFirstToken(
        LabelOf(r), ToSeconds(r.first_event_at - r.exchange->arrived));
  }
  TimePoint now = clock_.Now();
  if (r.events > 0) NotePauseOf(r, now);
  r.last_event_at = now;
  r.exchange->Write(event);
  if (id) r.last_event = id;
  ++r.events;
  return true;
}

// Notes the time since the last event, which one of this attempt follows.
void Gateway::NotePauseOf(Request& r, TimePoint now) {
  Duration pause = now - r.last_event_at;
  if (pause > r.longest_pause) {
    r.longest_pause = pause;
    r.longest_pause_at = r.upstream;
  }
  bool same_upstream = r.last_event_at > r.sent_at;
  if (UpstreamBoard* u = pool_.Find(r.upstream); u && same_upstream) {
    NoteEventGap(*u, pause);
  }
  if (r.shape != WorkShape::kDecode || !same_upstream) return;
  NotePause(ToSeconds(pause) / ToSeconds(r.route->pause_target), now,
            options_.placement, &demand_[r.service->name]);
}

void Gateway::OnEnd(Request& r, CallEnd end, absl::string_view why) {
  TimePoint now = clock_.Now();
  if (end != CallEnd::kWhole) {
    AttemptFailed(r, end, why);
    return;
  }
  UpstreamBoard* u = pool_.Find(r.upstream);
  bool success = r.answer.status / 100 == 2;
  if (success && !r.answer_facts.signed_whole) {
    AttemptFailed(r, CallEnd::kNoAnswer, "success without signature");
    return;
  }
  if (r.answer_facts.not_run || r.answer.status / 100 == 5) {
    AttemptFailed(r, CallEnd::kWhole,
                  r.answer_facts.not_run
                      ? absl::StrCat("refused ", r.answer.status)
                      : absl::StrCat("status ", r.answer.status));
    return;
  }
  if (r.relaying && r.splitter.pending() > 0) {
    AttemptFailed(r, CallEnd::kBrokenOff, "ends inside an event");
    return;
  }
  if (u) NoteSuccess(*u, now);
  served_at_[r.service->name] = now;
  ReleaseUpstream(r);
  if (!r.relaying) {
    AnswerWhole(r);
    Finish(r, "answered", absl::StrCat(r.answer.status));
    ServeWaiting();
    return;
  }
  if (!r.stream_started) {
    // A stream without events is whole as it is.
    AnswerWhole(r);
  } else {
    r.exchange->Finish();
  }
  Finish(r, "answered", absl::StrCat(r.answer.status));
  ServeWaiting();
}

void Gateway::AnswerWhole(Request& r) {
  r.exchange->Respond(r.answer.status, HeadersOf(r.answer), r.held);
}

HeaderList Gateway::HeadersOf(const MessageHead& answer) const {
  HeaderList out;
  for (const auto& h : answer.headers) {
    if (IsHopByHop(h.first)) continue;
    if (dialect_.passes_on && !dialect_.passes_on(h.first)) continue;
    out.push_back(h);
  }
  return out;
}

bool Gateway::MayMove(Request& r, CallEnd end) {
  TimePoint now = clock_.Now();
  if (r.exchange->gone() || r.give_up_at - now < kLeastTime) return false;
  if (end == CallEnd::kNotSent) {
    // Nothing reached that upstream: it costs neither an attempt nor budget.
    --r.sends;
    return ++r.connect_failures < kConnectTimeouts.size();
  }
  bool not_run = r.have_head && r.answer_facts.not_run;
  if (!not_run && !r.repeatable()) return false;
  if (r.sends >= r.route->max_attempts) return false;
  if (!BudgetFor(r.service->name).Take(options_.retry, serving_, now)) {
    metrics_.CountRetry("budget_spent");
    return false;
  }
  metrics_.CountRetry(not_run ? "refused" : Name(end));
  return true;
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
  if (end != CallEnd::kNotSent && !not_run) r.maybe_run = true;
  LogEvent("attempt_failed", {{"request", r.facts.id},
                              {"upstream", r.upstream},
                              {"attempt", r.attempt},
                              {"end", Name(end)},
                              {"why", why},
                              {"events", r.events}});
  bool answered = end == CallEnd::kWhole && r.have_head;
  if (answered) {
    ReleaseUpstream(r);
  } else {
    DropAttempt(r);
  }
  // Waiting for a place helps only where an upstream is left to try.
  if (MayMove(r, end) && AnyLeft(pool_.boards(), AskFor(r))) {
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
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds * spread(random_)));
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
  metrics_.CountRefusal(a.code);
  Refusal refusal = dialect_.write_refusal(kind, why, RetryAfter(r, kind));
  r.exchange->Respond(a.http_status, refusal.headers, refusal.body);
  Finish(r, a.code, why);
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
