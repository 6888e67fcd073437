// The replica's file. First byte 0: the bytes as they stand; reading a part of
// them finds a part of the records. Else: CBOR values one after another, taken
// for records whose checksums hold; what they leave can be stored and read.
#include <string>
#include <vector>

#include "fuzz/fuzz.h"
#include "replica_codec.h"
#include "replica_store.h"

namespace medlarwalk {
namespace {

void AsStored(absl::string_view bytes) {
  size_t all = 0;
  size_t part = 0;
  std::vector<nlohmann::json> records = ReadRecords(bytes, &all);
  std::vector<nlohmann::json> fewer =
      ReadRecords(bytes.substr(0, bytes.size() / 2), &part);
  MEDLARWALK_EXPECT(all <= bytes.size() && part <= all);
  MEDLARWALK_EXPECT(fewer.size() <= records.size());
  for (size_t i = 0; i < fewer.size(); ++i) {
    MEDLARWALK_EXPECT(fewer[i] == records[i]);
  }
}

void AsRecords(absl::string_view bytes) {
  std::vector<nlohmann::json> records;
  for (size_t at = 0; at < bytes.size();) {
    // One byte says how long the next value is.
    size_t n = static_cast<uint8_t>(bytes[at]);
    absl::StatusOr<nlohmann::json> j = FromCbor(bytes.substr(at + 1, n));
    if (j.ok()) records.push_back(*std::move(j));
    at += 1 + n;
  }
  absl::StatusOr<StoredState> s = StateFromRecords(records);
  if (!s.ok()) return;
  uint64_t next = s->snapshot.index + 1;
  for (const LogEntry& e : s->log) MEDLARWALK_EXPECT(e.index == next++);
}

}  // namespace
}  // namespace medlarwalk

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size < 1) return 0;
  absl::string_view bytes = medlarwalk::fuzzing::Text(data + 1, size - 1);
  if (data[0] == 0) {
    medlarwalk::AsStored(bytes);
  } else {
    medlarwalk::AsRecords(bytes);
  }
  return 0;
}
