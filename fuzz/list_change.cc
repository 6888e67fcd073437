// Fuzz target: a change of the upstream list received from another process. A
// decoded change survives encoding and decoding. A change that is applied leads
// to the version it names; a rejected change leaves the list unmodified.
#include "control_wire.h"
#include "fuzz/fuzz.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace medlarwalk;
  absl::StatusOr<ListChange> c = DecodeListChange(fuzzing::Text(data, size));
  if (!c.ok()) {
    MEDLARWALK_EXPECT(!c.status().message().empty());
    return 0;
  }
  absl::StatusOr<ListChange> again = DecodeListChange(*EncodeListChange(*c));
  MEDLARWALK_EXPECT(again.ok());
  MEDLARWALK_EXPECT(*EncodeListChange(*again) == *EncodeListChange(*c));

  UpstreamList list;
  UpstreamInfo u;
  u.id = "u-1";
  list.Replace({u});
  int64_t before = list.version();
  bool applied = list.Apply(*c);
  MEDLARWALK_EXPECT(list.version() == (applied ? c->to : before));
  MEDLARWALK_EXPECT(applied || list.size() == 1);
  // The version depends on the contents only: a list that received the same
  // contents as a full list has the same version.
  UpstreamList full_list;
  full_list.Replace(list.All());
  MEDLARWALK_EXPECT(full_list.version() == list.version());
  return 0;
}
