#include "usage_reporter.h"

#include <algorithm>
#include <utility>

#include "log.h"

namespace medlarwalk {
namespace {

// A new leader fixes nothing before those who follow it have told it what they
// hold: a watch, the telling interval, and the same once more.
constexpr auto kSettle = Millis(1600);
constexpr auto kOwnTimeInterval = Millis(200);
constexpr auto kConnectTimeout = Millis(500);
// After a connection that was not made.
constexpr auto kConnectPause = Millis(200);
// A call without an answer is given up after this; it may still be taken.
constexpr auto kCallTimeout = Millis(1000);
// Of the calls a second that all processes may make.
constexpr double kShareOfCalls = 0.5;

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
      turn_(options_.turn),
      sendings_(options_.policy) {}

UsageReporter::~UsageReporter() {
  if (client_) client_->Cancel();
}

Replica* UsageReporter::Leading() const {
  Replica* r = replica_();
  return r && r->role() == ReplicaRole::kLeader ? r : nullptr;
}

void UsageReporter::TakeReport(const WatchRequest& r) {
  if (r.unix_ms > 0) time_.NoteSample(r.name, r.unix_ms, clock_.Now());
  if (!reports() || r.usage.empty()) return;
  absl::StatusOr<std::vector<UsageRecord>> records =
      DecodeUsageRecords(r.usage);
  if (!records.ok()) {
    LogWarn("bad_usage_records",
            {{"from", r.name}, {"error", records.status().message()}});
    return;
  }
  book_.Join(*records);
}

void UsageReporter::TakeTold(const WatchReply& r) {
  if (r.unix_ms > 0) time_.NoteTold(r.unix_ms, clock_.Now());
  told_fixed_ = std::max(told_fixed_, r.usage_fixed);
}

void UsageReporter::Fill(WatchReply* r) const {
  r->unix_ms = time_.UnixMs(clock_.Now()).value_or(0);
  if (!reports()) return;
  r->usage_fixed = told_fixed_;
}

void UsageReporter::NoteOwnTime(TimePoint now) {
  if (now - own_time_at_ < kOwnTimeInterval) return;
  own_time_at_ = now;
  time_.NoteSample(options_.name, wall_.UnixNow().count(), now);
}

void UsageReporter::Tick() {
  TimePoint now = clock_.Now();
  NoteOwnTime(now);
  if (!reports()) return;
  if (Replica* any = replica_()) {
    told_fixed_ =
        std::max(told_fixed_, any->duties().Of(kUsageSubject).fixed_through);
  }
  book_.DropThrough(told_fixed_);
  if (calling_ && now - called_at_ > kCallTimeout) GiveUpCall(now);
  Replica* r = Leading();
  turn_.NoteLead(r != nullptr, r ? r->term() : 0, now);
  if (!r) return;
  if (led_term_ != r->term()) sendings_.Reset();
  led_term_ = r->term();
  Fix(now);
  Send(now);
}

void UsageReporter::Fix(TimePoint now) {
  Replica* r = Leading();
  if (!r || fixing_ || !turn_.LedFor(kSettle, now)) return;
  std::optional<int64_t> unix_ms = time_.UnixMs(now);
  if (!unix_ms) return;
  const DutyLog::Subject& fixed = r->duties().Of(kUsageSubject);
  std::optional<int64_t> window =
      WindowToFix(fixed, book_, *unix_ms, options_.policy);
  if (!window) return;
  UsageCounts counts = book_.Sum(*window);
  LogEvent(
      "usage_fixing",
      {{"window", *window},
       {"accounts", counts.size()},
       {"processes", book_.Processes(*window)},
       {"since_end_ms", SinceEnd(*window, *unix_ms, options_.policy).count()},
       {"term", r->term()},
       {"done_through", sendings_.DoneThrough(fixed)}});
  fixing_ = true;
  DutyRecord record{kUsageSubject, *window, EncodeUsage(counts),
                    sendings_.DoneThrough(fixed)};
  r->ProposeDuty(std::move(record),
                 [this, window = *window, now](const absl::Status& s) {
                   NoteFixed(window, now, s);
                 });
}

void UsageReporter::NoteFixed(int64_t window, TimePoint began,
                              const absl::Status& s) {
  fixing_ = false;
  metrics_.CountDuty("usage_fixed", s.ok() ? "ok" : "unavailable");
  LogEvent("usage_fixed", {{"window", window},
                           {"ms", ToMs(clock_.Now() - began)},
                           {"outcome", s.ok() ? "ok" : s.message()}});
}

void UsageReporter::Send(TimePoint now) {
  Replica* r = Leading();
  if (!r || calling_ || !turn_.Holds(now)) return;
  if (options_.calls_per_s > 0 &&
      now - called_at_ <
          BoundedSeconds(1 / (options_.calls_per_s * kShareOfCalls))) {
    return;
  }
  const DutyLog::Subject& fixed = r->duties().Of(kUsageSubject);
  std::optional<int64_t> window = sendings_.Next(fixed, now);
  // Connected first: the confirmation must be fresh when the call leaves.
  if (!window || !Connected(now)) return;
  std::optional<uint64_t> token = turn_.Token(now);
  if (token) {
    Call(*window, *token, now);
  } else {
    Confirm(now);
  }
}

bool UsageReporter::Connected(TimePoint now) {
  if (client_ && client_->open()) return client_->established();
  if (now < connect_not_before_) return false;
  connect_not_before_ = now + kConnectPause;
  client_ = Http1Client::Open(loop_, clock_, options_.at, kConnectTimeout);
  return false;
}

void UsageReporter::Confirm(TimePoint now) {
  Replica* r = Leading();
  if (!r || confirming_) return;
  confirming_ = true;
  r->ReadBarrier([this, term = r->term(), now](const absl::Status& s) {
    confirming_ = false;
    if (!s.ok()) return;
    turn_.NoteConfirmed(term, now);
    Send(clock_.Now());
  });
}

void UsageReporter::Call(int64_t window, uint64_t token, TimePoint now) {
  const DutyLog::Subject& fixed = Leading()->duties().Of(kUsageSubject);
  absl::StatusOr<UsageCounts> counts = DecodeUsage(*fixed.open.at(window));
  if (!counts.ok()) {
    LogWarn("usage_unreadable",
            {{"window", window}, {"error", counts.status().message()}});
    sendings_.NoteAccepted(window);
    return;
  }
  calling_ = true;
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
    CallEnded(window, token, end == CallEnd::kWhole);
  };
  client_->Start(std::move(call));
}

void UsageReporter::GiveUpCall(TimePoint now) {
  client_->Cancel();
  client_.reset();
  connect_not_before_ = now;
  status_ = 0;
  CallEnded(called_window_, called_token_, false);
}

void UsageReporter::CallEnded(int64_t window, uint64_t token, bool whole) {
  if (!calling_) return;
  calling_ = false;
  TimePoint now = clock_.Now();
  DutyAnswer answer = whole ? options_.read(status_) : DutyAnswer::kFailed;
  if (answer == DutyAnswer::kAccepted) sendings_.NoteAccepted(window);
  if (answer == DutyAnswer::kRefused) turn_.NoteRefused(token);
  if (answer == DutyAnswer::kFailed) sendings_.NoteFailed(window, now);
  metrics_.CountDuty("usage_sent", Name(answer));
  std::optional<int64_t> unix_ms = time_.UnixMs(now);
  LogEvent(
      "usage_sent",
      {{"window", window},
       {"token", token},
       {"outcome", Name(answer)},
       {"status", status_},
       {"ms", ToMs(now - called_at_)},
       {"since_end_ms",
        unix_ms ? SinceEnd(window, *unix_ms, options_.policy).count() : -1}});
}

}  // namespace medlarwalk
