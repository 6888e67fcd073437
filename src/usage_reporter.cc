#include "usage_reporter.h"

#include <algorithm>
#include <utility>

#include "log.h"

namespace medlarwalk {
namespace {

// Time that a new leader waits before it commits a window, so that followers
// can first report their counts to it. Covers two watch intervals and two
// report intervals.
constexpr auto kSettleTime = Millis(1600);
// Interval between samples of this host's wall clock.
constexpr auto kOwnSampleInterval = Millis(200);
constexpr auto kConnectTimeout = Millis(500);
// Minimum time between attempts to connect to the outside system.
constexpr auto kReconnectDelay = Millis(200);
// Time without an answer after which a call to the outside system is aborted.
// The outside system may still execute the call.
constexpr auto kCallTimeout = Millis(1000);
// Maximum share of the allowed duty calls per second that usage reports may
// use.
constexpr double kCallRateShare = 0.5;

absl::string_view Name(DutyAnswer a) {
  switch (a) {
    case DutyAnswer::kAccepted:
      return "accepted";
    case DutyAnswer::kRefused:
      return "refused";
    case DutyAnswer::kFailed:
      return "failed";
  }
  return "";
}

}  // namespace

UsageReporter::UsageReporter(struct ev_loop* loop, const Clock& clock,
                             const WallClock& wall, UsageOptions options,
                             std::function<Replica*()> replica,
                             ControlMetrics& metrics)
    : loop_(loop),
      clock_(clock),
      wall_(wall),
      options_(std::move(options)),
      replica_(std::move(replica)),
      metrics_(metrics),
      leadership_(options_.leadership),
      deliveries_(options_.policy) {}

UsageReporter::~UsageReporter() {
  if (client_) client_->Cancel();
}

Replica* UsageReporter::LeadingReplica() const {
  Replica* r = replica_();
  return r && r->role() == ReplicaRole::kLeader ? r : nullptr;
}

void UsageReporter::MergeFollowerReport(const WatchRequest& r) {
  if (r.unix_ms > 0) group_time_.RecordSample(r.name, r.unix_ms, clock_.Now());
  if (!reports_usage() || r.usage.empty()) return;
  absl::StatusOr<std::vector<UsageRecord>> records =
      DecodeUsageRecords(r.usage);
  if (!records.ok()) {
    LogWarn("bad_usage_records",
            {{"from", r.name}, {"error", records.status().message()}});
    return;
  }
  usage_table_.MergeRecords(*records);
}

void UsageReporter::MergePublished(const WatchReply& r) {
  if (r.unix_ms > 0) group_time_.RecordReceivedTime(r.unix_ms, clock_.Now());
  committed_through_ = std::max(committed_through_, r.usage_committed_through);
}

void UsageReporter::SetGroupTimeAndCommittedWindow(WatchReply* r) const {
  r->unix_ms = group_time_.UnixMsAt(clock_.Now()).value_or(0);
  if (!reports_usage()) return;
  r->usage_committed_through = committed_through_;
}

void UsageReporter::SampleOwnClock(TimePoint now) {
  if (now - own_sample_at_ < kOwnSampleInterval) return;
  own_sample_at_ = now;
  group_time_.RecordSample(options_.name, wall_.UnixNow().count(), now);
}

void UsageReporter::Tick() {
  TimePoint now = clock_.Now();
  SampleOwnClock(now);
  if (!reports_usage()) return;
  if (Replica* own_replica = replica_()) {
    committed_through_ = std::max(
        committed_through_,
        own_replica->duties().FindSubject(kUsageSubject).committed_through);
  }
  usage_table_.DropWindowsThrough(committed_through_);
  if (call_in_flight_ && now - called_at_ > kCallTimeout) AbortCall(now);
  Replica* r = LeadingReplica();
  leadership_.UpdateLeadership(r != nullptr, r ? r->term() : 0, now);
  if (!r) return;
  if (deliveries_term_ != r->term()) deliveries_.ClearDeliveries();
  deliveries_term_ = r->term();
  CommitDueWindow(now);
  SendDueReport(now);
}

void UsageReporter::CommitDueWindow(TimePoint now) {
  Replica* r = LeadingReplica();
  if (!r || committing_ || !leadership_.HasLedFor(kSettleTime, now)) return;
  std::optional<int64_t> unix_ms = group_time_.UnixMsAt(now);
  if (!unix_ms) return;
  const DutyLog::Subject& subject = r->duties().FindSubject(kUsageSubject);
  std::optional<int64_t> window =
      WindowToCommit(subject, usage_table_, *unix_ms, options_.policy);
  if (!window) return;
  UsageCounts counts = usage_table_.SumByAccount(*window);
  LogEvent("usage_fixing",
           {{"window", *window},
            {"accounts", counts.size()},
            {"processes", usage_table_.CountProcesses(*window)},
            {"since_end_ms",
             TimeSinceWindowEnd(*window, *unix_ms, options_.policy).count()},
            {"term", r->term()},
            {"done_through", deliveries_.AcceptedThrough(subject)}});
  committing_ = true;
  DutyRecord record{kUsageSubject, *window, EncodeUsage(counts),
                    deliveries_.AcceptedThrough(subject)};
  r->ProposeDuty(std::move(record),
                 [this, window = *window, now](const absl::Status& s) {
                   OnCommitFinished(window, now, s);
                 });
}

void UsageReporter::OnCommitFinished(int64_t window, TimePoint began_at,
                                     const absl::Status& s) {
  committing_ = false;
  metrics_.CountDutyStep("usage_fixed", s.ok() ? "ok" : "unavailable");
  LogEvent("usage_fixed", {{"window", window},
                           {"ms", ToMs(clock_.Now() - began_at)},
                           {"outcome", s.ok() ? "ok" : s.message()}});
}

void UsageReporter::SendDueReport(TimePoint now) {
  Replica* r = LeadingReplica();
  if (!r || call_in_flight_ || !leadership_.IsHolder(now)) return;
  if (options_.calls_per_s > 0 &&
      now - called_at_ <
          ClampedSeconds(1 / (options_.calls_per_s * kCallRateShare))) {
    return;
  }
  const DutyLog::Subject& subject = r->duties().FindSubject(kUsageSubject);
  std::optional<int64_t> window = deliveries_.NextToSend(subject, now);
  // The connection to the outside system is opened before the leadership is
  // confirmed, because the confirmation must be recent when the call is sent.
  if (!window || !EnsureConnected(now)) return;
  std::optional<uint64_t> token = leadership_.UsableToken(now);
  if (token) {
    SendReport(*window, *token, now);
  } else {
    ConfirmLeadershipAndSend(now);
  }
}

bool UsageReporter::EnsureConnected(TimePoint now) {
  if (client_ && client_->open()) return client_->established();
  if (now < next_connect_at_) return false;
  next_connect_at_ = now + kReconnectDelay;
  client_ =
      Http1Client::Open(loop_, clock_, options_.endpoint, kConnectTimeout);
  return false;
}

void UsageReporter::ConfirmLeadershipAndSend(TimePoint now) {
  Replica* r = LeadingReplica();
  if (!r || confirmation_pending_) return;
  confirmation_pending_ = true;
  r->ReadBarrier([this, term = r->term(), now](const absl::Status& s) {
    confirmation_pending_ = false;
    if (!s.ok()) return;
    leadership_.RecordConfirmation(term, now);
    SendDueReport(clock_.Now());
  });
}

void UsageReporter::SendReport(int64_t window, uint64_t token, TimePoint now) {
  const DutyLog::Subject& subject =
      LeadingReplica()->duties().FindSubject(kUsageSubject);
  absl::StatusOr<UsageCounts> counts = DecodeUsage(*subject.open.at(window));
  if (!counts.ok()) {
    LogWarn("usage_unreadable",
            {{"window", window}, {"error", counts.status().message()}});
    deliveries_.RecordAccepted(window);
    return;
  }
  call_in_flight_ = true;
  called_window_ = window;
  called_token_ = token;
  called_at_ = now;
  status_ = 0;
  UpstreamCall call;
  std::string body;
  call.request =
      options_.encode(DutyCaller{options_.name, token}, window, *counts, &body);
  call.on_head = [this](const MessageHead& h) {
    status_ = h.status;
    return true;
  };
  call.on_body = [](absl::string_view) {};
  call.on_end = [this, window, token](CallEnd end, absl::string_view) {
    OnCallEnded(window, token, end == CallEnd::kWhole);
  };
  client_->Start(std::move(call));
}

void UsageReporter::AbortCall(TimePoint now) {
  client_->Cancel();
  client_.reset();
  next_connect_at_ = now;
  status_ = 0;
  OnCallEnded(called_window_, called_token_, false);
}

void UsageReporter::OnCallEnded(int64_t window, uint64_t token, bool complete) {
  if (!call_in_flight_) return;
  call_in_flight_ = false;
  TimePoint now = clock_.Now();
  DutyAnswer answer =
      complete ? options_.interpret_status(status_) : DutyAnswer::kFailed;
  if (answer == DutyAnswer::kAccepted) deliveries_.RecordAccepted(window);
  if (answer == DutyAnswer::kRefused) leadership_.RecordRefusal(token);
  if (answer == DutyAnswer::kFailed) deliveries_.RecordFailed(window, now);
  metrics_.CountDutyStep("usage_sent", Name(answer));
  std::optional<int64_t> unix_ms = group_time_.UnixMsAt(now);
  LogEvent(
      "usage_sent",
      {{"window", window},
       {"token", token},
       {"outcome", Name(answer)},
       {"status", status_},
       {"ms", ToMs(now - called_at_)},
       {"since_end_ms",
        unix_ms ? TimeSinceWindowEnd(window, *unix_ms, options_.policy).count()
                : -1}});
}

}  // namespace medlarwalk
