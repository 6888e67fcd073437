#include "watch_client.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "log.h"
#include "loop_order.h"

namespace medlarwalk {
namespace {

constexpr double kTickSeconds = 0.025;
// Delay after a failure before the next control process is tried. If many
// control processes fail, their followers would otherwise overload the
// remaining ones.
constexpr auto kRetryDelay = Millis(40);
// Delay after the last failure before the preferred control process is tried
// again. The preferred process may be the one that failed, and may have
// recovered.
constexpr auto kReturnToPreferredAfter = std::chrono::seconds(3);

}  // namespace

WatchClient::WatchClient(struct ev_loop* loop, const Clock& clock,
                         WatchOptions options, std::vector<std::string> seeds,
                         OnReply on_reply)
    : loop_(loop),
      clock_(clock),
      poll_clock_(loop, clock),
      options_(std::move(options)),
      seeds_(std::move(seeds)),
      on_reply_(std::move(on_reply)),
      links_(loop, clock) {
  next_request_.name = options_.name;
  next_request_.data_centre = options_.data_centre;
  next_request_.address = options_.address;
  next_request_.serves_callers = options_.serves_callers;
  InitTimer(&tick_, OnTick, kTickSeconds, kTickSeconds);
  tick_.data = this;
}

WatchClient::~WatchClient() { ev_timer_stop(loop_, &tick_); }

void WatchClient::Start() {
  ev_timer_start(loop_, &tick_);
  started_at_ = clock_.Now();
  SendWatch();
}

void WatchClient::Pin(const std::string& address) {
  if (pinned_ == address) return;
  pinned_ = address;
  if (watch_open_ && target_ != address) {
    CancelWatch();
    no_watch_before_ = {};
  }
}

void WatchClient::SetPaused(bool paused) {
  if (paused) CancelWatch();
  paused_ = paused;
}

void WatchClient::CancelWatch() {
  if (watch_open_ && stream_) links_.LinkTo(target_).Cancel(stream_);
  watch_open_ = false;
  stream_ = 0;
}

void WatchClient::RestartWatch() {
  if (!watch_open_ || answer_began_at_ != TimePoint{}) return;
  std::string previous_target = target_;
  TimePoint last_bytes_at = last_bytes_at_;
  CancelWatch();
  SendWatch();
  // The time of the last bytes from an unchanged target is kept, because a
  // restarted watch must not extend the timeout of a silent target.
  if (target_ == previous_target) last_bytes_at_ = last_bytes_at;
}

// Returns the control processes in order of preference. Those of this process's
// data centre come first, so that data crosses between two data centres once
// instead of once per follower. Within a data centre, the order is that of a
// hash of the address and this process's name, which spreads the followers over
// the control processes.
std::vector<std::string> WatchClient::OrderedTargets() const {
  if (!pinned_.empty()) return {pinned_};
  std::vector<ControlEndpoint> candidates = known_endpoints_;
  // If as many targets have failed in a row as there are known control
  // processes, the seeds are used as well, because all known processes may have
  // been replaced.
  if (consecutive_failures_ >= static_cast<int>(candidates.size())) {
    for (const std::string& s : seeds_) candidates.push_back({s, ""});
  }
  auto rank = [&](const ControlEndpoint& p) {
    return std::make_pair(p.data_centre != options_.data_centre,
                          StableHash(p.address + options_.name));
  };
  std::sort(candidates.begin(), candidates.end(),
            [&](const ControlEndpoint& a, const ControlEndpoint& b) {
              return rank(a) < rank(b);
            });
  std::vector<std::string> addresses;
  for (ControlEndpoint& p : candidates) {
    if (std::find(addresses.begin(), addresses.end(), p.address) ==
        addresses.end()) {
      addresses.push_back(std::move(p.address));
    }
  }
  return addresses;
}

std::vector<std::string> WatchClient::Targets() const {
  std::vector<std::string> out = OrderedTargets();
  auto it = std::find(out.begin(), out.end(), target_);
  if (it != out.end()) {
    std::rotate(out.begin(), it, out.end());
  } else if (!target_.empty()) {
    out.insert(out.begin(), target_);
  }
  return out;
}

// Keeps the followed process, unless it is no longer a candidate or the
// preferred candidate may have recovered from its failure.
void WatchClient::ChooseTarget(TimePoint now) {
  std::vector<std::string> candidates = OrderedTargets();
  if (candidates.empty()) return;
  bool is_candidate = std::find(candidates.begin(), candidates.end(),
                                target_) != candidates.end();
  bool preferred_may_be_back =
      now - target_failed_at_ >= kReturnToPreferredAfter &&
      links_.LinkTo(candidates[0]).usable();
  if (!is_candidate || preferred_may_be_back) target_ = candidates[0];
}

void WatchClient::SwitchTarget(absl::string_view reason) {
  ++consecutive_failures_;
  if (options_.reports) options_.reports->OnTargetLost();
  LogEvent("control_lost", {{"control", target_},
                            {"why", reason},
                            {"waited_ms", ToMs(clock_.Now() - last_bytes_at_)},
                            {"turn_ms", options_.longest_iteration
                                            ? ToMs(options_.longest_iteration())
                                            : -1},
                            {"config_version", next_request_.config_version}});
  std::vector<std::string> candidates = OrderedTargets();
  if (candidates.empty()) return;
  auto it = std::find(candidates.begin(), candidates.end(), target_);
  size_t next = it == candidates.end()
                    ? 0
                    : (it - candidates.begin() + 1) % candidates.size();
  target_ = candidates[next];
  target_failed_at_ = clock_.Now();
  no_watch_before_ = target_failed_at_ + kRetryDelay;
}

void WatchClient::SendWatch() {
  TimePoint now = clock_.Now();
  if (paused_ || watch_open_ || now < no_watch_before_) return;
  ChooseTarget(now);
  if (target_.empty()) return;
  watch_open_ = true;
  last_bytes_at_ = now;
  answer_began_at_ = {};
  next_request_.running_ms = ToMs(now - started_at_);
  if (options_.reports)
    options_.reports->AttachPendingRecords(target_, now, &next_request_);
  uint64_t watch_number = ++watch_number_;
  stream_ = links_.Post(
      target_, kWatchPath, Payload(EncodeWatchRequest(next_request_)),
      [this, watch_number](int status, const std::string& body) {
        OnAnswer(watch_number, body, status == 200);
      },
      [this, watch_number] {
        if (watch_number != watch_number_) return;
        last_bytes_at_ = clock_.Now();
        if (answer_began_at_ == TimePoint{}) answer_began_at_ = last_bytes_at_;
      });
}

void WatchClient::OnAnswer(uint64_t watch_number, const std::string& body,
                           bool ok) {
  if (!watch_open_ || watch_number != watch_number_) return;
  watch_open_ = false;
  stream_ = 0;
  absl::StatusOr<WatchReply> r = DecodeWatchReply(body);
  if (!ok || !r.ok()) {
    SwitchTarget("no answer");
    return;
  }
  if (options_.reports) options_.reports->OnDelivered();
  next_request_.quarantine_version = r->quarantine_version;
  next_request_.limits_version = r->limits_version;
  bool in_sync =
      r->sync_age_ms >= 0 && r->sync_age_ms <= ToMs(options_.max_age);
  if (in_sync) consecutive_failures_ = 0;
  // The known control processes are updated even if the answering process is
  // out of sync with the leader, because its answer may still name the others.
  if (!r->control.empty()) {
    known_endpoints_ = r->control;
    next_request_.endpoints_version = EndpointsVersion(known_endpoints_);
  }
  // The age of the upstream list in the answer is taken as its age when the
  // answer's first bytes arrived. The time since then is added.
  if (r->list_age_ms >= 0)
    r->list_age_ms += ToMs(clock_.Now() - answer_began_at_);
  on_reply_(*r, in_sync);
  if (!in_sync) SwitchTarget("out of step");
}

void WatchClient::OnTick(struct ev_loop*, ev_timer* w, int) {
  auto* self = static_cast<WatchClient*>(w->data);
  if (self->watch_open_ && self->poll_clock_.Now() - self->last_bytes_at_ >
                               self->options_.answer_timeout) {
    self->CancelWatch();
    self->SwitchTarget("silent");
  }
  self->SendWatch();
}

}  // namespace medlarwalk
