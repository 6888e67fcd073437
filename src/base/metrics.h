// Metrics: a prometheus-cpp registry per process, rendered in the text format
// by the process's own HTTP server at /metrics. Counters carry a reason label
// for each refusal and retry, so an operator sees why work was turned away.
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

namespace medlarwalk {

// The metrics of one process. Thread safety: prometheus-cpp metrics are
// thread safe; the process touches them from its loop thread only.
class Metrics {
 public:
  explicit Metrics(absl::string_view role);

  // Counts one request turned away, by the error kind's code.
  void CountRefusal(absl::string_view reason);
  // Counts one retry, by its reason (e.g. not_run, connection_lost).
  void CountRetry(absl::string_view reason);
  // Counts one request that finished, by class and outcome ("ok" or a code).
  void CountFinished(absl::string_view klass, absl::string_view outcome);
  // Records the time to first token, in seconds, for `klass`.
  void ObserveFirstToken(absl::string_view klass, double seconds);
  // Records the whole request's duration, in seconds, for `klass`.
  void ObserveDuration(absl::string_view klass, double seconds);
  // Counts one update of the upstream list of `bytes` from a control process,
  // by how it came: "whole", as a "difference", or "unfit" for what is held.
  void CountListUpdate(absl::string_view how, size_t bytes);
  // Records how old the list was, in seconds, when this process heard of it.
  void ObserveListAge(double seconds);
  // Records how long one turn of the loop took, in seconds.
  void ObserveTurn(double seconds) { turns_->Observe(seconds); }
  // Counts one upstream that ended while it had requests of this process, by
  // how that was seen.
  void CountCrash(absl::string_view how);
  // Counts one answer that names a limit on its upstream's requests.
  void CountLimitTold();
  // Counts one answer that asks this process for rest.
  void CountRest();
  // Sets the number of upstreams whose limit is in force.
  void SetLimited(size_t n);
  // Sets the number of requests that are sent nowhere.
  void SetQuarantined(size_t n);
  // Sets the queued requests of `klass`.
  void SetQueued(absl::string_view klass, double n);

  // The registry in the Prometheus text format.
  std::string Render() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>* refusals_;
  prometheus::Family<prometheus::Counter>* retries_;
  prometheus::Family<prometheus::Counter>* finished_;
  prometheus::Family<prometheus::Histogram>* first_token_;
  prometheus::Family<prometheus::Histogram>* duration_;
  prometheus::Family<prometheus::Gauge>* queued_;
  prometheus::Family<prometheus::Counter>* crashes_;
  prometheus::Counter* limits_told_;
  prometheus::Counter* rests_;
  prometheus::Gauge* limited_;
  prometheus::Gauge* quarantined_;
  prometheus::Family<prometheus::Counter>* list_updates_;
  prometheus::Family<prometheus::Counter>* list_bytes_;
  prometheus::Family<prometheus::Histogram>* list_age_;
  prometheus::Histogram* turns_;
};

// The metrics of a control process. Thread safety: loop thread only.
class ControlMetrics {
 public:
  // What fills its memory, in bytes.
  struct Memory {
    size_t config = 0;  // The newest committed document.
    size_t log = 0;     // Log entries beside the snapshot.
    size_t log_entries = 0;
    size_t peers = 0;      // Waits for other control processes to take it.
    size_t watchers = 0;   // Waits for askers to take it.
    size_t heap = 0;       // In use, all together.
    size_t heap_held = 0;  // Taken from the host.
  };
  // What the process holds and believes now.
  struct State {
    Memory memory;
    bool leader = false;
    uint64_t term = 0;
    int64_t config_version = 0;
    size_t voters = 0;
    size_t followers = 0;
    size_t quarantined = 0;  // Requests that are sent nowhere.
    double step_age_s = -1;  // Since it was last in step; negative: never.
    double list_age_s = -1;  // Since the list was read; negative: never.
  };
  ControlMetrics();
  // Counts one operator's call by what it came to, and its time in seconds.
  void ObserveCall(absl::string_view call, absl::string_view outcome,
                   double seconds);
  // Counts one watch answered: with a configuration, a list or nothing new.
  void CountWatch(absl::string_view what);
  // Counts one list told, "whole" or as a "difference", and its bytes.
  void CountListTold(absl::string_view how, size_t bytes);
  // Counts one step of a duty by what it came to.
  void CountDuty(absl::string_view step, absl::string_view outcome);
  // Records how long one turn of the loop took, in seconds.
  void ObserveTurn(double seconds) { turns_->Observe(seconds); }
  void Set(const State& s);
  std::string Render() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Histogram>* calls_;
  prometheus::Family<prometheus::Counter>* watches_;
  prometheus::Family<prometheus::Counter>* lists_;
  prometheus::Family<prometheus::Counter>* list_bytes_;
  prometheus::Family<prometheus::Gauge>* state_;
  prometheus::Family<prometheus::Counter>* duties_;
  prometheus::Histogram* turns_;
};

// `registry` in the Prometheus text format, with the log lines dropped.
std::string RenderRegistry(const prometheus::Registry& registry);

}  // namespace medlarwalk

#endif  // MEDLARWALK_METRICS_H_
