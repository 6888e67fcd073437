// Fuzz target: a page of the upstream list. Every upstream that decoding
// returns is usable.
#include "fuzz/fuzz.h"
#include "platform/documents.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace medlarwalk;
  absl::StatusOr<ListPage> p =
      platform::DecodeListPage(fuzzing::Text(data, size));
  if (!p.ok()) {
    MEDLARWALK_EXPECT(!p.status().message().empty());
    return 0;
  }
  for (const UpstreamInfo& u : p->upstreams) {
    MEDLARWALK_EXPECT(!u.id.empty() && !u.service.empty() && u.slots >= 1);
    MEDLARWALK_EXPECT(u.address.port > 0 && u.address.port < 65536);
  }
  return 0;
}
