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
constexpr size_t kMaxCacheEvents = 4096;

HeaderList JsonHeaders() { return {{"Content-Type", "application/json"}}; }

}  // namespace

struct FakeEngine::ChatRequest {
  std::shared_ptr<HttpExchange> exchange;
  std::string id;
  std::string echo;
  bool stream = false;
  int max_tokens = kDefaultMaxTokens;
  int emitted_tokens = 0;
  TimePoint first_token_at;
  std::string answer_text;  // Answer so far, if it is not streamed.
};

FakeEngine::FakeEngine(struct ev_loop* loop, const Clock& clock,
                       FakeEngineOptions options)
    : loop_(loop),
      clock_(clock),
      options_(std::move(options)),
      server_(loop,
              [this](const HttpRequest& r, std::shared_ptr<HttpExchange> e) {
                HandleRequest(r, std::move(e));
              }),
      rng_(options_.seed) {
  ev_timer_init(&step_timer_, OnStepTimer, 0., 0.);
  step_timer_.data = this;
}

FakeEngine::~FakeEngine() { ev_timer_stop(loop_, &step_timer_); }

absl::Status FakeEngine::Start() {
  return server_.Listen(options_.address, options_.port);
}

void FakeEngine::HandleRequest(const HttpRequest& req,
                               std::shared_ptr<HttpExchange> ex) {
  if (req.method == "POST" && req.path == "/v1/chat/completions") {
    HandleChat(req, std::move(ex));
  } else if (req.method == "POST" && req.path == "/admin/order") {
    HandleOrder(req, std::move(ex));
  } else if (req.method == "POST" && req.path == "/admin/fault") {
    HandleFaultInjection(req, std::move(ex));
  } else if (req.path == "/load") {
    HandleLoadQuery(std::move(ex));
  } else if (req.path == "/cache_events") {
    HandleCacheEvents(req, std::move(ex));
  } else if (req.path == "/stats") {
    HandleStats(std::move(ex));
  } else {
    ex->Respond(404, JsonHeaders(), R"({"error":"not found"})");
  }
}

void FakeEngine::HandleChat(const HttpRequest& req,
                            std::shared_ptr<HttpExchange> ex) {
  json body = json::parse(req.body, nullptr, false);
  if (body.is_discarded() || !body.contains("messages") ||
      !body["messages"].is_array() || body["messages"].empty()) {
    ex->Respond(400, JsonHeaders(), R"({"error":"bad request"})");
    return;
  }
  // The first message is the shared prefix (system prompt, document) that the
  // prefix cache keeps. The last message is the caller's question. Its
  // beginning is echoed, so that a caller can tell its answer from the answer
  // to another request.
  std::string shared = body["messages"].front().value("content", "");
  std::string prompt = body["messages"].back().value("content", "");
  auto r = std::make_unique<ChatRequest>();
  r->exchange = ex;
  r->id = absl::StrCat("fake-", ++requests_);
  r->echo = prompt.substr(0, kEchoChars);
  r->stream = body.value("stream", false);
  r->max_tokens =
      std::clamp(body.value("max_tokens", kDefaultMaxTokens), 1, kMaxTokens);
  uint64_t prefix = StableHash(shared.substr(0, kPrefixChars));
  bool hit = LookUpOrCachePrefix(prefix);
  size_t uncached = prompt.size() + (hit ? 0 : shared.size());
  r->first_token_at =
      clock_.Now() +
      std::chrono::microseconds(static_cast<int64_t>(
          options_.prefill_us_per_char * static_cast<double>(uncached)));
  if (r->stream) {
    ex->StartStream(200, {{"Content-Type", "text/event-stream"}});
  }
  waiting_.push_back(std::move(r));
  ScheduleDecodeStep();
}

// Returns whether `prefix` was in the prefix cache. Adds it if not, and marks
// it as the most recently used.
bool FakeEngine::LookUpOrCachePrefix(uint64_t prefix) {
  auto it = cached_prefixes_.find(prefix);
  if (it != cached_prefixes_.end()) {
    recent_prefixes_.splice(recent_prefixes_.begin(), recent_prefixes_,
                            it->second);
    ++cache_hits_;
    return true;
  }
  recent_prefixes_.push_front(prefix);
  cached_prefixes_[prefix] = recent_prefixes_.begin();
  RecordCacheEvent("stored", prefix);
  if (static_cast<int>(recent_prefixes_.size()) >
      options_.prefix_cache_entries) {
    uint64_t evicted = recent_prefixes_.back();
    recent_prefixes_.pop_back();
    cached_prefixes_.erase(evicted);
    RecordCacheEvent("evicted", evicted);
  }
  return false;
}

// Records a cache event that becomes visible after a delay. Drops some events,
// which leaves a gap in the sequence numbers.
void FakeEngine::RecordCacheEvent(const std::string& kind, uint64_t prefix) {
  uint64_t seq = next_event_seq_++;
  std::uniform_real_distribution<double> u(0, 1);
  if (u(rng_) < options_.cache_event_drop) return;
  cache_events_.push_back(
      {seq, clock_.Now() + options_.cache_event_delay, kind, prefix});
  if (cache_events_.size() > kMaxCacheEvents) cache_events_.pop_front();
}

void FakeEngine::ScheduleDecodeStep() {
  if (ev_is_active(&step_timer_)) return;
  int batch = static_cast<int>(running_.size() + waiting_.size());
  double seconds = (std::chrono::duration<double>(options_.step_time).count() +
                    options_.extra_step_us_per_request * 1e-6 *
                        std::min(batch, options_.max_batch_size)) *
                   straggle_factor_;
  ev_timer_set(&step_timer_, seconds, 0.);
  ev_timer_start(loop_, &step_timer_);
}

void FakeEngine::OnStepTimer(struct ev_loop*, ev_timer* w, int) {
  static_cast<FakeEngine*>(w->data)->RunDecodeStep();
}

// Runs one decode step: admits waiting requests to the batch, then emits one
// token for each request whose prefill is done.
void FakeEngine::RunDecodeStep() {
  TimePoint now = clock_.Now();
  while (!waiting_.empty() &&
         static_cast<int>(running_.size()) < options_.max_batch_size) {
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
    ChatRequest& r = **it;
    if (r.exchange->closed()) {
      it = running_.erase(it);
      continue;
    }
    if (now < r.first_token_at) {
      ++it;
      continue;
    }
    std::string token = r.emitted_tokens == 0
                            ? absl::StrCat("[", r.echo, "]")
                            : absl::StrCat(" tok", r.emitted_tokens);
    ++r.emitted_tokens;
    ++tokens_;
    bool last = r.emitted_tokens >= r.max_tokens;
    bool truncate = truncate_after_tokens_ > 0 &&
                    r.emitted_tokens >= truncate_after_tokens_;
    if (r.stream) {
      json chunk = {
          {"id", r.id},
          {"object", "chat.completion.chunk"},
          {"choices", {{{"index", 0}, {"delta", {{"content", token}}}}}}};
      r.exchange->Write(absl::StrCat("data: ", chunk.dump(), "\n\n"));
      if (last && !truncate) r.exchange->Write("data: [DONE]\n\n");
      if (last || truncate) r.exchange->FinishStream();
    } else {
      r.answer_text += token;
      if (truncate) {
        // Sends an error instead of the complete answer, to simulate a crash.
        r.exchange->Respond(500, JsonHeaders(),
                            R"({"error":"engine crashed"})");
      } else if (last) {
        json answer = {
            {"id", r.id},
            {"object", "chat.completion"},
            {"choices",
             {{{"index", 0},
               {"message", {{"role", "assistant"}, {"content", r.answer_text}}},
               {"finish_reason", "length"}}}},
            {"usage", {{"completion_tokens", r.emitted_tokens}}}};
        r.exchange->Respond(200, JsonHeaders(), answer.dump());
      }
    }
    if (last || truncate) {
      it = running_.erase(it);
    } else {
      ++it;
    }
  }
  if (!running_.empty() || !waiting_.empty()) ScheduleDecodeStep();
}

void FakeEngine::HandleLoadQuery(std::shared_ptr<HttpExchange> ex) {
  // Reports the load of the oldest sample in load_history_, which is about
  // report_lag old.
  json out = {{"running", 0}, {"waiting", 0}};
  if (!load_history_.empty()) {
    out["running"] = load_history_.front().running;
    out["waiting"] = load_history_.front().waiting;
  }
  ex->Respond(200, JsonHeaders(), out.dump());
}

void FakeEngine::HandleCacheEvents(const HttpRequest& req,
                                   std::shared_ptr<HttpExchange> ex) {
  uint64_t after = 0;
  std::string after_header = req.Header("x-after");
  if (!after_header.empty()) after = std::stoull(after_header);
  TimePoint now = clock_.Now();
  json list = json::array();
  for (const auto& e : cache_events_) {
    if (e.seq > after && e.visible_at <= now) {
      list.push_back({{"seq", e.seq}, {"kind", e.kind}, {"prefix", e.prefix}});
    }
  }
  ex->Respond(200, JsonHeaders(), json{{"events", list}}.dump());
}

// Handles an order (load a model, adapter or version; change role). An engine
// that checks fencing rejects numbers lower than the highest one it has
// applied. An engine that does not check applies stale orders and counts them.
void FakeEngine::HandleOrder(const HttpRequest& req,
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

void FakeEngine::HandleFaultInjection(const HttpRequest& req,
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

void FakeEngine::HandleStats(std::shared_ptr<HttpExchange> ex) {
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
