#include "crash_watch.h"

#include <utility>

#include "log.h"

namespace medlarwalk {
namespace {

// A host that is there answers within a round trip.
constexpr auto kCheckTimeout = Millis(250);
// An upstream of which nothing is known by then was not heard to end: lists
// that lag show it within seconds.
constexpr auto kDoubtFor = std::chrono::seconds(10);

}  // namespace

void CrashWatch::NoteCut(const std::string& upstream, const Cut& cut) {
  const UpstreamBoard* u = pool_.Find(upstream);
  // What leaves may end with work under way, and by no fault of that.
  if (!u || u->info.leaving) return;
  doubtful_[upstream].cut.push_back(cut);
}

void CrashWatch::NoteEnded(const std::string& upstream, absl::string_view how) {
  auto it = doubtful_.find(upstream);
  if (it == doubtful_.end()) return;
  Doubtful d = std::move(it->second);
  doubtful_.erase(it);
  LogEvent("upstream_crashed",
           {{"upstream", upstream}, {"how", how}, {"cut", d.cut.size()}});
  on_crash_(upstream, how, d.cut);
}

void CrashWatch::NoteList() {
  std::vector<std::string> gone;
  for (const auto& [upstream, d] : doubtful_) {
    const UpstreamBoard* u = pool_.Find(upstream);
    if (!u || !u->listed) gone.push_back(upstream);
  }
  for (const std::string& upstream : gone) NoteEnded(upstream, "unlisted");
}

void CrashWatch::Tick(TimePoint now) {
  std::vector<std::string> refused;
  for (auto it = doubtful_.begin(); it != doubtful_.end();) {
    Doubtful& d = it->second;
    const UpstreamBoard* u = pool_.Find(it->first);
    // A kept connection that ended with the cut one is known to have by the
    // second turn.
    if (u && !d.check && d.settled) {
      d.check = pool_.Reconnect(*u, kCheckTimeout);
    }
    d.settled = true;
    if (d.check && d.check->refused()) refused.push_back(it->first);
    bool alive = d.check && d.check->established();
    it = alive || now - d.cut.front().crash.at > kDoubtFor ? doubtful_.erase(it)
                                                           : std::next(it);
  }
  for (const std::string& upstream : refused) NoteEnded(upstream, "refused");
}

}  // namespace medlarwalk
