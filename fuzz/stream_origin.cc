// Fuzz target: a datagram about the origin of a stream. A decoded message
// survives encoding and decoding.
#include "fuzz/fuzz.h"
#include "stream_origin_wire.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace medlarwalk;
  absl::StatusOr<StreamOriginMessage> m =
      DecodeStreamOrigin(fuzzing::Text(data, size));
  if (!m.ok()) {
    MEDLARWALK_EXPECT(!m.status().message().empty());
    return 0;
  }
  std::string encoded = EncodeStreamOrigin(*m);
  absl::StatusOr<StreamOriginMessage> again = DecodeStreamOrigin(encoded);
  MEDLARWALK_EXPECT(again.ok());
  MEDLARWALK_EXPECT(EncodeStreamOrigin(*again) == encoded);
  return 0;
}
