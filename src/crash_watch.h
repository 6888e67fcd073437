// Finds out whether an upstream has terminated when a connection to it closes
// in the middle of a call. If no connection to the upstream is left, a new one
// is opened as a probe. If the upstream's host refuses the probe, the upstream
// has terminated, and each of the interrupted requests may be the cause.
#ifndef MEDLARWALK_CRASH_WATCH_H_
#define MEDLARWALK_CRASH_WATCH_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "quarantine.h"
#include "upstream_pool.h"

namespace medlarwalk {

// Detects upstream crashes. Thread safety: loop thread only.
class CrashWatch {
 public:
  // A call whose connection closed before its answer was complete.
  struct InterruptedCall {
    RequestFingerprint fingerprint = 0;
    Crash crash;  // All fields but the upstream are set.
    // What other requests may share with it.
    std::vector<PartAtCrash> parts;
    int events = 0;  // Events of the answer that had arrived.
    // Whether the answer had gone on for so long that what the engine does when
    // it begins an answer did not cause the crash.
    bool went_on = false;
  };
  // Called from the functions below when `upstream` has terminated and
  // interrupted `calls`. `how` names the evidence.
  using OnCrash =
      std::function<void(const std::string& upstream, absl::string_view how,
                         const std::vector<InterruptedCall>& calls)>;
  // Precondition: `pool` outlives this object.
  CrashWatch(UpstreamPool& pool, OnCrash on_crash)
      : pool_(pool), on_crash_(std::move(on_crash)) {}

  // Records that a connection to `upstream` closed in the middle of `call`.
  void RecordInterruptedCall(const std::string& upstream,
                             const InterruptedCall& call);
  // Records that `upstream` has terminated, as shown by `how`. Reports a crash
  // if any call was interrupted.
  void RecordTermination(const std::string& upstream, absl::string_view how);
  // Reports crashes of suspected upstreams that are missing from the pool's new
  // list.
  void OnListUpdate();
  // Probes suspected upstreams. Must be called every few tens of milliseconds.
  void Tick(TimePoint now);

 private:
  struct Suspect {
    std::vector<InterruptedCall> calls;
    bool seen_by_tick = false;  // Tick was called since the suspicion arose.
    // Link whose state shows whether the upstream still listens; null until
    // opened.
    std::shared_ptr<UpstreamLink> probe;
  };

  UpstreamPool& pool_;
  OnCrash on_crash_;
  std::map<std::string, Suspect> suspects_;  // Suspects by upstream id.
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_CRASH_WATCH_H_
