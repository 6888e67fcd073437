#include "fake_service.h"

#include <algorithm>

#include "nlohmann/json.hpp"

namespace medlarwalk {

using nlohmann::json;

FakeService::FakeService(struct ev_loop* loop, std::string address, int port,
                         Millis delay)
    : loop_(loop),
      address_(std::move(address)),
      port_(port),
      delay_(delay),
      server_(loop,
              [this](const HttpRequest& r, std::shared_ptr<HttpExchange> e) {
                Handle(r, std::move(e));
              }) {}

FakeService::~FakeService() {
  for (auto& p : pending_) ev_timer_stop(loop_, &p->timer);
}

absl::Status FakeService::Start() { return server_.Listen(address_, port_); }

void FakeService::Handle(const HttpRequest& req,
                         std::shared_ptr<HttpExchange> ex) {
  HeaderList headers = {{"Content-Type", "application/json"}};
  if (req.path == "/stats") {
    json counts = json::object();
    int total = 0;
    for (const auto& [ticket, n] : executions_) {
      counts[ticket] = n;
      total += n;
    }
    ex->Respond(200, headers,
                json{{"executions", total}, {"by_ticket", counts}}.dump());
    return;
  }
  if (req.method != "POST" || req.path != "/bill") {
    ex->Respond(404, headers, R"({"error":"not found"})");
    return;
  }
  json body = json::parse(req.body, nullptr, false);
  if (body.is_discarded() || !body.contains("ticket")) {
    ex->Respond(400, headers, R"({"error":"bad request"})");
    return;
  }
  // The execution happens on receipt: from here on a resend would bill twice.
  std::string ticket = body["ticket"].get<std::string>();
  ++executions_[ticket];
  auto p = std::make_unique<Pending>(Pending{this, std::move(ex), ticket, {}});
  ev_timer_init(&p->timer, OnDelay,
                std::chrono::duration<double>(delay_).count(), 0.);
  p->timer.data = p.get();
  ev_timer_start(loop_, &p->timer);
  pending_.push_back(std::move(p));
}

void FakeService::OnDelay(struct ev_loop*, ev_timer* w, int) {
  auto* p = static_cast<Pending*>(w->data);
  FakeService* self = p->self;
  json out = {{"ticket", p->ticket},
              {"billed", true},
              {"executions", self->executions_[p->ticket]}};
  p->exchange->Respond(200, {{"Content-Type", "application/json"}}, out.dump());
  auto& v = self->pending_;
  v.erase(std::remove_if(v.begin(), v.end(),
                         [p](const auto& q) { return q.get() == p; }),
          v.end());
}

}  // namespace medlarwalk
