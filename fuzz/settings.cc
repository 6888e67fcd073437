// Fuzz target: the settings file. Parsing returns an error with a message, or
// settings that the router of the native API of medlarwalk can use.
#include "settings.h"

#include "fuzz/fuzz.h"
#include "native_api.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace medlarwalk;
  absl::StatusOr<Settings> s = ParseSettings(fuzzing::Text(data, size));
  if (!s.ok()) {
    MEDLARWALK_EXPECT(!s.status().message().empty());
    return 0;
  }
  RoutingFromSettings(*s);
  for (const UpstreamSettings& u : s->upstreams) {
    MEDLARWALK_EXPECT(s->FindHost(u.agent) != nullptr);
  }
  UpstreamsFromSettings(*s);
  return 0;
}
