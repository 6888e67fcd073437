#include "fake_service.h"

#include <algorithm>

#include "nlohmann/json.hpp"

namespace medlarwalk {

using nlohmann::json;

FakeService::FakeService(struct ev_loop* loop, std::string address, int port,
                         Millis answer_delay)
    : loop_(loop),
      address_(std::move(address)),
      port_(port),
      answer_delay_(answer_delay),
      server_(loop,
              [this](const HttpRequest& r, std::shared_ptr<HttpExchange> e) {
                HandleRequest(r, std::move(e));
              }) {}

FakeService::~FakeService() {
  for (auto& p : pending_calls_) ev_timer_stop(loop_, &p->timer);
}

absl::Status FakeService::Start() { return server_.Listen(address_, port_); }

void FakeService::HandleRequest(const HttpRequest& req,
                                std::shared_ptr<HttpExchange> ex) {
  HeaderList headers = {{"Content-Type", "application/json"}};
  if (req.path == "/stats") {
    json counts = json::object();
    int total = 0;
    for (const auto& [ticket, n] : executions_by_ticket_) {
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
  // The service executes a billing call on receipt. If the caller resends the
  // call after this point, the ticket is billed twice.
  std::string ticket = body["ticket"].get<std::string>();
  ++executions_by_ticket_[ticket];
  auto p = std::make_unique<PendingCall>(
      PendingCall{this, std::move(ex), ticket, {}});
  ev_timer_init(&p->timer, OnAnswerTimer,
                std::chrono::duration<double>(answer_delay_).count(), 0.);
  p->timer.data = p.get();
  ev_timer_start(loop_, &p->timer);
  pending_calls_.push_back(std::move(p));
}

void FakeService::OnAnswerTimer(struct ev_loop*, ev_timer* w, int) {
  auto* p = static_cast<PendingCall*>(w->data);
  FakeService* service = p->service;
  json out = {{"ticket", p->ticket},
              {"billed", true},
              {"executions", service->executions_by_ticket_[p->ticket]}};
  p->exchange->Respond(200, {{"Content-Type", "application/json"}}, out.dump());
  auto& pending = service->pending_calls_;
  pending.erase(std::remove_if(pending.begin(), pending.end(),
                               [p](const auto& q) { return q.get() == p; }),
                pending.end());
}

}  // namespace medlarwalk
