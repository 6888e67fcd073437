#include "metrics.h"

#include "prometheus/text_serializer.h"

namespace medlarwalk {
namespace {

const prometheus::Histogram::BucketBoundaries& LatencyBuckets() {
  static const prometheus::Histogram::BucketBoundaries kBuckets = {
      0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};
  return kBuckets;
}

}  // namespace

Metrics::Metrics(absl::string_view role)
    : registry_(std::make_shared<prometheus::Registry>()) {
  std::string prefix = "medlarwalk_" + std::string(role) + "_";
  refusals_ = &prometheus::BuildCounter()
                   .Name(prefix + "refusals_total")
                   .Help("Requests turned away, by reason")
                   .Register(*registry_);
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
  queued_ = &prometheus::BuildGauge()
                 .Name(prefix + "queued")
                 .Help("Requests waiting, by class")
                 .Register(*registry_);
}

void Metrics::CountRefusal(absl::string_view reason) {
  refusals_->Add({{"reason", std::string(reason)}}).Increment();
}

void Metrics::CountRetry(absl::string_view reason) {
  retries_->Add({{"reason", std::string(reason)}}).Increment();
}

void Metrics::CountFinished(absl::string_view klass,
                            absl::string_view outcome) {
  finished_
      ->Add({{"class", std::string(klass)}, {"outcome", std::string(outcome)}})
      .Increment();
}

void Metrics::ObserveFirstToken(absl::string_view klass, double seconds) {
  first_token_->Add({{"class", std::string(klass)}}, LatencyBuckets())
      .Observe(seconds);
}

void Metrics::ObserveDuration(absl::string_view klass, double seconds) {
  duration_->Add({{"class", std::string(klass)}}, LatencyBuckets())
      .Observe(seconds);
}

void Metrics::SetQueued(absl::string_view klass, double n) {
  queued_->Add({{"class", std::string(klass)}}).Set(n);
}

std::string Metrics::Render() const {
  prometheus::TextSerializer serializer;
  return serializer.Serialize(registry_->Collect());
}

}  // namespace medlarwalk
