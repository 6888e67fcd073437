// Stand-in for a plain service beside the engines. Its billing call is not
// repeatable: every execution is counted per ticket, so a double run shows.
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
  // Serves on `address:port`; each call takes `delay` before it answers.
  FakeService(struct ev_loop* loop, std::string address, int port,
              Millis delay);
  ~FakeService();

  // Errors: Unavailable when the port is taken.
  absl::Status Start();

 private:
  struct Pending {
    FakeService* self;
    std::shared_ptr<HttpExchange> exchange;
    std::string ticket;
    ev_timer timer;
  };
  void Handle(const HttpRequest& req, std::shared_ptr<HttpExchange> ex);
  static void OnDelay(struct ev_loop* loop, ev_timer* w, int revents);

  struct ev_loop* loop_;
  std::string address_;
  int port_;
  Millis delay_;
  HttpServer server_;
  std::map<std::string, int> executions_;
  std::vector<std::unique_ptr<Pending>> pending_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_FAKE_SERVICE_H_
