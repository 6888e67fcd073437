#include "serving.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "log.h"
#include "loop_order.h"
#include "packed.h"
#include "random_seed.h"

namespace medlarwalk {
namespace {

// In step, a watch is answered within 0.4 s; a change may take effect
// everywhere within 2 s at the least that operators allow, and nothing it
// allows may be refused after that.
constexpr auto kConfigTrust = Millis(1500);
constexpr double kTickSeconds = 0.02;
// The list is read by this process itself when no control process has told
// one this lately, nor one that is missing two readings: leaving upstreams must
// still be known in time.
constexpr Duration kAloneAfter = Millis(2000);
constexpr int kReadingsMissed = 2;
constexpr Duration kAloneInterval = Millis(2000);
// After SIGTERM new connections still come until the balancer has asked twice
// and taken this host out.
constexpr auto kAcceptWhileDraining = Millis(2500);
// Idle connections close from then on; callers open new ones elsewhere.
constexpr auto kCloseIdleAfter = Millis(1500);
// Left of the grace when what is still open gets its final answer.
constexpr auto kGraceMargin = Millis(250);

}  // namespace

Serving::Serving(struct ev_loop* loop, const Clock& clock,
                 const WallClock& wall, ServingOptions options)
    : loop_(loop),
      clock_(clock),
      options_(std::move(options)),
      metrics_("entry"),
      turns_(loop, clock,
             [this](Duration d) { metrics_.ObserveTurn(ToSeconds(d)); }),
      gateway_(
          loop, clock,
          [&] {
            GatewayOptions o = options_.gateway;
            o.config_trust = kConfigTrust;
            o.shared_time = [this](TimePoint now) {
              return Millis(time_.UnixMs(now).value_or(0));
            };
            if (options_.usage.window > Duration::zero()) {
              o.on_run = [this](const std::string& account) {
                CountRun(account);
              };
            }
            return o;
          }(),
          options_.dialect, metrics_, RandomSeed()),
      callers_(loop, clock,
               [this](std::shared_ptr<CallerExchange> ex) {
                 gateway_.Handle(std::move(ex));
               }),
      readiness_(loop, clock,
                 [this](std::shared_ptr<CallerExchange> ex) {
                   bool ours = ex->head.target == options_.readiness_path;
                   ex->Respond(ours ? (ready() ? 200 : 503) : 404, {}, "");
                 }),
      metrics_server_(loop, clock,
                      [this](std::shared_ptr<CallerExchange> ex) {
                        ex->Respond(200, {{"Content-Type", "text/plain"}},
                                    metrics_.Render());
                      }),
      process_(RandomSeed()),
      reports_(gateway_.quarantine(), gateway_.limits(), usage_, wall),
      watch_(
          loop, clock,
          [&] {
            WatchOptions o;
            o.name = options_.name;
            o.data_centre = options_.data_centre;
            o.serves_callers = true;
            o.reports = &reports_;
            o.longest_turn = [this] { return turns_.longest(); };
            return o;
          }(),
          options_.control_seeds,
          [this](const WatchReply& r, bool in_step) { OnWatch(r, in_step); }),
      lister_(loop, clock, options_.list),
      // Not alone from the start: where all processes start at once, the
      // control processes have a list within a moment, but not if every entry
      // asks its source beside them.
      list_at_(clock.Now()) {
  InitTimer(&tick_, OnTick, kTickSeconds, kTickSeconds);
  tick_.data = this;
  callers_.set_most_connections(CallersFor(options_.descriptors));
  // Until the group's time is told.
  time_.NoteSample(options_.name, wall.UnixNow().count(), clock_.Now());
}

Serving::~Serving() { ev_timer_stop(loop_, &tick_); }

absl::Status Serving::Start() {
  absl::Status s = callers_.Listen(options_.frontend);
  if (s.ok()) s = readiness_.Listen(options_.readiness);
  if (s.ok() && options_.metrics.port) {
    s = metrics_server_.Listen(options_.metrics);
  }
  if (!s.ok()) return s;
  ev_timer_start(loop_, &tick_);
  watch_.Start();
  LogEvent("entry_started", {{"frontend", options_.frontend.ToString()},
                             {"control", options_.control_seeds.size()}});
  return absl::OkStatus();
}

void Serving::set_control_seeds(std::vector<std::string> seeds) {
  watch_.set_seeds(std::move(seeds));
}

bool Serving::ready() const {
  return !draining_ && gateway_.has_config() && list_.version() != 0;
}

void Serving::OnWatch(const WatchReply& r, bool in_step) {
  // Of whomever: a crash that was noted stays one.
  if (r.quarantine) TakeCrashes(*r.quarantine);
  if (r.limits) TakeLimits(*r.limits);
  // What a control process out of step holds may be old: it is taken only if
  // it is newer than what is in force here, and never as the first one.
  bool first = watch_.state().config_version == 0;
  if (r.config && (in_step || !first)) ApplyConfig(r.config_version, *r.config);
  if (!in_step) return;
  gateway_.NoteInStep(clock_.Now() - Millis(r.age_ms));
  if (r.unix_ms > 0) time_.NoteTold(r.unix_ms, clock_.Now());
  usage_.DropThrough(r.usage_fixed);
  if (r.serving > 0) {
    serving_ = r.serving;
    gateway_.SetServing(r.serving, r.place);
  }
  if (r.list) TakeList(r);
  if (r.list_age_ms < 0) return;
  list_at_ = clock_.Now() - Millis(r.list_age_ms);
  list_interval_ = Millis(r.list_interval_ms);
  metrics_.ObserveListAge(ToSeconds(Millis(r.list_age_ms)));
}

void Serving::TakeCrashes(absl::string_view encoded) {
  absl::StatusOr<std::vector<CrashRecord>> r =
      DecodeCrashRecords(encoded, clock_.Now());
  if (!r.ok()) {
    LogWarn("bad_crash_records", {{"error", r.status().message()}});
    return;
  }
  gateway_.quarantine().TakeTold(*r);
}

void Serving::TakeLimits(absl::string_view encoded) {
  absl::StatusOr<std::vector<LimitRecord>> r =
      DecodeLimitRecords(encoded, clock_.Now());
  if (!r.ok()) {
    LogWarn("bad_limit_records", {{"error", r.status().message()}});
    return;
  }
  gateway_.TakeLimits(*r);
}

void Serving::CountRun(const std::string& account) {
  std::optional<int64_t> unix_ms = time_.UnixMs(clock_.Now());
  if (unix_ms) {
    usage_.Count(process_, WindowAt(*unix_ms, options_.usage), account);
  }
}

void Serving::TakeList(const WatchReply& r) {
  absl::StatusOr<ListChange> c = DecodeListChange(*r.list);
  int64_t before = list_.version();
  bool fits = c.ok() && list_.Apply(*c);
  metrics_.CountListUpdate(!fits          ? "unfit"
                           : c->from == 0 ? "whole"
                                          : "difference",
                           r.list->size());
  // What does not fit is asked for as a whole.
  watch_.state().list_version = fits ? list_.version() : 0;
  if (!fits) {
    LogWarn("list_unfit", {{"held", before},
                           {"from", c.ok() ? c->from : -1},
                           {"to", c.ok() ? c->to : -1}});
    return;
  }
  LogEvent("list_in_force", {{"version", list_.version()},
                             {"from", c->from},
                             {"changed", c->changed.size()},
                             {"gone", c->gone.size()},
                             {"bytes", r.list->size()},
                             {"age_ms", r.list_age_ms}});
  gateway_.SetUpstreams(list_.All());
}

void Serving::ApplyConfig(int64_t version, const std::string& document) {
  if (version <= watch_.state().config_version) return;
  absl::StatusOr<std::string> text = Unpack(document, kMaxLinkBodyBytes);
  absl::StatusOr<RoutingConfig> c =
      text.ok() ? options_.decode(*text) : text.status();
  if (!c.ok()) {
    LogWarn("config_unreadable",
            {{"version", version}, {"error", c.status().message()}});
    return;
  }
  IndexConfig(&*c);
  callers_.set_limits(c->limits);
  LogEvent("config_in_force", {{"version", version},
                               {"routes", c->routes.size()},
                               {"services", c->services.size()},
                               {"accounts", c->accounts.size()}});
  gateway_.SetConfig(std::make_shared<const RoutingConfig>(*std::move(c)));
  watch_.state().config_version = version;
}

void Serving::ReadListAlone(TimePoint now) {
  lister_.Tick();
  if (lister_.busy() || !gateway_.has_config()) return;
  if (now - list_at_ <
      std::max(kAloneAfter, kReadingsMissed * list_interval_)) {
    return;
  }
  // All entries may be alone at once: each takes its part of what the source
  // allows.
  Duration interval = std::max(
      kAloneInterval,
      ListInterval(lister_.length(), options_.list.calls_per_s / serving_));
  if (now - listed_alone_at_ < interval) return;
  listed_alone_at_ = now;
  lister_.Read([this, now](absl::StatusOr<std::vector<UpstreamInfo>> r) {
    if (!r.ok()) {
      LogWarn("list_lost", {{"error", r.status().message()}});
      return;
    }
    list_.Replace(*std::move(r));
    LogEvent("list_read_alone",
             {{"version", list_.version()}, {"upstreams", list_.size()}});
    list_at_ = now;
    watch_.state().list_version = list_.version();
    gateway_.SetUpstreams(list_.All());
  });
}

void Serving::Drain() {
  if (draining_) return;
  draining_ = true;
  drain_began_ = clock_.Now();
  callers_.CloseAfterAnswers();
  gateway_.BeginDrain();
  LogEvent("drain_started", {{"open", gateway_.open_requests()},
                             {"connections", callers_.connections()}});
}

void Serving::DrainStep(TimePoint now) {
  Duration since = now - drain_began_;
  if (since > kAcceptWhileDraining && !stopped_accepting_) {
    stopped_accepting_ = true;
    callers_.StopAccepting();
  }
  if (since > kCloseIdleAfter) callers_.CloseIdle();
  if (since > options_.grace - kGraceMargin) gateway_.EndAll();
  if (stopped_accepting_ && gateway_.open_requests() == 0 &&
      callers_.busy() == 0) {
    LogEvent("stopped", {});
    ev_break(loop_, EVBREAK_ALL);
  }
}

void Serving::OnTick(struct ev_loop*, ev_timer* w, int) {
  static_cast<Serving*>(w->data)->Tick();
}

void Serving::Tick() {
  TimePoint now = clock_.Now();
  gateway_.Tick();
  if (reports_.urgent()) watch_.AskAgain();
  ReadListAlone(now);
  if (draining_) DrainStep(now);
}

}  // namespace medlarwalk
