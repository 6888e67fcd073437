#include "entry.h"

#include <csignal>

#include "agent_link.h"
#include "log.h"
#include "loop_order.h"
#include "nlohmann/json.hpp"
#include "own_api.h"

namespace medlarwalk {
namespace {

using nlohmann::json;

constexpr double kTickSeconds = 0.01;
// Engines' reports lag by more than this anyway.
constexpr double kLoadTickSeconds = 0.5;
// Retries allowed in a window beside the budget's share, so that a quiet
// entry can retry.
constexpr double kRetryFloor = 10;
// Engines that serve a model here are too few to be divided by shape of work.
constexpr int kSplitFrom = 6;
// An engine whose tokens come this many times as far apart as the median
// engine's is a straggler.
constexpr double kStragglerFactor = 2.0;
// Of the requests sent to one upstream at once, this share is the top tier's:
// at least one, or its calls find every place filled for seconds.
constexpr double kReservedShare = 0.05;
constexpr double kNever = 1e6;

GatewayOptions OptionsFor(const Settings& s, const HostSettings& host,
                          EntryPolicyKind policy) {
  GatewayOptions o;
  o.data_centre = host.data_centre;
  // All of the setting is this entry's, which shares its allowance with none.
  o.retry.ratio = s.entry.retry_budget_percent / 100.0 / kBudgetUse;
  o.retry.slack = kRetryFloor / kBudgetUse;
  o.connection_share = 1.0;
  o.placement.split_from = kSplitFrom;
  // Its settings say how many requests an entry may send an engine.
  o.placement.own_generations_share = 0;
  o.placement.most_plain_load = 1.0;
  o.placement.straggler_factor = kStragglerFactor;
  o.placement.reserved_share = kReservedShare;
  o.waiting.most_target_share = 1.0;
  o.waiting.most_waiting = static_cast<size_t>(s.entry.queue_limit);
  o.waiting.refuse_unmeetable = true;
  o.waiting.starvation_bound = s.entry.starvation_bound;
  if (policy == EntryPolicyKind::kNaive) {
    o.placement.reserved_share = 0;
    o.placement.blind = true;
    o.reading.start = o.reading.least = kNever;
    o.waiting.tiered = false;
    o.waiting.most_target_share = kNever;
    o.waiting.refuse_unmeetable = false;
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
      upstreams_(OwnUpstreams(*settings_)),
      gateway_(
          loop, clock,
          [&] {
            GatewayOptions o = OptionsFor(*settings_, *host_, policy);
            o.open_link = [this](const UpstreamInfo& to, Duration) {
              return std::make_shared<AgentLink>(AgentOf(to.id));
            };
            return o;
          }(),
          OwnDialect(settings_, host), metrics_, StableHash(host)),
      callers_(loop, clock, [this](std::shared_ptr<CallerExchange> ex) {
        Handle(std::move(ex));
      }) {
  auto routing = std::make_shared<const RoutingConfig>(OwnRouting(*settings_));
  callers_.set_limits(routing->limits);
  callers_.set_most_connections(CallersFor(DescriptorLimit()));
  gateway_.SetServing(1);
  gateway_.SetConfig(std::move(routing));
  gateway_.SetUpstreams(upstreams_);
  InitTimer(&tick_, OnTick, kTickSeconds, kTickSeconds);
  tick_.data = this;
  InitTimer(&load_tick_, OnLoadTick, kLoadTickSeconds, kLoadTickSeconds);
  load_tick_.data = this;
  ev_signal_init(&sigterm_, OnSignal, SIGTERM);
  sigterm_.data = this;
  ev_signal_init(&sigint_, OnSignal, SIGINT);
  sigint_.data = this;
}

Entry::~Entry() {
  ev_timer_stop(loop_, &tick_);
  ev_timer_stop(loop_, &load_tick_);
  ev_signal_stop(loop_, &sigterm_);
  ev_signal_stop(loop_, &sigint_);
}

absl::Status Entry::Start() {
  absl::Status s = callers_.Listen(Endpoint{host_->address, host_->port});
  if (!s.ok()) return s;
  ev_timer_start(loop_, &tick_);
  ev_timer_start(loop_, &load_tick_);
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
  callers_.CloseAfterAnswers();
  callers_.StopAccepting();
  gateway_.BeginDrain();
  LogEvent("drain_started", {{"open", gateway_.open_requests()}});
}

void Entry::Handle(std::shared_ptr<CallerExchange> ex) {
  const std::string& path = ex->head.target;
  if (path == "/metrics") {
    ex->Respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                metrics_.Render());
  } else if (path == "/healthz") {
    ex->Respond(draining_ ? 503 : 200, {{"Content-Type", "text/plain"}},
                draining_ ? "draining" : "ok");
  } else {
    gateway_.Handle(std::move(ex));
  }
}

H2Client& Entry::AgentOf(const std::string& upstream) {
  const UpstreamSettings* u = settings_->FindUpstream(upstream);
  std::unique_ptr<H2Client>& c = agents_[u->agent];
  if (!c) {
    const HostSettings* h = settings_->FindHost(u->agent);
    c = std::make_unique<H2Client>(loop_, clock_, h->address, h->port,
                                   settings_->entry.ping_interval,
                                   settings_->entry.ping_timeout);
  }
  return *c;
}

// Asks each agent for its upstream's (lagging) load and whether it leaves.
void Entry::PollLoad() {
  for (const UpstreamInfo& u : upstreams_) {
    H2Call call;
    call.method = "GET";
    call.path = "/mw/load";
    call.headers = {{kH2Upstream, u.id}};
    auto buf = std::make_shared<std::string>();
    call.on_data = [buf](absl::string_view d) {
      buf->append(d.data(), d.size());
    };
    call.on_close = [this, id = u.id, buf](const absl::Status& s, bool) {
      if (s.ok()) OnLoad(id, *buf);
    };
    AgentOf(u.id).Submit(std::move(call));
  }
}

void Entry::OnLoad(const std::string& upstream, const std::string& report) {
  json j = json::parse(report, nullptr, false);
  if (!j.is_object()) {
    LogWarn("bad_load_report", {{"upstream", upstream}});
    return;
  }
  gateway_.NoteLoad(upstream, j.value("running", 0), j.value("waiting", 0));
  bool leaving = j.value("leaving", false);
  for (UpstreamInfo& u : upstreams_) {
    if (u.id != upstream || u.leaving == leaving) continue;
    u.leaving = leaving;
    gateway_.SetUpstreams(upstreams_);
  }
}

void Entry::Tick() {
  for (const UpstreamInfo& u : upstreams_) {
    gateway_.SetReachable(u.id, AgentOf(u.id).usable());
  }
  gateway_.Tick();
  if (draining_ && gateway_.open_requests() == 0 && callers_.busy() == 0) {
    LogEvent("stopped", {});
    ev_break(loop_, EVBREAK_ALL);
  }
}

void Entry::OnTick(struct ev_loop*, ev_timer* w, int) {
  static_cast<Entry*>(w->data)->Tick();
}

void Entry::OnLoadTick(struct ev_loop*, ev_timer* w, int) {
  static_cast<Entry*>(w->data)->PollLoad();
}

void Entry::OnSignal(struct ev_loop*, ev_signal* w, int) {
  static_cast<Entry*>(w->data)->Drain();
}

}  // namespace medlarwalk
