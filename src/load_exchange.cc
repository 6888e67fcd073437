#include "load_exchange.h"

#include <algorithm>

#include "log.h"
#include "loop_order.h"

namespace medlarwalk {
namespace {

constexpr double kLinkBytesPerSecond = 16'000;
// HTTP/2 frames and the headers of TCP and IP of one message and its
// acknowledgment.
constexpr size_t kFramingBytes = 150;
// Time without an answer after which the next control process is tried: until
// then this process's last report counts wholly.
constexpr auto kAnswerTimeout = kWholeUntil;
// Time for which a control process that failed is not preferred.
constexpr auto kAvoidTime = Millis(3000);
// Time after a failure before the same control process is tried again if all
// others have failed as well.
constexpr auto kRetryDelay = Millis(250);
// Time after the last work during which reports are still sent, so that the
// others learn of the end and a short pause costs no view of the others.
constexpr auto kReportAfterWork = Millis(2000);
// Items older than this are not sent: consumption counts for a second, and
// promises are for about as long.
constexpr auto kItemLifetime = Millis(1000);
// Time without usable shared load, while reporting, that is logged as a loss.
constexpr auto kLossTime = Millis(1000);

}  // namespace

Duration LoadIntervalFor(size_t bytes) {
  return std::max<Duration>(
      kLoadInterval, ClampedSeconds(static_cast<double>(bytes + kFramingBytes) /
                                    kLinkBytesPerSecond));
}

LoadExchange::LoadExchange(struct ev_loop* loop, const Clock& clock,
                           uint64_t process, LoadExchangeHooks hooks,
                           SharedEngineLoad& shared, SharedLoadMetrics& metrics)
    : loop_(loop),
      clock_(clock),
      poll_clock_(loop, clock),
      hooks_(std::move(hooks)),
      shared_(shared),
      metrics_(metrics),
      reporter_(process),
      log_limiter_(0.2, 4) {
  InitTimer(&tick_, OnTick, ToSeconds(kLoadInterval), ToSeconds(kLoadInterval));
  tick_.data = this;
}

LoadExchange::~LoadExchange() { SetActive(false); }

void LoadExchange::SetActive(bool active) {
  if (active_ == active) return;
  active_ = active;
  if (active) {
    links_ = std::make_unique<LinkPool>(loop_, clock_);
    ev_timer_again(loop_, &tick_);
    return;
  }
  ev_timer_stop(loop_, &tick_);
  CancelPost();
  reporter_.OnLost();
  links_.reset();
  reporting_ = false;
  lost_ = false;
}

void LoadExchange::CancelPost() {
  if (in_flight_ && stream_) links_->LinkTo(target_).Cancel(stream_);
  in_flight_ = false;
  stream_ = 0;
  accounts_.OnLost();
  returns_.OnLost();
}

void LoadExchange::CollectItems(TimePoint now) {
  if (hooks_.take_accounts) accounts_.Add(hooks_.take_accounts(), now);
  if (hooks_.take_returns) returns_.Add(hooks_.take_returns(), now);
  accounts_.RemoveOlderThan(kItemLifetime, now);
  returns_.RemoveOlderThan(kItemLifetime, now);
}

// Returns the first control process that has not failed recently; if all have,
// the one whose failure is oldest, or "" if that was a moment ago.
std::string LoadExchange::ChooseTarget(TimePoint now) const {
  std::string best;
  TimePoint best_until = TimePoint::max();
  for (const std::string& t : hooks_.targets()) {
    auto it = avoid_until_.find(t);
    TimePoint until = it == avoid_until_.end() ? TimePoint{} : it->second;
    if (until <= now) return t;
    if (until < best_until) {
      best = t;
      best_until = until;
    }
  }
  return best_until - kAvoidTime + kRetryDelay <= now ? best : "";
}

void LoadExchange::Post(absl::Span<const EngineRecord> own, TimePoint now) {
  std::string target = ChooseTarget(now);
  if (target.empty()) return;
  if (target != target_) reporter_.OnLost();
  target_ = target;
  EngineLoadReport report = reporter_.Next(own);
  EngineLoadMessage m;
  m.process = report.process;
  m.seq = report.seq;
  m.base_seq = report.base_seq;
  m.records = std::move(report.records);
  m.accounts = SumByAccount(accounts_.Send());
  m.returns = NewestReturns(returns_.Send(), now);
  std::string bytes = EncodeEngineLoad(m);
  metrics_.CountSent(bytes.size());
  in_flight_ = true;
  posted_at_ = now;
  posted_bytes_ = bytes.size();
  uint64_t number = ++number_;
  int32_t stream =
      links_->Post(target_, kEngineLoadPath, Payload(std::move(bytes)),
                   [this, number](int status, const std::string& body) {
                     OnDone(number, status, body);
                   });
  if (in_flight_) stream_ = stream;
}

void LoadExchange::OnDone(uint64_t number, int status,
                          const std::string& body) {
  if (!in_flight_ || number != number_) return;
  TimePoint now = clock_.Now();
  metrics_.CountReceived(body.size());
  absl::StatusOr<EngineLoadMessage> m =
      status == 200 ? DecodeEngineLoad(body)
                    : absl::StatusOr<EngineLoadMessage>(
                          absl::UnavailableError("no answer"));
  if (!m.ok() || m->kind != EngineLoadMessage::Kind::kAnswer) {
    if (status == 200) metrics_.CountDropped("unreadable");
    OnFailure(m.ok() ? "not an answer" : m.status().message());
    return;
  }
  in_flight_ = false;
  stream_ = 0;
  accounts_.OnDelivered();
  returns_.OnDelivered();
  reporter_.OnAnswer(m->send_complete);
  avoid_until_.erase(target_);
  // Half an interval less, as the timer that sends the next report has this
  // interval.
  not_before_ = posted_at_ - kLoadInterval / 2 +
                LoadIntervalFor(std::max(posted_bytes_, body.size()));
  // The sum was made between the post and now.
  shared_.Apply(m->records, m->oldest + (now - posted_at_), now);
  metrics_.SetProcesses(m->processes);
  if (hooks_.on_answer) hooks_.on_answer(*m);
}

void LoadExchange::OnFailure(absl::string_view why) {
  TimePoint now = clock_.Now();
  CancelPost();
  reporter_.OnLost();
  avoid_until_[target_] = now + kAvoidTime;
  if (log_limiter_.AllowLine(now, true)) {
    LogEvent("load_report_failed", {{"control", target_},
                                    {"why", why},
                                    {"waited_ms", ToMs(now - posted_at_)}});
  }
}

// Logs when this process loses or regains shared load that it needs.
void LoadExchange::ReportState(TimePoint now) {
  Duration age = shared_.Age(now);
  if (reporting_ && age != Duration::max()) metrics_.SetAge(ToSeconds(age));
  bool usable = shared_.usable(now);
  bool lost = reporting_ && now - reporting_since_ > kLossTime && !usable;
  if (lost == lost_ || (!lost && !usable)) return;
  lost_ = lost;
  if (!log_limiter_.AllowLine(now, true)) return;
  int64_t age_ms = age == Duration::max() ? -1 : ToMs(age);
  if (lost) {
    LogWarn("shared_load_lost", {{"control", target_}, {"age_ms", age_ms}});
  } else {
    LogEvent("shared_load_regained",
             {{"control", target_}, {"age_ms", age_ms}});
  }
}

void LoadExchange::OnTick(struct ev_loop*, ev_timer* w, int) {
  static_cast<LoadExchange*>(w->data)->Tick();
}

void LoadExchange::Tick() {
  TimePoint now = clock_.Now();
  CollectItems(now);
  ReportState(now);
  if (in_flight_) {
    if (poll_clock_.Now() - posted_at_ < kAnswerTimeout) return;
    OnFailure("silent");
  }
  std::vector<EngineRecord> own = hooks_.own_records();
  bool has_work = !own.empty() || !accounts_.empty() || !returns_.empty();
  if (has_work) last_work_at_ = now;
  if (last_work_at_ == TimePoint{} || now - last_work_at_ > kReportAfterWork) {
    // The control process forgets this one while it does not report.
    if (reporting_) reporter_.OnLost();
    reporting_ = false;
    return;
  }
  if (!reporting_) reporting_since_ = now;
  reporting_ = true;
  if (now < not_before_) return;
  Post(own, now);
}

}  // namespace medlarwalk
