#include "metrics.h"

#include "absl/strings/str_cat.h"
#include "heap_use.h"
#include "log.h"
#include "prometheus/text_serializer.h"

namespace medlarwalk {
namespace {

const prometheus::Histogram::BucketBoundaries& LatencyBuckets() {
  static const prometheus::Histogram::BucketBoundaries kBuckets = {
      0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};
  return kBuckets;
}

prometheus::Histogram* LoopIterationHistogram(const std::string& prefix,
                                              prometheus::Registry& registry) {
  return &prometheus::BuildHistogram()
              .Name(prefix + "loop_turn_seconds")
              .Help("Time of one turn of the loop, without its wait")
              .Register(registry)
              .Add({}, LatencyBuckets());
}

// Number of client accounts with a series of their own.
constexpr size_t kMaxAccountSeries = 32;

prometheus::MetricFamily AccountFamily(std::string name, std::string help,
                                       const TopCounter& counter) {
  prometheus::MetricFamily out;
  out.name = std::move(name);
  out.help = std::move(help);
  out.type = prometheus::MetricType::Counter;
  auto add = [&out](std::string label, int64_t n) {
    prometheus::ClientMetric m;
    m.label = {{"account", std::move(label)}};
    m.counter.value = static_cast<double>(n);
    out.metric.push_back(std::move(m));
  };
  for (const TopCounter::Entry& e : counter.entries()) add(e.key, e.count);
  add(kOtherAccounts, counter.other());
  return out;
}

}  // namespace

SharedLoadMetrics::SharedLoadMetrics(const std::string& prefix,
                                     prometheus::Registry& registry) {
  auto& bytes = prometheus::BuildCounter()
                    .Name(prefix + "shared_load_bytes_total")
                    .Help("Bytes of messages of engine load, by direction")
                    .Register(registry);
  sent_ = &bytes.Add({{"direction", "sent"}});
  received_ = &bytes.Add({{"direction", "received"}});
  dropped_ = &prometheus::BuildCounter()
                  .Name(prefix + "shared_load_dropped_total")
                  .Help("Messages of engine load not applied, by reason")
                  .Register(registry);
  age_ = &prometheus::BuildGauge()
              .Name(prefix + "shared_load_age_seconds")
              .Help("Age of the known engine load of other processes")
              .Register(registry)
              .Add({});
  processes_ = &prometheus::BuildGauge()
                    .Name(prefix + "shared_load_processes")
                    .Help("Processes whose engine load is known")
                    .Register(registry)
                    .Add({});
}

void SharedLoadMetrics::CountDropped(absl::string_view why) {
  dropped_->Add({{"reason", std::string(why)}}).Increment();
}

ListUnreadGauges::ListUnreadGauges(const std::string& prefix,
                                   prometheus::Registry& registry) {
  auto& family = prometheus::BuildGauge()
                     .Name(prefix + "list_unread")
                     .Help(
                         "Entries of the upstream list that could not be "
                         "read, and whether others may follow them unread")
                     .Register(registry);
  entries = &family.Add({{"what", "entries"}});
  rest = &family.Add({{"what", "rest"}});
}

void ListUnreadGauges::Set(int unread_entries, bool rest_unread) {
  entries->Set(unread_entries);
  rest->Set(rest_unread ? 1 : 0);
}

Metrics::Metrics(absl::string_view role)
    : prefix_("medlarwalk_" + std::string(role) + "_"),
      registry_(std::make_shared<prometheus::Registry>()),
      account_rejections_(kMaxAccountSeries),
      account_late_(kMaxAccountSeries),
      list_unread_(prefix_, *registry_) {
  const std::string& prefix = prefix_;
  rejections_ = &prometheus::BuildCounter()
                     .Name(prefix + "refusals_total")
                     .Help("Requests turned away, by reason")
                     .Register(*registry_);
  malformed_ = &prometheus::BuildCounter()
                    .Name(prefix + "malformed_requests_total")
                    .Help("Requests refused before routing, by reason")
                    .Register(*registry_);
  resumed_streams_ =
      &prometheus::BuildCounter()
           .Name(prefix + "resumed_streams_total")
           .Help(
               "Streams sent to go on, by place and by version of the upstream")
           .Register(*registry_);
  stream_origin_lookups_ =
      &prometheus::BuildCounter()
           .Name(prefix + "stream_origin_lookups_total")
           .Help("Lookups of where a stream began, by result")
           .Register(*registry_);
  entry_peers_ = &prometheus::BuildGauge()
                      .Name(prefix + "peers")
                      .Help("Other entry processes whose address is known")
                      .Register(*registry_)
                      .Add({});
  retries_ = &prometheus::BuildCounter()
                  .Name(prefix + "retries_total")
                  .Help("Retries, by reason")
                  .Register(*registry_);
  finished_ = &prometheus::BuildCounter()
                   .Name(prefix + "finished_total")
                   .Help("Requests finished, by class and outcome")
                   .Register(*registry_);
  first_token_ = &prometheus::BuildHistogram()
                      .Name(prefix + "first_token_seconds")
                      .Help("Time to first token, by class")
                      .Register(*registry_);
  duration_ = &prometheus::BuildHistogram()
                   .Name(prefix + "duration_seconds")
                   .Help("Whole request time, by class")
                   .Register(*registry_);
  first_event_ratio_ =
      &prometheus::BuildHistogram()
           .Name(prefix + "first_event_ratio")
           .Help("Time of a first event in shares of the predicted one")
           .Register(*registry_);
  queued_ = &prometheus::BuildGauge()
                 .Name(prefix + "queued")
                 .Help("Requests waiting, by class")
                 .Register(*registry_);
  upstream_terminations_ =
      &prometheus::BuildCounter()
           .Name(prefix + "upstream_crashes_total")
           .Help("Upstreams that ended under requests, by how seen")
           .Register(*registry_);
  stated_limits_ = &prometheus::BuildCounter()
                        .Name(prefix + "limits_told_total")
                        .Help("Answers that name a limit on their upstream")
                        .Register(*registry_)
                        .Add({});
  backoffs_ = &prometheus::BuildCounter()
                   .Name(prefix + "rests_asked_total")
                   .Help("Answers by which an upstream asks for rest")
                   .Register(*registry_)
                   .Add({});
  limited_upstreams_ = &prometheus::BuildGauge()
                            .Name(prefix + "limited_upstreams")
                            .Help("Upstreams whose own limit is in force")
                            .Register(*registry_)
                            .Add({});
  avoided_upstreams_ = &prometheus::BuildGauge()
                            .Name(prefix + "avoided_upstreams")
                            .Help("Upstreams that get less, by why")
                            .Register(*registry_);
  quarantined_ = &prometheus::BuildGauge()
                      .Name(prefix + "quarantined")
                      .Help("Requests that crash upstreams, sent nowhere")
                      .Register(*registry_)
                      .Add({});
  quarantined_parts_ =
      &prometheus::BuildGauge()
           .Name(prefix + "quarantined_parts")
           .Help("Prompt parts that crash upstreams, sent nowhere")
           .Register(*registry_)
           .Add({});
  returns_ = &prometheus::BuildCounter()
                  .Name(prefix + "returns_total")
                  .Help("Rejected callers told when to return, by what came")
                  .Register(*registry_);
  dropped_return_rows_ = &prometheus::BuildCounter()
                              .Name(prefix + "return_rows_dropped_total")
                              .Help("Rows of such callers that were dropped")
                              .Register(*registry_)
                              .Add({});
  list_updates_ = &prometheus::BuildCounter()
                       .Name(prefix + "list_updates_total")
                       .Help("Updates of the upstream list, by how they came")
                       .Register(*registry_);
  list_bytes_ = &prometheus::BuildCounter()
                     .Name(prefix + "list_bytes_total")
                     .Help("Bytes of these updates, by how they came")
                     .Register(*registry_);
  list_age_ = &prometheus::BuildHistogram()
                   .Name(prefix + "list_age_seconds")
                   .Help("Age of the upstream list when heard of")
                   .Register(*registry_);
  loop_iterations_ = LoopIterationHistogram(prefix, *registry_);
  shared_load_ = std::make_unique<SharedLoadMetrics>(prefix, *registry_);
}

void Metrics::CountRejection(absl::string_view reason) {
  rejections_->Add({{"reason", std::string(reason)}}).Increment();
}

void Metrics::SetListUnread(int entries, bool rest) {
  list_unread_.Set(entries, rest);
}

void ControlMetrics::SetListUnread(int entries, bool rest) {
  list_unread_.Set(entries, rest);
}

void Metrics::CountMalformedRequest(absl::string_view reason) {
  malformed_->Add({{"reason", std::string(reason)}}).Increment();
}

void Metrics::CountAccountRejection(absl::string_view account) {
  account_rejections_.Increment(AccountLabel(account));
}

void Metrics::CountAccountLate(absl::string_view account) {
  account_late_.Increment(AccountLabel(account));
}

void Metrics::CountResumedStream(absl::string_view where,
                                 absl::string_view build) {
  resumed_streams_
      ->Add({{"where", std::string(where)}, {"build", std::string(build)}})
      .Increment();
}

void Metrics::CountStreamOriginLookup(absl::string_view result) {
  stream_origin_lookups_->Add({{"result", std::string(result)}}).Increment();
}

void Metrics::SetEntryPeers(size_t n) {
  entry_peers_->Set(static_cast<double>(n));
}

void Metrics::CountRetry(absl::string_view reason) {
  retries_->Add({{"reason", std::string(reason)}}).Increment();
}

void Metrics::CountFinishedRequest(absl::string_view klass,
                                   absl::string_view outcome) {
  finished_
      ->Add({{"class", std::string(klass)}, {"outcome", std::string(outcome)}})
      .Increment();
}

void Metrics::ObserveFirstToken(absl::string_view klass, double seconds) {
  first_token_->Add({{"class", std::string(klass)}}, LatencyBuckets())
      .Observe(seconds);
}

void Metrics::ObserveFirstEventRatio(absl::string_view klass, double ratio) {
  static const prometheus::Histogram::BucketBoundaries kRatios = {
      0.25, 0.5, 0.75, 0.9, 1.1, 1.33, 2, 4, 8};
  first_event_ratio_->Add({{"class", std::string(klass)}}, kRatios)
      .Observe(ratio);
}

void Metrics::ObserveRequestDuration(absl::string_view klass, double seconds) {
  duration_->Add({{"class", std::string(klass)}}, LatencyBuckets())
      .Observe(seconds);
}

void Metrics::CountListUpdate(absl::string_view how, size_t bytes) {
  prometheus::Labels labels = {{"how", std::string(how)}};
  list_updates_->Add(labels).Increment();
  list_bytes_->Add(labels).Increment(static_cast<double>(bytes));
}

void Metrics::ObserveListAge(double seconds) {
  list_age_->Add({}, LatencyBuckets()).Observe(seconds);
}

void Metrics::CountUpstreamTermination(absl::string_view how) {
  upstream_terminations_->Add({{"how", std::string(how)}}).Increment();
}

void Metrics::CountStatedLimit() { stated_limits_->Increment(); }

void Metrics::CountRequestedBackoff() { backoffs_->Increment(); }

void Metrics::SetLimitedUpstreams(size_t n) {
  limited_upstreams_->Set(static_cast<double>(n));
}

void Metrics::SetAvoidedUpstreams(absl::string_view why, int n) {
  avoided_upstreams_->Add({{"why", std::string(why)}}).Set(n);
}

void Metrics::SetQuarantined(size_t requests, size_t parts) {
  quarantined_->Set(static_cast<double>(requests));
  quarantined_parts_->Set(static_cast<double>(parts));
}

void Metrics::CountReturn(absl::string_view what) {
  returns_->Add({{"what", std::string(what)}}).Increment();
}

void Metrics::CountDroppedReturnRows(uint64_t n) {
  dropped_return_rows_->Increment(static_cast<double>(n));
}

void Metrics::SetQueuedRequests(absl::string_view klass, double n) {
  queued_->Add({{"class", std::string(klass)}}).Set(n);
}

std::string Metrics::Render() const {
  prometheus::TextSerializer serializer;
  return absl::StrCat(
      serializer.Serialize(
          {AccountFamily(prefix_ + "account_refusals_total",
                         "Requests turned away, by client account",
                         account_rejections_),
           AccountFamily(prefix_ + "account_late_total",
                         "First events and answers over target, by account",
                         account_late_)}),
      RenderRegistry(*registry_));
}

ControlMetrics::ControlMetrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      list_unread_("medlarwalk_control_", *registry_) {
  calls_ = &prometheus::BuildHistogram()
                .Name("medlarwalk_control_call_seconds")
                .Help("Operators' calls, by call and outcome")
                .Register(*registry_);
  watches_ = &prometheus::BuildCounter()
                  .Name("medlarwalk_control_watches_total")
                  .Help("Watches answered, by what they told")
                  .Register(*registry_);
  lists_ = &prometheus::BuildCounter()
                .Name("medlarwalk_control_lists_total")
                .Help("Upstream lists told, whole or as a difference")
                .Register(*registry_);
  list_bytes_ = &prometheus::BuildCounter()
                     .Name("medlarwalk_control_list_bytes_total")
                     .Help("Bytes of these lists")
                     .Register(*registry_);
  state_ = &prometheus::BuildGauge()
                .Name("medlarwalk_control_state")
                .Help("What the process holds and believes")
                .Register(*registry_);
  duties_ = &prometheus::BuildCounter()
                 .Name("medlarwalk_control_duties_total")
                 .Help("Steps of duties, by what they came to")
                 .Register(*registry_);
  loop_iterations_ = LoopIterationHistogram("medlarwalk_control_", *registry_);
  shared_load_ =
      std::make_unique<SharedLoadMetrics>("medlarwalk_control_", *registry_);
}

void ControlMetrics::ObserveCall(absl::string_view call,
                                 absl::string_view outcome, double seconds) {
  calls_
      ->Add({{"call", std::string(call)}, {"outcome", std::string(outcome)}},
            LatencyBuckets())
      .Observe(seconds);
}

void ControlMetrics::CountAnsweredWatch(absl::string_view what) {
  watches_->Add({{"told", std::string(what)}}).Increment();
}

void ControlMetrics::CountPublishedList(absl::string_view how, size_t bytes) {
  prometheus::Labels labels = {{"how", std::string(how)}};
  lists_->Add(labels).Increment();
  list_bytes_->Add(labels).Increment(static_cast<double>(bytes));
}

void ControlMetrics::CountDutyStep(absl::string_view step,
                                   absl::string_view outcome) {
  duties_->Add({{"step", std::string(step)}, {"outcome", std::string(outcome)}})
      .Increment();
}

void ControlMetrics::SetState(const State& s) {
  auto set = [this](const char* what, double value) {
    state_->Add({{"what", what}}).Set(value);
  };
  set("leader", s.leader ? 1 : 0);
  set("term", static_cast<double>(s.term));
  set("config_version", static_cast<double>(s.config_version));
  set("voters", static_cast<double>(s.voters));
  set("followers", static_cast<double>(s.followers));
  set("quarantined", static_cast<double>(s.quarantined));
  set("quarantined_parts", static_cast<double>(s.quarantined_parts));
  set("step_age_seconds", s.in_sync_age_s);
  set("list_age_seconds", s.list_age_s);
  set("config_bytes", static_cast<double>(s.memory.config));
  set("log_bytes", static_cast<double>(s.memory.log));
  set("log_entries", static_cast<double>(s.memory.log_entries));
  set("peer_queue_bytes", static_cast<double>(s.memory.peers));
  set("watcher_queue_bytes", static_cast<double>(s.memory.watchers));
}

std::string ControlMetrics::Render() const {
  return RenderRegistry(*registry_);
}

std::string RenderRegistry(const prometheus::Registry& registry) {
  prometheus::TextSerializer serializer;
  HeapUse heap = ReadHeapUse();
  return absl::StrCat(serializer.Serialize(registry.Collect()),
                      "# TYPE medlarwalk_heap_bytes gauge\n"
                      "medlarwalk_heap_bytes{what=\"in_use\"} ",
                      heap.in_use, "\nmedlarwalk_heap_bytes{what=\"held\"} ",
                      heap.held,
                      "\n"
                      "# TYPE medlarwalk_log_lines_dropped_total counter\n"
                      "medlarwalk_log_lines_dropped_total ",
                      LogLinesDropped(), "\n");
}

}  // namespace medlarwalk
