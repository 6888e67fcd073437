// The serving process on entry hosts. It serves callers' requests through the
// gateway, answers readiness probes of the load balancer, and receives the
// newest configuration and upstream list from the control processes.
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
#include "load_exchange.h"
#include "loop_watch.h"
#include "metrics.h"
#include "source_read_pacer.h"
#include "stream_origin_exchange.h"
#include "usage_schedule.h"
#include "watch_client.h"
#include "watch_reports.h"

namespace medlarwalk {

struct ServingOptions {
  std::string name;
  std::string data_centre;
  Endpoint frontend;   // Address on which callers connect.
  Endpoint readiness;  // Address for readiness probes of the load balancer.
  std::string readiness_path;
  // Address for datagrams of other entry processes; none if its port is 0.
  Endpoint entry_peer;
  Endpoint metrics;  // Address that serves Prometheus text at /metrics.
  std::vector<std::string> control_seeds;
  Duration grace = std::chrono::seconds(8);  // Time from SIGTERM to SIGKILL.
  // Maximum number of file descriptors that this process may have open.
  size_t descriptors = DescriptorLimit();
  // See CallerServer::set_max_unsent_bytes().
  size_t max_unsent_bytes = SIZE_MAX;
  // See CallerServer::set_max_request_bytes().
  size_t max_request_bytes = kDefaultRequestMemory;
  GatewayOptions gateway;
  Dialect dialect;
  ListSource list;
  // Policy for counting requests by client account; if its window is zero, none
  // are counted.
  UsagePolicy usage;
  // Decodes a configuration document. Errors: InvalidArgument.
  std::function<absl::StatusOr<RoutingConfig>(absl::string_view)> decode;
};

// One entry process. Thread safety: loop thread only.
class Serving {
 public:
  Serving(struct ev_loop* loop, const Clock& clock, const WallClock& wall,
          ServingOptions options);
  ~Serving();
  Serving(const Serving&) = delete;
  Serving& operator=(const Serving&) = delete;

  // Binds all addresses and starts serving. Errors: Unavailable if an address
  // cannot be bound.
  absl::Status Start();
  void set_control_seeds(std::vector<std::string> seeds);
  // Begins a planned stop. The process stops being ready at once, requests in
  // progress finish, and then the loop ends, at the latest shortly before the
  // grace period is over.
  void Drain();
  bool ready() const;

 private:
  static void OnTick(struct ev_loop* loop, ev_timer* w, int revents);
  void Tick();
  void OnWatchReply(const WatchReply& r, bool in_sync);
  void MergeCrashRecords(absl::string_view encoded);
  void MergeLimitRecords(absl::string_view encoded);
  std::vector<AccountTokens> TakeOwnAccountUse();
  void MergeAccountUse(absl::Span<const AccountTokens> accounts);
  std::vector<PromisedReturn> TakeNewReturns();
  void MergeReturns(absl::Span<const PromisedReturn> returns);
  void CountAccountRequest(const std::string& account);
  // Records the windows that this process has finished counting.
  void UpdateUsageState(TimePoint now);
  void ApplyListUpdate(const WatchReply& r);
  void ApplyNewerList(const WatchReply& r);
  void RecordBuilds(const WatchReply& r, bool in_sync);
  void RecordListCurrent(TimePoint read_at);
  void ApplyConfig(int64_t version, const std::string& document);
  // Records what the last read of the upstream list left unread.
  void RecordListUnread(int entries, bool rest);
  // Returns one line of key=value pairs for whoever looks at the readiness
  // page.
  std::string ReadinessText() const;
  // Reads the upstream list from its source if control's list is too old.
  void ReadListWithoutControl(TimePoint now);
  void AdvanceDrain(TimePoint now);

  struct ev_loop* loop_;
  const Clock& clock_;
  ServingOptions options_;
  Metrics metrics_;
  LoopWatch loop_watch_;
  StreamOriginExchange stream_origins_;
  Gateway gateway_;
  CallerServer callers_;
  CallerServer readiness_;
  CallerServer metrics_server_;
  const uint64_t process_id_;  // Random id, generated at each start.
  GroupTime group_time_;
  // Whether control has published the group's time to this process.
  bool has_group_time_ = false;
  UsageLedger usage_;
  WatchReports reports_;
  WatchClient watch_;
  LoadExchange load_exchange_;
  Lister lister_;
  int list_unread_ = 0;  // Entries of the list that could not be read.
  bool list_rest_unread_ = false;
  UpstreamList list_;
  TimePoint list_current_at_{};
  // Interval at which control reads the upstream list.
  Duration control_list_interval_{};
  SourceReadPacer list_read_pacer_;
  bool draining_ = false;
  TimePoint drain_started_at_{};
  bool stopped_accepting_ = false;
  ev_timer tick_{};
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_SERVING_H_
