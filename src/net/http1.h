// HTTP/1.1 message parsing with Boost.Beast's incremental parser, and helpers
// to write message heads. Used where the process must own the socket, in order
// to
// - detect that a caller disconnects while its answer is being prepared,
// - skip an answer to another request on a persistent connection, and
// - know whether a request can have reached its upstream.
#ifndef MEDLARWALK_HTTP1_H_
#define MEDLARWALK_HTTP1_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "framing.h"
#include "types.h"

namespace medlarwalk {

// The start line and header fields of one message.
struct MessageHead {
  std::string method;  // Set in requests only.
  std::string target;  // Path and query, unmodified; requests only.
  int status = 0;      // Set in answers only.
  std::string reason;  // Reason phrase; answers only.
  HeaderList headers;
  bool keep_alive = false;
  // Whether the sender can read a chunked answer; requests only, false for
  // HTTP/1.0.
  bool accepts_chunked = true;
  BodyFraming framing = BodyFraming::kNone;
  std::optional<uint64_t> content_length;

  // Returns the first value of header `name` (case-insensitive), or nullptr.
  const std::string* Find(absl::string_view name) const;
  // Returns the first value of header `name` (case-insensitive) without
  // surrounding whitespace, or "" if the header is absent.
  std::string HeaderValue(absl::string_view name) const;
  // Returns the number of headers named `name` (case-insensitive).
  int CountHeaders(absl::string_view name) const;
};

// How the end of a message was detected. With kLength and kLastChunk the
// message itself states its end; with kClose and kStreamEnd the end of the
// connection or stream is the only evidence.
enum class EndDetection {
  kLength,     // The head states the length, or that there is no body.
  kLastChunk,  // The last chunk of a chunked body was received.
  kClose,      // The peer closed the connection in an orderly way.
  kStreamEnd,  // The peer ended the HTTP/2 stream.
};

// Returns the name of `by` for the log.
absl::string_view EndDetectionName(EndDetection by);

// Callbacks that receive a parsed message. They must not destroy the parser.
struct MessageSink {
  std::function<void(MessageHead)> on_head;
  std::function<void(absl::string_view)> on_body;
  std::function<void()> on_complete;
};

// Parses one message at a time. Thread safety: loop thread only.
class Http1Parser {
 public:
  enum class Kind { kRequest, kAnswer };

  // `header_limit` and `body_limit` are in bytes. `header_limit` also applies
  // to the line before a chunk and to the trailers.
  Http1Parser(Kind kind, uint32_t header_limit, uint64_t body_limit,
              MessageSink sink);
  ~Http1Parser();
  Http1Parser(const Http1Parser&) = delete;
  Http1Parser& operator=(const Http1Parser&) = delete;

  // Replaces both limits, in bytes, for this message and later ones.
  // Precondition: not started().
  void SetLimits(uint32_t header_limit, uint64_t body_limit);

  // Parses as much of `*buf` as possible and erases the parsed bytes. Stops at
  // the end of one message; bytes of the next message stay in `*buf`. Errors:
  // InvalidArgument when the bytes are not an HTTP message, ResourceExhausted
  // when the head exceeds its limit, OutOfRange when the body, or what follows
  // the head, does.
  absl::Status Feed(std::string* buf);

  // Signals that the peer closed its side, which completes an answer that is
  // delimited by the end of its connection. Errors: InvalidArgument when the
  // message is incomplete.
  absl::Status FeedEof();

  // Returns whether any byte of the current message was parsed.
  bool started() const;
  bool head_done() const;
  bool done() const;
  // Returns the memory that the fields of the message take, in bytes, whether
  // they are still here or were passed on. A field takes more than its text.
  size_t head_bytes() const;
  // Returns whether the message is delimited by the end of its connection.
  bool is_close_delimited() const;
  // Returns how the end of the message was detected. Precondition: done().
  EndDetection end_detection() const;
  // Prepares the parser for the next message. Precondition: done() or not
  // started().
  void PrepareForNextMessage();
  // Frees what was parsed of the current message, which is given up.
  void Reset() { CreateParser(); }
  // Tells the parser that the next answer has no body because it answers a HEAD
  // request.
  void ExpectNoBody();

 private:
  struct Impl;
  void CreateParser();

  Kind kind_;
  uint32_t header_limit_;
  uint64_t body_limit_;
  MessageSink sink_;
  std::unique_ptr<Impl> impl_;
};

// Appends "name: value\r\n".
void AppendHeader(std::string* out, absl::string_view name,
                  absl::string_view value);

// Returns whether the header `name` applies to a single connection and must
// not be forwarded, whatever the message says of it.
bool IsHopByHop(absl::string_view name);

// Returns the fields of `headers` that are forwarded: not those that apply to
// a single connection, by their name or because a Connection field lists them
// (RFC 9110, section 7.6.1). Fields named in `end_to_end` are meant for the
// other end; a sender cannot have them taken out. Thread safe.
HeaderList ForwardedHeaders(const HeaderList& headers,
                            absl::Span<const absl::string_view> end_to_end);

// Returns the standard reason phrase for `status`.
absl::string_view ReasonPhrase(int status);

}  // namespace medlarwalk

#endif  // MEDLARWALK_HTTP1_H_
