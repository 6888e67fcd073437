// The list of upstreams: which exist, where, and whether they are leaving.
#ifndef MEDLARWALK_UPSTREAM_LIST_H_
#define MEDLARWALK_UPSTREAM_LIST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tcp.h"
#include "types.h"

namespace medlarwalk {

// One running incarnation of an upstream.
struct UpstreamInfo {
  std::string id;    // New for most starts.
  int64_t born = 0;  // When it started, Unix milliseconds; 0 where not said.
  std::string service;
  Endpoint address;
  std::string data_centre;
  bool leaving = false;  // Takes no new work.
  int slots = 1;
  Duration warmup_left{};
};

// A reading of the list. `version` tells readings apart; it orders nothing.
struct UpstreamList {
  int64_t version = 0;
  std::vector<UpstreamInfo> upstreams;
};

// Whether `fresh` is another start of the upstream that `known` was: it then
// knows nothing of what `known` held or ran.
inline bool StartedAgain(const UpstreamInfo& known, const UpstreamInfo& fresh) {
  if (known.born && fresh.born) return fresh.born > known.born;
  return !(known.address == fresh.address);
}

// Whether two readings say the same, their versions aside.
bool SameUpstreams(const UpstreamList& a, const UpstreamList& b);

}  // namespace medlarwalk

#endif  // MEDLARWALK_UPSTREAM_LIST_H_
