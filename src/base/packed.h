// Configurations as they are kept and sent between our processes: compressed.
// A document of 3,000 routes is hundreds of kilobytes of much the same text; an
// entry behind 10 Mbit/s needs half a second of its link for it, which its
// callers then lack.
#ifndef MEDLARWALK_PACKED_H_
#define MEDLARWALK_PACKED_H_

#include <cstddef>
#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "payload.h"

namespace medlarwalk {

// `text` compressed (zlib, RFC 1950). What begins as a compressed one would
// must have been packed; JSON cannot.
Document Pack(absl::string_view text);

// What was packed; what does not begin as a packed document is one as it
// stands. Errors: InvalidArgument when it is damaged, or larger than `most`
// bytes: a few bytes may stand for very many.
absl::StatusOr<std::string> Unpack(absl::string_view packed, size_t most);

}  // namespace medlarwalk

#endif  // MEDLARWALK_PACKED_H_
