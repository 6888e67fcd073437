// The entry's side of the exchange of engine load: reports this process's work
// to a control process and receives the work of all others.
//
// Load pattern: all entries place requests at the same engines within a few
// hundred milliseconds. The exchange is apart from the watch, whose answers
// carry configurations and are held open: a report has its own pace, its own
// time limit and its own connection.
#ifndef MEDLARWALK_LOAD_EXCHANGE_H_
#define MEDLARWALK_LOAD_EXCHANGE_H_

#include <ev.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "engine_load_wire.h"
#include "engine_reporter.h"
#include "link_pool.h"
#include "load_outbox.h"
#include "log_rate_limiter.h"
#include "metrics.h"
#include "poll_clock.h"
#include "shared_engine_load.h"
#include "types.h"

namespace medlarwalk {

// Time between two messages to one receiver. A report passes up to three of
// these intervals (entry, two control processes, entry) and three transmissions
// within the 300 ms in which it must reach every entry.
inline constexpr auto kLoadInterval = Millis(90);

// Returns the time between two messages of `bytes` bytes: kLoadInterval, or
// longer so that they stay within 16 kB/s of a host's link.
Duration LoadIntervalFor(size_t bytes);

// What the exchange takes from its process and gives to it.
struct LoadExchangeHooks {
  // Returns the addresses of control processes, the preferred one first.
  std::function<std::vector<std::string>()> targets;
  // Returns this process's work and observed paces.
  std::function<std::vector<EngineRecord>()> own_records;
  // Return what this process has to tell since the last call. May be empty.
  std::function<std::vector<AccountTokens>()> take_accounts;
  std::function<std::vector<PromisedReturn>()> take_returns;
  // Called with each answer, after it was applied to the shared load. Some
  // returns may have been received before. May be empty.
  std::function<void(const EngineLoadMessage&)> on_answer;
};

// One exchange per process. Thread safety: loop thread only.
class LoadExchange {
 public:
  // `process`: random id of this process, new at each start. Precondition: the
  // referenced arguments outlive this object.
  LoadExchange(struct ev_loop* loop, const Clock& clock, uint64_t process,
               LoadExchangeHooks hooks, SharedEngineLoad& shared,
               SharedLoadMetrics& metrics);
  ~LoadExchange();
  LoadExchange(const LoadExchange&) = delete;
  LoadExchange& operator=(const LoadExchange&) = delete;

  // Starts or stops the exchange. While it is stopped, no timer runs and no
  // connection is open.
  void SetActive(bool active);

 private:
  static void OnTick(struct ev_loop* loop, ev_timer* w, int revents);
  void Tick();
  void CollectItems(TimePoint now);
  std::string ChooseTarget(TimePoint now) const;
  void Post(absl::Span<const EngineRecord> own, TimePoint now);
  void OnDone(uint64_t number, int status, const std::string& body);
  void OnFailure(absl::string_view why);
  void CancelPost();
  void ReportState(TimePoint now);

  struct ev_loop* loop_;
  const Clock& clock_;
  PollClock poll_clock_;  // The silence of a target is judged at this time.
  LoadExchangeHooks hooks_;
  SharedEngineLoad& shared_;
  SharedLoadMetrics& metrics_;
  EngineReporter reporter_;
  std::unique_ptr<LinkPool> links_;
  bool active_ = false;
  std::string target_;
  // Targets that failed, and the time until which others are preferred.
  std::map<std::string, TimePoint> avoid_until_;
  bool in_flight_ = false;
  uint64_t number_ = 0;  // Number of the last post.
  int32_t stream_ = 0;
  TimePoint posted_at_{};
  size_t posted_bytes_ = 0;
  TimePoint not_before_{};
  TimePoint last_work_at_{};
  LoadOutbox<AccountTokens> accounts_;
  LoadOutbox<PromisedReturn> returns_;
  // Since when this process has reported without a longer pause.
  bool reporting_ = false;
  TimePoint reporting_since_{};
  bool lost_ = false;  // The loss of shared load was logged.
  LogRateLimiter log_limiter_;
  ev_timer tick_{};
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_LOAD_EXCHANGE_H_
