// Compression of configuration documents for storage and for messages between
// our processes. A document of 3,000 routes has hundreds of kilobytes of
// repetitive text. Uncompressed, it would occupy the 10 Mbit/s link of an entry
// for half a second, and delay the requests of its callers.
#ifndef MEDLARWALK_PACKED_H_
#define MEDLARWALK_PACKED_H_

#include <cstddef>
#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "payload.h"

namespace medlarwalk {

// Returns `text` compressed with zlib (RFC 1950). The first byte of the result
// identifies it as compressed: no JSON text begins with this byte.
Document CompressDocument(absl::string_view text);

// Returns the decompressed text of `packed`. A document that does not begin
// like a compressed one is returned unchanged. Errors: InvalidArgument if
// `packed` is damaged, or if the decompressed text is larger than `max_bytes`,
// since a few bytes may expand to very many.
absl::StatusOr<std::string> DecompressDocument(absl::string_view packed,
                                               size_t max_bytes);

}  // namespace medlarwalk

#endif  // MEDLARWALK_PACKED_H_
