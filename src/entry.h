// The entry: the callers' HTTP API on the thin entry hosts. It checks who
// asks for what, queues by class (scheduler), picks an upstream (router),
// sends the request to that upstream's agent over HTTP/2, retries only what
// is safe within a budget, and relays the whole answer or a visibly cut one.
#ifndef MEDLARWALK_ENTRY_H_
#define MEDLARWALK_ENTRY_H_

#include <ev.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "blackboard.h"
#include "errors.h"
#include "h2.h"
#include "http_server.h"
#include "metrics.h"
#include "router.h"
#include "scheduler.h"
#include "settings.h"

namespace medlarwalk {

// Which policy the entry runs: ours, or the naive baseline (one FIFO, round
// robin) that benchmarks and differential runs compare against.
enum class EntryPolicyKind { kTiered, kNaive };

// The entry process. Thread safety: loop thread only.
class Entry {
 public:
  // Precondition: `host` is an entry in `settings`.
  Entry(struct ev_loop* loop, const Clock& clock, Settings settings,
        std::string host, EntryPolicyKind policy);
  ~Entry();

  // Starts listening. Errors: Unavailable when the port is taken.
  absl::Status Start();

  // Begins a planned stop: no new connections; requests in progress and
  // queued finish; then the loop ends.
  void Drain();

 private:
  struct Pending;
  void Handle(const HttpRequest& req, std::shared_ptr<HttpExchange> ex);
  void Accept(const HttpRequest& req, std::shared_ptr<HttpExchange> ex);
  absl::Status Parse(const HttpRequest& req, Pending& p) const;
  void Queue(std::unique_ptr<Pending> p);
  void Dispatch();
  bool CanRun(const QueuedRequest& q) const;
  void Send(Pending& p);
  void OnResponse(RequestId id, int status,
                  const std::map<std::string, std::string>& headers);
  void OnData(RequestId id, absl::string_view data);
  void OnClose(RequestId id, const absl::Status& status, bool never_sent);
  void Retry(Pending& p, absl::string_view reason, ErrorKind otherwise,
             absl::string_view message);
  void Fail(Pending& p, ErrorKind kind, absl::string_view message);
  void Finish(Pending& p, absl::string_view outcome);
  void CallerGone(RequestId id);
  void PollLoad();
  void RefreshHealth();
  void ExpireQueued();
  H2Client& ClientFor(const UpstreamState& u);
  static void OnTick(struct ev_loop* loop, ev_timer* w, int revents);
  static void OnLoadTick(struct ev_loop* loop, ev_timer* w, int revents);
  static void OnSignal(struct ev_loop* loop, ev_signal* w, int revents);

  struct ev_loop* loop_;
  const Clock& clock_;
  Settings settings_;
  const HostSettings* host_;
  EntryPolicyKind policy_;
  Metrics metrics_;
  Blackboard board_;
  RouterPolicy router_policy_;
  Scheduler scheduler_;
  NaiveScheduler naive_;
  size_t round_robin_ = 0;
  HttpServer server_;
  std::map<std::string, std::unique_ptr<H2Client>> agents_;
  std::map<RequestId, std::unique_ptr<Pending>> pending_;
  RequestId next_id_ = 1;
  int64_t first_tries_ = 0;
  int64_t retries_ = 0;
  bool draining_ = false;
  ev_timer tick_{};
  ev_timer load_tick_{};
  ev_signal sigterm_{};
  ev_signal sigint_{};
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_ENTRY_H_
