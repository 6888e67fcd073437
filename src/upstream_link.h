// What carries one call at a time to one upstream: a kept HTTP/1.1 connection
// (http1_client) or a stream to the agent beside it (agent_link). It knows how
// far a call got, which decides what the caller may be told: never written,
// perhaps run, answered.
#ifndef MEDLARWALK_UPSTREAM_LINK_H_
#define MEDLARWALK_UPSTREAM_LINK_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "http1.h"
#include "types.h"
#include "upstream_list.h"

namespace medlarwalk {

// A request as it goes to an upstream.
struct OutgoingRequest {
  std::string method;
  std::string target;
  HeaderList headers;
  absl::string_view body;  // Must live until Start has returned.
};

// How a call ended.
enum class CallEnd {
  kWhole,      // The answer is complete.
  kNotSent,    // No byte of the request left this process.
  kNoAnswer,   // Sent at least in part; ended before an answer's head.
  kBrokenOff,  // Ended after the answer's head, before its end.
};

// One call. Callbacks run on the loop thread, at the earliest from inside
// Start, and may cancel the call.
struct UpstreamCall {
  OutgoingRequest request;
  // The head of an answer. Returns false when it belongs to another request:
  // that answer is skipped and the next one awaited.
  std::function<bool(const MessageHead&)> on_head;
  std::function<void(absl::string_view)> on_body;
  // Called once, last. `why` says what happened, for the log; for a whole
  // answer how its end was known (EndName).
  std::function<void(CallEnd end, absl::string_view why)> on_end;
};

// Held by shared_ptr. Thread safety: loop thread only.
class UpstreamLink {
 public:
  virtual ~UpstreamLink() = default;
  // Starts `call`. Precondition: idle().
  virtual void Start(UpstreamCall call) = 0;
  // Ends the call without its on_end, so that the upstream can drop the work.
  virtual void Cancel() = 0;
  virtual void Close() = 0;
  // No call is under way.
  virtual bool idle() const = 0;
  // Can carry another call.
  virtual bool open() const = 0;
  // The way to the upstream is there, as far as this end knows.
  virtual bool established() const { return open(); }
  // The upstream's host is there and nobody listens at its address.
  virtual bool refused() const { return false; }
  // Whether any byte of the current call was handed on.
  virtual bool sent() const = 0;
  // Stops or resumes reading the answer (a slow caller).
  virtual void PauseRead(bool paused) = 0;
  // Since when it has been idle, and how long it may be kept so.
  virtual TimePoint idle_since() const = 0;
  virtual Duration keep_for() const = 0;
};

// Opens a link to an upstream; a new connection that is not established
// within `connect_timeout` ends its call as not sent.
using LinkOpener = std::function<std::shared_ptr<UpstreamLink>(
    const UpstreamInfo& to, Duration connect_timeout)>;

}  // namespace medlarwalk

#endif  // MEDLARWALK_UPSTREAM_LINK_H_
