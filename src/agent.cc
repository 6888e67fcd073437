#include "agent.h"

#include <csignal>

#include "absl/hash/hash.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "errors.h"
#include "log.h"
#include "loop_order.h"
#include "native_api.h"
#include "nlohmann/json.hpp"
#include "random_seed.h"

namespace medlarwalk {

namespace {

using nlohmann::json;

// Maximum time that a planned stop waits for requests in flight.
constexpr auto kMaxDrainTime = std::chrono::seconds(60);
constexpr double kDrainCheckSeconds = 0.05;
// Retry-After value sent with requests that this agent rejects.
constexpr int kRetryAfterSeconds = 1;
// Timeout of a liveness check. An engine on the agent's own host either answers
// at once or does not listen.
constexpr auto kLivenessCheckTimeout = Millis(250);
constexpr int kMaxLivenessChecks = 5;
// Maximum size of an upstream's load report, and of its answer to an order.
constexpr size_t kMaxReportBytes = size_t{1} << 20;
constexpr char kEventStreamType[] = "text/event-stream";
constexpr char kEndMarker[] = "data: [DONE]";
constexpr size_t kTailBytes = sizeof(kEndMarker);

HeaderList ErrorHeaders(ErrorKind kind, bool started) {
  HeaderList h = {{"content-type", "application/json"},
                  {kH2ErrorKind, std::string(ErrorAnswerFor(kind).code)},
                  {kH2Started, started ? "1" : "0"}};
  if (ErrorAnswerFor(kind).retry_after) {
    h.emplace_back("retry-after", std::to_string(kRetryAfterSeconds));
  }
  return h;
}

std::string ErrorBody(ErrorKind kind, absl::string_view message) {
  return json{
      {"error", {{"code", ErrorAnswerFor(kind).code}, {"message", message}}}}
      .dump();
}

void RespondWithError(H2Stream& out, ErrorKind kind, absl::string_view message,
                      bool started = false) {
  out.Respond(ErrorAnswerFor(kind).http_status, ErrorHeaders(kind, started),
              ErrorBody(kind, message));
}

}  // namespace

// State of one call that the agent forwards to its upstream, shared by the
// callbacks of the call.
struct Agent::ForwardedCall {
  std::shared_ptr<H2Stream> out;
  TimePoint sent_at{};
  std::string key;
  bool started = false;
  bool relaying = false;  // The head of the answer was sent to the entry.
  bool event_stream = false;
  bool end_marker_seen = false;
  int status = 0;
  // Last bytes of the answer, searched for the end marker.
  std::string tail;
  // Answer so far, if the call has an idempotency key.
  std::string answer_for_ledger;
};

Agent::Agent(struct ev_loop* loop, const Clock& clock, Settings settings,
             std::string host, std::string data_dir)
    : loop_(loop),
      clock_(clock),
      settings_(std::move(settings)),
      host_(settings_.FindHost(host)),
      metrics_("agent"),
      ledger_(data_dir.empty() ? "" : data_dir + "/ledger.jsonl"),
      server_(loop,
              [this](const H2Request& r, std::shared_ptr<H2Stream> s) {
                HandleRequest(r, std::move(s));
              }),
      metrics_server_(loop, clock,
                      [this](const std::shared_ptr<CallerExchange>& ex) {
                        ServeMetrics(*ex);
                      }),
      client_(loop) {
  metrics_server_.LimitToProbes();
  ev_signal_init(&sigterm_, OnSignal, SIGTERM);
  sigterm_.data = this;
  ev_signal_init(&sigint_, OnSignal, SIGINT);
  sigint_.data = this;
  InitTimer(&drain_timer_, OnDrainTimer, kDrainCheckSeconds,
            kDrainCheckSeconds);
  drain_timer_.data = this;
}

Agent::~Agent() {
  ev_signal_stop(loop_, &sigterm_);
  ev_signal_stop(loop_, &sigint_);
  ev_timer_stop(loop_, &drain_timer_);
}

absl::Status Agent::Start() {
  absl::Status s = ledger_.Open();
  if (!s.ok()) return s;
  s = server_.Listen(host_->address, host_->port);
  if (!s.ok()) return s;
  if (host_->metrics_port) {
    s = metrics_server_.Listen({host_->address, host_->metrics_port});
    if (!s.ok()) return s;
  }
  ev_signal_start(loop_, &sigterm_);
  ev_signal_start(loop_, &sigint_);
  LogEvent("agent_started", {{"host", host_->name},
                             {"port", host_->port},
                             {"ledger_entries", ledger_.size()}});
  return absl::OkStatus();
}

void Agent::Drain() {
  if (draining_) return;
  draining_ = true;
  drain_started_ = clock_.Now();
  server_.StopAccepting();
  LogEvent("drain_started", {{"open_streams", server_.open_streams()}});
  ev_timer_start(loop_, &drain_timer_);
}

void Agent::StopIfDrained() {
  bool timed_out = clock_.Now() - drain_started_ > kMaxDrainTime;
  bool drained = server_.open_streams() == 0 && server_.queued_bytes() == 0 &&
                 server_.unacknowledged_bytes() == 0;
  if (drained || timed_out) {
    LogEvent("drain_finished", {{"open_streams", server_.open_streams()},
                                {"timed_out", timed_out ? "true" : "false"}});
    ev_break(loop_, EVBREAK_ALL);
  }
}

void Agent::OnSignal(struct ev_loop*, ev_signal* w, int) {
  static_cast<Agent*>(w->data)->Drain();
}

void Agent::OnDrainTimer(struct ev_loop*, ev_timer* w, int) {
  static_cast<Agent*>(w->data)->StopIfDrained();
}

void Agent::ServeMetrics(CallerExchange& ex) {
  absl::string_view target = ex.head.target;
  if (target.substr(0, target.find('?')) == "/metrics") {
    ex.Respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
               metrics_.Render());
  } else {
    ex.Respond(200, {{"Content-Type", "text/plain"}},
               draining_ ? "draining" : "ok");
  }
}

void Agent::HandleRequest(const H2Request& req, std::shared_ptr<H2Stream> out) {
  std::string name = req.Header(kH2Upstream);
  const UpstreamSettings* u = settings_.FindUpstream(name);
  if (!u || u->agent != host_->name) {
    metrics_.CountRejection(ErrorAnswerFor(ErrorKind::kNoUpstream).code);
    RespondWithError(
        *out, ErrorKind::kNoUpstream,
        absl::StrCat("upstream '", name, "' is not beside this agent"));
    return;
  }
  if (req.path == "/mw/load") {
    SendLoadReport(*u, std::move(out));
    return;
  }
  if (draining_) {
    metrics_.CountRejection(ErrorAnswerFor(ErrorKind::kDraining).code);
    RespondWithError(*out, ErrorKind::kDraining, "agent is stopping");
    return;
  }
  if (req.path == "/mw/order") {
    ForwardOrder(req, *u, std::move(out));
    return;
  }
  ForwardRequest(req, *u, std::move(out));
}

// Answers a request from the ledger when its idempotency key is known. Returns
// false when the key is new (now recorded as started) and the request should be
// sent.
bool Agent::AnswerFromLedger(const std::string& key, uint64_t fingerprint,
                             std::shared_ptr<H2Stream>& out) {
  LedgerKeyState key_state;
  const LedgerEntry* entry = nullptr;
  absl::Status s = ledger_.BeginRequest(key, fingerprint, &key_state, &entry);
  if (!s.ok()) {
    // A request is not sent if the ledger cannot record its start, so it is
    // safe to report that it did not run.
    LogWarn("ledger_failed",
            {{"key", key}, {"error", std::string(s.message())}});
    RespondWithError(*out, ErrorKind::kNotRun, "ledger unavailable");
    return true;
  }
  switch (key_state) {
    case LedgerKeyState::kNew:
      return false;
    case LedgerKeyState::kCompleted:
      metrics_.CountRejection("replayed");
      out->Respond(entry->http_status,
                   {{"content-type", "application/json"},
                    {kH2Started, "1"},
                    {"mw-replayed", "1"}},
                   entry->body);
      return true;
    case LedgerKeyState::kRunning:
      metrics_.CountRejection(ErrorAnswerFor(ErrorKind::kStillRunning).code);
      RespondWithError(*out, ErrorKind::kStillRunning,
                       "request with this key is running", true);
      return true;
    case LedgerKeyState::kMayHaveRun:
      metrics_.CountRejection(ErrorAnswerFor(ErrorKind::kOutcomeUnknown).code);
      RespondWithError(*out, ErrorKind::kOutcomeUnknown,
                       "started before a restart; not run again", true);
      return true;
    case LedgerKeyState::kKeyReused:
      metrics_.CountRejection(ErrorAnswerFor(ErrorKind::kKeyReused).code);
      RespondWithError(*out, ErrorKind::kKeyReused,
                       "key was used for another request");
      return true;
  }
  return true;
}

void Agent::ForwardRequest(const H2Request& req, const UpstreamSettings& u,
                           std::shared_ptr<H2Stream> out) {
  std::string key = req.Header(kH2IdempotencyKey);
  if (!key.empty() && AnswerFromLedger(key, StableHash(req.body), out)) return;
  auto forwarded = std::make_shared<ForwardedCall>();
  forwarded->out = out;
  forwarded->sent_at = clock_.Now();
  forwarded->key = key;
  HttpCall call;
  call.url = u.url + req.path;
  call.body = req.body;
  call.headers = {"Content-Type: application/json"};
  // An entry that gives up closes its stream, which ends the call.
  call.timeout = kMaxAnswerTime;
  call.at_most_once = !key.empty() || !req.Header(kH2NotRepeatable).empty();
  call.on_status = [forwarded](int status, absl::string_view type) {
    forwarded->started = true;
    forwarded->status = status;
    forwarded->event_stream = absl::StartsWith(type, kEventStreamType);
  };
  call.on_data = [forwarded](absl::string_view data) {
    if (!forwarded->relaying) {
      forwarded->relaying = true;
      // If the engine sends no content type, a stream is recognized by "data:"
      // at its start. If the content type says that the answer is a stream,
      // this holds even if the first chunk is shorter than "data:".
      forwarded->event_stream |= absl::StartsWith(data, "data:");
      forwarded->out->StartStream(
          forwarded->status,
          {{kH2Started, "1"},
           {"content-type",
            forwarded->event_stream ? kEventStreamType : "application/json"}});
    }
    forwarded->out->Write(data);
    if (!forwarded->key.empty())
      forwarded->answer_for_ledger.append(data.data(), data.size());
    forwarded->tail.append(data.data(), data.size());
    if (absl::StrContains(forwarded->tail, kEndMarker))
      forwarded->end_marker_seen = true;
    if (forwarded->tail.size() > kTailBytes)
      forwarded->tail.erase(0, forwarded->tail.size() - kTailBytes);
  };
  call.on_done = [this, forwarded, name = u.name](const HttpCallResult& r) {
    bool complete = r.status.ok() &&
                    (!forwarded->event_stream || forwarded->end_marker_seen);
    if (!forwarded->key.empty()) {
      absl::Status s =
          r.never_sent ? ledger_.AbandonRequest(forwarded->key)
          : complete   ? ledger_.CompleteRequest(forwarded->key, r.http_status,
                                                 forwarded->answer_for_ledger)
                       : absl::OkStatus();
      if (!s.ok()) LogWarn("ledger_failed", {{"key", forwarded->key}});
    }
    if (!r.status.ok() && r.never_sent) {
      LogEvent("not_run", {{"upstream", name},
                           {"error", std::string(r.status.message())}});
      metrics_.CountRejection(ErrorAnswerFor(ErrorKind::kNotRun).code);
      RespondWithError(*forwarded->out, ErrorKind::kNotRun, r.status.message());
    } else if (!complete) {
      metrics_.CountRejection(ErrorAnswerFor(ErrorKind::kOutcomeUnknown).code);
      LogWarn("upstream_cut",
              {{"upstream", name}, {"error", std::string(r.status.message())}});
      if (!forwarded->relaying) {
        AnswerInterruptedCall(name, *forwarded, std::string(r.status.message()),
                              kMaxLivenessChecks);
      } else {
        forwarded->out->Abort();
      }
    } else {
      if (!forwarded->relaying)
        forwarded->out->Respond(r.http_status, {{kH2Started, "1"}}, "");
      forwarded->out->FinishStream();
    }
  };
  uint64_t id = client_.Start(std::move(call));
  // When the entry closes the stream, the call is cancelled to stop the
  // upstream's work. A call with an idempotency key runs to its end, so that a
  // resend finds the answer.
  if (key.empty()) {
    out->set_on_close([this, id] { client_.Cancel(id); });
  }
}

// Answers an interrupted call after checking whether the upstream process has
// terminated. If it has, the answer carries the id of this termination. Entries
// use the id to recognize all requests that the terminated process was running.
void Agent::AnswerInterruptedCall(const std::string& upstream,
                                  const ForwardedCall& interrupted_call,
                                  std::string reason, int checks_left) {
  const UpstreamSettings* u = settings_.FindUpstream(upstream);
  HttpCall check;
  check.method = "GET";
  check.url = u->url + (u->kind == "engine" ? "/load" : "");
  check.timeout = check.connect_timeout = kLivenessCheckTimeout;
  check.on_done = [this, upstream, interrupted_call, reason = std::move(reason),
                   checks_left](const HttpCallResult& r) {
    // The check is repeated, because it may have connected to a process that is
    // being killed: such a process closes its connections before its listening
    // port. A process that does not answer in time may only be busy.
    if (!r.status.ok() && !r.refused && checks_left > 1) {
      AnswerInterruptedCall(upstream, interrupted_call, reason,
                            checks_left - 1);
      return;
    }
    HeaderList headers = ErrorHeaders(ErrorKind::kOutcomeUnknown, true);
    if (r.refused) {
      Termination& termination = terminations_[upstream];
      // If the call was sent after the last observed termination, a new
      // termination has interrupted it, which gets a new id.
      if (interrupted_call.sent_at >= termination.observed_at) {
        termination = {clock_.Now(), absl::StrCat(absl::Hex(RandomSeed()))};
      }
      LogEvent("upstream_down",
               {{"upstream", upstream}, {"end", termination.id}});
      headers.emplace_back(kH2UpstreamEnd, termination.id);
    }
    interrupted_call.out->Respond(
        ErrorAnswerFor(ErrorKind::kOutcomeUnknown).http_status, headers,
        ErrorBody(ErrorKind::kOutcomeUnknown, reason));
  };
  client_.Start(std::move(check));
}

// Forwards an order to the upstream. An order carries the fencing number of the
// control leader that issued it. The agent rejects an order whose number is
// lower than the highest one it has forwarded, even if the upstream checks
// numbers itself. Otherwise an old leader in a network partition could undo a
// newer order.
void Agent::ForwardOrder(const H2Request& req, const UpstreamSettings& u,
                         std::shared_ptr<H2Stream> out) {
  int64_t fencing = std::atoll(req.Header(kH2Fencing).c_str());
  int64_t& highest = highest_fencing_[u.name];
  if (fencing < highest) {
    metrics_.CountRejection(ErrorAnswerFor(ErrorKind::kStaleFencing).code);
    RespondWithError(*out, ErrorKind::kStaleFencing,
                     absl::StrCat("fencing ", fencing, " is below ", highest));
    return;
  }
  highest = fencing;
  json body = json::parse(req.body, nullptr, false);
  if (body.is_discarded()) body = json::object();
  body["fencing"] = fencing;
  HttpCall call;
  call.url = u.url + "/admin/order";
  call.body = body.dump();
  call.headers = {"Content-Type: application/json"};
  call.max_body_bytes = kMaxReportBytes;
  auto answer = std::make_shared<std::string>();
  call.on_data = [answer](absl::string_view d) {
    answer->append(d.data(), d.size());
  };
  call.on_done = [out, answer](const HttpCallResult& r) {
    out->Respond(r.status.ok() ? r.http_status : 502,
                 {{"content-type", "application/json"}}, *answer);
  };
  client_.Start(std::move(call));
}

// Answers with the load of the upstream and whether this agent is draining. The
// load comes from the engine's own report, which lags behind the real load.
// Entries send no requests to a draining agent.
void Agent::SendLoadReport(const UpstreamSettings& u,
                           std::shared_ptr<H2Stream> out) {
  if (u.kind != "engine") {
    out->Respond(
        200, {{"content-type", "application/json"}},
        json{{"running", 0}, {"waiting", 0}, {"leaving", draining_}}.dump());
    return;
  }
  HttpCall call;
  call.method = "GET";
  call.url = u.url + "/load";
  call.timeout = Millis(1000);
  call.max_body_bytes = kMaxReportBytes;
  auto answer = std::make_shared<std::string>();
  call.on_data = [answer](absl::string_view d) {
    answer->append(d.data(), d.size());
  };
  call.on_done = [this, out, answer](const HttpCallResult& r) {
    json j = json::parse(*answer, nullptr, false);
    if (!r.status.ok() || j.is_discarded()) j = json{{"unreachable", true}};
    j["leaving"] = draining_;
    out->Respond(200, {{"content-type", "application/json"}}, j.dump());
  };
  client_.Start(std::move(call));
}

}  // namespace medlarwalk
