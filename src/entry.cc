#include "entry.h"

#include <csignal>

#include "agent_link.h"
#include "log.h"
#include "loop_order.h"
#include "native_api.h"
#include "nlohmann/json.hpp"

namespace medlarwalk {
namespace {

using nlohmann::json;

constexpr double kTickSeconds = 0.01;
// Interval at which the entry asks agents for the load of their upstreams.
// Engines' load reports lag by more than this, so more frequent requests would
// not help.
constexpr double kLoadPollSeconds = 0.5;
// Retries allowed per window in addition to the budget's share of requests, so
// that an entry with little traffic can retry.
constexpr double kBaseRetriesPerWindow = 10;
// Minimum number of engines that a service must have before some of them are
// kept for one kind of work (prefill or decode). Deployments of this API have
// fewer engines per model.
constexpr int kMinEnginesToSplit = 6;
// An engine is a straggler if the gap between the events of its streams is this
// many times the gap of the median engine.
constexpr double kStragglerFactor = 2.0;
// Share of the slots for requests in flight to one upstream that is reserved
// for the top tier (at least one slot). Without this reserve, requests of the
// top tier may find all slots taken for seconds.
constexpr double kReservedTopTierShare = 0.05;
constexpr double kNoLimit = 1e6;
// Time for which calls to a silent agent wait for it to go on. The process of a
// sound agent may be starved or its host paused for a second or so.
constexpr auto kMaxAgentSilence = Millis(3000);

GatewayOptions BuildGatewayOptions(const Settings& s, const HostSettings& host,
                                   EntryPolicyKind policy) {
  GatewayOptions o;
  o.data_centre = host.data_centre;
  // This entry shares its retry budget with no other process and should use all
  // of it. The gateway uses only the share kUsableAllowanceShare of its retry
  // allowance, so the configured budget is divided by this share.
  o.retry.ratio = s.entry.retry_budget_percent / 100.0 / kUsableAllowanceShare;
  o.retry.slack = kBaseRetriesPerWindow / kUsableAllowanceShare;
  o.connection_share = 1.0;
  o.placement.min_engines_to_split = kMinEnginesToSplit;
  // Long generations get no limit of their own, because the settings already
  // limit the requests that an entry sends to an engine.
  o.placement.own_generations_share = 0;
  o.placement.max_plain_load = 1.0;
  o.placement.straggler_factor = kStragglerFactor;
  o.placement.reserved_top_tier_share = kReservedTopTierShare;
  o.waiting.max_wait_target_share = 1.0;
  o.waiting.max_waiting = static_cast<size_t>(s.entry.queue_limit);
  o.waiting.reject_unmeetable = true;
  o.waiting.starvation_bound = s.entry.starvation_bound;
  if (policy == EntryPolicyKind::kNaive) {
    o.placement.reserved_top_tier_share = 0;
    o.placement.first_available = true;
    o.prefill_limiter.initial_limit = o.prefill_limiter.min_limit = kNoLimit;
    o.waiting.tier_order = false;
    o.waiting.max_wait_target_share = kNoLimit;
    o.waiting.reject_unmeetable = false;
    o.waiting.starvation_bound = {};
  }
  return o;
}

}  // namespace

Entry::Entry(struct ev_loop* loop, const Clock& clock, Settings settings,
             std::string host, EntryPolicyKind policy)
    : loop_(loop),
      clock_(clock),
      settings_(std::make_shared<const Settings>(std::move(settings))),
      host_(settings_->FindHost(host)),
      policy_(policy),
      metrics_("entry"),
      upstreams_(UpstreamsFromSettings(*settings_)),
      gateway_(
          loop, clock,
          [&] {
            GatewayOptions o = BuildGatewayOptions(*settings_, *host_, policy);
            o.open_link = [this](const UpstreamInfo& to, Duration) {
              return std::make_shared<AgentLink>(AgentClientFor(to.id));
            };
            return o;
          }(),
          NativeApiDialect(settings_, host), metrics_, StableHash(host)),
      caller_server_(loop, clock, [this](std::shared_ptr<CallerExchange> ex) {
        HandleRequest(std::move(ex));
      }) {
  auto routing =
      std::make_shared<const RoutingConfig>(RoutingFromSettings(*settings_));
  caller_server_.set_limits(routing->limits);
  caller_server_.set_max_connections(MaxCallerConnections(DescriptorLimit()));
  gateway_.SetEntryCount(1);
  gateway_.SetConfig(std::move(routing));
  gateway_.SetUpstreams(upstreams_);
  InitTimer(&tick_timer_, OnTickTimer, kTickSeconds, kTickSeconds);
  tick_timer_.data = this;
  InitTimer(&load_poll_timer_, OnLoadPollTimer, kLoadPollSeconds,
            kLoadPollSeconds);
  load_poll_timer_.data = this;
  ev_signal_init(&sigterm_, OnSignal, SIGTERM);
  sigterm_.data = this;
  ev_signal_init(&sigint_, OnSignal, SIGINT);
  sigint_.data = this;
}

Entry::~Entry() {
  ev_timer_stop(loop_, &tick_timer_);
  ev_timer_stop(loop_, &load_poll_timer_);
  ev_signal_stop(loop_, &sigterm_);
  ev_signal_stop(loop_, &sigint_);
}

absl::Status Entry::Start() {
  absl::Status s = caller_server_.Listen(Endpoint{host_->address, host_->port});
  if (!s.ok()) return s;
  ev_timer_start(loop_, &tick_timer_);
  ev_timer_start(loop_, &load_poll_timer_);
  ev_signal_start(loop_, &sigterm_);
  ev_signal_start(loop_, &sigint_);
  LogEvent("entry_started",
           {{"host", host_->name},
            {"port", host_->port},
            {"policy", policy_ == EntryPolicyKind::kNaive ? "naive" : "tiered"},
            {"settings_version", settings_->version}});
  return absl::OkStatus();
}

void Entry::Drain() {
  if (draining_) return;
  draining_ = true;
  caller_server_.CloseAfterAnswers();
  caller_server_.StopAccepting();
  gateway_.BeginDrain(std::nullopt);
  LogEvent("drain_started", {{"open", gateway_.open_requests()}});
}

void Entry::HandleRequest(std::shared_ptr<CallerExchange> ex) {
  const std::string& path = ex->head.target;
  if (path == "/metrics") {
    ex->Respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                metrics_.Render());
  } else if (path == "/healthz") {
    ex->Respond(draining_ ? 503 : 200, {{"Content-Type", "text/plain"}},
                draining_ ? "draining" : "ok");
  } else {
    gateway_.HandleRequest(std::move(ex));
  }
}

H2Client& Entry::AgentClientFor(const std::string& upstream) {
  const UpstreamSettings* u = settings_->FindUpstream(upstream);
  std::unique_ptr<H2Client>& c = agent_clients_[u->agent];
  if (!c) {
    const HostSettings* h = settings_->FindHost(u->agent);
    c = std::make_unique<H2Client>(
        loop_, clock_, h->address, h->port, settings_->entry.ping_interval,
        settings_->entry.ping_timeout, kMaxAgentSilence);
  }
  return *c;
}

// Asks each agent for the load of its upstream and whether the agent is
// draining. The reported load lags behind the real one.
void Entry::PollLoad() {
  for (const UpstreamInfo& u : upstreams_) {
    H2Call call;
    call.method = "GET";
    call.path = "/mw/load";
    call.headers = {{kH2Upstream, u.id}};
    call.max_body_bytes = kMaxLinkBodyBytes;
    auto report_text = std::make_shared<std::string>();
    call.on_data = [report_text](absl::string_view d) {
      report_text->append(d.data(), d.size());
    };
    call.on_close = [this, id = u.id, report_text](const absl::Status& s,
                                                   bool) {
      if (s.ok()) ApplyLoadReport(id, *report_text);
    };
    AgentClientFor(u.id).Submit(std::move(call));
  }
}

void Entry::ApplyLoadReport(const std::string& upstream,
                            const std::string& report) {
  json j = json::parse(report, nullptr, false);
  if (!j.is_object()) {
    LogWarn("bad_load_report", {{"upstream", upstream}});
    return;
  }
  gateway_.RecordPolledLoad(upstream, j.value("running", 0),
                            j.value("waiting", 0));
  bool draining = j.value("leaving", false);
  for (UpstreamInfo& u : upstreams_) {
    if (u.id != upstream || u.draining == draining) continue;
    u.draining = draining;
    gateway_.SetUpstreams(upstreams_);
  }
}

void Entry::Tick() {
  for (const UpstreamInfo& u : upstreams_) {
    gateway_.SetReachable(u.id, AgentClientFor(u.id).usable());
  }
  gateway_.Tick();
  if (draining_ && gateway_.open_requests() == 0 &&
      caller_server_.requests_in_progress() == 0) {
    LogEvent("stopped", {});
    ev_break(loop_, EVBREAK_ALL);
  }
}

void Entry::OnTickTimer(struct ev_loop*, ev_timer* w, int) {
  static_cast<Entry*>(w->data)->Tick();
}

void Entry::OnLoadPollTimer(struct ev_loop*, ev_timer* w, int) {
  static_cast<Entry*>(w->data)->PollLoad();
}

void Entry::OnSignal(struct ev_loop*, ev_signal* w, int) {
  static_cast<Entry*>(w->data)->Drain();
}

}  // namespace medlarwalk
