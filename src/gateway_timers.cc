// The gateway's part that is driven by time: waiting requests, time-outs,
// upstreams that have fallen silent, the end of a planned stop.
#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "gateway.h"
#include "gateway_request.h"
#include "log.h"

namespace medlarwalk {
namespace {

// A stream without a sign of life for this many pause targets, or this many
// first-event targets, goes on elsewhere if it may.
constexpr int kStallPauses = 6;
constexpr int kStallTargets = 2;
constexpr auto kLeastStall = Millis(1000);
// A plain request that may be repeated is sent elsewhere after this many
// latency targets without an answer.
constexpr int kPlainStallTargets = 3;
constexpr auto kLeastPlainStall = Millis(300);
// Demand by shape is averaged over this, so that a few requests more or less
// do not move an engine from one shape of work to the other.
constexpr std::chrono::duration<double> kDemandSmoothing =
    std::chrono::seconds(3);

}  // namespace

// Gives requests that wait the places that have come free.
void Gateway::ServeWaiting() {
  if (serving_waiting_) return;
  serving_waiting_ = true;
  for (const std::string& service : waiting_.Services()) {
    // Those whose own place is not free do not hold up the ones behind them.
    TimePoint now = clock_.Now();
    // Requests that found no place this time, by all that decides it: others
    // like them will find none either, and are not looked at.
    std::set<std::tuple<Tier, bool, WorkShape, uint64_t>> full;
    for (uint64_t seq : waiting_.InOrder(service, now)) {
      Request& r = *requests_.at(seq);
      auto likeness =
          std::make_tuple(r.rank, now >= r.starves_at, r.shape, r.affinity);
      bool alike = r.tried.empty() && r.facts.pinned == 0;
      if (alike && full.count(likeness)) continue;
      if (!TrySend(r)) {
        if (alike) full.insert(likeness);
        continue;
      }
      r.waiting = false;
      waiting_.Served(seq, now);
      waiting_.NotePlace(service, now);
    }
  }
  serving_waiting_ = false;
}

// Moves a request on whose upstream has fallen silent, where that is allowed.
void Gateway::CheckStall(Request& r, TimePoint now) {
  if (r.upstream.empty() || !r.repeatable()) return;
  if (r.sends >= r.route->max_attempts) return;
  Duration limit;
  if (!r.stream()) {
    limit = std::max<Duration>(kLeastPlainStall,
                               r.route->latency_target * kPlainStallTargets);
  } else {
    limit = std::max<Duration>(kLeastStall,
                               r.stream_started
                                   ? r.route->pause_target * kStallPauses
                                   : r.route->latency_target * kStallTargets);
  }
  if (now - r.progress_at < limit) return;
  const UpstreamBoard* u = pool_.Find(r.upstream);
  // An upstream that still sends to others is busy, not silent.
  if (r.stream() && u && now - u->quiet_since < kLeastStall) return;
  AttemptFailed(r, CallEnd::kNoAnswer, "silent");
}

void Gateway::LogNoPlace(const Request& r, TimePoint now) {
  NoPlaceCounts n =
      CountNoPlace(pool_.boards(), AskFor(r), now, options_.placement);
  Tier turned_away = -1;
  GuardFor(r.service->name).TurningAway(now, &turned_away);
  const ReadingGate& gate = GateFor(r.service->name);
  LogEvent("no_place", {{"request", r.facts.id},
                        {"tier", r.tier},
                        {"rank", r.rank},
                        {"sends", r.sends},
                        {"tier_turned_away", turned_away},
                        {"reading", gate.under_way()},
                        {"reading_limit", static_cast<int>(gate.limit())},
                        {"upstreams", n.upstreams},
                        {"unusable", n.unusable},
                        {"full", n.full},
                        {"resting", n.resting},
                        {"limited", n.limited},
                        {"loaded", n.loaded},
                        {"reads", n.reading},
                        {"free", n.free}});
}

void Gateway::NoteDemand(TimePoint now) {
  double share = std::min(
      1.0, std::chrono::duration<double>(now - ticked_at_) / kDemandSmoothing);
  ticked_at_ = now;
  for (const auto& [service, kept] : decode_engines_) {
    DecodeDemand& demand = demand_[service];
    double n =
        DecodeLoad(pool_.boards(), service, kept, now, options_.placement);
    demand.in_flight += (n - demand.in_flight) * share;
    double waits = waiting_.size(service) > 0 ? 1 : 0;
    demand.pressure += (waits - demand.pressure) * share;
  }
}

// Tells the metrics of labels whose number of waiting requests has changed.
void Gateway::CountWaiting() {
  std::map<std::string, int> waiting;
  for (const auto& [label, n] : waiting_told_) waiting[label] = 0;
  for (const auto& [seq, r] : requests_) {
    if (r->waiting) ++waiting[LabelOf(*r)];
  }
  for (const auto& [label, n] : waiting) {
    auto [it, fresh] = waiting_told_.try_emplace(label, 0);
    if (!fresh && it->second == n) continue;
    it->second = n;
    metrics_.SetQueued(label, n);
  }
}

void Gateway::Tick() {
  TimePoint now = clock_.Now();
  NoteDemand(now);
  parts_.Tick(now);
  crashes_.Tick(now);
  quarantine_.Tick(now);
  EndQuarantined();
  KeepLimits(now);
  std::vector<uint64_t> due;
  for (auto it = give_up_.begin(); it != give_up_.end() && it->first <= now;
       ++it) {
    due.push_back(it->second);
  }
  for (uint64_t seq : due) {
    auto it = requests_.find(seq);
    if (it == requests_.end()) continue;
    Request& r = *it->second;
    bool sent = !r.upstream.empty() && r.connection->sent();
    Fail(r,
         sent || r.maybe_run ? ErrorKind::kTimedOut : ErrorKind::kNotRunInTime,
         "time over");
  }
  for (uint64_t seq : waiting_.Expired(now)) {
    auto it = requests_.find(seq);
    if (it == requests_.end()) continue;
    Request& r = *it->second;
    LogNoPlace(r, now);
    Fail(
        r,
        r.maybe_run ? ErrorKind::kOutcomeUnknown : ErrorKind::kTargetUnmeetable,
        "no place in time");
  }
  std::vector<uint64_t> open;
  for (auto& [seq, r] : requests_) open.push_back(seq);
  for (uint64_t seq : open) {
    auto it = requests_.find(seq);
    if (it != requests_.end()) CheckStall(*it->second, now);
  }
  pool_.Tick();
  if (std::exchange(paces_changed_, false)) {
    MarkSlow(absl::MakeSpan(pool_.boards()), options_.placement);
  }
  if (options_.placement.straggler_factor > 0) {
    MarkStragglers(absl::MakeSpan(pool_.boards()), options_.placement);
  }
  ServeWaiting();
  CountWaiting();
}

void Gateway::EndAll() {
  std::vector<uint64_t> open;
  for (auto& [seq, r] : requests_) open.push_back(seq);
  for (uint64_t seq : open) {
    auto it = requests_.find(seq);
    if (it == requests_.end()) continue;
    Request& r = *it->second;
    bool sent = !r.upstream.empty() && r.connection->sent();
    Fail(
        r,
        sent || r.maybe_run ? ErrorKind::kOutcomeUnknown : ErrorKind::kDraining,
        "stopping");
  }
}

}  // namespace medlarwalk
