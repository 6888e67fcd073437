// HTTP/1.1 message parsing with Boost.Beast's incremental parser, and the
// encoding of message heads. Used where the process must own the socket: to
// notice a caller that leaves while its answer is being prepared, to skip an
// answer that belongs to another request on a kept connection, and to know
// whether a request can have reached its upstream.
#ifndef MEDLARWALK_HTTP1_H_
#define MEDLARWALK_HTTP1_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "types.h"

namespace medlarwalk {

// The start line and header fields of one message.
struct MessageHead {
  std::string method;  // Requests.
  std::string target;  // Requests: path and query, unchanged.
  int status = 0;      // Answers.
  std::string reason;  // Answers.
  HeaderList headers;
  bool keep_alive = false;
  bool reads_chunks = true;  // Requests: the sender is no HTTP/1.0 one.
  std::optional<uint64_t> content_length;

  // The first value of header `name` (any case), or nullptr.
  const std::string* Find(absl::string_view name) const;
  // The same without space around it, "" if there is none.
  std::string Value(absl::string_view name) const;
  // How many headers are called `name` (any case).
  int Count(absl::string_view name) const;
};

// How the end of a message was known. Only the first two are said by the
// message itself; the others rest on how its carrier ended.
enum class EndKnownBy {
  kLength,     // Its head says how long it is, or that it has no body.
  kLastChunk,  // The chunk that ends a chunked body came.
  kClose,      // Its connection was closed in order.
  kStreamEnd,  // Its stream of several on one connection was ended.
};

// The name of `by`, for the log.
absl::string_view EndName(EndKnownBy by);

// Receives one message. Callbacks must not destroy the parser.
struct MessageSink {
  std::function<void(MessageHead)> on_head;
  std::function<void(absl::string_view)> on_body;
  std::function<void()> on_complete;
};

// Parses one message at a time. Thread safety: loop thread only.
class Http1Parser {
 public:
  enum class Kind { kRequest, kAnswer };

  // `header_limit` and `body_limit` in bytes.
  Http1Parser(Kind kind, uint32_t header_limit, uint64_t body_limit,
              MessageSink sink);
  ~Http1Parser();
  Http1Parser(const Http1Parser&) = delete;
  Http1Parser& operator=(const Http1Parser&) = delete;

  // Parses `*buf` as far as it goes and erases what was taken. Stops after
  // one whole message; bytes of a next one stay in `*buf`. Errors:
  // InvalidArgument when the bytes are no message, ResourceExhausted when the
  // head or the body is over its limit.
  absl::Status Feed(std::string* buf);

  // The peer closed its side: completes an answer that ends with its
  // connection. Errors: InvalidArgument when the message is not whole.
  absl::Status FeedEnd();

  // Whether any byte of the current message was taken.
  bool started() const;
  bool head_done() const;
  bool done() const;
  // Whether the message ends with its connection.
  bool ends_with_connection() const;
  // Precondition: done().
  EndKnownBy end_known_by() const;
  // Begins the next message. Precondition: done() or not started().
  void Reset();
  // The next answer has no body (it answers a HEAD request).
  void ExpectNoBody();

 private:
  struct Impl;
  void Make();

  Kind kind_;
  uint32_t header_limit_;
  uint64_t body_limit_;
  MessageSink sink_;
  std::unique_ptr<Impl> impl_;
};

// Appends "name: value\r\n".
void AppendHeader(std::string* out, absl::string_view name,
                  absl::string_view value);

// Whether `name` concerns one connection only and is not passed on.
bool IsHopByHop(absl::string_view name);

// The standard reason phrase for `status`.
absl::string_view ReasonPhrase(int status);

}  // namespace medlarwalk

#endif  // MEDLARWALK_HTTP1_H_
