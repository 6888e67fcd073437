#include "control_load.h"

#include <algorithm>

#include "load_exchange.h"
#include "log.h"
#include "loop_order.h"
#include "random_seed.h"

namespace medlarwalk {
namespace {

// Time for which the consumption of an account is passed on.
constexpr auto kAccountLifetime = Millis(1000);
// Time for which the news that a caller has returned is passed on: some
// messages to each receiver.
constexpr auto kUsedReturnLifetime = Millis(500);
// Bounds of the items kept: a second of reports of 64 accounts from 23 entries,
// and the rows that an entry keeps of promised returns.
constexpr size_t kMaxAccountRows = 16384;
constexpr size_t kMaxReturnRows = 4096;
// Receivers of sums that were not seen for this long are forgotten.
constexpr auto kReceiverMemory = kGoneAfter;

}  // namespace

ControlLoad::ControlLoad(struct ev_loop* loop, const Clock& clock,
                         LinkPool& links,
                         std::function<std::vector<std::string>()> peers,
                         SharedLoadMetrics& metrics)
    : loop_(loop),
      clock_(clock),
      links_(links),
      peers_(std::move(peers)),
      metrics_(metrics),
      process_(RandomSeed()),
      accounts_(kMaxAccountRows),
      returns_(kMaxReturnRows),
      log_limiter_(0.2, 4),
      self_(std::make_shared<ControlLoad*>(this)) {
  InitTimer(&tick_, OnTick, ToSeconds(kLoadInterval), ToSeconds(kLoadInterval));
  tick_.data = this;
}

ControlLoad::~ControlLoad() { ev_timer_stop(loop_, &tick_); }

void ControlLoad::CountDropped(absl::string_view why, TimePoint now) {
  metrics_.CountDropped(why);
  if (log_limiter_.AllowLine(now, true)) {
    LogWarn("engine_load_dropped", {{"why", why}});
  }
}

void ControlLoad::HandleRequest(const H2Request& req,
                                std::shared_ptr<H2Stream> stream) {
  TimePoint now = clock_.Now();
  metrics_.CountReceived(req.body.size());
  absl::StatusOr<EngineLoadMessage> m = DecodeEngineLoad(req.body);
  if (!m.ok() || m->kind == EngineLoadMessage::Kind::kAnswer) {
    CountDropped("unreadable", now);
    stream->Respond(400, {}, "");
    return;
  }
  if (!ev_is_active(&tick_)) ev_timer_again(loop_, &tick_);
  if (m->kind == EngineLoadMessage::Kind::kSum) {
    HandleSum(*m, now);
    stream->Respond(200, {}, "");
    return;
  }
  std::string answer = EncodeEngineLoad(AnswerTo(*m, now));
  metrics_.CountSent(answer.size());
  stream->Respond(200, {}, std::move(answer));
}

void ControlLoad::KeepItems(const EngineLoadMessage& m, bool direct,
                            TimePoint now) {
  for (const AccountTokens& a : m.accounts)
    accounts_.Add(m.process, direct, a, now, now + kAccountLifetime);
  // The newest come first in a message and last in the log.
  for (auto it = m.returns.rbegin(); it != m.returns.rend(); ++it) {
    // A used row has no time left, but must reach the other entries.
    Duration lifetime =
        std::max<Duration>(it->remaining + kReturnGrace, kUsedReturnLifetime);
    returns_.Add(m.process, direct, *it, now, now + lifetime);
  }
}

EngineLoadMessage ControlLoad::AnswerTo(const EngineLoadMessage& report,
                                        TimePoint now) {
  EngineLoadTable::Result result = table_.ApplyReport(
      {report.process, report.seq, report.base_seq, report.records}, now);
  if (result == EngineLoadTable::Result::kOutdated) {
    CountDropped("outdated", now);
  } else if (result == EngineLoadTable::Result::kFull) {
    CountDropped("full", now);
  }
  KeepItems(report, true, now);
  Receiver& to = receivers_[report.process];
  to.seen_at = now;
  EngineLoadSum sum = table_.SumWithout(report.process, now);
  metrics_.SetAge(ToSeconds(sum.oldest));
  EngineLoadMessage m;
  m.kind = EngineLoadMessage::Kind::kAnswer;
  m.process = process_;
  m.seq = report.seq;
  m.send_complete = result == EngineLoadTable::Result::kNeedsComplete;
  m.oldest = Millis(ToMs(sum.oldest));
  m.processes = sum.processes;
  m.records = std::move(sum.records);
  to.paces.Apply(&m.records);
  m.accounts = SumByAccount(accounts_.TakeFor(
      report.process, RelayLog<AccountTokens>::Scope::kAll, now));
  m.returns = NewestReturns(
      returns_.TakeFor(report.process, RelayLog<PromisedReturn>::Scope::kAll,
                       now),
      now);
  return m;
}

void ControlLoad::HandleSum(const EngineLoadMessage& m, TimePoint now) {
  EngineLoadSum sum{m.records, m.oldest, m.processes};
  if (!table_.ApplySum(m.process, m.seq, sum, m.arrivals, now)) {
    CountDropped("outdated", now);
  }
  KeepItems(m, false, now);
}

// Returns whether a sum may be sent to `address` now: at most one message at a
// time, and within the budget of the link.
bool ControlLoad::MaySendSumTo(const std::string& address, TimePoint now) {
  Receiver& to = receivers_[StableHash(address)];
  to.seen_at = now;
  return !to.in_flight && now >= to.not_before &&
         links_.LinkTo(address).usable();
}

// Sends the sum of the processes that report here to each other control
// process.
void ControlLoad::SendSums(TimePoint now) {
  std::vector<std::string> addresses;
  for (std::string& a : peers_())
    if (MaySendSumTo(a, now)) addresses.push_back(std::move(a));
  if (addresses.empty()) return;
  EngineLoadSum sum = table_.DirectSum(now);
  EngineLoadMessage m;
  m.kind = EngineLoadMessage::Kind::kSum;
  m.process = process_;
  m.seq = ++seq_;
  m.oldest = Millis(ToMs(sum.oldest));
  m.processes = sum.processes;
  m.records = std::move(sum.records);
  m.arrivals = table_.Arrivals(now);
  for (const std::string& a : addresses) SendSumTo(a, m, now);
}

void ControlLoad::SendSumTo(const std::string& address, EngineLoadMessage m,
                            TimePoint now) {
  uint64_t id = StableHash(address);
  Receiver& to = receivers_[id];
  to.paces.Apply(&m.records);
  m.accounts = SumByAccount(
      accounts_.TakeFor(id, RelayLog<AccountTokens>::Scope::kDirectOnly, now));
  m.returns = NewestReturns(
      returns_.TakeFor(id, RelayLog<PromisedReturn>::Scope::kDirectOnly, now),
      now);
  std::string bytes = EncodeEngineLoad(m);
  metrics_.CountSent(bytes.size());
  to.in_flight = true;
  to.not_before = now + LoadIntervalFor(bytes.size()) - kLoadInterval / 2;
  auto done = [weak = std::weak_ptr<ControlLoad*>(self_), id](
                  int status, const std::string&) {
    if (auto self = weak.lock()) (*self)->OnSumSent(id, status);
  };
  links_.Post(address, kEngineLoadPath, Payload(std::move(bytes)), done);
}

void ControlLoad::OnSumSent(uint64_t receiver, int status) {
  auto it = receivers_.find(receiver);
  if (it == receivers_.end()) return;
  it->second.in_flight = false;
  if (status != 200) it->second.paces.Reset();
}

void ControlLoad::RemoveExpired(TimePoint now) {
  table_.RemoveExpired(now);
  accounts_.RemoveExpired(now);
  returns_.RemoveExpired(now);
  for (auto it = receivers_.begin(); it != receivers_.end();) {
    bool expired =
        !it->second.in_flight && now - it->second.seen_at >= kReceiverMemory;
    it = expired ? receivers_.erase(it) : std::next(it);
  }
}

void ControlLoad::OnTick(struct ev_loop*, ev_timer* w, int) {
  static_cast<ControlLoad*>(w->data)->Tick();
}

void ControlLoad::Tick() {
  TimePoint now = clock_.Now();
  RemoveExpired(now);
  metrics_.SetProcesses(table_.processes());
  if (table_.has_reporters()) SendSums(now);
  if (table_.empty() && accounts_.empty() && returns_.empty()) {
    ev_timer_stop(loop_, &tick_);
  }
}

}  // namespace medlarwalk
