#include "load_tool.h"

#include <curl/curl.h>
#include <ev.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "http_client.h"
#include "nlohmann/json.hpp"

namespace medlarwalk {

using nlohmann::json;

namespace {

constexpr char kEndMarker[] = "data: [DONE]";
constexpr double kPercentile = 0.95;
constexpr double kDrainCheckSeconds = 0.05;

// The result of one request as the load tool observed it.
struct RequestOutcome {
  size_t class_index = 0;
  std::string nonce;
  double sent_at = 0;
  double first_token_at = -1;
  double last_token_at = 0;
  double max_event_gap = 0;
  int tokens = 0;
  bool end_marker_seen = false;
  bool is_own_answer = true;
  int status = 0;
  bool transport_ok = false;
  std::string unparsed;
};

double LoopTime(struct ev_loop* loop) { return ev_now(loop); }

// Parses the complete events of the stream in `o.unparsed` and removes them
// from that buffer.
void ParseReceivedEvents(RequestOutcome& o, double now) {
  size_t end;
  while ((end = o.unparsed.find("\n\n")) != std::string::npos) {
    std::string event = o.unparsed.substr(0, end);
    o.unparsed.erase(0, end + 2);
    if (absl::StartsWith(event, kEndMarker)) {
      o.end_marker_seen = true;
      continue;
    }
    if (!absl::StartsWith(event, "data: ")) continue;
    json j = json::parse(event.substr(6), nullptr, false);
    if (j.is_discarded()) continue;
    std::string content;
    try {
      content = j["choices"][0]["delta"].value("content", "");
    } catch (...) {
      continue;
    }
    if (o.tokens == 0) {
      o.first_token_at = now;
      o.is_own_answer = absl::StartsWith(content, absl::StrCat("[", o.nonce));
    } else {
      o.max_event_gap = std::max(o.max_event_gap, now - o.last_token_at);
    }
    o.last_token_at = now;
    ++o.tokens;
  }
}

long long SumGeneratedTokens(const std::vector<std::string>& engines) {
  long long total = 0;
  for (const auto& url : engines) {
    CURL* c = curl_easy_init();
    std::string out;
    std::string full = url + "/stats";
    curl_easy_setopt(c, CURLOPT_URL, full.c_str());
    curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, 2000L);
    curl_easy_setopt(
        c, CURLOPT_WRITEFUNCTION,
        +[](char* p, size_t s, size_t n, void* u) -> size_t {
          static_cast<std::string*>(u)->append(p, s * n);
          return s * n;
        });
    curl_easy_setopt(c, CURLOPT_WRITEDATA, &out);
    if (curl_easy_perform(c) == CURLE_OK) {
      json j = json::parse(out, nullptr, false);
      if (!j.is_discarded()) total += j.value("tokens", 0LL);
    }
    curl_easy_cleanup(c);
  }
  return total;
}

double RateAt(const LoadClass& c, double t) {
  for (const auto& b : c.bursts) {
    if (t >= b.start_s && t < b.start_s + b.duration_s) return b.rate;
  }
  return c.rate;
}

struct Arrival {
  double at;
  size_t class_index;
};

// Returns the times at which the requests of an open-loop load are sent. The
// gaps between them are exponentially distributed at the current rate, whether
// or not earlier requests were answered.
std::vector<Arrival> PlanArrivals(const Workload& w) {
  std::mt19937_64 rng(w.seed);
  std::vector<Arrival> out;
  for (size_t k = 0; k < w.classes.size(); ++k) {
    double t = 0;
    for (;;) {
      double rate = RateAt(w.classes[k], t);
      if (rate <= 0) {
        t += 0.01;
        if (t >= w.duration_s) break;
        continue;
      }
      t += std::exponential_distribution<double>(rate)(rng);
      if (t >= w.duration_s) break;
      out.push_back({t, k});
    }
  }
  std::sort(out.begin(), out.end(),
            [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  return out;
}

// Runs one workload: one timer sends requests at their arrival times, and
// answers stream in through libcurl.
class LoadRunner {
 public:
  explicit LoadRunner(const Workload& w)
      : w_(w),
        loop_(ev_loop_new(EVFLAG_AUTO)),
        client_(loop_),
        arrivals_(PlanArrivals(w)) {
    ev_timer_init(&timer_, OnTimer, 0., 0.);
    timer_.data = this;
  }
  ~LoadRunner() { ev_timer_stop(loop_, &timer_); }

  std::vector<std::unique_ptr<RequestOutcome>> Run() {
    start_ = LoopTime(loop_);
    ScheduleTimer();
    ev_run(loop_, 0);
    return std::move(outcomes_);
  }

 private:
  void ScheduleTimer() {
    double now = LoopTime(loop_) - start_;
    if (next_arrival_ < arrivals_.size()) {
      ev_timer_set(&timer_, std::max(0.0, arrivals_[next_arrival_].at - now),
                   0.);
    } else {
      ev_timer_set(&timer_, kDrainCheckSeconds, 0.);
    }
    ev_timer_start(loop_, &timer_);
  }

  static void OnTimer(struct ev_loop* loop, ev_timer* w, int) {
    auto* self = static_cast<LoadRunner*>(w->data);
    double now = LoopTime(loop) - self->start_;
    if (self->next_arrival_ >= self->arrivals_.size()) {
      if (self->client_.active() == 0 ||
          now > self->w_.duration_s + self->w_.drain_s) {
        ev_break(loop, EVBREAK_ALL);
        return;
      }
      self->ScheduleTimer();
      return;
    }
    while (self->next_arrival_ < self->arrivals_.size() &&
           self->arrivals_[self->next_arrival_].at <= now) {
      self->SendRequest(self->arrivals_[self->next_arrival_].class_index);
      ++self->next_arrival_;
    }
    self->ScheduleTimer();
  }

  void SendRequest(size_t k) {
    const LoadClass& c = w_.classes[k];
    auto o = std::make_unique<RequestOutcome>();
    RequestOutcome* outcome = o.get();
    o->class_index = k;
    o->nonce = absl::StrCat("n", outcomes_.size(), "-");
    o->sent_at = LoopTime(loop_);
    std::string shared(static_cast<size_t>(c.prompt_chars), 'x');
    shared.replace(0, std::min(shared.size(), c.class_name.size()),
                   c.class_name);
    json body = {{"model", c.model},
                 {"stream", true},
                 {"max_tokens", c.max_tokens},
                 {"messages",
                  {{{"role", "system"}, {"content", shared}},
                   {{"role", "user"},
                    {"content", absl::StrCat(o->nonce, " question")}}}}};
    HttpCall call;
    call.url = w_.targets[outcomes_.size() % w_.targets.size()] +
               "/v1/chat/completions";
    call.body = body.dump();
    call.headers = {"Content-Type: application/json",
                    absl::StrCat("X-Client-Account: ", c.account),
                    absl::StrCat("X-Class: ", c.class_name)};
    call.timeout =
        Millis(static_cast<int64_t>((w_.duration_s + w_.drain_s) * 1000));
    call.on_status = [outcome](int s, absl::string_view) {
      outcome->status = s;
    };
    call.on_data = [this, outcome](absl::string_view d) {
      outcome->unparsed.append(d.data(), d.size());
      ParseReceivedEvents(*outcome, LoopTime(loop_));
    };
    call.on_done = [outcome](const HttpCallResult& r) {
      outcome->transport_ok = r.status.ok();
      outcome->status = r.http_status;
    };
    outcomes_.push_back(std::move(o));
    client_.Start(std::move(call));
  }

  const Workload& w_;
  struct ev_loop* loop_;
  HttpClient client_;
  std::vector<Arrival> arrivals_;
  size_t next_arrival_ = 0;
  double start_ = 0;
  ev_timer timer_{};
  std::vector<std::unique_ptr<RequestOutcome>> outcomes_;
};

double Percentile(std::vector<double> v, double q) {
  if (v.empty()) return 0;
  std::sort(v.begin(), v.end());
  size_t i = static_cast<size_t>(q * static_cast<double>(v.size() - 1));
  return v[i];
}

}  // namespace

absl::StatusOr<Workload> ParseWorkload(absl::string_view text) {
  json j = json::parse(text, nullptr, false);
  if (j.is_discarded() || !j.is_object()) {
    return absl::InvalidArgumentError("workload: $: not a JSON object");
  }
  Workload w;
  try {
    if (j.contains("targets"))
      w.targets = j["targets"].get<std::vector<std::string>>();
    if (j.contains("engines"))
      w.engines = j["engines"].get<std::vector<std::string>>();
    w.duration_s = j.value("duration_s", 5.0);
    w.drain_s = j.value("drain_s", 10.0);
    w.seed = j.value("seed", uint64_t{1});
    for (const auto& c : j.at("classes")) {
      LoadClass lc;
      lc.class_name = c.at("class").get<std::string>();
      lc.account = c.at("account").get<std::string>();
      lc.model = c.value("model", "ledgerhand");
      lc.rate = c.value("rate", 1.0);
      lc.max_tokens = c.value("max_tokens", 16);
      lc.prompt_chars = c.value("prompt_chars", 200);
      lc.first_token_target = Millis(c.value("first_token_ms", 1000));
      lc.between_tokens_target = Millis(c.value("between_tokens_ms", 100));
      if (c.contains("bursts")) {
        for (const auto& b : c["bursts"]) {
          lc.bursts.push_back({b.at("start_s").get<double>(),
                               b.at("duration_s").get<double>(),
                               b.at("rate").get<double>()});
        }
      }
      w.classes.push_back(lc);
    }
  } catch (const json::exception& e) {
    return absl::InvalidArgumentError(absl::StrCat("workload: ", e.what()));
  }
  return w;
}

void FillWorkloadFromSettings(const Settings& s, Workload& w) {
  if (w.targets.empty()) {
    for (const auto& h : s.hosts) {
      if (h.role == "entry")
        w.targets.push_back(absl::StrCat("http://", h.address, ":", h.port));
    }
  }
  if (w.engines.empty()) {
    for (const auto& u : s.upstreams) {
      if (u.kind == "engine") w.engines.push_back(u.url);
    }
  }
}

LoadTestReport RunLoadTest(const Workload& w) {
  long long before = w.engines.empty() ? 0 : SumGeneratedTokens(w.engines);
  LoadRunner runner(w);
  std::vector<std::unique_ptr<RequestOutcome>> outcomes = runner.Run();
  LoadTestReport r;
  std::vector<std::vector<double>> ttft(w.classes.size());
  for (const auto& c : w.classes)
    r.classes.push_back(ClassReport{c.class_name});
  for (const auto& o : outcomes) {
    const LoadClass& c = w.classes[o->class_index];
    ClassReport& cr = r.classes[o->class_index];
    ++cr.sent;
    if (o->status != 200) {
      ++cr.error_answers;
      continue;
    }
    bool complete =
        o->transport_ok && o->end_marker_seen && o->tokens == c.max_tokens;
    if (!complete) {
      ++cr.incomplete;
      continue;
    }
    if (!o->is_own_answer) {
      ++cr.misdelivered;
      continue;
    }
    ++cr.complete;
    r.tokens_delivered += o->tokens;
    double first = o->first_token_at - o->sent_at;
    ttft[o->class_index].push_back(first);
    bool met_targets =
        first <= std::chrono::duration<double>(c.first_token_target).count() &&
        o->max_event_gap <=
            std::chrono::duration<double>(c.between_tokens_target).count();
    if (met_targets) {
      ++cr.met_targets;
      cr.goodput_tokens_s += o->tokens / w.duration_s;
    }
  }
  for (size_t k = 0; k < r.classes.size(); ++k) {
    ClassReport& cr = r.classes[k];
    cr.attainment = cr.sent ? static_cast<double>(cr.met_targets) / cr.sent : 0;
    cr.p95_first_token_s = Percentile(ttft[k], kPercentile);
    r.goodput_tokens_s += cr.goodput_tokens_s;
  }
  if (!w.engines.empty()) {
    r.tokens_generated = SumGeneratedTokens(w.engines) - before;
    r.wasted_tokens = std::max(0LL, r.tokens_generated - r.tokens_delivered);
  }
  return r;
}

std::string FormatReportTable(const LoadTestReport& r) {
  std::string out = absl::StrFormat("%-18s %6s %6s %6s %7s %5s %7s %10s %9s\n",
                                    "class", "sent", "whole", "met", "refused",
                                    "cut", "crossed", "attainment", "p95_ttft");
  for (const auto& c : r.classes) {
    absl::StrAppendFormat(
        &out, "%-18s %6d %6d %6d %7d %5d %7d %9.1f%% %8.3fs\n", c.class_name,
        c.sent, c.complete, c.met_targets, c.error_answers, c.incomplete,
        c.misdelivered, 100 * c.attainment, c.p95_first_token_s);
  }
  absl::StrAppendFormat(&out, "goodput %.1f tokens/s", r.goodput_tokens_s);
  if (r.wasted_tokens >= 0) {
    absl::StrAppendFormat(&out, "; generated %d, delivered whole %d, wasted %d",
                          r.tokens_generated, r.tokens_delivered,
                          r.wasted_tokens);
  }
  out += "\n";
  return out;
}

std::string FormatReportJson(const LoadTestReport& r) {
  json classes = json::array();
  for (const auto& c : r.classes) {
    classes.push_back({{"class", c.class_name},
                       {"sent", c.sent},
                       {"whole", c.complete},
                       {"met", c.met_targets},
                       {"refused", c.error_answers},
                       {"cut", c.incomplete},
                       {"crossed", c.misdelivered},
                       {"attainment", c.attainment},
                       {"p95_first_token_s", c.p95_first_token_s},
                       {"goodput_tokens_s", c.goodput_tokens_s}});
  }
  return json{{"classes", classes},
              {"goodput_tokens_s", r.goodput_tokens_s},
              {"tokens_generated", r.tokens_generated},
              {"tokens_delivered", r.tokens_delivered},
              {"wasted_tokens", r.wasted_tokens}}
      .dump(2);
}

}  // namespace medlarwalk
