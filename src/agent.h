// The agent: the one small process beside each upstream. It takes requests
// from entries over HTTP/2, calls its upstream with libcurl, streams the
// answer back, and says whether the upstream may have received the request
// (so an entry never claims "not run" wrongly). It keeps the at-most-once
// ledger for idempotency keys, refuses orders with stale fencing numbers on
// behalf of upstreams that ignore them, and drains on a planned stop.
#ifndef MEDLARWALK_AGENT_H_
#define MEDLARWALK_AGENT_H_

#include <ev.h>

#include <map>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "h2.h"
#include "http_client.h"
#include "http_server.h"
#include "ledger.h"
#include "metrics.h"
#include "settings.h"

namespace medlarwalk {

// The agent process. Thread safety: loop thread only.
class Agent {
 public:
  // `host` names this agent in `settings`; `data_dir` holds the ledger ("" for
  // a host without a disk). Precondition: `host` is an agent in `settings`.
  Agent(struct ev_loop* loop, const Clock& clock, Settings settings,
        std::string host, std::string data_dir);

  // Opens the ledger and starts listening. Errors: from the ledger or ports.
  absl::Status Start();

  // Begins a planned stop: no new streams (GOAWAY), requests in progress
  // finish, then the loop ends. Idempotent.
  void Drain();

 private:
  struct Forwarding;
  void Handle(const H2Request& req, std::shared_ptr<H2Stream> out);
  void Forward(const H2Request& req, const UpstreamSettings& u,
               std::shared_ptr<H2Stream> out);
  void Order(const H2Request& req, const UpstreamSettings& u,
             std::shared_ptr<H2Stream> out);
  void ReportLoad(const UpstreamSettings& u, std::shared_ptr<H2Stream> out);
  void ServeMetrics(const HttpRequest& req, std::shared_ptr<HttpExchange> ex);
  bool Replay(const std::string& key, uint64_t fingerprint,
              std::shared_ptr<H2Stream>& out);
  void TellCut(const std::string& upstream, const Forwarding& cut,
               std::string why, int checks);
  void CheckDrained();
  static void OnSignal(struct ev_loop* loop, ev_signal* w, int revents);
  static void OnDrainTick(struct ev_loop* loop, ev_timer* w, int revents);

  struct ev_loop* loop_;
  const Clock& clock_;
  Settings settings_;
  const HostSettings* host_;
  Metrics metrics_;
  Ledger ledger_;
  H2Server server_;
  HttpServer metrics_server_;
  HttpClient client_;
  // The last end of an upstream.
  struct End {
    TimePoint seen_at{};
    std::string id;  // Tells it from other ends.
  };
  std::map<std::string, End> ends_;  // By upstream.
  std::map<std::string, int64_t> highest_fencing_;
  bool draining_ = false;
  TimePoint drain_started_{};
  ev_signal sigterm_{};
  ev_signal sigint_{};
  ev_timer drain_timer_{};
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_AGENT_H_
