// Interface of a link that carries one call at a time to one upstream: a
// reusable HTTP/1.1 connection (http1_client) or a stream to the agent on the
// upstream's host (agent_link). A link knows whether the request of a call was
// not written, may have run or was answered. This state decides which answer
// the caller may get.
#ifndef MEDLARWALK_UPSTREAM_LINK_H_
#define MEDLARWALK_UPSTREAM_LINK_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "http1.h"
#include "payload.h"
#include "types.h"
#include "upstream_list.h"

namespace medlarwalk {

// A request in the form sent to an upstream.
struct OutgoingRequest {
  std::string method;
  std::string target;
  HeaderList headers;
  // View of the request body. The body must stay valid until Start has
  // returned.
  absl::string_view body;
  // Document with the bytes of `body`, which a link may hold in place of a
  // copy; may be null.
  Document shared_body = nullptr;
};

// How a call ended.
enum class CallEnd {
  kWhole,        // The answer is complete.
  kNotSent,      // No byte of the request left this process.
  kNoAnswer,     // Request sent at least in part; no answer's head arrived.
  kInterrupted,  // The answer ended after its head but before its end.
};

// One call. Callbacks run on the loop thread, may run inside Start, and may
// cancel the call.
struct UpstreamCall {
  OutgoingRequest request;
  // Called with the head of an answer. Returns false if the answer belongs to
  // another request; the link then skips it and waits for the next answer.
  std::function<bool(const MessageHead&)> on_head;
  std::function<void(absl::string_view)> on_body;
  // Called once, after all other callbacks. `why` is a text for the log: the
  // reason of a failure, or how the end of a complete answer was detected
  // (EndDetectionName).
  std::function<void(CallEnd end, absl::string_view why)> on_end;
};

// Link to one upstream. Owned by shared_ptr. Thread safety: loop thread only.
class UpstreamLink {
 public:
  virtual ~UpstreamLink() = default;
  // Starts `call`. Precondition: idle().
  virtual void Start(UpstreamCall call) = 0;
  // Cancels the call without calling on_end, so that the upstream can drop the
  // work.
  virtual void Cancel() = 0;
  virtual void Close() = 0;
  // Returns whether no call is in progress on the link.
  virtual bool idle() const = 0;
  // Returns whether the link can carry another call.
  virtual bool open() const = 0;
  // Returns whether the connection is established, as far as this process
  // knows.
  virtual bool established() const { return open(); }
  // Returns whether the upstream's host refused the connection, that is, no
  // process listens at the address.
  virtual bool refused() const { return false; }
  // Returns whether any byte of the current request was written.
  virtual bool sent() const = 0;
  // Pauses or resumes reading the answer, so that a slow caller does not make
  // this process buffer it.
  virtual void SetReadPaused(bool paused) = 0;
  // Returns the time when the link became idle.
  virtual TimePoint idle_since() const = 0;
  // Returns how long the link may stay idle.
  virtual Duration max_idle_time() const = 0;
};

// Opens a link to an upstream. If a new connection is not established within
// `connect_timeout`, its call ends with kNotSent.
using LinkOpener = std::function<std::shared_ptr<UpstreamLink>(
    const UpstreamInfo& to, Duration connect_timeout)>;

}  // namespace medlarwalk

#endif  // MEDLARWALK_UPSTREAM_LINK_H_
