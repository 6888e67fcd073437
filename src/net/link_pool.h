// HTTP/2 links from this process to other medlarwalk processes, by address, and
// calls over them.
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

// Opens one link per address. Thread safety: loop thread only.
class LinkPool {
 public:
  LinkPool(struct ev_loop* loop, const Clock& clock)
      : loop_(loop), clock_(clock) {}
  // Ends all calls without a callback: the objects that these use may be
  // destroyed already.
  ~LinkPool() { *destroyed_ = true; }
  LinkPool(const LinkPool&) = delete;
  LinkPool& operator=(const LinkPool&) = delete;

  // Returns the link to `address` ("ip:port"). Opens it on first use.
  H2Client& LinkTo(const std::string& address);

  // Called with the HTTP status and body of an answer. The status is 0 if no
  // complete answer arrived, or one longer than kMaxLinkBodyBytes.
  using Done = std::function<void(int status, const std::string& body)>;
  // Posts `body` and returns a handle for H2Client::Cancel, or 0. Calls
  // `progress` whenever a part of the answer has arrived.
  int32_t Post(const std::string& address, absl::string_view path, Payload body,
               Done done, std::function<void()> progress = nullptr);
  // Returns the number of queued bytes of calls on all links.
  size_t queued_bytes() const;

 private:
  struct ev_loop* loop_;
  const Clock& clock_;
  std::shared_ptr<bool> destroyed_ = std::make_shared<bool>(false);
  std::map<std::string, std::unique_ptr<H2Client>> clients_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_LINK_POOL_H_
