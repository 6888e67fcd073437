// Messages between entry processes about where streams began (CBOR, one
// datagram each).
#ifndef MEDLARWALK_STREAM_ORIGIN_WIRE_H_
#define MEDLARWALK_STREAM_ORIGIN_WIRE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "stream_origin_table.h"

namespace medlarwalk {

struct StreamOriginMessage {
  enum class Kind {
    kRecord,    // The receiver stores `record`.
    kQuestion,  // Asks where the stream `record.key` began.
    kAnswer,    // Answers the question with this number.
  };
  Kind kind = Kind::kRecord;
  uint64_t number = 0;  // Number of the question; 0 for a record.
  StreamRecord record;
  bool known = false;  // Answer: whether `record.origin` is known.
};

std::string EncodeStreamOrigin(const StreamOriginMessage& m);
// Errors: InvalidArgument if `bytes` are malformed.
absl::StatusOr<StreamOriginMessage> DecodeStreamOrigin(absl::string_view bytes);

}  // namespace medlarwalk

#endif  // MEDLARWALK_STREAM_ORIGIN_WIRE_H_
