// How the end of the body of an HTTP/1.1 message is marked, decided from its
// head in one place for all messages that are read, whatever library parses
// them. If two readers of a connection saw the end in different places, one of
// them would take a part of a body for a message of its own.
#ifndef MEDLARWALK_FRAMING_H_
#define MEDLARWALK_FRAMING_H_

#include <cstdint>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "types.h"

namespace medlarwalk {

// How the end of the body of a message is marked (RFC 9112, section 6.3).
enum class BodyFraming {
  kNone,     // There is no body.
  kLength,   // The head states the length.
  kChunked,  // The body is sent in chunks.
  kClose,    // The body ends with the connection; answers only.
};

// Returns the name of `framing` for the log. Thread safe.
absl::string_view BodyFramingName(BodyFraming framing);

struct MessageFraming {
  BodyFraming body = BodyFraming::kNone;
  uint64_t length = 0;  // In bytes; set with kLength.
};

// Decides how the body of a request is framed. `http11` tells HTTP/1.1 from
// HTTP/1.0. Errors: InvalidArgument, with one of a fixed set of messages, if
// the end of the body cannot be told, or would not be seen at the same place by
// every reader. Thread safe.
absl::StatusOr<MessageFraming> DecideRequestFraming(bool http11,
                                                    const HeaderList& headers);

// Returns whether `status` is the status of an answer: a library may read any
// number as one (RFC 9110, section 15). Thread safe.
bool IsStatus(int status);

// Decides how the body of an answer is framed. `answers_head` says that it
// answers a HEAD request. Errors: InvalidArgument, as for requests, and if the
// answer has no valid status or changes the protocol of its connection. Thread
// safe.
absl::StatusOr<MessageFraming> DecideAnswerFraming(bool http11, int status,
                                                   bool answers_head,
                                                   const HeaderList& headers);

// Checks fields that a lenient library has parsed. Errors: InvalidArgument if a
// name is not a token, such as one with a blank before its colon or the rest of
// a folded field, or if a value holds control characters. Thread safe.
absl::Status CheckFields(const HeaderList& headers);

// Returns whether `head`, the bytes of a head as received, has a field that
// goes on in the next line. Such a line is a field of its own for some readers
// (RFC 9112, section 5.2). Thread safe.
bool HasFoldedField(absl::string_view head);

// Checks the extension of a chunk. Errors: InvalidArgument if it holds bytes
// that some readers take for the end of its line. Thread safe.
absl::Status CheckChunkExtension(absl::string_view extension);

// Returns whether `rest`, which begins where a chunk's line is expected, holds
// a whole line with a quoted string that does not end in it. Thread safe.
bool HasOpenQuoteInChunkLine(absl::string_view rest);

}  // namespace medlarwalk

#endif  // MEDLARWALK_FRAMING_H_
