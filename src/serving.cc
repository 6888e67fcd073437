#include "serving.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "log.h"
#include "loop_order.h"
#include "packed.h"
#include "random_seed.h"

namespace medlarwalk {
namespace {

// Time for which a configuration counts as current after control confirmed it.
// It is longer than the 0.4 s within which an up-to-date control process
// answers a watch request. It is shorter than 2 s, the shortest time within
// which operators can demand that a configuration change takes effect
// everywhere; after that time, requests that the change allows must not be
// rejected.
constexpr auto kConfigTrust = Millis(1500);
constexpr double kTickSeconds = 0.02;
// Maximum age of control's upstream list, as a time and as a number of
// control's read intervals. If the list is older than both, this process reads
// the upstream list itself, because with an old list it would notice draining
// upstreams too late.
constexpr Duration kMaxListAge = Millis(2000);
constexpr int kMaxListAgeInReads = 2;
// Time for which a list that is read again in time counts as current beyond the
// time of the reads: control holds a watch without news for most of it.
constexpr Duration kListTrust = Millis(600);
// Time after SIGTERM at which idle connections are closed; callers open new
// ones at other entry processes.
constexpr auto kCloseIdleAfter = Millis(1500);
// Time before the end of the grace period at which open requests get their
// final answer.
constexpr auto kGraceMargin = Millis(250);

SourceReadEnd ReadEndOf(const absl::Status& s) {
  if (s.ok()) return SourceReadEnd::kWhole;
  return absl::IsResourceExhausted(s) ? SourceReadEnd::kRejected
                                      : SourceReadEnd::kFailed;
}

}  // namespace

Serving::Serving(struct ev_loop* loop, const Clock& clock,
                 const WallClock& wall, ServingOptions options)
    : loop_(loop),
      clock_(clock),
      options_(std::move(options)),
      metrics_("entry"),
      loop_watch_(
          loop, clock,
          [this](Duration d) { metrics_.ObserveLoopIteration(ToSeconds(d)); }),
      stream_origins_(loop, clock, metrics_, RandomSeed()),
      gateway_(
          loop, clock,
          [&] {
            GatewayOptions o = options_.gateway;
            o.config_trust = kConfigTrust;
            o.on_stream_sent = [this](const StreamRecord& record) {
              stream_origins_.Record(record);
            };
            o.builds_vary = true;
            o.find_stream_origin = [this](StreamKey key, auto found) {
              stream_origins_.Find(key, std::move(found));
            };
            o.group_time = [this](TimePoint now) {
              return Millis(group_time_.UnixMsAt(now).value_or(0));
            };
            if (options_.usage.window > Duration::zero()) {
              o.on_request_run = [this](const std::string& account) {
                CountAccountRequest(account);
              };
            }
            return o;
          }(),
          options_.dialect, metrics_, RandomSeed()),
      callers_(loop, clock,
               [this](std::shared_ptr<CallerExchange> ex) {
                 gateway_.HandleRequest(std::move(ex));
               }),
      readiness_(loop, clock,
                 [this](std::shared_ptr<CallerExchange> ex) {
                   bool is_readiness_path =
                       ex->head.target == options_.readiness_path;
                   ex->Respond(is_readiness_path ? (ready() ? 200 : 503) : 404,
                               {}, is_readiness_path ? ReadinessText() : "");
                 }),
      metrics_server_(loop, clock,
                      [this](std::shared_ptr<CallerExchange> ex) {
                        ex->Respond(200, {{"Content-Type", "text/plain"}},
                                    metrics_.Render());
                      }),
      process_id_(RandomSeed()),
      reports_(gateway_.quarantine(), gateway_.limits(), usage_, wall),
      watch_(
          loop, clock,
          [&] {
            WatchOptions o;
            o.name = options_.name;
            o.data_centre = options_.data_centre;
            o.serves_callers = true;
            o.reports = &reports_;
            o.longest_iteration = [this] {
              return loop_watch_.longest_iteration();
            };
            return o;
          }(),
          options_.control_seeds,
          [this](const WatchReply& r, bool in_sync) {
            OnWatchReply(r, in_sync);
          }),
      load_exchange_(
          loop, clock, process_id_,
          [&] {
            LoadExchangeHooks h;
            h.targets = [this] { return watch_.Targets(); };
            h.own_records = [this] { return gateway_.OwnEngineRecords(); };
            h.take_accounts = [this] { return TakeOwnAccountUse(); };
            h.take_returns = [this] { return TakeNewReturns(); };
            h.on_answer = [this](const EngineLoadMessage& m) {
              MergeAccountUse(m.accounts);
              MergeReturns(m.returns);
            };
            return h;
          }(),
          gateway_.shared_load(), metrics_.shared_load()),
      lister_(loop, clock, options_.list),
      // Initialized to the current time, so that this process does not read the
      // list itself at startup. Even if all processes start at once, control
      // soon has a list, unless the entry processes use up the calls that the
      // list's source accepts.
      list_current_at_(clock.Now()),
      list_read_pacer_(
          [&] {
            SourceReadPolicy p;
            p.calls_per_s = options_.list.calls_per_s;
            return p;
          }(),
          RandomSeed()) {
  InitTimer(&tick_, OnTick, kTickSeconds, kTickSeconds);
  tick_.data = this;
  callers_.set_max_connections(MaxCallerConnections(options_.descriptors));
  callers_.set_max_unsent_bytes(options_.max_unsent_bytes);
  readiness_.LimitToProbes();
  metrics_server_.LimitToProbes();
  callers_.set_max_request_bytes(options_.max_request_bytes);
  callers_.set_on_refused([this](absl::string_view reason) {
    metrics_.CountMalformedRequest(reason);
  });
  // Uses the local wall clock until control publishes the group's time.
  group_time_.RecordSample(options_.name, wall.UnixNow().count(), clock_.Now());
}

Serving::~Serving() { ev_timer_stop(loop_, &tick_); }

absl::Status Serving::Start() {
  absl::Status s = callers_.Listen(options_.frontend);
  if (s.ok()) s = readiness_.Listen(options_.readiness);
  if (s.ok() && options_.metrics.port) {
    s = metrics_server_.Listen(options_.metrics);
  }
  if (s.ok() && options_.entry_peer.port) {
    s = stream_origins_.Bind(options_.entry_peer);
    watch_.next_request().serving_endpoints = {options_.entry_peer};
  }
  if (!s.ok()) return s;
  ev_timer_start(loop_, &tick_);
  watch_.Start();
  LogEvent("entry_started", {{"frontend", options_.frontend.ToString()},
                             {"control", options_.control_seeds.size()}});
  if (options_.usage.window > Duration::zero()) {
    LogEvent("usage_counted", {{"process", UsageProcessName(process_id_)}});
  }
  return absl::OkStatus();
}

void Serving::set_control_seeds(std::vector<std::string> seeds) {
  watch_.set_seeds(std::move(seeds));
}

std::string Serving::ReadinessText() const {
  return absl::StrCat(
      "ready=", ready() ? 1 : 0, " has_config=", gateway_.has_config() ? 1 : 0,
      " upstreams=", list_.size(), " list_unread=", list_unread_,
      " list_rest_unread=", list_rest_unread_ ? 1 : 0, "\n");
}

void Serving::RecordListUnread(int entries, bool rest) {
  list_unread_ = entries;
  list_rest_unread_ = rest;
  metrics_.SetListUnread(entries, rest);
}

bool Serving::ready() const {
  return !draining_ && gateway_.has_config() && list_.version() != 0;
}

void Serving::OnWatchReply(const WatchReply& r, bool in_sync) {
  // Crash records and limits are merged from any control process, even one that
  // is not up to date, because a recorded crash never becomes invalid.
  if (r.quarantine) MergeCrashRecords(*r.quarantine);
  if (r.limits) MergeLimitRecords(*r.limits);
  // The configuration of a control process that is not up to date may be old.
  // It is applied only if it is newer than the one in force here, and never as
  // the first one.
  bool first = watch_.next_request().config_version == 0;
  if (r.config && (in_sync || !first)) ApplyConfig(r.config_version, *r.config);
  RecordBuilds(r, in_sync);
  if (!in_sync) {
    ApplyNewerList(r);
    return;
  }
  gateway_.RecordConfigCurrent(clock_.Now() - Millis(r.sync_age_ms));
  if (r.unix_ms > 0) {
    group_time_.RecordReceivedTime(r.unix_ms, clock_.Now());
    has_group_time_ = true;
  }
  usage_.DropWindowsThrough(r.usage_committed_through);
  UpdateUsageState(clock_.Now());
  if (r.serving_count > 0) {
    list_read_pacer_.RecordProcessCount(clock_.Now(), r.serving_count);
    gateway_.SetEntryCount(r.serving_count, r.serving_index);
  }
  if (r.serving) {
    watch_.next_request().serving_version = ServingVersion(*r.serving);
    stream_origins_.SetPeers(*r.serving);
  }
  if (r.list) ApplyListUpdate(r);
  if (r.list_age_ms < 0) return;
  control_list_interval_ = Millis(r.list_interval_ms);
  RecordListCurrent(clock_.Now() - Millis(r.list_age_ms));
  list_read_pacer_.RecordCallsPerRead(r.list_pages);
  RecordListUnread(r.list_unread, r.list_rest_unread);
  metrics_.ObserveListAge(ToSeconds(Millis(r.list_age_ms)));
}

void Serving::MergeCrashRecords(absl::string_view encoded) {
  absl::StatusOr<std::vector<CrashRecord>> r =
      DecodeCrashRecords(encoded, clock_.Now());
  if (!r.ok()) {
    LogWarn("bad_crash_records", {{"error", r.status().message()}});
    return;
  }
  gateway_.quarantine().MergePublished(*r);
}

void Serving::MergeLimitRecords(absl::string_view encoded) {
  absl::StatusOr<std::vector<LimitRecord>> r =
      DecodeLimitRecords(encoded, clock_.Now());
  if (!r.ok()) {
    LogWarn("bad_limit_records", {{"error", r.status().message()}});
    return;
  }
  gateway_.MergeLimits(*r);
}

std::vector<AccountTokens> Serving::TakeOwnAccountUse() {
  std::vector<AccountTokens> out;
  for (const AccountUse& u :
       gateway_.account_shares().TakeOwnUse(kMaxAccountItems)) {
    out.push_back({u.account, u.tokens});
  }
  return out;
}

void Serving::MergeAccountUse(absl::Span<const AccountTokens> accounts) {
  std::vector<AccountUse> use;
  use.reserve(accounts.size());
  for (const AccountTokens& a : accounts) use.push_back({a.account, a.tokens});
  gateway_.account_shares().MergeOthers(use, clock_.Now());
}

std::vector<PromisedReturn> Serving::TakeNewReturns() {
  std::vector<PromisedReturn> out;
  for (const ReturnRecord& r :
       gateway_.returns().TakeNew(kMaxReturnItems, clock_.Now())) {
    out.push_back({r.fingerprint, r.tier,
                   std::chrono::duration_cast<Millis>(r.remaining)});
  }
  return out;
}

void Serving::MergeReturns(absl::Span<const PromisedReturn> returns) {
  std::vector<ReturnRecord> records;
  records.reserve(returns.size());
  for (const PromisedReturn& r : returns)
    records.push_back({r.fingerprint, r.tier, r.remaining});
  gateway_.returns().Merge(records, clock_.Now());
}

void Serving::CountAccountRequest(const std::string& account) {
  std::optional<int64_t> unix_ms = group_time_.UnixMsAt(clock_.Now());
  if (!unix_ms) return;
  int64_t window = WindowAt(*unix_ms, options_.usage);
  // The group's time may step back over the end of a window by some
  // milliseconds. A window that was reported as finished gets no more counts.
  const UsageProcessState* s = usage_.processes.Find(process_id_);
  if (s && s->finished_through == window) ++window;
  usage_.counts.CountRequest(process_id_, window, account);
}

void Serving::UpdateUsageState(TimePoint now) {
  if (options_.usage.window <= Duration::zero() || !has_group_time_) return;
  std::optional<int64_t> unix_ms = group_time_.UnixMsAt(now);
  if (!unix_ms) return;
  int64_t window = WindowAt(*unix_ms, options_.usage);
  const UsageProcessState* s = usage_.processes.Find(process_id_);
  if (s && s->last_window >= window) return;
  usage_.processes.RecordServed(process_id_, window);
  usage_.processes.RecordFinished(process_id_, window - 1);
}

void Serving::ApplyListUpdate(const WatchReply& r) {
  absl::StatusOr<ListChange> c = DecodeListChange(*r.list);
  int64_t before = list_.version();
  bool applied = c.ok() && list_.Apply(*c);
  metrics_.CountListUpdate(!applied       ? "unfit"
                           : c->from == 0 ? "whole"
                                          : "difference",
                           r.list->size());
  // If the change does not apply to the list held here, the next watch request
  // states version 0, to get the complete list.
  watch_.next_request().list_version = applied ? list_.version() : 0;
  if (!applied) {
    LogWarn("list_unfit", {{"held", before},
                           {"from", c.ok() ? c->from : -1},
                           {"to", c.ok() ? c->to : -1}});
    return;
  }
  LogEvent("list_in_force", {{"version", list_.version()},
                             {"from", c->from},
                             {"changed", c->changed.size()},
                             {"gone", c->removed_ids.size()},
                             {"bytes", r.list->size()},
                             {"age_ms", r.list_age_ms}});
  gateway_.SetUpstreams(list_.All());
}

// Applies the list of a control process that is not up to date, if it was read
// later than the one held here. The list is a record of an outside source, not
// an agreed value: its age alone says what it is worth, whoever has read it. A
// control process without a leader reads it for all its followers, so that only
// processes that reach no control process read it themselves.
void Serving::ApplyNewerList(const WatchReply& r) {
  if (r.list_age_ms < 0 || list_.version() == 0) return;
  TimePoint read_at = clock_.Now() - Millis(r.list_age_ms);
  if (read_at <= list_current_at_) return;
  if (r.list) ApplyListUpdate(r);
  if (r.list && watch_.next_request().list_version == 0) return;
  RecordListCurrent(read_at);
}

// Merges the versions of upstreams that control knows. A control process that
// is not up to date may miss some.
void Serving::RecordBuilds(const WatchReply& r, bool in_sync) {
  if (r.builds) gateway_.MergeBuilds(*r.builds, in_sync);
  if (in_sync && r.builds_version != 0)
    watch_.next_request().builds_version = r.builds_version;
}

// Records that the list held here was read from its source at `read_at`.
void Serving::RecordListCurrent(TimePoint read_at) {
  list_current_at_ = read_at;
  gateway_.TrustListUntil(read_at + kListTrust +
                          kMaxListAgeInReads * control_list_interval_);
}

void Serving::ApplyConfig(int64_t version, const std::string& document) {
  if (version <= watch_.next_request().config_version) return;
  absl::StatusOr<std::string> text =
      DecompressDocument(document, kMaxLinkBodyBytes);
  absl::StatusOr<RoutingConfig> c =
      text.ok() ? options_.decode(*text) : text.status();
  if (!c.ok()) {
    LogWarn("config_unreadable",
            {{"version", version}, {"error", c.status().message()}});
    return;
  }
  BuildConfigIndexes(&*c);
  callers_.set_limits(c->limits);
  load_exchange_.SetActive(
      std::any_of(c->services.begin(), c->services.end(),
                  [](const auto& s) { return s.second.shared_load; }));
  LogEvent("config_in_force", {{"version", version},
                               {"routes", c->routes.size()},
                               {"services", c->services.size()},
                               {"accounts", c->accounts.size()}});
  gateway_.SetConfig(std::make_shared<const RoutingConfig>(*std::move(c)));
  watch_.next_request().config_version = version;
}

void Serving::ReadListWithoutControl(TimePoint now) {
  lister_.Tick();
  if (lister_.busy() || !gateway_.has_config()) return;
  Duration max_age =
      std::max(kMaxListAge, kMaxListAgeInReads * control_list_interval_);
  bool out_of_date = now - list_current_at_ >= max_age;
  if (!list_read_pacer_.BeginRead(now, out_of_date)) return;
  lister_.Read(
      [this, now](absl::StatusOr<std::vector<UpstreamInfo>> r) {
        list_read_pacer_.RecordReadEnd(clock_.Now(), ReadEndOf(r.status()));
        if (!r.ok()) {
          LogWarn("list_lost",
                  {{"error", r.status().message()},
                   {"age_ms", ToMs(clock_.Now() - list_current_at_)},
                   {"interval_ms", ToMs(list_read_pacer_.Interval())}});
          return;
        }
        list_read_pacer_.RecordCallsPerRead(lister_.length().pages);
        RecordListUnread(lister_.unread().count, lister_.unread().rest);
        list_.Replace(KeepUnread(*std::move(r), lister_.unread(), list_));
        LogEvent("list_read_alone",
                 {{"version", list_.version()},
                  {"upstreams", list_.size()},
                  {"age_ms", ToMs(now - list_current_at_)},
                  {"interval_ms", ToMs(list_read_pacer_.Interval())}});
        RecordListCurrent(now);
        watch_.next_request().list_version = list_.version();
        gateway_.SetUpstreams(list_.All());
      },
      Lister::OnRejected::kFail);
}

void Serving::Drain() {
  if (draining_) return;
  draining_ = true;
  drain_started_at_ = clock_.Now();
  callers_.CloseAfterAnswers();
  gateway_.BeginDrain(drain_started_at_ + options_.grace - kGraceMargin);
  LogEvent("drain_started", {{"open", gateway_.open_requests()},
                             {"connections", callers_.connections()}});
}

void Serving::AdvanceDrain(TimePoint now) {
  Duration since = now - drain_started_at_;
  Duration accepting =
      std::min<Duration>(kRoutedAfterStop, options_.grace - kGraceMargin);
  if (since > accepting && !stopped_accepting_) {
    stopped_accepting_ = true;
    callers_.StopAccepting();
  }
  if (since > kCloseIdleAfter) callers_.CloseIdleConnections();
  if (since > options_.grace - kGraceMargin) gateway_.FailUnfinishedRequests();
  bool drained =
      gateway_.open_requests() == 0 && callers_.requests_in_progress() == 0;
  bool out_of_time = since > options_.grace - kGraceMargin / 2;
  // The last line tells of the stop and of the lines that the log lacks, so it
  // waits for a slow reader of the log.
  if (stopped_accepting_ && ((drained && LogAcceptsLine()) || out_of_time)) {
    LogEvent("stopped", {{"stop_ms", ToMs(since)},
                         {"open", gateway_.open_requests()},
                         {"connections", callers_.connections()},
                         {"undelivered", callers_.undelivered_answers()}});
    ev_break(loop_, EVBREAK_ALL);
  }
}

void Serving::OnTick(struct ev_loop*, ev_timer* w, int) {
  static_cast<Serving*>(w->data)->Tick();
}

void Serving::Tick() {
  TimePoint now = clock_.Now();
  gateway_.Tick();
  stream_origins_.Tick();
  UpdateUsageState(now);
  if (reports_.has_urgent()) watch_.RestartWatch();
  ReadListWithoutControl(now);
  if (draining_) AdvanceDrain(now);
}

}  // namespace medlarwalk
