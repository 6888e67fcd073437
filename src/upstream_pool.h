// The upstreams known to an entry process, the state of each, and a pool of
// reusable connections to them.
#ifndef MEDLARWALK_UPSTREAM_POOL_H_
#define MEDLARWALK_UPSTREAM_POOL_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/types/span.h"
#include "placement.h"
#include "upstream_link.h"
#include "upstream_list.h"

namespace medlarwalk {

// State and pooled links of all known upstreams. Thread safety: loop thread
// only.
class UpstreamPool {
 public:
  UpstreamPool(const Clock& clock, LinkOpener open);

  // Applies a newly read upstream list. Upstreams that are no longer listed
  // stay until their last request has ended. Returns the ids of the upstreams
  // that have restarted, so that the caller can drop other state that it keeps
  // of them.
  std::vector<std::string> Update(absl::Span<const UpstreamInfo> listed);

  std::vector<UpstreamState>& upstreams() { return upstreams_; }
  const std::vector<UpstreamState>& upstreams() const { return upstreams_; }
  // Returns the number of upstreams in the order of `service`, as of the last
  // change of the order.
  int RankedCount(absl::string_view service) const;
  // Returns the state of upstream `id`, or nullptr.
  UpstreamState* Find(const std::string& id);

  // Records that upstream `id` announced that it is draining. From now on it
  // gets no new requests, even if the list does not show it as draining.
  // Returns whether this is its first announcement.
  bool RecordDraining(const std::string& id);

  // Returns a link for one call, a pooled one or a new one. A new connection
  // must be established within `connect_timeout`.
  std::shared_ptr<UpstreamLink> AcquireLink(const UpstreamState& u,
                                            Duration connect_timeout);
  // Returns whether AcquireLink would have to open a connection beyond `limit`
  // connections.
  bool AtConnectionLimit(const UpstreamState& u, int limit) const;
  // Returns a link to the pool after its call, or closes it if it cannot be
  // reused.
  void ReleaseLink(const std::string& upstream_id,
                   const std::shared_ptr<UpstreamLink>& link);

  // Returns a pooled, unused link to `u` that shows whether `u` still listens:
  // an established one, or a new one that is added to the pool.
  std::shared_ptr<UpstreamLink> OpenProbe(const UpstreamState& u,
                                          Duration connect_timeout);

  // Closes links that were idle for too long and removes unlisted upstreams
  // without requests.
  void Tick();

 private:
  // Resets `state` after a restart of its upstream, which is listed as `fresh`.
  // The counts of its requests in flight are kept.
  void ResetState(UpstreamState& state, const UpstreamInfo& fresh);
  struct Connections {
    std::vector<std::shared_ptr<UpstreamLink>> idle;
    int in_use = 0;
  };
  void CountIdleLinks(const std::string& id, const Connections& c);

  const Clock& clock_;
  LinkOpener open_link_;
  std::vector<UpstreamState> upstreams_;
  RankedCounts ranked_counts_;
  std::unordered_map<std::string, size_t> index_;
  std::unordered_map<std::string, Connections> connections_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_UPSTREAM_POOL_H_
