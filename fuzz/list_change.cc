// A change of the upstream list from another process. What decodes is the same
// after it was encoded and decoded again; whatever is taken over leads to the
// version that it names, and what is refused leaves the list as it was.
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
  bool taken = list.Apply(*c);
  MEDLARWALK_EXPECT(list.version() == (taken ? c->to : before));
  MEDLARWALK_EXPECT(taken || list.size() == 1);
  // A list whose version is not that of its contents would differ from one
  // that took over the same contents whole.
  UpstreamList whole;
  whole.Replace(list.All());
  MEDLARWALK_EXPECT(whole.version() == list.version());
  return 0;
}
