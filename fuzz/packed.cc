// A compressed document: unpacked it is within its bound, and packed again it
// is the same.
#include "packed.h"

#include "fuzz/fuzz.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace medlarwalk;
  constexpr size_t kMost = 100'000;
  absl::string_view bytes = fuzzing::Text(data, size);
  absl::StatusOr<std::string> text = Unpack(bytes, kMost);
  if (!text.ok()) {
    MEDLARWALK_EXPECT(!text.status().message().empty());
    return 0;
  }
  MEDLARWALK_EXPECT(text->size() <= kMost);
  absl::StatusOr<std::string> again = Unpack(*Pack(*text), kMost);
  MEDLARWALK_EXPECT(again.ok() && *again == *text);
  return 0;
}
