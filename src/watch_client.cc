#include "watch_client.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "log.h"
#include "loop_order.h"

namespace medlarwalk {
namespace {

constexpr double kTickSeconds = 0.025;
// Pause before the next control process is asked after a failure, so that a
// fleet without control does not hammer what is left of it.
constexpr auto kRetryPause = Millis(40);
// A process nearer than the one that is followed is asked again this long after
// the last failure: it may have been the one that failed.
constexpr auto kReturnAfter = std::chrono::seconds(3);

}  // namespace

WatchClient::WatchClient(struct ev_loop* loop, const Clock& clock,
                         WatchOptions options, std::vector<std::string> seeds,
                         OnReply on_reply)
    : loop_(loop),
      clock_(clock),
      options_(std::move(options)),
      seeds_(std::move(seeds)),
      on_reply_(std::move(on_reply)),
      links_(loop, clock) {
  state_.name = options_.name;
  state_.data_centre = options_.data_centre;
  state_.address = options_.address;
  state_.serves_callers = options_.serves_callers;
  InitTimer(&tick_, OnTick, kTickSeconds, kTickSeconds);
  tick_.data = this;
}

WatchClient::~WatchClient() { ev_timer_stop(loop_, &tick_); }

void WatchClient::Start() {
  ev_timer_start(loop_, &tick_);
  Ask();
}

void WatchClient::Pin(const std::string& address) {
  if (pinned_ == address) return;
  pinned_ = address;
  if (asking_ && target_ != address) {
    GiveUpAsk();
    not_before_ = {};
  }
}

void WatchClient::Pause(bool paused) {
  if (paused) GiveUpAsk();
  paused_ = paused;
}

void WatchClient::GiveUpAsk() {
  if (asking_ && stream_) links_.To(target_).Cancel(stream_);
  asking_ = false;
  stream_ = 0;
}

void WatchClient::AskAgain() {
  if (!asking_ || began_at_ != TimePoint{}) return;
  std::string before = target_;
  TimePoint heard = heard_at_;
  GiveUpAsk();
  Ask();
  // However often it is asked again, a silent process stays silent.
  if (target_ == before) heard_at_ = heard;
}

// Those of this data centre first, so that what spreads crosses between two of
// them once and not for each follower; then in an order of this process's own,
// so that many followers spread over the control processes.
std::vector<std::string> WatchClient::Targets() const {
  if (!pinned_.empty()) return {pinned_};
  std::vector<ControlPlace> all = known_;
  // Seeds stay in reach: all that is known may have been replaced meanwhile.
  if (misses_ >= static_cast<int>(all.size())) {
    for (const std::string& s : seeds_) all.push_back({s, ""});
  }
  auto order = [&](const ControlPlace& p) {
    return std::make_pair(p.data_centre != options_.data_centre,
                          StableHash(p.address + options_.name));
  };
  std::sort(all.begin(), all.end(),
            [&](const ControlPlace& a, const ControlPlace& b) {
              return order(a) < order(b);
            });
  std::vector<std::string> out;
  for (ControlPlace& p : all) {
    if (std::find(out.begin(), out.end(), p.address) == out.end()) {
      out.push_back(std::move(p.address));
    }
  }
  return out;
}

// Stays with the process it follows, but for one nearer that may be back.
void WatchClient::ChooseTarget(TimePoint now) {
  std::vector<std::string> all = Targets();
  if (all.empty()) return;
  bool known = std::find(all.begin(), all.end(), target_) != all.end();
  bool back =
      now - turned_away_at_ >= kReturnAfter && links_.To(all[0]).usable();
  if (!known || back) target_ = all[0];
}

void WatchClient::NextTarget(absl::string_view why) {
  ++misses_;
  if (options_.reports) options_.reports->Lost();
  LogEvent(
      "control_lost",
      {{"control", target_},
       {"why", why},
       {"waited_ms", ToMs(clock_.Now() - heard_at_)},
       {"turn_ms", options_.longest_turn ? ToMs(options_.longest_turn()) : -1},
       {"config_version", state_.config_version}});
  std::vector<std::string> all = Targets();
  if (all.empty()) return;
  auto it = std::find(all.begin(), all.end(), target_);
  size_t next = it == all.end() ? 0 : (it - all.begin() + 1) % all.size();
  target_ = all[next];
  turned_away_at_ = clock_.Now();
  not_before_ = turned_away_at_ + kRetryPause;
}

void WatchClient::Ask() {
  TimePoint now = clock_.Now();
  if (paused_ || asking_ || now < not_before_) return;
  ChooseTarget(now);
  if (target_.empty()) return;
  asking_ = true;
  heard_at_ = now;
  began_at_ = {};
  if (options_.reports) options_.reports->Fill(target_, now, &state_);
  uint64_t ask = ++ask_;
  stream_ = links_.Post(
      target_, kWatchPath, Payload(EncodeWatchRequest(state_)),
      [this, ask](int status, const std::string& body) {
        Answered(ask, body, status == 200);
      },
      [this, ask] {
        if (ask != ask_) return;
        heard_at_ = clock_.Now();
        if (began_at_ == TimePoint{}) began_at_ = heard_at_;
      });
}

void WatchClient::Answered(uint64_t ask, const std::string& body, bool ok) {
  if (!asking_ || ask != ask_) return;
  asking_ = false;
  stream_ = 0;
  absl::StatusOr<WatchReply> r = DecodeWatchReply(body);
  if (!ok || !r.ok()) {
    NextTarget("no answer");
    return;
  }
  if (options_.reports) options_.reports->Confirmed();
  state_.quarantine_version = r->quarantine_version;
  state_.limits_version = r->limits_version;
  bool in_step = r->age_ms >= 0 && r->age_ms <= ToMs(options_.max_age);
  if (in_step) misses_ = 0;
  // Also from one out of step: it may know where the others are.
  if (!r->control.empty()) {
    known_ = r->control;
    state_.places_version = PlacesVersion(known_);
  }
  // What it says of the list's age was so when the first of it came.
  if (r->list_age_ms >= 0) r->list_age_ms += ToMs(clock_.Now() - began_at_);
  on_reply_(*r, in_step);
  if (!in_step) NextTarget("out of step");
}

void WatchClient::OnTick(struct ev_loop*, ev_timer* w, int) {
  auto* self = static_cast<WatchClient*>(w->data);
  TimePoint now = self->clock_.Now();
  if (self->asking_ && now - self->heard_at_ > self->options_.answer_timeout) {
    self->GiveUpAsk();
    self->NextTarget("silent");
  }
  self->Ask();
}

}  // namespace medlarwalk
