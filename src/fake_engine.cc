#include "fake_engine.h"

#include <algorithm>

#include "absl/hash/hash.h"
#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"

namespace medlarwalk {

using nlohmann::json;

namespace {

constexpr size_t kPrefixChars = 64;
constexpr size_t kEchoChars = 24;
constexpr int kDefaultMaxTokens = 16;
constexpr int kMaxTokens = 4096;
constexpr size_t kEventsKept = 4096;

HeaderList JsonHeaders() { return {{"Content-Type", "application/json"}}; }

}  // namespace

struct FakeEngine::Running {
  std::shared_ptr<HttpExchange> exchange;
  std::string id;
  std::string echo;
  bool stream = false;
  int max_tokens = kDefaultMaxTokens;
  int emitted = 0;
  TimePoint first_token_at;
  std::string text;  // Whole answers gather here.
};

FakeEngine::FakeEngine(struct ev_loop* loop, const Clock& clock,
                       FakeEngineOptions options)
    : loop_(loop),
      clock_(clock),
      options_(std::move(options)),
      server_(loop,
              [this](const HttpRequest& r, std::shared_ptr<HttpExchange> e) {
                Handle(r, std::move(e));
              }),
      rng_(options_.seed) {
  ev_timer_init(&step_timer_, OnStep, 0., 0.);
  step_timer_.data = this;
}

FakeEngine::~FakeEngine() { ev_timer_stop(loop_, &step_timer_); }

absl::Status FakeEngine::Start() {
  return server_.Listen(options_.address, options_.port);
}

void FakeEngine::Handle(const HttpRequest& req,
                        std::shared_ptr<HttpExchange> ex) {
  if (req.method == "POST" && req.path == "/v1/chat/completions") {
    Chat(req, std::move(ex));
  } else if (req.method == "POST" && req.path == "/admin/order") {
    Order(req, std::move(ex));
  } else if (req.method == "POST" && req.path == "/admin/fault") {
    Fault(req, std::move(ex));
  } else if (req.path == "/load") {
    Load(std::move(ex));
  } else if (req.path == "/cache_events") {
    CacheEvents(req, std::move(ex));
  } else if (req.path == "/stats") {
    Stats(std::move(ex));
  } else {
    ex->Respond(404, JsonHeaders(), R"({"error":"not found"})");
  }
}

void FakeEngine::Chat(const HttpRequest& req,
                      std::shared_ptr<HttpExchange> ex) {
  json body = json::parse(req.body, nullptr, false);
  if (body.is_discarded() || !body.contains("messages") ||
      !body["messages"].is_array() || body["messages"].empty()) {
    ex->Respond(400, JsonHeaders(), R"({"error":"bad request"})");
    return;
  }
  // The first message is the shared part (system prompt, document) that a
  // prefix cache keeps; the last is the caller's own question, echoed back
  // so that a caller can tell its answer from another's.
  std::string shared = body["messages"].front().value("content", "");
  std::string prompt = body["messages"].back().value("content", "");
  auto r = std::make_unique<Running>();
  r->exchange = ex;
  r->id = absl::StrCat("fake-", ++requests_);
  r->echo = prompt.substr(0, kEchoChars);
  r->stream = body.value("stream", false);
  r->max_tokens =
      std::clamp(body.value("max_tokens", kDefaultMaxTokens), 1, kMaxTokens);
  uint64_t prefix = StableHash(shared.substr(0, kPrefixChars));
  bool hit = TouchPrefix(prefix);
  size_t uncached = prompt.size() + (hit ? 0 : shared.size());
  r->first_token_at =
      clock_.Now() +
      std::chrono::microseconds(static_cast<int64_t>(
          options_.prefill_us_per_char * static_cast<double>(uncached)));
  if (r->stream) {
    ex->StartStream(200, {{"Content-Type", "text/event-stream"}});
  }
  waiting_.push_back(std::move(r));
  ScheduleStep();
}

// Keeps `prefix` in the bounded cache; says whether it was there already.
bool FakeEngine::TouchPrefix(uint64_t prefix) {
  auto it = cached_.find(prefix);
  if (it != cached_.end()) {
    lru_.splice(lru_.begin(), lru_, it->second);
    ++cache_hits_;
    return true;
  }
  lru_.push_front(prefix);
  cached_[prefix] = lru_.begin();
  Publish("stored", prefix);
  if (static_cast<int>(lru_.size()) > options_.prefix_cache_entries) {
    uint64_t old = lru_.back();
    lru_.pop_back();
    cached_.erase(old);
    Publish("evicted", old);
  }
  return false;
}

// Records a cache event that becomes visible late, or never (a gap).
void FakeEngine::Publish(const std::string& kind, uint64_t prefix) {
  uint64_t seq = next_event_seq_++;
  std::uniform_real_distribution<double> u(0, 1);
  if (u(rng_) < options_.cache_event_drop) return;
  events_.push_back(
      {seq, clock_.Now() + options_.cache_event_delay, kind, prefix});
  if (events_.size() > kEventsKept) events_.pop_front();
}

void FakeEngine::ScheduleStep() {
  if (ev_is_active(&step_timer_)) return;
  int batch = static_cast<int>(running_.size() + waiting_.size());
  double seconds = (std::chrono::duration<double>(options_.step).count() +
                    options_.step_per_request_us * 1e-6 *
                        std::min(batch, options_.max_batch)) *
                   straggle_factor_;
  ev_timer_set(&step_timer_, seconds, 0.);
  ev_timer_start(loop_, &step_timer_);
}

void FakeEngine::OnStep(struct ev_loop*, ev_timer* w, int) {
  static_cast<FakeEngine*>(w->data)->Step();
}

// One decode step: admits waiting requests into the batch, then gives every
// request whose prefill is done one more token.
void FakeEngine::Step() {
  TimePoint now = clock_.Now();
  while (!waiting_.empty() &&
         static_cast<int>(running_.size()) < options_.max_batch) {
    running_.push_back(std::move(waiting_.front()));
    waiting_.pop_front();
  }
  load_history_.push_back({now, static_cast<int>(running_.size()),
                           static_cast<int>(waiting_.size())});
  while (load_history_.size() > 2 &&
         now - load_history_[1].at > options_.report_lag) {
    load_history_.pop_front();
  }
  for (auto it = running_.begin(); it != running_.end();) {
    Running& r = **it;
    if (r.exchange->closed()) {
      it = running_.erase(it);
      continue;
    }
    if (now < r.first_token_at) {
      ++it;
      continue;
    }
    std::string token = r.emitted == 0 ? absl::StrCat("[", r.echo, "]")
                                       : absl::StrCat(" tok", r.emitted);
    ++r.emitted;
    ++tokens_;
    bool last = r.emitted >= r.max_tokens;
    bool truncate =
        truncate_after_tokens_ > 0 && r.emitted >= truncate_after_tokens_;
    if (r.stream) {
      json chunk = {
          {"id", r.id},
          {"object", "chat.completion.chunk"},
          {"choices", {{{"index", 0}, {"delta", {{"content", token}}}}}}};
      r.exchange->Write(absl::StrCat("data: ", chunk.dump(), "\n\n"));
      if (last && !truncate) r.exchange->Write("data: [DONE]\n\n");
      if (last || truncate) r.exchange->Finish();
    } else {
      r.text += token;
      if (truncate) {
        // A crash before the answer is whole: the connection just ends.
        r.exchange->Respond(500, JsonHeaders(),
                            R"({"error":"engine crashed"})");
      } else if (last) {
        json answer = {
            {"id", r.id},
            {"object", "chat.completion"},
            {"choices",
             {{{"index", 0},
               {"message", {{"role", "assistant"}, {"content", r.text}}},
               {"finish_reason", "length"}}}},
            {"usage", {{"completion_tokens", r.emitted}}}};
        r.exchange->Respond(200, JsonHeaders(), answer.dump());
      }
    }
    if (last || truncate) {
      it = running_.erase(it);
    } else {
      ++it;
    }
  }
  if (!running_.empty() || !waiting_.empty()) ScheduleStep();
}

void FakeEngine::Load(std::shared_ptr<HttpExchange> ex) {
  // The oldest sample kept is about report_lag old: that is what is told.
  json out = {{"running", 0}, {"waiting", 0}};
  if (!load_history_.empty()) {
    out["running"] = load_history_.front().running;
    out["waiting"] = load_history_.front().waiting;
  }
  ex->Respond(200, JsonHeaders(), out.dump());
}

void FakeEngine::CacheEvents(const HttpRequest& req,
                             std::shared_ptr<HttpExchange> ex) {
  uint64_t after = 0;
  std::string v = req.Header("x-after");
  if (!v.empty()) after = std::stoull(v);
  TimePoint now = clock_.Now();
  json list = json::array();
  for (const auto& e : events_) {
    if (e.seq > after && e.visible_at <= now) {
      list.push_back({{"seq", e.seq}, {"kind", e.kind}, {"prefix", e.prefix}});
    }
  }
  ex->Respond(200, JsonHeaders(), json{{"events", list}}.dump());
}

// An order (load a model, adapter or version, change role). An engine that
// checks fencing refuses numbers lower than the highest it has seen; one that
// does not applies it anyway, and the stale count shows the harm.
void FakeEngine::Order(const HttpRequest& req,
                       std::shared_ptr<HttpExchange> ex) {
  json body = json::parse(req.body, nullptr, false);
  if (body.is_discarded() || !body.contains("fencing")) {
    ex->Respond(400, JsonHeaders(), R"({"error":"bad order"})");
    return;
  }
  int64_t fencing = body["fencing"].get<int64_t>();
  bool stale = fencing < highest_fencing_;
  if (stale && options_.checks_fencing) {
    ex->Respond(409, JsonHeaders(), R"({"error":"stale fencing number"})");
    return;
  }
  ++orders_applied_;
  if (stale) ++stale_orders_applied_;
  highest_fencing_ = std::max(highest_fencing_, fencing);
  ex->Respond(200, JsonHeaders(), R"({"applied":true})");
}

void FakeEngine::Fault(const HttpRequest& req,
                       std::shared_ptr<HttpExchange> ex) {
  json body = json::parse(req.body, nullptr, false);
  if (body.is_discarded()) {
    ex->Respond(400, JsonHeaders(), R"({"error":"bad fault"})");
    return;
  }
  truncate_after_tokens_ = body.value("truncate_after_tokens", 0);
  straggle_factor_ = std::max(1.0, body.value("straggle_factor", 1.0));
  ex->Respond(200, JsonHeaders(), R"({"ok":true})");
}

void FakeEngine::Stats(std::shared_ptr<HttpExchange> ex) {
  json out = {{"requests", requests_},
              {"tokens", tokens_},
              {"cache_hits", cache_hits_},
              {"orders_applied", orders_applied_},
              {"stale_orders_applied", stale_orders_applied_},
              {"running", running_.size()},
              {"waiting", waiting_.size()}};
  ex->Respond(200, JsonHeaders(), out.dump());
}

}  // namespace medlarwalk
