#include "entry.h"

#include <csignal>

#include "absl/hash/hash.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "log.h"
#include "nlohmann/json.hpp"

namespace medlarwalk {

using nlohmann::json;

namespace {

constexpr char kChatPath[] = "/v1/chat/completions";
constexpr char kServicePrefix[] = "/v1/services/";
constexpr double kTickSeconds = 0.01;
constexpr double kLoadTickSeconds = 0.5;
// Attempts at one request, the first included.
constexpr int kMaxAttempts = 3;
// Retries allowed beyond the budget's share, so a quiet entry can retry.
constexpr int64_t kRetryFloor = 10;
constexpr size_t kPrefixChars = 64;
constexpr int kRetryAfterSeconds = 1;

std::string ErrorJson(ErrorKind kind, absl::string_view message) {
  return json{{"error", {{"code", AnswerFor(kind).code}, {"message", message}}}}
      .dump();
}

double Seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

}  // namespace

// One caller request, from arrival to its last byte.
struct Entry::Pending {
  RequestId id = 0;
  std::shared_ptr<HttpExchange> exchange;
  int klass = 0;
  std::string account;
  std::string model;                     // Engines: the model asked for.
  std::optional<size_t> fixed_upstream;  // Plain services: named upstream.
  std::string path;                      // Path at the upstream.
  std::string body;
  std::string key;         // Idempotency key, may be empty.
  bool repeatable = true;  // Safe to run twice.
  uint64_t route_key = 0;
  TimePoint arrived{};
  TimePoint give_up_at{};
  int attempts = 0;
  std::optional<size_t> upstream;  // Where it runs now.
  int32_t stream_id = 0;
  bool relaying = false;  // Caller has our answer's headers.
  bool in_flight = false;
  int agent_status = 0;
  std::string agent_error;  // mw-error of the agent's answer.
  std::string held;         // Body of a non-200 agent answer.
  TimePoint last_byte_at{};
  std::vector<size_t> tried;
};

Entry::Entry(struct ev_loop* loop, const Clock& clock, Settings settings,
             std::string host, EntryPolicyKind policy)
    : loop_(loop),
      clock_(clock),
      settings_(std::move(settings)),
      host_(settings_.FindHost(host)),
      policy_(policy),
      metrics_("entry"),
      scheduler_(
          clock,
          [&] {
            SchedulerConfig c;
            c.queue_limit = settings_.entry.queue_limit;
            c.starvation_bound = settings_.entry.starvation_bound;
            return c;
          }(),
          [&] {
            std::vector<SchedulerClass> v;
            for (const auto& c : settings_.classes) {
              v.push_back({c.tier, c.first_token_target});
            }
            return v;
          }()),
      naive_(settings_.entry.queue_limit),
      server_(loop,
              [this](const HttpRequest& r, std::shared_ptr<HttpExchange> e) {
                Handle(r, std::move(e));
              }) {
  board_.settings_version = settings_.version;
  for (const auto& u : settings_.upstreams) {
    UpstreamState s;
    s.name = u.name;
    s.agent = u.agent;
    s.models = u.models;
    s.max_in_flight = u.max_in_flight;
    board_.upstreams.push_back(s);
  }
  ev_timer_init(&tick_, OnTick, kTickSeconds, kTickSeconds);
  tick_.data = this;
  ev_timer_init(&load_tick_, OnLoadTick, kLoadTickSeconds, kLoadTickSeconds);
  load_tick_.data = this;
  ev_signal_init(&sigterm_, OnSignal, SIGTERM);
  sigterm_.data = this;
  ev_signal_init(&sigint_, OnSignal, SIGINT);
  sigint_.data = this;
}

Entry::~Entry() {
  ev_timer_stop(loop_, &tick_);
  ev_timer_stop(loop_, &load_tick_);
}

absl::Status Entry::Start() {
  absl::Status s = server_.Listen(host_->address, host_->port);
  if (!s.ok()) return s;
  ev_timer_start(loop_, &tick_);
  ev_timer_start(loop_, &load_tick_);
  ev_signal_start(loop_, &sigterm_);
  ev_signal_start(loop_, &sigint_);
  LogEvent("entry_started",
           {{"host", host_->name},
            {"port", host_->port},
            {"policy", policy_ == EntryPolicyKind::kNaive ? "naive" : "tiered"},
            {"settings_version", settings_.version}});
  return absl::OkStatus();
}

void Entry::Drain() {
  if (draining_) return;
  draining_ = true;
  server_.StopAccepting();
  LogEvent("drain_started", {{"pending", pending_.size()}});
}

H2Client& Entry::ClientFor(const UpstreamState& u) {
  auto& c = agents_[u.agent];
  if (!c) {
    const HostSettings* h = settings_.FindHost(u.agent);
    c = std::make_unique<H2Client>(loop_, clock_, h->address, h->port,
                                   settings_.entry.ping_interval,
                                   settings_.entry.ping_timeout);
  }
  return *c;
}

void Entry::Handle(const HttpRequest& req, std::shared_ptr<HttpExchange> ex) {
  if (req.path == "/metrics") {
    ex->Respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                metrics_.Render());
  } else if (req.path == "/healthz") {
    ex->Respond(draining_ ? 503 : 200, {{"Content-Type", "text/plain"}},
                draining_ ? "draining" : "ok");
  } else {
    Accept(req, std::move(ex));
  }
}

// Checks the request against the settings; fills `p`. Errors carry the kind
// the caller is answered with.
absl::Status Entry::Parse(const HttpRequest& req, Pending& p) const {
  if (req.method != "POST") {
    return MakeError(ErrorKind::kBadRequest, "only POST is served");
  }
  p.account = req.Header("x-client-account");
  const AccountSettings* account = settings_.FindAccount(p.account);
  if (!account) {
    return MakeError(ErrorKind::kUnknownAccount,
                     absl::StrCat("unknown client account '", p.account, "'"));
  }
  std::string klass = req.Header("x-class");
  const ClassSettings* c = settings_.FindClass(klass);
  bool allowed =
      c && std::find(account->classes.begin(), account->classes.end(), klass) !=
               account->classes.end();
  if (!allowed) {
    return MakeError(
        ErrorKind::kUnknownClass,
        absl::StrCat("class '", klass, "' is not open to this account"));
  }
  p.klass = static_cast<int>(c - settings_.classes.data());
  p.key = req.Header("idempotency-key");
  p.repeatable = p.key.empty() && req.Header("x-not-repeatable").empty();
  p.body = req.body;
  if (req.path == kChatPath) {
    json body = json::parse(req.body, nullptr, false);
    if (body.is_discarded() || !body.is_object()) {
      return MakeError(ErrorKind::kBadRequest, "body is not a JSON object");
    }
    p.model = body.value("model", "");
    bool served = false;
    for (const auto& u : settings_.upstreams) {
      served |= std::find(u.models.begin(), u.models.end(), p.model) !=
                u.models.end();
    }
    if (!served) {
      return MakeError(
          ErrorKind::kUnknownModel,
          absl::StrCat("no upstream serves model '", p.model, "'"));
    }
    p.path = kChatPath;
    std::string prompt;
    if (body.contains("messages") && body["messages"].is_array() &&
        !body["messages"].empty()) {
      prompt = body["messages"].front().value("content", "");
    }
    p.route_key = p.key.empty() ? StableHash(prompt.substr(0, kPrefixChars))
                                : StableHash(p.key);
  } else if (absl::StartsWith(req.path, kServicePrefix)) {
    std::string rest = req.path.substr(sizeof(kServicePrefix) - 1);
    size_t slash = rest.find('/');
    std::string name = rest.substr(0, slash);
    const UpstreamSettings* u = settings_.FindUpstream(name);
    if (!u || u->kind != "service" || slash == std::string::npos) {
      return MakeError(ErrorKind::kUnknownModel,
                       absl::StrCat("no plain service '", name, "'"));
    }
    p.fixed_upstream = static_cast<size_t>(u - settings_.upstreams.data());
    p.path = rest.substr(slash);
    p.route_key = StableHash(p.key);
  } else {
    return MakeError(ErrorKind::kBadRequest, "no such route");
  }
  TimePoint now = clock_.Now();
  p.arrived = now;
  p.give_up_at = now + c->first_token_target;
  int64_t deadline_ms = 0;
  if (absl::SimpleAtoi(req.Header("x-deadline-ms"), &deadline_ms) &&
      deadline_ms > 0) {
    p.give_up_at = std::min(p.give_up_at, now + Millis(deadline_ms));
  }
  return absl::OkStatus();
}

void Entry::Accept(const HttpRequest& req, std::shared_ptr<HttpExchange> ex) {
  auto p = std::make_unique<Pending>();
  p->id = next_id_++;
  p->exchange = ex;
  if (draining_) {
    Fail(*p, ErrorKind::kDraining, "entry is stopping");
    return;
  }
  absl::Status s = Parse(req, *p);
  if (!s.ok()) {
    Fail(*p, KindOf(s), s.message());
    return;
  }
  LogEvent("accepted", {{"id", p->id},
                        {"account", p->account},
                        {"class", settings_.classes[p->klass].name},
                        {"repeatable", p->repeatable ? "true" : "false"}});
  RequestId id = p->id;
  ex->set_on_close([this, id] { CallerGone(id); });
  ++first_tries_;
  Queue(std::move(p));
  Dispatch();
}

void Entry::Queue(std::unique_ptr<Pending> p) {
  QueuedRequest q;
  q.id = p->id;
  q.klass = p->klass;
  q.enqueued = p->arrived;
  q.give_up_at =
      policy_ == EntryPolicyKind::kNaive ? TimePoint::max() : p->give_up_at;
  q.route_key = p->route_key;
  q.model = p->model;
  AdmitResult r = policy_ == EntryPolicyKind::kNaive ? naive_.Admit(q)
                                                     : scheduler_.Admit(q);
  if (!r.status.ok()) {
    Fail(*p, KindOf(r.status), r.status.message());
    return;
  }
  pending_[p->id] = std::move(p);
  if (r.shed) {
    auto it = pending_.find(*r.shed);
    if (it != pending_.end()) {
      Fail(*it->second, ErrorKind::kShed,
           "shed for a request of a higher tier");
    }
  }
}

bool Entry::CanRun(const QueuedRequest& q) const {
  auto it = pending_.find(q.id);
  if (it == pending_.end()) return true;  // Stale; Next drops it.
  const Pending& p = *it->second;
  if (p.fixed_upstream)
    return CanServe(board_.upstreams[*p.fixed_upstream], "");
  for (const auto& u : board_.upstreams) {
    if (CanServe(u, p.model)) return true;
  }
  return false;
}

void Entry::Dispatch() {
  // Connection health changes between ticks (a stream just failed on a
  // silent connection); the router must not pick that agent again now.
  RefreshHealth();
  auto can_run = [this](const QueuedRequest& q) { return CanRun(q); };
  for (;;) {
    std::optional<QueuedRequest> q = policy_ == EntryPolicyKind::kNaive
                                         ? naive_.Next(can_run)
                                         : scheduler_.Next(can_run);
    if (!q) break;
    auto it = pending_.find(q->id);
    if (it == pending_.end()) continue;
    Send(*it->second);
  }
  if (draining_ && pending_.empty()) ev_break(loop_, EVBREAK_ALL);
}

void Entry::Send(Pending& p) {
  std::optional<size_t> i = p.fixed_upstream;
  if (!i) {
    i = policy_ == EntryPolicyKind::kNaive
            ? ChooseRoundRobin(board_.upstreams, p.model, &round_robin_)
            : ChooseUpstream(board_.upstreams, p.model, p.route_key,
                             router_policy_);
  }
  if (!i) {
    Fail(p, ErrorKind::kNoUpstream, "no upstream can take it now");
    return;
  }
  UpstreamState& u = board_.upstreams[*i];
  ++u.in_flight;
  ++p.attempts;
  p.upstream = i;
  p.in_flight = true;
  p.agent_status = 0;
  p.agent_error.clear();
  p.held.clear();
  p.tried.push_back(*i);
  LogEvent("routed",
           {{"id", p.id}, {"upstream", u.name}, {"attempt", p.attempts}});
  H2Call call;
  call.path = p.path;
  call.body = p.body;
  call.headers = {{kH2Upstream, u.name},
                  {kH2RequestId, std::to_string(p.id)},
                  {"content-type", "application/json"}};
  if (!p.key.empty()) call.headers.push_back({kH2IdempotencyKey, p.key});
  if (!p.repeatable) call.headers.push_back({kH2NotRepeatable, "1"});
  RequestId id = p.id;
  call.on_response = [this, id](int status,
                                const std::map<std::string, std::string>& h) {
    OnResponse(id, status, h);
  };
  call.on_data = [this, id](absl::string_view d) { OnData(id, d); };
  call.on_close = [this, id](absl::Status s, bool never_sent) {
    OnClose(id, s, never_sent);
  };
  p.stream_id = ClientFor(u).Submit(std::move(call));
}

void Entry::OnResponse(RequestId id, int status,
                       const std::map<std::string, std::string>& headers) {
  auto it = pending_.find(id);
  if (it == pending_.end()) return;
  Pending& p = *it->second;
  p.agent_status = status;
  auto e = headers.find(kH2ErrorKind);
  if (e != headers.end()) p.agent_error = e->second;
  if (status == 200) {
    p.relaying = true;
    bool sse = settings_.upstreams[*p.upstream].kind == "engine" &&
               absl::StrContains(p.body, "\"stream\":true");
    p.exchange->StartStream(200, {{"Content-Type", sse ? "text/event-stream"
                                                       : "application/json"}});
    metrics_.ObserveFirstToken(settings_.classes[p.klass].name,
                               Seconds(clock_.Now() - p.arrived));
    p.last_byte_at = clock_.Now();
  }
}

void Entry::OnData(RequestId id, absl::string_view data) {
  auto it = pending_.find(id);
  if (it == pending_.end()) return;
  Pending& p = *it->second;
  if (!p.relaying) {
    p.held.append(data.data(), data.size());
    return;
  }
  TimePoint now = clock_.Now();
  NoteTokenGap(board_.upstreams[*p.upstream], Seconds(now - p.last_byte_at));
  p.last_byte_at = now;
  p.exchange->Write(data);
}

void Entry::OnClose(RequestId id, const absl::Status& status, bool never_sent) {
  auto it = pending_.find(id);
  if (it == pending_.end()) return;
  Pending& p = *it->second;
  --board_.upstreams[*p.upstream].in_flight;
  p.in_flight = false;
  if (status.ok() && p.relaying) {
    p.exchange->Finish();
    Finish(p, "ok");
  } else if (status.ok()) {
    ErrorKind kind = KindFromCode(p.agent_error);
    if (kind == ErrorKind::kNotRun || kind == ErrorKind::kDraining ||
        kind == ErrorKind::kNoUpstream) {
      // The agent says the upstream never received it: any request may go
      // elsewhere.
      Retry(p, p.agent_error, ErrorKind::kNotRun, "upstream did not take it");
    } else if (p.agent_status >= 500 && p.repeatable) {
      Retry(p, "upstream_error", ErrorKind::kOutcomeUnknown, "upstream failed");
    } else if (!p.agent_error.empty()) {
      Fail(p, kind, p.held);
    } else {
      p.exchange->Respond(p.agent_status,
                          {{"Content-Type", "application/json"}}, p.held);
      Finish(p, absl::StrCat("status_", p.agent_status));
    }
  } else if (p.relaying) {
    // Cut mid-answer: the caller's stream is aborted so that it cannot pass
    // for whole.
    p.exchange->Abort();
    metrics_.CountRefusal("cut_mid_stream");
    LogWarn("cut", {{"id", p.id}, {"error", std::string(status.message())}});
    Finish(p, "cut");
  } else if (never_sent) {
    Retry(p, "connection_refused", ErrorKind::kNotRun, "agent unreachable");
  } else if (p.repeatable) {
    Retry(p, "connection_lost", ErrorKind::kOutcomeUnknown, status.message());
  } else {
    Fail(p, ErrorKind::kOutcomeUnknown,
         "connection to the agent was lost after the request was sent");
  }
  Dispatch();
}

// Sends `p` again if the budget allows, else answers it with `otherwise`.
void Entry::Retry(Pending& p, absl::string_view reason, ErrorKind otherwise,
                  absl::string_view message) {
  int64_t budget =
      kRetryFloor + first_tries_ * settings_.entry.retry_budget_percent / 100;
  if (p.exchange->closed() || p.attempts >= kMaxAttempts ||
      retries_ >= budget || clock_.Now() >= p.give_up_at) {
    Fail(p, otherwise, message);
    return;
  }
  ++retries_;
  metrics_.CountRetry(reason);
  LogEvent("retried",
           {{"id", p.id}, {"reason", reason}, {"attempt", p.attempts}});
  auto it = pending_.find(p.id);
  std::unique_ptr<Pending> owned = std::move(it->second);
  pending_.erase(it);
  Queue(std::move(owned));
}

void Entry::Fail(Pending& p, ErrorKind kind, absl::string_view message) {
  const Answer& a = AnswerFor(kind);
  HeaderList headers = {{"Content-Type", "application/json"}};
  if (a.retry_after) {
    headers.push_back({"Retry-After", std::to_string(kRetryAfterSeconds)});
  }
  p.exchange->Respond(a.http_status, headers, ErrorJson(kind, message));
  metrics_.CountRefusal(a.code);
  LogEvent("refused", {{"id", p.id}, {"reason", a.code}, {"message", message}});
  Finish(p, a.code);
}

void Entry::Finish(Pending& p, absl::string_view outcome) {
  std::string klass = settings_.classes[p.klass].name;
  metrics_.CountFinished(klass, outcome);
  metrics_.ObserveDuration(klass, Seconds(clock_.Now() - p.arrived));
  LogEvent("finished", {{"id", p.id},
                        {"class", klass},
                        {"outcome", outcome},
                        {"attempts", p.attempts}});
  pending_.erase(p.id);
}

// The caller went away. A queued request leaves the queue; a running one
// that may safely be cut is cancelled, to save the upstream's work; one that
// must not be repeated runs on, so its answer reaches the ledger.
void Entry::CallerGone(RequestId id) {
  auto it = pending_.find(id);
  if (it == pending_.end()) return;
  Pending& p = *it->second;
  if (!p.in_flight) {
    if (policy_ == EntryPolicyKind::kNaive) {
      naive_.Remove(id);
    } else {
      scheduler_.Remove(id);
    }
    Finish(p, "caller_gone");
    return;
  }
  if (p.repeatable) {
    UpstreamState& u = board_.upstreams[*p.upstream];
    --u.in_flight;
    ClientFor(u).Cancel(p.stream_id);
    Finish(p, "caller_gone");
    Dispatch();
  }
}

void Entry::ExpireQueued() {
  if (policy_ == EntryPolicyKind::kNaive) return;
  for (const QueuedRequest& q : scheduler_.Expire()) {
    auto it = pending_.find(q.id);
    if (it == pending_.end()) continue;
    Fail(*it->second, ErrorKind::kTargetUnmeetable,
         "waited past its class target; come back after Retry-After");
  }
}

// Copies each agent connection's health onto the blackboard. Cheap: it
// runs before every dispatch.
void Entry::RefreshHealth() {
  for (auto& u : board_.upstreams) {
    bool healthy = ClientFor(u).usable();
    if (healthy != u.healthy) {
      LogEvent("upstream_health",
               {{"upstream", u.name}, {"healthy", healthy ? "true" : "false"}});
    }
    u.healthy = healthy;
  }
}

// Asks each agent for its upstream's (lagging) load and whether it leaves.
void Entry::PollLoad() {
  for (size_t i = 0; i < board_.upstreams.size(); ++i) {
    UpstreamState& u = board_.upstreams[i];
    H2Call call;
    call.method = "GET";
    call.path = "/mw/load";
    call.headers = {{kH2Upstream, u.name}};
    auto buf = std::make_shared<std::string>();
    call.on_data = [buf](absl::string_view d) {
      buf->append(d.data(), d.size());
    };
    call.on_close = [this, i, buf](absl::Status s, bool) {
      if (!s.ok()) return;
      json j = json::parse(*buf, nullptr, false);
      if (j.is_discarded()) return;
      UpstreamState& u = board_.upstreams[i];
      u.reported_load = j.value("running", 0) + j.value("waiting", 0);
      u.reported_at = clock_.Now();
      bool leaving = j.value("leaving", false);
      if (leaving && !u.leaving)
        LogEvent("upstream_leaving", {{"upstream", u.name}});
      u.leaving = leaving;
    };
    ClientFor(u).Submit(std::move(call));
  }
}

void Entry::OnTick(struct ev_loop*, ev_timer* w, int) {
  auto* self = static_cast<Entry*>(w->data);
  // Stragglers are judged on the tick, not per dispatch: it takes a median
  // over all upstreams.
  MarkStragglers(absl::MakeSpan(self->board_.upstreams), self->router_policy_);
  self->ExpireQueued();
  self->Dispatch();
  for (const auto& c : self->settings_.classes) {
    int k = static_cast<int>(&c - self->settings_.classes.data());
    self->metrics_.SetQueued(c.name, self->scheduler_.queued(k));
  }
}

void Entry::OnLoadTick(struct ev_loop*, ev_timer* w, int) {
  static_cast<Entry*>(w->data)->PollLoad();
}

void Entry::OnSignal(struct ev_loop*, ev_signal* w, int) {
  auto* self = static_cast<Entry*>(w->data);
  self->Drain();
  if (self->pending_.empty()) ev_break(self->loop_, EVBREAK_ALL);
}

}  // namespace medlarwalk
