// Tells an upstream that has ended from a connection that has: both close the
// connection in the middle of a call. Where no connection to the upstream is
// left, one is opened anew; refused, the upstream has ended, and each request
// it was cut at may be what ended it.
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

// Thread safety: loop thread only.
class CrashWatch {
 public:
  // A call whose connection ended before its answer did.
  struct Cut {
    RequestPrint asks = 0;
    Crash crash;  // But for the upstream.
  };
  // `upstream` has ended, and with it the calls `cut`, as `how` showed. Called
  // from the functions below.
  using OnCrash =
      std::function<void(const std::string& upstream, absl::string_view how,
                         const std::vector<Cut>& cut)>;
  // Precondition: `pool` outlives this.
  CrashWatch(UpstreamPool& pool, OnCrash on_crash)
      : pool_(pool), on_crash_(std::move(on_crash)) {}

  // The connection to `upstream` has ended, and with it a call.
  void NoteCut(const std::string& upstream, const Cut& cut);
  // `upstream` has ended, as `how` showed it.
  void NoteEnded(const std::string& upstream, absl::string_view how);
  // A new reading of the list is in the pool.
  void NoteList();
  // Looks at those of which the end is not known; called every few tens of
  // milliseconds.
  void Tick(TimePoint now);

 private:
  struct Doubtful {
    std::vector<Cut> cut;
    bool settled = false;                 // Seen at a turn before.
    std::shared_ptr<UpstreamLink> check;  // Opened anew.
  };

  UpstreamPool& pool_;
  OnCrash on_crash_;
  std::map<std::string, Doubtful> doubtful_;  // By upstream.
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_CRASH_WATCH_H_
