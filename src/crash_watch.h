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
#include "request_print.h"
#include "upstream_pool.h"

namespace medlarwalk {

// Thread safety: loop thread only.
class CrashWatch {
 public:
  // `upstream` has ended while it had `cut`. Called from the functions below.
  using OnCrash = std::function<void(const std::string& upstream,
                                     const std::vector<RequestPrint>& cut)>;
  // Precondition: `pool` outlives this.
  CrashWatch(UpstreamPool& pool, OnCrash on_crash)
      : pool_(pool), on_crash_(std::move(on_crash)) {}

  // The connection to `upstream` has ended while it had `asks`.
  void NoteCut(const std::string& upstream, RequestPrint asks, TimePoint now);
  // `upstream` has ended, as `how` showed it.
  void NoteEnded(const std::string& upstream, absl::string_view how);
  // A new reading of the list is in the pool.
  void NoteList();
  // Looks at those of which the end is not known; called every few tens of
  // milliseconds.
  void Tick(TimePoint now);

 private:
  struct Doubtful {
    std::vector<RequestPrint> cut;
    TimePoint since{};
    bool settled = false;                 // Seen at a turn before.
    std::shared_ptr<UpstreamLink> check;  // Opened anew.
  };

  UpstreamPool& pool_;
  OnCrash on_crash_;
  std::map<std::string, Doubtful> doubtful_;  // By upstream.
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_CRASH_WATCH_H_
