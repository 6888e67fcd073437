// Fuzz target: the replica's file. If the first byte is 0, the rest is the
// content of the file, and reading a prefix of it finds a prefix of its
// records. Otherwise the rest is a sequence of CBOR values, taken as records
// with valid checksums, and the state rebuilt from them has consecutive log
// indexes.
#include <string>
#include <vector>

#include "fuzz/fuzz.h"
#include "replica_codec.h"
#include "replica_store.h"

namespace medlarwalk {
namespace {

void CheckFilePrefix(absl::string_view bytes) {
  size_t all = 0;
  size_t part = 0;
  std::vector<nlohmann::json> records = ReadRecords(bytes, &all);
  std::vector<nlohmann::json> prefix_records =
      ReadRecords(bytes.substr(0, bytes.size() / 2), &part);
  MEDLARWALK_EXPECT(all <= bytes.size() && part <= all);
  MEDLARWALK_EXPECT(prefix_records.size() <= records.size());
  for (size_t i = 0; i < prefix_records.size(); ++i) {
    MEDLARWALK_EXPECT(prefix_records[i] == records[i]);
  }
}

void CheckStateFromRecords(absl::string_view bytes) {
  std::vector<nlohmann::json> records;
  for (size_t at = 0; at < bytes.size();) {
    // One byte holds the length of the next value.
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
    medlarwalk::CheckFilePrefix(bytes);
  } else {
    medlarwalk::CheckStateFromRecords(bytes);
  }
  return 0;
}
