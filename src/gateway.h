// The life of a request at an entry process: found its route and account,
// waits for a place, goes to an upstream, is moved where that is allowed, and
// gets one final answer. Decisions are in placement and waiting; this file
// and upstream_pool do the input and output.
#ifndef MEDLARWALK_GATEWAY_H_
#define MEDLARWALK_GATEWAY_H_

#include <ev.h>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "caller_server.h"
#include "crash_watch.h"
#include "dialect.h"
#include "errors.h"
#include "event_stream.h"
#include "limit_book.h"
#include "limit_turns.h"
#include "metrics.h"
#include "part_memory.h"
#include "placement.h"
#include "quarantine.h"
#include "reading_gate.h"
#include "retry_budget.h"
#include "routing_config.h"
#include "tier_guard.h"
#include "upstream_link.h"
#include "upstream_pool.h"
#include "waiting.h"

namespace medlarwalk {

struct GatewayOptions {
  std::string data_centre;
  RetryAllowance retry;
  PlacementPolicy placement;
  WaitingPolicy waiting;
  ReadingGatePolicy reading;
  TierGuardPolicy tiers;
  // Part of an upstream's connections that the entries use together; the rest
  // covers entries that are not known yet or any more.
  double connection_share = 0.8;
  // For this long since it was last told that its configuration is the newest
  // (NoteInStep), an entry refuses for good what that does not allow. Zero: it
  // always does.
  Duration config_trust{};
  // A request of `account` has begun to run at an upstream, as far as its
  // answer tells. May be empty.
  std::function<void(const std::string& account)> on_run;
  // The time that all processes share, since any one moment. When empty: the
  // clock's.
  std::function<Millis(TimePoint now)> shared_time;
  // How upstreams are reached; HTTP/1.1 connections when empty.
  LinkOpener open_link;
};

// Thread safety: loop thread only.
class Gateway {
 public:
  Gateway(struct ev_loop* loop, const Clock& clock, GatewayOptions options,
          Dialect dialect, Metrics& metrics, uint64_t random_seed);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Takes a request over; it gets exactly one final answer.
  void Handle(std::shared_ptr<CallerExchange> ex);
  // A newer configuration. Requests under way keep the one they began with.
  void SetConfig(std::shared_ptr<const RoutingConfig> config);
  // The configuration in force here was the newest one at `as_of`.
  void NoteInStep(TimePoint as_of);
  void SetUpstreams(absl::Span<const UpstreamInfo> upstreams);
  // How many entry processes share upstreams and allowances, and this one's
  // place among them (negative: not known).
  void SetServing(int serving, int place = -1);
  // The requests that are sent nowhere, as far as this process knows.
  Quarantine& quarantine() { return quarantine_; }
  // The limits that upstreams name, as far as this process knows.
  const LimitBook& limits() const { return limits_; }
  void TakeLimits(absl::Span<const LimitRecord> told);
  // What is known of an upstream from elsewhere than its answers.
  void NoteLoad(const std::string& upstream, int running, int waiting);
  void SetReachable(const std::string& upstream, bool reachable);
  // Drives time-outs; called every few tens of milliseconds.
  void Tick();
  int open_requests() const { return static_cast<int>(requests_.size()); }
  bool has_config() const { return config_ != nullptr; }
  // A planned stop has begun: new long generations, which would not end in
  // the grace, are refused; their callers find another entry at once.
  void BeginDrain() { draining_ = true; }
  // Ends what is still open: the end of a planned stop's grace.
  void EndAll();

 private:
  struct Request;
  using RequestPtr = std::unique_ptr<Request>;

  // Admits and dispatches, or refuses, a request that has just come or that
  // waited for the first configuration.
  void Begin(Request& r);
  void BeginEarly();
  bool MayBeOutdated(const absl::Status& refusal) const;
  absl::Status Admit(Request& r);
  void Dispatch(Request& r);
  PlacementAsk AskFor(const Request& r) const;
  bool TrySend(Request& r);
  void Send(Request& r, size_t upstream);
  bool OnHead(Request& r, const MessageHead& head);
  void OnBody(Request& r, absl::string_view data);
  void OnEnd(Request& r, CallEnd end, absl::string_view why);
  void NoteLimit(const Request& r, const UpstreamBoard& u,
                 const AnswerFacts& f);
  void NoteRest(const Request& r, UpstreamBoard& u, Duration rest);
  void ApplyLimits();
  void KeepLimits(TimePoint now);
  TurnAsk TurnAskFor(const UpstreamBoard& u, TimePoint now) const;
  bool HasTurn(const UpstreamBoard& u, TimePoint now) const;
  void TakeTurn(UpstreamBoard& u, TimePoint now);
  void NoteRun(Request& r);
  void PromptRead(Request& r, TimePoint now);
  bool RelayEvent(Request& r, absl::string_view event);
  void NotePauseOf(Request& r, TimePoint now);
  void NotePaceOf(Request& r, TimePoint now);
  void AnswerWhole(Request& r);
  Endpoint CopySource(const Request& r, const UpstreamBoard& to, TimePoint now);
  // The attempt failed; moves the request on or gives it up.
  void AttemptFailed(Request& r, CallEnd end, absl::string_view why);
  bool MayMove(Request& r, CallEnd end);
  void NoteEndOf(const Request& r, CallEnd end);
  void DropAttempt(Request& r);
  void ReleaseUpstream(Request& r);
  HeaderList HeadersOf(const MessageHead& answer) const;
  void Fail(Request& r, ErrorKind kind, absl::string_view why);
  void NoteTurnedAway(const Request& r);
  void Finish(Request& r, absl::string_view outcome, absl::string_view why);
  void CallerLeft(uint64_t seq);
  void UpstreamCrashed(const std::string& upstream, absl::string_view how,
                       const std::vector<CrashWatch::Cut>& cut);
  // Ends what was found meanwhile to crash upstreams.
  void EndQuarantined();
  void CheckStall(Request& r, TimePoint now);
  void ServeWaiting();
  static std::string LabelOf(const Request& r);
  Request* Find(uint64_t seq, int attempt);
  void NoteDemand(TimePoint now);
  void CountWaiting();
  Duration RetryAfter(const Request& r, ErrorKind kind);
  ReadingGate& GateFor(const std::string& service);
  TierGuard& GuardFor(const std::string& service);
  // Logs why `r`, which waited, has no place.
  void LogNoPlace(const Request& r, TimePoint now);
  RetryBudget& BudgetFor(const std::string& service);

  const Clock& clock_;
  GatewayOptions options_;
  Dialect dialect_;
  Metrics& metrics_;
  std::mt19937_64 random_;
  std::shared_ptr<const RoutingConfig> config_;
  UpstreamPool pool_;
  CrashWatch crashes_;
  Quarantine quarantine_;
  LimitBook limits_;
  uint64_t limits_applied_ = 0;
  uint64_t verdicts_seen_ = 0;
  PartMemory parts_;
  WaitingRoom waiting_;
  int serving_;
  // Of late the most, and since when: while control processes change, some are
  // not counted for a moment, and too many turns would be taken.
  TurnPlace turn_place_;
  TimePoint turn_place_at_{};
  // Requests that wait for a configuration, the first or a newer one.
  std::vector<uint64_t> early_;
  TimePoint in_step_at_{};
  std::unordered_map<uint64_t, RequestPtr> requests_;
  std::multimap<TimePoint, uint64_t> give_up_;
  std::map<std::string, RetryBudget> budgets_;
  // When a request of each service was last answered.
  std::map<std::string, TimePoint> served_at_;
  // Of each service with engines; the generations under way here only.
  std::map<std::string, DecodeDemand> demand_;
  std::map<std::string, int> decode_engines_;
  std::map<std::string, ReadingGate> reading_;  // By service.
  std::map<std::string, TierGuard> guards_;     // By service.
  std::map<std::string, int> waiting_told_;     // To the metrics, by label.
  TimePoint ticked_at_{};
  uint64_t next_seq_ = 1;
  bool serving_waiting_ = false;
  bool paces_changed_ = false;  // Or the engines: slow ones are to be marked.
  bool draining_ = false;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_GATEWAY_H_
