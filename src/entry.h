// The entry of the product's own interface: callers' HTTP on one side, the
// agents beside the upstreams over HTTP/2 on the other, the gateway between.
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

// Which policy the entry runs: ours, or the naive baseline (first come, first
// served, any free upstream) that comparisons run against.
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
  // Begins a planned stop: no new connections; requests under way finish;
  // then the loop ends.
  void Drain();

 private:
  void Handle(std::shared_ptr<CallerExchange> ex);
  H2Client& AgentOf(const std::string& upstream);
  void PollLoad();
  void OnLoad(const std::string& upstream, const std::string& report);
  void Tick();
  static void OnTick(struct ev_loop* loop, ev_timer* w, int revents);
  static void OnLoadTick(struct ev_loop* loop, ev_timer* w, int revents);
  static void OnSignal(struct ev_loop* loop, ev_signal* w, int revents);

  struct ev_loop* loop_;
  const Clock& clock_;
  std::shared_ptr<const Settings> settings_;
  const HostSettings* host_;
  EntryPolicyKind policy_;
  Metrics metrics_;
  std::map<std::string, std::unique_ptr<H2Client>> agents_;  // By host name.
  std::vector<UpstreamInfo> upstreams_;
  Gateway gateway_;
  CallerServer callers_;
  bool draining_ = false;
  ev_timer tick_{};
  ev_timer load_tick_{};
  ev_signal sigterm_{};
  ev_signal sigint_{};
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_ENTRY_H_
