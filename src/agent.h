// The agent: a small process next to each upstream. It receives requests from
// entries over HTTP/2, calls the upstream with libcurl and streams the answer
// back. It reports whether the upstream may have received the request, so that
// an entry never wrongly answers "not run". It keeps the at-most-once ledger
// for idempotency keys, rejects orders with stale fencing numbers on behalf of
// upstreams that ignore them, and drains on a planned stop.
#ifndef MEDLARWALK_AGENT_H_
#define MEDLARWALK_AGENT_H_

#include <ev.h>

#include <map>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "caller_server.h"
#include "h2.h"
#include "http_client.h"
#include "ledger.h"
#include "metrics.h"
#include "settings.h"

namespace medlarwalk {

// The agent process. Thread safety: loop thread only.
class Agent {
 public:
  // `host` is this agent's name in `settings`. `data_dir` holds the ledger; on
  // a host without a disk it is "" and the ledger is kept in memory.
  // Precondition: `host` is an agent in `settings`.
  Agent(struct ev_loop* loop, const Clock& clock, Settings settings,
        std::string host, std::string data_dir);
  ~Agent();
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  // Opens the ledger and starts listening. Errors: from opening the
  // ledger or binding a port.
  absl::Status Start();

  // Begins a planned stop: accepts no new streams (GOAWAY), lets requests in
  // flight finish and their answers reach the entries, then ends the loop.
  // Idempotent.
  void Drain();

 private:
  struct ForwardedCall;
  void HandleRequest(const H2Request& req, std::shared_ptr<H2Stream> out);
  void ForwardRequest(const H2Request& req, const UpstreamSettings& u,
                      std::shared_ptr<H2Stream> out);
  void ForwardOrder(const H2Request& req, const UpstreamSettings& u,
                    std::shared_ptr<H2Stream> out);
  void SendLoadReport(const UpstreamSettings& u, std::shared_ptr<H2Stream> out);
  void ServeMetrics(CallerExchange& ex);
  bool AnswerFromLedger(const std::string& key, uint64_t fingerprint,
                        std::shared_ptr<H2Stream>& out);
  void AnswerInterruptedCall(const std::string& upstream,
                             const ForwardedCall& interrupted_call,
                             std::string reason, int checks_left);
  void StopIfDrained();
  static void OnSignal(struct ev_loop* loop, ev_signal* w, int revents);
  static void OnDrainTimer(struct ev_loop* loop, ev_timer* w, int revents);

  struct ev_loop* loop_;
  const Clock& clock_;
  Settings settings_;
  const HostSettings* host_;
  Metrics metrics_;
  Ledger ledger_;
  H2Server server_;
  CallerServer metrics_server_;
  HttpClient client_;
  // The last observed termination of an upstream process.
  struct Termination {
    TimePoint observed_at{};
    std::string id;  // Random id of this termination.
  };
  // Last observed termination of each upstream, by upstream name.
  std::map<std::string, Termination> terminations_;
  std::map<std::string, int64_t> highest_fencing_;
  bool draining_ = false;
  TimePoint drain_started_{};
  ev_signal sigterm_{};
  ev_signal sigint_{};
  ev_timer drain_timer_{};
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_AGENT_H_
