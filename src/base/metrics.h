// Metrics: a prometheus-cpp registry per process, rendered in the text format
// by the process's own HTTP server at /metrics. The counters of rejections and
// retries carry a reason label, so that an operator sees why requests failed.
#ifndef MEDLARWALK_METRICS_H_
#define MEDLARWALK_METRICS_H_

#include <memory>
#include <string>
#include <string_view>

#include "absl/strings/string_view.h"
#include "prometheus/counter.h"
#include "prometheus/gauge.h"
#include "prometheus/histogram.h"
#include "prometheus/registry.h"
#include "top_counter.h"

namespace medlarwalk {

// The metrics of the exchange of engine load between processes. Thread safety:
// loop thread only.
class SharedLoadMetrics {
 public:
  // Registers the metrics with names that begin with `prefix`.
  SharedLoadMetrics(const std::string& prefix, prometheus::Registry& registry);
  // Count one message by its size.
  void CountSent(size_t bytes) { sent_->Increment(static_cast<double>(bytes)); }
  void CountReceived(size_t bytes) {
    received_->Increment(static_cast<double>(bytes));
  }
  // Counts one message that was not applied, by its reason.
  void CountDropped(absl::string_view why);
  // Sets the age of the known load of other processes.
  void SetAge(double seconds) { age_->Set(seconds); }
  // Sets the number of processes whose work is known.
  void SetProcesses(int n) { processes_->Set(n); }

 private:
  prometheus::Counter* sent_;
  prometheus::Counter* received_;
  prometheus::Family<prometheus::Counter>* dropped_;
  prometheus::Gauge* age_;
  prometheus::Gauge* processes_;
};

// Gauges of the entries of the upstream list that the last read could not read.
struct ListUnreadGauges {
  ListUnreadGauges(const std::string& prefix, prometheus::Registry& registry);
  void Set(int entries, bool rest);

  prometheus::Gauge* entries;
  prometheus::Gauge* rest;
};

// The metrics of an entry or agent process. Thread safety: prometheus-cpp
// metrics are thread safe; the process uses them from its loop thread only.
class Metrics {
 public:
  explicit Metrics(absl::string_view role);

  // Counts one rejected request, by the code of its error kind.
  void CountRejection(absl::string_view reason);
  // Counts one request that was refused before it was routed, by what is wrong
  // with its bytes.
  void CountMalformedRequest(absl::string_view reason);
  // Counts one rejected request by client account ("" if it has none).
  void CountAccountRejection(absl::string_view account);
  // Counts one request by client account whose first event or answer came after
  // the latency target of its route.
  void CountAccountLate(absl::string_view account);
  // Counts one retry, by its reason (e.g. not_run, connection_lost).
  void CountRetry(absl::string_view reason);
  // Counts one stream that was sent to an upstream to go on after an event that
  // its caller has. `where`: "answer" if the same answer goes on, "caller" if
  // the caller came back. `build`: whether the upstream runs the software
  // version that began the stream ("same", "other", "unknown").
  void CountResumedStream(absl::string_view where, absl::string_view build);
  // Counts one lookup of the origin of a stream that its caller takes up:
  // "held" by this process, "answered" by another one, "unknown" to all, or
  // "silent" if some did not answer.
  void CountStreamOriginLookup(absl::string_view result);
  // Sets the number of other entry processes whose address is known.
  void SetEntryPeers(size_t n);
  // Counts one finished request, by class and outcome ("ok" or a code).
  void CountFinishedRequest(absl::string_view klass, absl::string_view outcome);
  // Records the time to first token of a request of `klass`.
  void ObserveFirstToken(absl::string_view klass, double seconds);
  // Records the time from sending a request of `klass` to its first event, as a
  // share of the predicted time.
  void ObserveFirstEventRatio(absl::string_view klass, double ratio);
  // Records the total duration of a request of `klass`.
  void ObserveRequestDuration(absl::string_view klass, double seconds);
  // Counts one update of the upstream list received from control, by its form:
  // "whole" (a full list), "difference" (a delta), or "unfit" (a delta that
  // does not apply to the list held).
  void CountListUpdate(absl::string_view how, size_t bytes);
  // Sets how many entries of the upstream list this process could not read, and
  // whether others may follow them unread.
  void SetListUnread(int entries, bool rest);
  // Records the age of the upstream list when this process received it.
  void ObserveListAge(double seconds);
  // Records the duration of one loop iteration, without the wait for events.
  void ObserveLoopIteration(double seconds) {
    loop_iterations_->Observe(seconds);
  }
  // Counts one upstream that terminated while it had requests of this process,
  // by how the termination was detected.
  void CountUpstreamTermination(absl::string_view how);
  // Counts one answer that states a rate limit of its upstream.
  void CountStatedLimit();
  // Counts one answer that requests a backoff from this process.
  void CountRequestedBackoff();
  // Sets the number of upstreams whose stated rate limit is in force.
  void SetLimitedUpstreams(size_t n);
  // Sets the number of upstreams that placement avoids, by reason.
  void SetAvoidedUpstreams(absl::string_view why, int n);
  // Sets the number of quarantined request fingerprints and prompt parts.
  void SetQuarantined(size_t requests, size_t parts);
  // Counts one rejected request whose caller was told when to return
  // ("promised"), or one that returned as told ("kept"), returned sooner
  // ("early"), or was rejected once more after it had returned as told
  // ("rejected_again").
  void CountReturn(absl::string_view what);
  // Counts rows dropped from the table of rejected requests.
  void CountDroppedReturnRows(uint64_t n);
  // Sets the number of queued requests of `klass`.
  void SetQueuedRequests(absl::string_view klass, double n);
  SharedLoadMetrics& shared_load() { return *shared_load_; }

  // Returns all metrics in the Prometheus text format.
  std::string Render() const;

 private:
  std::string prefix_;
  std::shared_ptr<prometheus::Registry> registry_;
  TopCounter account_rejections_;
  TopCounter account_late_;
  prometheus::Family<prometheus::Counter>* rejections_;
  prometheus::Family<prometheus::Counter>* malformed_;
  prometheus::Family<prometheus::Counter>* retries_;
  prometheus::Family<prometheus::Counter>* resumed_streams_;
  prometheus::Family<prometheus::Counter>* stream_origin_lookups_;
  prometheus::Gauge* entry_peers_;
  prometheus::Family<prometheus::Counter>* finished_;
  prometheus::Family<prometheus::Histogram>* first_token_;
  prometheus::Family<prometheus::Histogram>* duration_;
  prometheus::Family<prometheus::Histogram>* first_event_ratio_;
  prometheus::Family<prometheus::Gauge>* queued_;
  prometheus::Family<prometheus::Counter>* upstream_terminations_;
  prometheus::Counter* stated_limits_;
  prometheus::Counter* backoffs_;
  prometheus::Gauge* limited_upstreams_;
  prometheus::Family<prometheus::Gauge>* avoided_upstreams_;
  prometheus::Gauge* quarantined_;
  prometheus::Gauge* quarantined_parts_;
  prometheus::Family<prometheus::Counter>* returns_;
  prometheus::Counter* dropped_return_rows_;
  prometheus::Family<prometheus::Counter>* list_updates_;
  prometheus::Family<prometheus::Counter>* list_bytes_;
  ListUnreadGauges list_unread_;
  prometheus::Family<prometheus::Histogram>* list_age_;
  prometheus::Histogram* loop_iterations_;
  std::unique_ptr<SharedLoadMetrics> shared_load_;
};

// The metrics of a control process. Thread safety: loop thread only.
class ControlMetrics {
 public:
  // Memory use of the control process, in bytes.
  struct Memory {
    size_t config = 0;       // Size of the newest committed configuration.
    size_t log = 0;          // Size of the log entries after the snapshot.
    size_t log_entries = 0;  // Number of log entries, not bytes.
    size_t peers = 0;        // Data queued for other control processes.
    size_t watchers = 0;     // Data queued for processes that watch this one.
    size_t heap = 0;         // Total heap memory allocated by the program.
    // Memory that the allocator obtained from the kernel.
    size_t heap_reserved = 0;
  };
  // The current state of the control process.
  struct State {
    Memory memory;
    bool leader = false;
    uint64_t term = 0;
    int64_t config_version = 0;
    size_t voters = 0;
    size_t followers = 0;
    size_t quarantined = 0;  // Number of quarantined request fingerprints.
    size_t quarantined_parts = 0;  // Number of quarantined prompt parts.
    // Seconds since the last synchronization with the leader; < 0: never.
    double in_sync_age_s = -1;
    // Seconds since the upstream list was read; < 0: never.
    double list_age_s = -1;
  };
  ControlMetrics();
  // Records one operator call, with its outcome and duration.
  void ObserveCall(absl::string_view call, absl::string_view outcome,
                   double seconds);
  // Counts one answered watch, by the published content: a configuration, an
  // upstream list or nothing new.
  void CountAnsweredWatch(absl::string_view what);
  // Counts one published upstream list and its size, by its form: "whole" or
  // "difference".
  void CountPublishedList(absl::string_view how, size_t bytes);
  // Sets how many entries of the upstream list this process could not read, and
  // whether others may follow them unread.
  void SetListUnread(int entries, bool rest);
  // Counts one step of a duty (work that one process does for the whole group),
  // by step and outcome.
  void CountDutyStep(absl::string_view step, absl::string_view outcome);
  // Records the duration of one loop iteration, without the wait for events.
  void ObserveLoopIteration(double seconds) {
    loop_iterations_->Observe(seconds);
  }
  // Sets the gauges of the process's state.
  void SetState(const State& s);
  SharedLoadMetrics& shared_load() { return *shared_load_; }
  std::string Render() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Histogram>* calls_;
  prometheus::Family<prometheus::Counter>* watches_;
  prometheus::Family<prometheus::Counter>* lists_;
  prometheus::Family<prometheus::Counter>* list_bytes_;
  ListUnreadGauges list_unread_;
  prometheus::Family<prometheus::Gauge>* state_;
  prometheus::Family<prometheus::Counter>* duties_;
  prometheus::Histogram* loop_iterations_;
  std::unique_ptr<SharedLoadMetrics> shared_load_;
};

// Returns `registry` in the Prometheus text format, with the heap use of the
// process and the number of dropped log lines appended.
std::string RenderRegistry(const prometheus::Registry& registry);

}  // namespace medlarwalk

#endif  // MEDLARWALK_METRICS_H_
