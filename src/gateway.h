// Request handling in an entry process. A request is matched to its route and
// client account, waits for a slot, is sent to an upstream, is retried at
// another one where that is allowed, and gets exactly one final answer. The
// modules placement and waiting_queue decide where and when a request is sent;
// the gateway and upstream_pool exchange the messages with callers and
// upstreams.
#ifndef MEDLARWALK_GATEWAY_H_
#define MEDLARWALK_GATEWAY_H_

#include <ev.h>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "account_shares.h"
#include "build_history.h"
#include "caller_server.h"
#include "crash_watch.h"
#include "dialect.h"
#include "errors.h"
#include "event_stream.h"
#include "hold_trials.h"
#include "metrics.h"
#include "placement.h"
#include "poll_clock.h"
#include "prefill_limiter.h"
#include "prefix_cache_index.h"
#include "quarantine.h"
#include "rate_limit_table.h"
#include "retry_budget.h"
#include "return_schedule.h"
#include "return_table.h"
#include "routing_config.h"
#include "send_slots.h"
#include "shared_engine_load.h"
#include "stop_admission.h"
#include "stream_origin_table.h"
#include "tier_admission.h"
#include "timed_placement.h"
#include "timed_service.h"
#include "upstream_link.h"
#include "upstream_pool.h"
#include "upstream_subset.h"
#include "waiting_queue.h"
#include "work_share.h"

namespace medlarwalk {

struct GatewayOptions {
  std::string data_centre;
  RetryAllowance retry;
  PlacementPolicy placement;
  WaitingPolicy waiting;
  SubsetPolicy subset;
  PrefillLimiterPolicy prefill_limiter;
  TierAdmissionPolicy tier_admission;
  // Used with ServiceRule::timed_placement, in place of prefill_limiter.
  TimedPolicy timed;
  ForecastPolicy forecast;
  // Used with ServiceRule::shared_load.
  AccountSharesPolicy account_shares;
  // Share of an upstream's connections that the known entry processes use
  // together. The rest of the connections is for entry processes that control
  // does not count: they have just started, or they are no longer counted but
  // still running.
  double connection_share = 0.8;
  // Time for which the configuration counts as current after control last
  // confirmed it (RecordConfigCurrent). Within this time, a request that the
  // configuration does not allow gets a final rejection; later, it waits for a
  // newer configuration. If zero, the rejection is always final.
  Duration config_trust{};
  // Whether upstreams may run software versions that this process does not know
  // of: TrustListUntil and MergeBuilds then tell how far it knows them. If
  // false, the list counts as current and its versions as the only ones.
  bool builds_vary = false;
  // Called when a request of `account` has begun to run at an upstream, as far
  // as this shows in the answer. May be empty.
  std::function<void(const std::string& account)> on_request_run;
  // Called when a resumable stream is sent to an upstream, before its caller
  // gets an event of it. May be empty.
  std::function<void(const StreamRecord&)> on_stream_sent;
  // Looks up where a stream began that its caller takes up here, and passes the
  // result on, possibly before returning. If empty, no origin is known.
  std::function<void(
      StreamKey, std::function<void(const std::optional<StreamOrigin>&)> found)>
      find_stream_origin;
  // Returns the group's time at the local time `now`, counted from an arbitrary
  // epoch that is the same for all processes. If empty, the local clock is
  // used.
  std::function<Millis(TimePoint now)> group_time;
  // Opens links to upstreams. If empty, HTTP/1.1 connections are used.
  LinkOpener open_link;
  // Maximum number of bytes of buffered answers and of incomplete events,
  // summed over all requests. An answer that exceeds it fails, or another one
  // that is several times as large.
  size_t max_buffered_bytes = size_t{32} << 20;
};

// Returns the number of unsent bytes of one caller's answer at which reading
// from the upstream pauses, if `callers` callers share the process. The limit
// bounds the sum over all callers.
size_t UnsentBytesLimit(size_t callers);

// Routes requests to upstreams. Thread safety: loop thread only.
class Gateway {
 public:
  Gateway(struct ev_loop* loop, const Clock& clock, GatewayOptions options,
          Dialect dialect, Metrics& metrics, uint64_t random_seed);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Handles a caller's request and gives it exactly one final answer.
  void HandleRequest(std::shared_ptr<CallerExchange> ex);
  // Installs a newer configuration. Requests in flight keep the configuration
  // they were admitted with.
  void SetConfig(std::shared_ptr<const RoutingConfig> config);
  // Records that control had no newer configuration than this process at the
  // time `as_of`.
  void RecordConfigCurrent(TimePoint as_of);
  void SetUpstreams(absl::Span<const UpstreamInfo> upstreams);
  // Sets the time until which the list of upstreams counts as current. A stream
  // of unknown origin goes on only where the list is current.
  void TrustListUntil(TimePoint until) { list_trusted_until_ = until; }
  // Adds versions that upstreams have run of late. `complete`: none is missing.
  // Until the first complete call, others may have run than those listed since
  // the start.
  void MergeBuilds(absl::Span<const BuildRecord> records, bool complete);
  // Sets the number of entry processes that share the upstreams and the retry
  // budgets, and the index of this process among them (negative if unknown).
  void SetEntryCount(int entry_count, int index = -1);
  // Returns the quarantine of crash-inducing requests, which are not sent to
  // any upstream.
  Quarantine& quarantine() { return quarantine_; }
  // Returns the rate limits that upstreams have announced, as far as this
  // process knows them.
  const RateLimitTable& limits() const { return limits_; }
  // Returns the rejected requests whose callers were told when to return, of
  // services with return_precedence.
  ReturnTable& returns() { return returns_; }
  // Merges rate limits published by control.
  void MergeLimits(absl::Span<const LimitRecord> records);
  // Returns the engine load that other processes report.
  SharedEngineLoad& shared_load() { return shared_load_; }
  // Returns the accounts' consumption at the services with shared load, to be
  // exchanged with the other entry processes.
  AccountShares& account_shares() { return account_shares_; }
  // Records an upstream's load that was reported separately from its answers.
  void RecordPolledLoad(const std::string& upstream, int running, int waiting);
  // Records whether the upstream is reachable, according to a source other than
  // its answers.
  void SetReachable(const std::string& upstream, bool reachable);
  // Returns the unfinished work and the observed pace of this process at each
  // engine of a service with shared load, without engines of which neither is
  // known.
  std::vector<EngineRecord> OwnEngineRecords() const;
  // Runs timeouts and periodic work. Must be called every few tens of
  // milliseconds.
  void Tick();
  int open_requests() const { return static_cast<int>(requests_.size()); }
  bool has_config() const { return config_ != nullptr; }
  // Begins a planned stop. Requests that may not end before `ends_at` are
  // rejected from now on; without it, new long generations are.
  void BeginDrain(std::optional<TimePoint> ends_at) {
    stop_ = PlannedStop{clock_.Now(), ends_at};
  }
  // Gives every unfinished request its final answer, when the grace period of a
  // planned stop ends.
  void FailUnfinishedRequests();

 private:
  struct Attempt;
  struct Request;
  using RequestPtr = std::unique_ptr<Request>;

  // Admits and dispatches a request, or rejects it. The request has just
  // arrived or has waited for a configuration.
  void AdmitAndDispatch(Request& r);
  void DispatchAdmitted(Request& r);
  void ClassifyRequest(Request& r) const;
  // Returns whether the caller of `r` takes up a stream that was interrupted.
  static bool TakesUpStream(const Request& r);
  // Returns the service of `r` and its software version if no service of the
  // route has run several versions of late.
  std::optional<StreamOrigin> SoleOrigin(const Request& r) const;
  // Returns whether this process knows all versions that the upstreams have run
  // of late.
  bool KnowsBuilds(TimePoint now) const;
  // Returns whether `r` goes on with a stream at one of several versions of its
  // service. Few upstreams may be left to it: it is not held up for the room of
  // others.
  bool MayHaveFewUpstreams(const Request& r) const;
  // Dispatches a request that takes up a stream once its origin is known, or
  // rejects it.
  void DispatchTakenUpStream(Request& r);
  void DispatchFromOrigin(Request& r,
                          const std::optional<StreamOrigin>& origin);
  void RecordStreamOrigin(Request& r, const std::string& build);
  void RefreshStreamOrigin(Request& r, TimePoint now);
  void ResumeRequestsAwaitingConfig();
  bool ConfigMayBeOutdated(const absl::Status& rejection) const;
  absl::Status AdmitRequest(Request& r);
  void Dispatch(Request& r);
  static Urgency UrgencyOf(const Request& r);
  PlacementRequest PlacementRequestFor(const Request& r) const;
  UpstreamSubset SubsetFor(const Request& r, int decode_engines,
                           TimePoint now) const;
  // Sends `r` to an upstream if there is a place and the caller has not left.
  // If it returns false and r.unplaceable is set, `r` must not wait.
  bool TrySend(Request& r);
  // Returns whether the caller of `r` has left, and sets r.unplaceable then.
  // Called right before each send.
  static bool CallerLeft(Request& r);
  // Sets whether this process may send to each upstream of the service of `r`.
  void UpdateSendPermissions(const Request& r, TimePoint now);
  // TrySend for services with timed_placement, except for pinned requests.
  bool TrySendTimed(Request& r);
  TimedRequest TimedRequestFor(const Request& r, TimePoint now) const;
  void FillCandidates(const Request& r, TimePoint now, TimedService* service);
  void RefreshForecasts(TimePoint now);
  void RefreshOthersWork(const TimedService& service, TimePoint now);
  OthersView ViewOfOthers(TimePoint now) const;
  void RecordTimedFirstEvent(const Request& r, UpstreamState& u, TimePoint now);
  void RecordTimedEventGap(const Request& r, UpstreamState& u, Duration gap,
                           TimePoint now);
  TimePoint WaitEnd(const Request& r, TimePoint now) const;
  void FailUnplaceable(Request& r, TimePoint now);
  void LogTimedPlacementFailure(const Request& r, TimePoint now);
  void LogSent(const Request& r, const UpstreamState& u, const ForwardFacts& f,
               TimePoint now);
  TimedService& TimedServiceFor(const std::string& service);
  void SendToUpstream(Request& r, size_t upstream);
  bool OnAnswerHead(Request& r, const MessageHead& head);
  void OnAnswerBody(Request& r, absl::string_view data);
  void PauseReading(Request& r);
  bool FitsBuffers(Request& r);
  bool CutLargestBuffer(size_t min_bytes);
  void DiscardBufferedBody(Attempt& a);
  void OnCallEnd(Request& r, CallEnd end, absl::string_view why);
  void RecordAnnouncedLimit(const Request& r, const UpstreamState& u,
                            const AnswerFacts& f);
  void RecordBackoff(const Request& r, UpstreamState& u, Duration backoff);
  void ApplyLimitsToUpstreams();
  void ExpireLimits(TimePoint now);
  SendSlotQuery SendSlotQueryFor(const UpstreamState& u, TimePoint now) const;
  bool HasSendSlot(const UpstreamState& u, TimePoint now) const;
  void UseSendSlot(UpstreamState& u, TimePoint now);
  void CountAccountRequest(Request& r);
  // Counts the request for its account if its first event or answer at the time
  // `now` is over the latency target.
  void CountIfLate(const Request& r, TimePoint now);
  // Returns the account shares if they order the waiting requests of `service`,
  // else nullptr.
  const AccountShares* SharesFor(const std::string& service) const;
  // Returns whether the request must not be sent on arrival, because its
  // account is above its equal share and another account's request of its rank
  // waits.
  bool MustQueue(const Request& r);
  // Gives free slots to waiting requests after a request was held, so that none
  // stays free where those ahead of it cannot use it.
  void DispatchHeldRequest();
  void RecordPromptUse(Request& r);
  void RecordOutputUse(Request& r, bool ended);
  void OnPrefillDone(Request& r, TimePoint now);
  // Counts the attempt of `r` in the own work at `u`. `copied`: the engine
  // copies the shared prompt parts that it lacks.
  void CountSent(Request& r, UpstreamState& u, bool copied);
  int64_t ExpectedPrefill(const Request& r, const UpstreamState& u, bool copied,
                          TimePoint now) const;
  bool RelayEvent(Request& r, absl::string_view event);
  void MeasureEventGap(Request& r, TimePoint now);
  void MeasureDecodePace(Request& r, TimePoint now);
  void SendBufferedAnswer(Request& r);
  Endpoint FindCopySource(const Request& r, const UpstreamState& to,
                          TimePoint now);
  // Retries the request at another upstream after a failed attempt, or gives it
  // its final answer.
  void HandleFailedAttempt(Request& r, CallEnd end, absl::string_view why);
  bool ClaimRetry(Request& r, CallEnd end);
  void CheckForUpstreamTermination(const Request& r, CallEnd end);
  // Ends the attempt `a` of `r`. Its connection is kept for reuse if its call
  // has ended.
  void ReleaseUpstream(const Request& r, Attempt& a);
  void CancelAttempt(Request& r, Attempt& a);
  HeaderList HeadersForCaller(const MessageHead& answer) const;
  void FailRequest(Request& r, ErrorKind kind, absl::string_view why);
  void RecordCapacityRejection(const Request& r);
  void FinishRequest(Request& r, absl::string_view outcome,
                     absl::string_view why);
  void OnCallerDisconnect(uint64_t seq);
  void OnUpstreamCrash(const std::string& upstream, absl::string_view how,
                       const std::vector<CrashWatch::InterruptedCall>& calls);
  // Fails requests that were quarantined after they had been admitted.
  void FailQuarantinedRequests();
  // Sets what the request shares with others that may crash upstreams.
  static void SetCrashKeys(Request& r);
  // Returns whether `key` stands for the account of `r` on its route.
  static bool IsAccountKey(const Request& r, uint64_t key);
  // Returns the time at which this process judges the end of a quarantine.
  TimePoint QuarantineTime() const;
  // Returns the first of the request's crash keys that is quarantined.
  std::optional<uint64_t> FindQuarantinedKey(const Request& r) const;
  // Returns the holds of the request's crash keys that have ended although the
  // keys are still blamed for crashes.
  std::vector<PartHold> FindLapsedHolds(const Request& r) const;
  // Returns whether it is still unknown, after a hold, whether requests with
  // what this one shares crash upstreams.
  bool IsOnTrial(const Request& r) const;
  // Returns whether the request, a part of its prompt or its account on its
  // route is quarantined.
  bool MustNotBeSent(const Request& r) const;
  void TrackSteadyAnswer(Request& r, TimePoint now);
  void RecordServedParts(Request& r);
  static bool ProvesServed(const Request& r);
  CrashWatch::InterruptedCall InterruptedCallOf(const Request& r,
                                                TimePoint began) const;
  // Returns whether the answer of the current attempt had begun long before
  // `now`.
  static bool WentOn(const Request& r, TimePoint now);
  // Sends the request to another upstream if its upstreams are silent and that
  // is allowed. All attempts go on until one of them makes progress.
  void HedgeIfSilent(Request& r, TimePoint now);
  bool IsSilent(const Request& r, const Attempt& a);
  // Exchanges the attempt that is handled and `other`.
  static void SwitchAttempt(Request& r, Attempt& other);
  // Ends the other attempts, because the handled one serves the request.
  void EndSupersededAttempts(Request& r);
  void CancelOtherAttempts(Request& r);
  // Goes on with another attempt after the handled one has failed with `end`.
  void ContinueWithOtherAttempt(Request& r, CallEnd end);
  // Records the upstream of the handled attempt as the origin of the stream.
  void RecordOriginOfAttempt(Request& r);
  // Returns whether the request may be sent to another upstream after an
  // attempt, apart from the retry budget.
  bool MayBeSentAgain(const Request& r) const;
  void DispatchWaitingRequests();
  void DispatchReturningThen(absl::Span<const uint64_t> returning, Request& r);
  void RecognizeReturn(Request& r);
  bool PromisesReturn(const Request& r, ErrorKind kind) const;
  Duration PromiseReturn(Request& r, Duration unpredicted);
  std::vector<uint64_t> ReturningBefore(const Request& r) const;
  void UpdateReturns(TimePoint now);
  ReturnSchedule& ReturnScheduleFor(const std::string& service);
  static std::string MetricLabel(const Request& r);
  Request* FindAttempt(uint64_t seq, int attempt);
  void UpdateDecodeDemand(TimePoint now);
  // Records the share of this process in the work at each service.
  void UpdateWorkShares(TimePoint now);
  // Returns the number of processes of equal shares of which this process's
  // limits at the service are one.
  double EqualShares(const std::string& service) const;
  void UpdateWaitingMetrics();
  void UpdateAvoidanceMetrics(TimePoint now);
  Duration ComputeRetryAfter(const Request& r, ErrorKind kind);
  PrefillLimiter& PrefillLimiterFor(const std::string& service);
  TierAdmission& TierAdmissionFor(const std::string& service);
  // Logs why no upstream could take the waiting request `r`.
  void LogPlacementFailure(const Request& r, TimePoint now);
  RetryBudget& RetryBudgetFor(const std::string& service);

  const Clock& clock_;
  PollClock poll_clock_;
  GatewayOptions options_;
  Dialect dialect_;
  Metrics& metrics_;
  std::mt19937_64 random_;
  std::shared_ptr<const RoutingConfig> config_;
  UpstreamPool pool_;
  CrashWatch crash_watch_;
  Quarantine quarantine_;
  HoldTrials hold_trials_;
  RateLimitTable limits_;
  SharedEngineLoad shared_load_;
  BuildHistory builds_;
  // From then on `builds_` has the versions from before the start.
  TimePoint builds_complete_at_{};
  TimePoint list_trusted_until_{};
  uint64_t limit_changes_applied_ = 0;
  uint64_t quarantine_changes_seen_ = 0;
  PrefixCacheIndex prefix_cache_index_;
  std::map<std::string, WorkShare> work_shares_;  // By service.
  TimePoint work_shares_updated_at_{};
  WaitingQueue waiting_queue_;
  ReturnTable returns_;
  std::map<std::string, ReturnSchedule> return_schedules_;  // By service.
  uint64_t reported_return_drops_ = 0;  // Dropped rows already in the metrics.
  AccountShares account_shares_;
  TimePoint held_dispatch_at_{};  // Last pass that a held request started.
  int entry_count_;
  // Number of entry processes and index of this process among them, which
  // determine its send slots, and the time when the number was last set. A
  // lower number is adopted only after a delay: while control processes change,
  // some entry processes are not counted for a moment, and with the lower
  // number this process would use too many slots.
  ProcessIndex process_index_;
  TimePoint send_slot_share_set_at_{};
  // Index of this process among the entry processes, once control has told it.
  std::optional<ProcessIndex> subset_index_;
  // Rate of the requests that the subset concerns, and time for which an idle
  // connection is kept, by service name and kind of work.
  using SubsetKey = std::pair<std::string, WorkShape>;
  std::map<SubsetKey, EventRate> subset_rates_;
  std::map<std::string, Duration> link_idle_times_;
  // Requests that wait for the first configuration or for a newer one.
  std::vector<uint64_t> awaiting_config_;
  TimePoint config_current_at_{};
  std::unordered_map<uint64_t, RequestPtr> requests_;
  // Sum of buffered_bytes over all attempts of `requests_`.
  size_t buffered_bytes_ = 0;
  std::multimap<TimePoint, uint64_t> deadlines_;
  std::map<std::string, RetryBudget> retry_budgets_;
  // Time when a request to each service was last answered, by service name.
  std::map<std::string, TimePoint> last_answered_at_;
  // Demand for long generations that this process has seen, by name of the
  // service; only for services with engines.
  std::map<std::string, DecodeDemand> decode_demand_;
  // Number of engines that are kept for long generations, by service name.
  std::map<std::string, int> decode_engines_;
  // Prefill limiters by service.
  std::map<std::string, PrefillLimiter> prefill_limiters_;
  // State of the services with shared load, by name.
  std::map<std::string, TimedService> timed_services_;
  // Tier admission by service.
  std::map<std::string, TierAdmission> tier_admissions_;
  // Number of waiting requests that the metrics currently show, by metric
  // label.
  std::map<std::string, int> reported_waiting_;
  TimePoint demand_updated_at_{};
  uint64_t next_seq_ = 1;
  bool dispatching_waiting_ = false;
  // Whether decode paces or the upstream list changed since slow engines were
  // last marked.
  bool decode_paces_changed_ = false;
  TimePoint avoided_counted_at_{};  // Last update of the avoidance metrics.
  std::optional<PlannedStop> stop_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_GATEWAY_H_
