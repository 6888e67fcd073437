// The serving process on the entry hosts: callers' requests through the
// gateway, readiness for the balancer, and the newest configuration and
// upstream list from the control processes.
#ifndef MEDLARWALK_SERVING_H_
#define MEDLARWALK_SERVING_H_

#include <ev.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "caller_server.h"
#include "gateway.h"
#include "lister.h"
#include "loop_watch.h"
#include "metrics.h"
#include "usage_schedule.h"
#include "watch_client.h"
#include "watch_reports.h"

namespace medlarwalk {

struct ServingOptions {
  std::string name;
  std::string data_centre;
  Endpoint frontend;   // Callers.
  Endpoint readiness;  // The balancer's questions.
  std::string readiness_path;
  Endpoint metrics;  // Prometheus text, at /metrics.
  std::vector<std::string> control_seeds;
  Duration grace = std::chrono::seconds(8);  // From SIGTERM to SIGKILL.
  // That this process may have open at once.
  size_t descriptors = DescriptorLimit();
  GatewayOptions gateway;
  Dialect dialect;
  ListSource list;
  UsagePolicy usage;  // No window: requests are not counted.
  // Reads a configuration document. Errors: InvalidArgument.
  std::function<absl::StatusOr<RoutingConfig>(absl::string_view)> decode;
};

// Thread safety: loop thread only.
class Serving {
 public:
  Serving(struct ev_loop* loop, const Clock& clock, const WallClock& wall,
          ServingOptions options);
  ~Serving();
  Serving(const Serving&) = delete;
  Serving& operator=(const Serving&) = delete;

  // Errors: Unavailable when an address cannot be bound.
  absl::Status Start();
  void set_control_seeds(std::vector<std::string> seeds);
  // Begins a planned stop: not ready at once, requests in progress finish,
  // then the loop ends, at the latest shortly before the grace is over.
  void Drain();
  bool ready() const;

 private:
  static void OnTick(struct ev_loop* loop, ev_timer* w, int revents);
  void Tick();
  void OnWatch(const WatchReply& r, bool in_step);
  void TakeCrashes(absl::string_view encoded);
  void TakeLimits(absl::string_view encoded);
  void CountRun(const std::string& account);
  void TakeList(const WatchReply& r);
  void ApplyConfig(int64_t version, const std::string& document);
  void ReadListAlone(TimePoint now);
  void DrainStep(TimePoint now);

  struct ev_loop* loop_;
  const Clock& clock_;
  ServingOptions options_;
  Metrics metrics_;
  LoopWatch turns_;
  Gateway gateway_;
  CallerServer callers_;
  CallerServer readiness_;
  CallerServer metrics_server_;
  const uint64_t process_;  // Drawn at each start.
  GroupTime time_;
  UsageBook usage_;
  WatchReports reports_;
  WatchClient watch_;
  Lister lister_;
  UpstreamList list_;
  TimePoint list_at_{};
  Duration list_interval_{};  // As the control processes read it.
  int serving_ = 1;           // Entry processes, as last told.
  TimePoint listed_alone_at_{};
  bool draining_ = false;
  TimePoint drain_began_{};
  bool stopped_accepting_ = false;
  ev_timer tick_{};
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_SERVING_H_
