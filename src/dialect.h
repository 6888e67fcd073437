// How callers and upstreams write what the core needs to know of a request
// and of an answer. The core decides on these typed values only; each front
// door brings its own functions to read and write them.
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
#include "part_memory.h"
#include "routing_config.h"
#include "types.h"
#include "upstream_link.h"

namespace medlarwalk {

// What a caller says of its request.
struct RequestFacts {
  std::string id;                    // Of this attempt; the upstream echoes it.
  std::optional<Duration> patience;  // How long the caller will wait.
  std::string key;                   // Of the client account; may be empty.
  std::string host;                  // With `path`: which route it asks for.
  std::string path;
  int64_t prompt_tokens = 0;  // 0 when not said.
  int64_t most_output_tokens = 0;
  int64_t likely_output_tokens = 0;  // The caller's estimate; 0 when not said.
  std::vector<PromptPart> parts;
  std::optional<int64_t> last_event;  // The caller resumes after this event.
  // Where the request, not its route, says what it is.
  std::optional<RequestKind> kind;
  std::optional<bool> repeatable;
  // Not 0: every sending of it goes to the one upstream this hash leads to.
  uint64_t pinned = 0;
};

// What goes with a forwarded request beside what the caller sent.
struct ForwardFacts {
  std::string id;           // Of the request.
  std::string upstream_id;  // Any other upstream must refuse the request.
  Duration patience{};      // What is left of it.
  std::string account;      // Empty when there is none.
  std::optional<int> engine_priority;  // 0 first.
  std::optional<int64_t> last_event;   // Resume after this event.
  // An engine that holds leading parts of the prompt: cheaper to copy from
  // than to read again. Empty ip: none known.
  Endpoint copy_from;
};

// What an upstream's answer says of itself.
struct AnswerFacts {
  // The id of the request it answers; nullopt where the link itself pairs
  // answers with requests.
  std::optional<std::string> echoed_id;
  bool not_run = false;         // The upstream states that it did not run it.
  bool other_upstream = false;  // Another than was meant holds the address.
  // It is cut short by the upstream's own end, which this tells from others;
  // empty where it is not, or nobody saw.
  std::string upstream_end;
  bool signed_whole = false;  // Bears the upstream's signature.
  // Its load, where it tells it.
  bool has_load = false;
  int running = 0;
  int waiting = 0;
  // Requests a second that it takes from all processes together, where it
  // says so.
  std::optional<double> limit_per_s;
  bool leaving = false;  // It is about to stop.
  // It turns the request away and wants nothing from this process for so long;
  // zero where it doesn't say so.
  Duration rest{};
};

// A refusal or failure of our own, as the caller gets it.
struct Refusal {
  HeaderList headers;
  std::string body;
};

// The functions of one front door. All pure and thread safe.
struct Dialect {
  // Errors: of a kind of errors.h, else taken for a bad request.
  std::function<absl::StatusOr<RequestFacts>(const MessageHead&,
                                             absl::string_view body)>
      read_request;
  // The request for the upstream; its body is a view of `body`.
  std::function<OutgoingRequest(const MessageHead&, const ForwardFacts&,
                                absl::string_view body)>
      write_request;
  std::function<AnswerFacts(const MessageHead&)> read_answer;
  // Whether the header `name` of an answer is for the caller; all when empty.
  std::function<bool(absl::string_view name)> passes_on;
  // `retry_after`: when the caller does well to come back.
  std::function<Refusal(ErrorKind, absl::string_view why, Duration retry_after)>
      write_refusal;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_DIALECT_H_
