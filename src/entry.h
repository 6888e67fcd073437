// The entry process of the native API of medlarwalk. Callers send it HTTP
// requests; it forwards them over HTTP/2 to the agents next to the upstreams.
// The gateway chooses the upstream.
#ifndef MEDLARWALK_ENTRY_H_
#define MEDLARWALK_ENTRY_H_

#include <ev.h>

#include <map>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "caller_server.h"
#include "gateway.h"
#include "h2.h"
#include "metrics.h"
#include "settings.h"
#include "upstream_list.h"

namespace medlarwalk {

// The policy that the entry runs: the tiered policy, or the naive baseline for
// comparisons (first come, first served, any free upstream).
enum class EntryPolicyKind { kTiered, kNaive };

// The entry process. Thread safety: loop thread only.
class Entry {
 public:
  // Precondition: `host` is an entry in `settings`.
  Entry(struct ev_loop* loop, const Clock& clock, Settings settings,
        std::string host, EntryPolicyKind policy);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  // Starts listening. Errors: Unavailable when the port is taken.
  absl::Status Start();
  // Begins a planned stop: accepts no new connections, lets requests in flight
  // finish, then ends the loop.
  void Drain();

 private:
  void HandleRequest(std::shared_ptr<CallerExchange> ex);
  H2Client& AgentClientFor(const std::string& upstream);
  void PollLoad();
  void ApplyLoadReport(const std::string& upstream, const std::string& report);
  void Tick();
  static void OnTickTimer(struct ev_loop* loop, ev_timer* w, int revents);
  static void OnLoadPollTimer(struct ev_loop* loop, ev_timer* w, int revents);
  static void OnSignal(struct ev_loop* loop, ev_signal* w, int revents);

  struct ev_loop* loop_;
  const Clock& clock_;
  std::shared_ptr<const Settings> settings_;
  const HostSettings* host_;
  EntryPolicyKind policy_;
  Metrics metrics_;
  // HTTP/2 client for each agent, by the agent's host name.
  std::map<std::string, std::unique_ptr<H2Client>> agent_clients_;
  std::vector<UpstreamInfo> upstreams_;
  Gateway gateway_;
  CallerServer caller_server_;
  bool draining_ = false;
  ev_timer tick_timer_{};
  ev_timer load_poll_timer_{};
  ev_signal sigterm_{};
  ev_signal sigint_{};
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_ENTRY_H_
