// Typed views of requests and answers, and the functions that parse and write
// them. The core decides on these typed values only; each kind of entry process
// supplies functions for its own wire format.
#ifndef MEDLARWALK_DIALECT_H_
#define MEDLARWALK_DIALECT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "endpoint.h"
#include "errors.h"
#include "http1.h"
#include "prefix_cache_index.h"
#include "routing_config.h"
#include "types.h"
#include "upstream_link.h"

namespace medlarwalk {

// What a caller's request says about itself: its route, time limit, client
// account and lengths.
struct RequestFacts {
  std::string id;  // Id of this attempt of the caller; the upstream repeats it.
  // Time for which the caller waits for the answer.
  std::optional<Duration> time_limit;
  std::string key;  // Key of the client account; may be empty.
  // Name of the client account where the dialect itself has checked it; else
  // empty, and the account is the one that owns `key`.
  std::string account;
  std::string host;  // Host and path select the route.
  std::string path;
  int64_t prompt_tokens = 0;  // 0 if not stated by the caller.
  int64_t max_output_tokens = 0;
  int64_t expected_output_tokens = 0;  // Caller's estimate; 0 if there is none.
  std::vector<PromptPart> parts;
  // Id of the last event that the caller has; the answer resumes after it.
  std::optional<int64_t> last_event;
  // Id of the caller's attempt that brought the first event of the stream that
  // this request takes up; empty if it takes up none.
  std::string resumes;
  // Kind and repeatability of the request, if the request sets them. They
  // override the values of the route.
  std::optional<RequestKind> kind;
  std::optional<bool> repeatable;
  // If not 0, every attempt goes to the one upstream that this hash selects.
  uint64_t pinned = 0;
};

// Values that the gateway adds to a request that it forwards, such as the
// remaining time, client account and priority.
struct ForwardFacts {
  std::string id;  // Id of the request.
  // Id of the upstream that the request is meant for. Another upstream that
  // receives the request at the same address must reject it.
  std::string upstream_id;
  Duration time_limit{};  // Remaining time for which the caller waits.
  std::string account;    // Client account; empty if none.
  // Priority of the request in the engine's queue; 0 is the most urgent.
  std::optional<int> engine_priority;
  // Id of the last event that the caller has; the answer resumes after it.
  std::optional<int64_t> last_event;
  // Address of an engine that caches leading parts of the prompt; its ip is
  // empty if none is known. Copying cached parts is cheaper than another
  // prefill.
  Endpoint copy_from;
};

// What an upstream's answer says about the request and the upstream, such as a
// rejection, the load and rate limits.
struct AnswerFacts {
  // Id of the request that is answered; nullopt if the link itself matches
  // answers to requests.
  std::optional<std::string> echoed_id;
  bool not_run = false;  // The upstream states that it did not run the request.
  // The answer does not name a request where it should: it may belong to
  // another one, and what it says proves nothing.
  bool unbound = false;
  // The status promises a caller that the request did not run, but the upstream
  // does not state so.
  bool unconfirmed_not_run = false;
  bool other_upstream = false;  // The answer comes from another upstream, which
                                // now has the address.
  // Id of the upstream's termination that interrupted the answer. Empty if no
  // termination was observed.
  std::string termination_id;
  bool has_signature = false;  // The answer has the upstream's signature.
  // Whether the answer reports the upstream's load. If it does, `running` and
  // `waiting` are the upstream's numbers of running and waiting requests.
  bool has_load = false;
  int running = 0;
  int waiting = 0;
  // Rate limit announced by the upstream, in requests per second from all
  // processes together; nullopt if none.
  std::optional<double> limit_per_s;
  bool draining = false;  // The upstream announces that it is draining.
  // Backoff requested by the upstream that rejects the request: time for which
  // this process must send nothing to the upstream. Zero if no backoff is
  // requested.
  Duration backoff{};
};

// A rejection or failure reported by medlarwalk itself, in the form sent to the
// caller.
struct ErrorResponse {
  HeaderList headers;
  std::string body;
};

// The functions that parse and write the messages of one wire format. All are
// pure and thread safe.
struct Dialect {
  // Parses a request. Errors: a kind from errors.h; any other error is treated
  // as a bad request.
  std::function<absl::StatusOr<RequestFacts>(const MessageHead&,
                                             absl::string_view body)>
      read_request;
  // Builds the request for the upstream; its body is a view of `body`.
  std::function<OutgoingRequest(const MessageHead&, const ForwardFacts&,
                                absl::string_view body)>
      write_request;
  std::function<AnswerFacts(const MessageHead&)> read_answer;
  // Returns whether the header `name` of an answer is passed to the caller. If
  // empty, all headers are.
  std::function<bool(absl::string_view name)> forwards_header;
  // Names of headers that a Connection field cannot take out, because the
  // protocol between callers and upstreams defines them. Must outlive the
  // dialect.
  absl::Span<const absl::string_view> end_to_end;
  // Builds a rejection. `retry_after` is the suggested time until the caller's
  // next attempt.
  std::function<ErrorResponse(ErrorKind, absl::string_view why,
                              Duration retry_after)>
      write_error_response;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_DIALECT_H_
