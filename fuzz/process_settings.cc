// Fuzz target: the settings file that the platform writes for a process.
#include "fuzz/fuzz.h"
#include "platform/settings.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace medlarwalk;
  absl::StatusOr<platform::ProcessSettings> s =
      platform::ParseProcessSettings(fuzzing::Text(data, size));
  if (!s.ok()) {
    MEDLARWALK_EXPECT(!s.status().message().empty());
    return 0;
  }
  MEDLARWALK_EXPECT(!s->name.empty() && !s->ip.empty());
  MEDLARWALK_EXPECT(s->last_port > s->first_port);
  s->SeedPeerAddresses();
  return 0;
}
