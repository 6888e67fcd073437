#include "agent.h"

#include <csignal>

#include "absl/hash/hash.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "errors.h"
#include "log.h"
#include "loop_order.h"
#include "nlohmann/json.hpp"
#include "random_seed.h"

namespace medlarwalk {

namespace {

using nlohmann::json;

// A planned stop waits this long at most for requests in progress.
constexpr auto kMaxDrain = std::chrono::seconds(60);
constexpr double kDrainTickSeconds = 0.05;
// When a caller whose request this agent turned away does well to come back.
constexpr int kRetryAfterSeconds = 1;
// An engine beside this agent answers at once, or does not listen.
constexpr auto kCheckTimeout = Millis(250);
constexpr int kMostChecks = 5;
constexpr char kEventStreamType[] = "text/event-stream";
constexpr char kDoneMarker[] = "data: [DONE]";
constexpr size_t kDoneTail = sizeof(kDoneMarker);

HeaderList ErrorHeaders(ErrorKind kind, bool started) {
  HeaderList h = {{"content-type", "application/json"},
                  {kH2ErrorKind, std::string(AnswerFor(kind).code)},
                  {kH2Started, started ? "1" : "0"}};
  if (AnswerFor(kind).retry_after) {
    h.emplace_back("retry-after", std::to_string(kRetryAfterSeconds));
  }
  return h;
}

std::string ErrorBody(ErrorKind kind, absl::string_view message) {
  return json{{"error", {{"code", AnswerFor(kind).code}, {"message", message}}}}
      .dump();
}

void Refuse(H2Stream& out, ErrorKind kind, absl::string_view message,
            bool started = false) {
  out.Respond(AnswerFor(kind).http_status, ErrorHeaders(kind, started),
              ErrorBody(kind, message));
}

}  // namespace

// State of one forwarded call, shared by its callbacks.
struct Agent::Forwarding {
  std::shared_ptr<H2Stream> out;
  TimePoint sent_at{};
  std::string key;
  bool started = false;
  bool relaying = false;  // Answer headers have gone to the entry.
  bool event_stream = false;
  bool done_seen = false;
  int status = 0;
  std::string tail;    // Last bytes, to see the end-of-stream marker.
  std::string stored;  // The whole answer, for the ledger.
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
                Handle(r, std::move(s));
              }),
      metrics_server_(
          loop,
          [this](const HttpRequest& r, std::shared_ptr<HttpExchange> e) {
            ServeMetrics(r, std::move(e));
          }),
      client_(loop) {
  ev_signal_init(&sigterm_, OnSignal, SIGTERM);
  sigterm_.data = this;
  ev_signal_init(&sigint_, OnSignal, SIGINT);
  sigint_.data = this;
  InitTimer(&drain_timer_, OnDrainTick, kDrainTickSeconds, kDrainTickSeconds);
  drain_timer_.data = this;
}

absl::Status Agent::Start() {
  absl::Status s = ledger_.Open();
  if (!s.ok()) return s;
  s = server_.Listen(host_->address, host_->port);
  if (!s.ok()) return s;
  if (host_->metrics_port) {
    s = metrics_server_.Listen(host_->address, host_->metrics_port);
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

void Agent::CheckDrained() {
  bool timed_out = clock_.Now() - drain_started_ > kMaxDrain;
  if (server_.open_streams() == 0 || timed_out) {
    LogEvent("drain_finished", {{"open_streams", server_.open_streams()},
                                {"timed_out", timed_out ? "true" : "false"}});
    ev_break(loop_, EVBREAK_ALL);
  }
}

void Agent::OnSignal(struct ev_loop*, ev_signal* w, int) {
  static_cast<Agent*>(w->data)->Drain();
}

void Agent::OnDrainTick(struct ev_loop*, ev_timer* w, int) {
  static_cast<Agent*>(w->data)->CheckDrained();
}

void Agent::ServeMetrics(const HttpRequest& req,
                         std::shared_ptr<HttpExchange> ex) {
  if (req.path == "/metrics") {
    ex->Respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                metrics_.Render());
  } else {
    ex->Respond(200, {{"Content-Type", "text/plain"}},
                draining_ ? "draining" : "ok");
  }
}

void Agent::Handle(const H2Request& req, std::shared_ptr<H2Stream> out) {
  std::string name = req.Header(kH2Upstream);
  const UpstreamSettings* u = settings_.FindUpstream(name);
  if (!u || u->agent != host_->name) {
    metrics_.CountRefusal(AnswerFor(ErrorKind::kNoUpstream).code);
    Refuse(*out, ErrorKind::kNoUpstream,
           absl::StrCat("upstream '", name, "' is not beside this agent"));
    return;
  }
  if (req.path == "/mw/load") {
    ReportLoad(*u, std::move(out));
    return;
  }
  if (draining_) {
    metrics_.CountRefusal(AnswerFor(ErrorKind::kDraining).code);
    Refuse(*out, ErrorKind::kDraining, "agent is stopping");
    return;
  }
  if (req.path == "/mw/order") {
    Order(req, *u, std::move(out));
    return;
  }
  Forward(req, *u, std::move(out));
}

// Answers a resend of an idempotency key from the ledger. Returns false when
// the key is new (now recorded as started) and the call should go ahead.
bool Agent::Replay(const std::string& key, uint64_t fingerprint,
                   std::shared_ptr<H2Stream>& out) {
  LedgerVerdict verdict;
  const LedgerEntry* entry = nullptr;
  absl::Status s = ledger_.Begin(key, fingerprint, &verdict, &entry);
  if (!s.ok()) {
    // Not recorded, so not sent: safe to say it did not run.
    LogWarn("ledger_failed",
            {{"key", key}, {"error", std::string(s.message())}});
    Refuse(*out, ErrorKind::kNotRun, "ledger unavailable");
    return true;
  }
  switch (verdict) {
    case LedgerVerdict::kNew:
      return false;
    case LedgerVerdict::kDone:
      metrics_.CountRefusal("replayed");
      out->Respond(entry->http_status,
                   {{"content-type", "application/json"},
                    {kH2Started, "1"},
                    {"mw-replayed", "1"}},
                   entry->body);
      return true;
    case LedgerVerdict::kRunning:
      metrics_.CountRefusal(AnswerFor(ErrorKind::kStillRunning).code);
      Refuse(*out, ErrorKind::kStillRunning, "request with this key is running",
             true);
      return true;
    case LedgerVerdict::kUnknown:
      metrics_.CountRefusal(AnswerFor(ErrorKind::kOutcomeUnknown).code);
      Refuse(*out, ErrorKind::kOutcomeUnknown,
             "started before a restart; not run again", true);
      return true;
    case LedgerVerdict::kKeyReused:
      metrics_.CountRefusal(AnswerFor(ErrorKind::kKeyReused).code);
      Refuse(*out, ErrorKind::kKeyReused, "key was used for another request");
      return true;
  }
  return true;
}

void Agent::Forward(const H2Request& req, const UpstreamSettings& u,
                    std::shared_ptr<H2Stream> out) {
  std::string key = req.Header(kH2IdempotencyKey);
  if (!key.empty() && Replay(key, StableHash(req.body), out)) return;
  auto f = std::make_shared<Forwarding>();
  f->out = out;
  f->sent_at = clock_.Now();
  f->key = key;
  HttpCall call;
  call.url = u.url + req.path;
  call.body = req.body;
  call.headers = {"Content-Type: application/json"};
  call.at_most_once = !key.empty() || !req.Header(kH2NotRepeatable).empty();
  call.on_status = [f](int status, absl::string_view type) {
    f->started = true;
    f->status = status;
    f->event_stream = absl::StartsWith(type, kEventStreamType);
  };
  call.on_data = [f](absl::string_view data) {
    if (!f->relaying) {
      f->relaying = true;
      // An engine that does not say so; the first piece may hold less of a
      // stream than this, so what it says goes first.
      f->event_stream |= absl::StartsWith(data, "data:");
      f->out->StartStream(
          f->status, {{kH2Started, "1"},
                      {"content-type", f->event_stream ? kEventStreamType
                                                       : "application/json"}});
    }
    f->out->Write(data);
    if (!f->key.empty()) f->stored.append(data.data(), data.size());
    f->tail.append(data.data(), data.size());
    if (absl::StrContains(f->tail, kDoneMarker)) f->done_seen = true;
    if (f->tail.size() > kDoneTail)
      f->tail.erase(0, f->tail.size() - kDoneTail);
  };
  call.on_done = [this, f, name = u.name](const HttpCallResult& r) {
    bool whole = r.status.ok() && (!f->event_stream || f->done_seen);
    if (!f->key.empty()) {
      absl::Status s = r.never_sent ? ledger_.Abandon(f->key)
                       : whole
                           ? ledger_.Complete(f->key, r.http_status, f->stored)
                           : absl::OkStatus();
      if (!s.ok()) LogWarn("ledger_failed", {{"key", f->key}});
    }
    if (!r.status.ok() && r.never_sent) {
      LogEvent("not_run", {{"upstream", name},
                           {"error", std::string(r.status.message())}});
      metrics_.CountRefusal(AnswerFor(ErrorKind::kNotRun).code);
      Refuse(*f->out, ErrorKind::kNotRun, r.status.message());
    } else if (!whole) {
      metrics_.CountRefusal(AnswerFor(ErrorKind::kOutcomeUnknown).code);
      LogWarn("upstream_cut",
              {{"upstream", name}, {"error", std::string(r.status.message())}});
      if (!f->relaying) {
        TellCut(name, *f, std::string(r.status.message()), kMostChecks);
      } else {
        f->out->Reset();
      }
    } else {
      if (!f->relaying) f->out->Respond(r.http_status, {{kH2Started, "1"}}, "");
      f->out->Finish();
    }
  };
  uint64_t id = client_.Start(std::move(call));
  // A caller gone away stops the upstream's work, unless the call carries an
  // idempotency key: then it runs to the end, so a resend finds the answer.
  if (key.empty()) {
    out->set_on_close([this, id] { client_.Cancel(id); });
  }
}

// Answers a call that was cut, and says with it whether the engine has ended:
// entries then know what it had.
void Agent::TellCut(const std::string& upstream, const Forwarding& cut,
                    std::string why, int checks) {
  const UpstreamSettings* u = settings_.FindUpstream(upstream);
  HttpCall check;
  check.method = "GET";
  check.url = u->url + (u->kind == "engine" ? "/load" : "");
  check.timeout = check.connect_timeout = kCheckTimeout;
  check.on_done = [this, upstream, cut, why = std::move(why),
                   checks](const HttpCallResult& r) {
    // A process that is killed closes its connections before its port: the
    // check may still have been let in, and is cut as well.
    if (!r.status.ok() && !r.never_sent && checks > 1) {
      TellCut(upstream, cut, why, checks - 1);
      return;
    }
    HeaderList headers = ErrorHeaders(ErrorKind::kOutcomeUnknown, true);
    if (!r.status.ok() && r.never_sent) {
      End& end = ends_[upstream];
      // What was sent since the last end was seen is cut by another.
      if (cut.sent_at >= end.seen_at) {
        end = {clock_.Now(), absl::StrCat(absl::Hex(RandomSeed()))};
      }
      LogEvent("upstream_down", {{"upstream", upstream}, {"end", end.id}});
      headers.emplace_back(kH2UpstreamEnd, end.id);
    }
    cut.out->Respond(AnswerFor(ErrorKind::kOutcomeUnknown).http_status, headers,
                     ErrorBody(ErrorKind::kOutcomeUnknown, why));
  };
  client_.Start(std::move(check));
}

// Orders carry the fencing number of the control leader that issued them.
// The agent refuses one lower than the highest it has passed on, whether or
// not the upstream itself checks: an old leader, cut off and still issuing,
// must not undo a newer order.
void Agent::Order(const H2Request& req, const UpstreamSettings& u,
                  std::shared_ptr<H2Stream> out) {
  int64_t fencing = std::atoll(req.Header(kH2Fencing).c_str());
  int64_t& highest = highest_fencing_[u.name];
  if (fencing < highest) {
    metrics_.CountRefusal(AnswerFor(ErrorKind::kStaleFencing).code);
    Refuse(*out, ErrorKind::kStaleFencing,
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

// Passes on the engine's own load report, lag and all, with whether this
// agent is leaving, so that entries stop sending it work.
void Agent::ReportLoad(const UpstreamSettings& u,
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
