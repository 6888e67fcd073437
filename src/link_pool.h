// The HTTP/2 links of one process to others of ours, by address, and calls
// over them.
#ifndef MEDLARWALK_LINK_POOL_H_
#define MEDLARWALK_LINK_POOL_H_

#include <ev.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "h2.h"
#include "types.h"

namespace medlarwalk {

// Thread safety: loop thread only.
class LinkPool {
 public:
  LinkPool(struct ev_loop* loop, const Clock& clock)
      : loop_(loop), clock_(clock) {}

  // The link to `address` ("ip:port"), opened on first use.
  H2Client& To(const std::string& address);

  // What a call came to: the status (0 when there was no whole answer) and
  // the body.
  using Done = std::function<void(int status, const std::string& body)>;
  // Posts `body`; returns the stream's id, for Cancel, or 0. `progress` is
  // called whenever a part of the answer has come.
  int32_t Post(const std::string& address, absl::string_view path, Payload body,
               Done done, std::function<void()> progress = nullptr);
  // Bytes of calls that wait on all links for their peers to take them.
  size_t queued_bytes() const;

 private:
  struct ev_loop* loop_;
  const Clock& clock_;
  std::map<std::string, std::unique_ptr<H2Client>> clients_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_LINK_POOL_H_
