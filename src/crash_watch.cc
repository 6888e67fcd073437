#include "crash_watch.h"

#include <utility>

#include "log.h"

namespace medlarwalk {
namespace {

// Connect timeout of a probe. A running host accepts or refuses a connection
// within a round trip.
constexpr auto kProbeTimeout = Millis(250);
// Time after which an upstream whose termination is not confirmed is no longer
// suspected. Even an upstream list that lags shows a termination within
// seconds.
constexpr auto kSuspicionTimeout = std::chrono::seconds(10);

}  // namespace

void CrashWatch::RecordInterruptedCall(const std::string& upstream,
                                       const InterruptedCall& call) {
  const UpstreamState* u = pool_.Find(upstream);
  // Interruptions by a draining upstream are ignored. Such an upstream may
  // terminate while requests are in flight, without any of them being the
  // cause.
  if (!u || u->info.draining) return;
  suspects_[upstream].calls.push_back(call);
}

void CrashWatch::RecordTermination(const std::string& upstream,
                                   absl::string_view how) {
  auto it = suspects_.find(upstream);
  if (it == suspects_.end()) return;
  Suspect s = std::move(it->second);
  suspects_.erase(it);
  LogEvent("upstream_crashed",
           {{"upstream", upstream}, {"how", how}, {"cut", s.calls.size()}});
  on_crash_(upstream, how, s.calls);
}

void CrashWatch::OnListUpdate() {
  std::vector<std::string> unlisted;
  for (const auto& [upstream, s] : suspects_) {
    const UpstreamState* u = pool_.Find(upstream);
    if (!u || !u->listed) unlisted.push_back(upstream);
  }
  for (const std::string& id : unlisted) RecordTermination(id, "unlisted");
}

void CrashWatch::Tick(TimePoint now) {
  std::vector<std::string> refused;
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    Suspect& s = it->second;
    const UpstreamState* u = pool_.Find(it->first);
    // The probe of an upstream starts at the second tick. By then, the pool
    // knows whether its idle connections to the upstream closed together with
    // the interrupted one.
    if (u && !s.probe && s.seen_by_tick) {
      s.probe = pool_.OpenProbe(*u, kProbeTimeout);
    }
    s.seen_by_tick = true;
    if (s.probe && s.probe->refused()) refused.push_back(it->first);
    bool upstream_alive = s.probe && s.probe->established();
    it = upstream_alive || now - s.calls.front().crash.at > kSuspicionTimeout
             ? suspects_.erase(it)
             : std::next(it);
  }
  for (const std::string& id : refused) RecordTermination(id, "refused");
}

}  // namespace medlarwalk
