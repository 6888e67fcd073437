// Fuzz target: compressed documents. An unpacked document stays within the size
// limit, and survives packing and unpacking.
#include "packed.h"

#include "fuzz/fuzz.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace medlarwalk;
  constexpr size_t kMaxBytes = 100'000;
  absl::string_view bytes = fuzzing::Text(data, size);
  absl::StatusOr<std::string> text = DecompressDocument(bytes, kMaxBytes);
  if (!text.ok()) {
    MEDLARWALK_EXPECT(!text.status().message().empty());
    return 0;
  }
  MEDLARWALK_EXPECT(text->size() <= kMaxBytes);
  absl::StatusOr<std::string> unpacked_again =
      DecompressDocument(*CompressDocument(*text), kMaxBytes);
  MEDLARWALK_EXPECT(unpacked_again.ok() && *unpacked_again == *text);
  return 0;
}
