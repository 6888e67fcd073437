// Fuzz target: the operator's configuration. Decoding returns an error with a
// message, or a valid configuration.
#include "fuzz/fuzz.h"
#include "platform/documents.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace medlarwalk;
  absl::string_view text = fuzzing::Text(data, size);
  absl::StatusOr<RoutingConfig> c = platform::DecodeConfig(text);
  absl::StatusOr<int64_t> version = platform::DecodeConfigVersion(text);
  MEDLARWALK_EXPECT(c.ok() == version.ok());
  if (!c.ok()) {
    MEDLARWALK_EXPECT(!c.status().message().empty());
    return 0;
  }
  MEDLARWALK_EXPECT(c->version == *version);
  MEDLARWALK_EXPECT(ValidateConfig(*c).ok());
  for (const RouteRule& r : c->routes) {
    MEDLARWALK_EXPECT(r.timeout > Duration::zero());
    MEDLARWALK_EXPECT(c->services.count(PickService(r, 0.5)) == 1);
  }
  return 0;
}
