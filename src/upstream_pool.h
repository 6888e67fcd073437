// The upstreams an entry process knows, what it knows of each, and its kept
// connections to them.
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

// Thread safety: loop thread only.
class UpstreamPool {
 public:
  UpstreamPool(const Clock& clock, LinkOpener open);

  // Takes over a new reading of the list. Upstreams no longer listed stay
  // until their last request has ended. Returns the ids of those that have
  // started again, of which nothing known before holds any more.
  std::vector<std::string> Update(absl::Span<const UpstreamInfo> listed);

  std::vector<UpstreamBoard>& boards() { return boards_; }
  const std::vector<UpstreamBoard>& boards() const { return boards_; }
  // The board of upstream `id`, or nullptr.
  UpstreamBoard* Find(const std::string& id);

  // Upstream `id` has said that it leaves: it gets no new work, from now on and
  // whatever the list says. Returns whether that is new.
  bool NoteLeaving(const std::string& id);

  // A connection for one call, kept or new; a new one must be established
  // within `connect_timeout`.
  std::shared_ptr<UpstreamLink> Take(const UpstreamBoard& u,
                                     Duration connect_timeout);
  // Whether Take would have to open one beyond `limit`.
  bool Full(const UpstreamBoard& u, int limit) const;
  // Gives a connection back after its call.
  void Give(const std::string& upstream_id,
            const std::shared_ptr<UpstreamLink>& c);

  // A connection to `u` that is not in use: a kept one, or one that is being
  // opened and kept from now on, and shows whether `u` still listens.
  std::shared_ptr<UpstreamLink> Reconnect(const UpstreamBoard& u,
                                          Duration connect_timeout);

  // Closes connections idle for too long and forgets upstreams that are gone.
  void Tick();

 private:
  // Forgets what was known of `b` but its requests under way.
  void StartAnew(UpstreamBoard& b, const UpstreamInfo& fresh);
  struct Connections {
    std::vector<std::shared_ptr<UpstreamLink>> idle;
    int taken = 0;
  };

  const Clock& clock_;
  LinkOpener open_;
  std::vector<UpstreamBoard> boards_;
  std::unordered_map<std::string, size_t> index_;
  std::unordered_map<std::string, Connections> connections_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_UPSTREAM_POOL_H_
