// Fuzz target: the codec of messages between medlarwalk's own processes. The
// first byte selects the type of message. A decoded message survives encoding
// and decoding.
#include <string>

#include "control_wire.h"
#include "fuzz/fuzz.h"
#include "replica_codec.h"

namespace medlarwalk {
namespace {

// First bytes that select usage records, usage states, limit records, parts of
// the upstream list and requests for them. The remainder modulo 5 of any other
// first byte selects the type of message.
constexpr uint8_t kUsage = 'u';
constexpr uint8_t kUsageStates = 'U';
constexpr uint8_t kLimits = 'y';
constexpr uint8_t kListPart = 'p';
constexpr uint8_t kListPartRequest = 'P';
constexpr TimePoint kFuzzTime{std::chrono::hours(1000)};

template <typename Decode, typename Encode>
void RoundTrip(absl::string_view bytes, Decode decode, Encode encode) {
  auto first = decode(bytes);
  if (!first.ok()) {
    MEDLARWALK_EXPECT(!first.status().message().empty());
    return;
  }
  std::string again = encode(*first);
  auto second = decode(again);
  MEDLARWALK_EXPECT(second.ok());
  MEDLARWALK_EXPECT(encode(*second) == again);
}

}  // namespace
}  // namespace medlarwalk

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace medlarwalk;
  if (size < 1) return 0;
  absl::string_view bytes = fuzzing::Text(data + 1, size - 1);
  if (data[0] == kUsage) {
    RoundTrip(bytes, DecodeUsageRecords, [](const std::vector<UsageRecord>& r) {
      return EncodeUsageRecords(r);
    });
    return 0;
  }
  if (data[0] == kUsageStates) {
    RoundTrip(bytes, DecodeUsageStates,
              [](const std::vector<UsageProcessState>& s) {
                return EncodeUsageStates(s);
              });
    return 0;
  }
  if (data[0] == kLimits) {
    RoundTrip(
        bytes,
        [](absl::string_view b) { return DecodeLimitRecords(b, kFuzzTime); },
        [](const std::vector<LimitRecord>& r) {
          return EncodeLimitRecords(r, kFuzzTime);
        });
    return 0;
  }
  if (data[0] == kListPart) {
    RoundTrip(bytes, DecodeListPart,
              [](const ListPart& p) { return *EncodeListPart(p); });
    return 0;
  }
  if (data[0] == kListPartRequest) {
    RoundTrip(bytes, DecodeListPartRequest, EncodeListPartRequest);
    return 0;
  }
  switch (data[0] % 5) {
    case 0:
      RoundTrip(bytes, DecodeMemberAddresses, EncodeMemberAddresses);
      break;
    case 1:
      RoundTrip(bytes, DecodeWatchRequest, EncodeWatchRequest);
      break;
    case 2:
      RoundTrip(bytes, DecodeWatchReply, [](const WatchReply& r) {
        return EncodeWatchReply(r).CopyRemaining();
      });
      break;
    case 3:
      RoundTrip(
          bytes,
          [](absl::string_view b) { return DecodeCrashRecords(b, kFuzzTime); },
          [](const std::vector<CrashRecord>& r) {
            return EncodeCrashRecords(r, kFuzzTime);
          });
      break;
    default:
      RoundTrip(bytes, DecodeMessage, EncodeMessage);
  }
  return 0;
}
