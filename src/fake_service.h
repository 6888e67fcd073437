// A stand-in for a plain service (an upstream that is not an engine). Its
// billing call is not repeatable: executions are counted per ticket, so a
// second execution is visible.
#ifndef MEDLARWALK_FAKE_SERVICE_H_
#define MEDLARWALK_FAKE_SERVICE_H_

#include <ev.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "http_server.h"
#include "types.h"

namespace medlarwalk {

// The stand-in service. Thread safety: loop thread only.
class FakeService {
 public:
  // Serves on `address:port`. A billing call is answered after `answer_delay`.
  FakeService(struct ev_loop* loop, std::string address, int port,
              Millis answer_delay);
  ~FakeService();

  // Starts serving. Errors: Unavailable when the port is taken.
  absl::Status Start();

 private:
  struct PendingCall {
    FakeService* service;
    std::shared_ptr<HttpExchange> exchange;
    std::string ticket;
    ev_timer timer;
  };
  void HandleRequest(const HttpRequest& req, std::shared_ptr<HttpExchange> ex);
  static void OnAnswerTimer(struct ev_loop* loop, ev_timer* w, int revents);

  struct ev_loop* loop_;
  std::string address_;
  int port_;
  Millis answer_delay_;
  HttpServer server_;
  std::map<std::string, int> executions_by_ticket_;
  std::vector<std::unique_ptr<PendingCall>> pending_calls_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_FAKE_SERVICE_H_
