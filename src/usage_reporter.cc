#include "usage_reporter.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_join.h"
#include "log.h"
#include "random_seed.h"

namespace medlarwalk {
namespace {

// Interval between samples of this host's wall clock.
constexpr auto kOwnSampleInterval = Millis(200);
constexpr auto kConnectTimeout = Millis(500);
// Minimum time between attempts to connect to the outside system.
constexpr auto kReconnectDelay = Millis(200);
// Interval at which the leader looks for a window to commit. Each time it goes
// through the counts of a window.
constexpr auto kAssessInterval = Millis(100);
// Time after the end of a window from which on a control process forwards its
// usage without delay. Complete windows are committed by then.
constexpr auto kOverdueAfter = Millis(2000);
// Minimum time between two such reports.
constexpr auto kOverdueInterval = Millis(100);
// Maximum number of missing processes that a log line names.
constexpr size_t kMaxMissingNamed = 8;
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

absl::string_view Name(CommitReason r) {
  return r == CommitReason::kComplete ? "complete" : "last_moment";
}

std::string MissingNames(const WindowReports& r) {
  std::vector<std::string> names;
  for (uint64_t process : r.missing) {
    if (names.size() == kMaxMissingNamed) break;
    names.push_back(UsageProcessName(process));
  }
  return absl::StrJoin(names, ",");
}

// Decodes the usage in a watch request.
absl::StatusOr<UsageReport> DecodeReport(const WatchRequest& r) {
  UsageReport out;
  if (!r.usage.empty()) {
    absl::StatusOr<std::vector<UsageRecord>> d = DecodeUsageRecords(r.usage);
    if (!d.ok()) return d.status();
    out.records = *std::move(d);
  }
  if (!r.usage_states.empty()) {
    absl::StatusOr<std::vector<UsageProcessState>> d =
        DecodeUsageStates(r.usage_states);
    if (!d.ok()) return d.status();
    out.states = *std::move(d);
  }
  return out;
}

}  // namespace

UsageReporter::UsageReporter(struct ev_loop* loop, const Clock& clock,
                             const WallClock& wall, UsageOptions options,
                             std::function<Replica*()> replica,
                             ControlMetrics& metrics)
    : loop_(loop),
      clock_(clock),
      poll_clock_(loop, clock),
      wall_(wall),
      options_(std::move(options)),
      replica_(std::move(replica)),
      metrics_(metrics),
      // Random, with room for more copies than any process sends.
      copies_sent_(static_cast<int64_t>(RandomSeed() >> 2) + 1),
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
  TimePoint now = clock_.Now();
  if (r.unix_ms > 0) group_time_.RecordSample(r.name, r.unix_ms, now);
  if (!reports_usage()) return;
  absl::StatusOr<UsageReport> report = DecodeReport(r);
  if (report.ok()) {
    MergeUsage(r, *report);
  } else {
    LogWarn("bad_usage_records",
            {{"from", r.name}, {"error", report.status().message()}});
  }
  if (LeadingReplica() && IsMember(r.address)) {
    copies_sent_.OnWatch(r.name, r.usage_copy_received, now);
  }
}

void UsageReporter::MergeUsage(const WatchRequest& r,
                               const UsageReport& report) {
  MergeReport(report, &ledger_);
  copies_sent_.RecordReport(report, r.serves_callers);
  if (r.serves_callers && !report.states.empty()) {
    served_processes_[r.name] = report.states.back().process;
  }
  std::optional<int64_t> unix_ms = group_time_.UnixMsAt(clock_.Now());
  if (!unix_ms) return;
  auto overdue = [&](int64_t window) {
    return window > committed_through_ &&
           TimeSinceWindowEnd(window, *unix_ms, options_.policy) >
               kOverdueAfter;
  };
  for (const UsageRecord& u : report.records) {
    if (overdue(u.window)) overdue_report_ = true;
  }
  if (!report.states.empty() && committed_through_ > 0 &&
      overdue(committed_through_ + 1)) {
    overdue_report_ = true;
  }
}

bool UsageReporter::TakeOverdueReport() {
  TimePoint now = clock_.Now();
  if (!overdue_report_ || now - overdue_taken_at_ < kOverdueInterval) {
    return false;
  }
  overdue_taken_at_ = now;
  overdue_report_ = false;
  return true;
}

bool UsageReporter::IsMember(const std::string& address) const {
  Replica* r = replica_();
  if (!r || address.empty()) return false;
  std::vector<Member> members = r->members();
  return std::any_of(members.begin(), members.end(),
                     [&](const Member& m) { return m.address == address; });
}

void UsageReporter::MergePublished(const WatchReply& r) {
  if (r.unix_ms > 0) group_time_.RecordReceivedTime(r.unix_ms, clock_.Now());
  committed_through_ = std::max(committed_through_, r.usage_committed_through);
  if (r.usage_copy.number == 0) return;
  MergeReport(r.usage_copy.report, &copies_held_);
  copy_received_ = r.usage_copy.number;
}

void UsageReporter::FillReply(const std::string& follower, WatchReply* r) {
  TimePoint now = clock_.Now();
  std::optional<int64_t> unix_ms = group_time_.UnixMsAt(now);
  r->unix_ms = unix_ms.value_or(0);
  if (!reports_usage()) return;
  r->usage_committed_through = committed_through_;
  auto it = served_processes_.find(follower);
  if (it != served_processes_.end() && unix_ms) {
    int64_t window = WindowAt(*unix_ms, options_.policy);
    ledger_.processes.RecordServed(it->second, window);
    copies_sent_.RecordServed(it->second, window);
  }
  if (LeadingReplica()) r->usage_copy = copies_sent_.NextCopy(follower, now);
}

void UsageReporter::TakeOverCopies(uint64_t term) {
  if (term == copies_term_) return;
  copies_term_ = term;
  MergeLedger(copies_held_, &ledger_);
  copies_sent_.RecordCopies(copies_held_);
  copies_held_ = UsageLedger();
}

void UsageReporter::DropCommittedWindows() {
  ledger_.DropWindowsThrough(committed_through_);
  copies_sent_.DropWindowsThrough(committed_through_);
  copies_held_.DropWindowsThrough(committed_through_);
  for (auto it = served_processes_.begin(); it != served_processes_.end();) {
    bool known = ledger_.processes.Find(it->second) != nullptr;
    it = known ? std::next(it) : served_processes_.erase(it);
  }
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
    TakeOverCopies(own_replica->term());
  }
  DropCommittedWindows();
  bool silent = poll_clock_.Now() - called_at_ > kCallTimeout;
  if (call_in_flight_ && silent) AbortCall(now);
  Replica* r = LeadingReplica();
  leadership_.UpdateLeadership(r != nullptr, r ? r->term() : 0, now);
  if (!r) {
    copies_sent_.ForgetKeeper();
    return;
  }
  if (deliveries_term_ != r->term()) deliveries_.ClearDeliveries();
  deliveries_term_ = r->term();
  CommitDueWindow(now);
  SendDueReport(now);
}

void UsageReporter::CommitDueWindow(TimePoint now) {
  Replica* r = LeadingReplica();
  if (!r || committing_ || now - assessed_at_ < kAssessInterval) return;
  assessed_at_ = now;
  std::optional<int64_t> unix_ms = group_time_.UnixMsAt(now);
  if (!unix_ms) return;
  const DutyLog::Subject& subject = r->duties().FindSubject(kUsageSubject);
  std::optional<WindowCommit> c = WindowToCommit(
      subject, ledger_, leadership_.LedFor(now), *unix_ms, options_.policy);
  if (!c) return;
  UsageCounts counts = ledger_.counts.SumByAccount(c->window);
  size_t missing = c->reports.missing.size();
  LogEvent("usage_fixing",
           {{"window", c->window},
            {"accounts", counts.size()},
            {"processes", ledger_.counts.CountProcesses(c->window)},
            {"expected", c->reports.expected},
            {"reported", c->reports.expected - missing},
            {"missing", missing},
            {"missing_ids", MissingNames(c->reports)},
            {"reason", Name(c->reason)},
            {"since_end_ms",
             TimeSinceWindowEnd(c->window, *unix_ms, options_.policy).count()},
            {"term", r->term()},
            {"done_through", deliveries_.AcceptedThrough(subject)}});
  committing_ = true;
  DutyRecord record{kUsageSubject, c->window, EncodeUsage(counts),
                    deliveries_.AcceptedThrough(subject)};
  r->ProposeDuty(std::move(record),
                 [this, c = *std::move(c), now](const absl::Status& s) {
                   OnCommitFinished(c, now, s);
                 });
}

void UsageReporter::OnCommitFinished(const WindowCommit& c, TimePoint began_at,
                                     const absl::Status& s) {
  committing_ = false;
  metrics_.CountDutyStep("usage_fixed", s.ok() ? "ok" : "unavailable");
  if (s.ok()) {
    metrics_.CountDutyStep("usage_window",
                           c.reports.complete() ? "complete" : "incomplete");
  }
  LogEvent("usage_fixed", {{"window", c.window},
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
