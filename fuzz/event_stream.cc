// Fuzz target: server-sent event streams. The events do not depend on how the
// bytes are split into reads, and events plus pending bytes equal the input.
#include "event_stream.h"

#include <algorithm>
#include <string>
#include <vector>

#include "fuzz/fuzz.h"

namespace medlarwalk {
namespace {

std::vector<std::string> SplitEvents(absl::string_view bytes, size_t read_size,
                                     size_t* pending) {
  std::vector<std::string> out;
  EventSplitter splitter;
  while (!bytes.empty()) {
    size_t n = std::min(read_size, bytes.size());
    MEDLARWALK_EXPECT(
        splitter.Feed(bytes.substr(0, n), [&](absl::string_view e) {
          ParseEventId(e);
          out.emplace_back(e);
          return true;
        }));
    bytes.remove_prefix(n);
  }
  *pending = splitter.pending();
  return out;
}

}  // namespace
}  // namespace medlarwalk

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size < 1) return 0;
  absl::string_view bytes = medlarwalk::fuzzing::Text(data + 1, size - 1);
  size_t pending_whole = 0;
  size_t pending_in_reads = 0;
  std::vector<std::string> whole_input_events = medlarwalk::SplitEvents(
      bytes, std::max<size_t>(1, bytes.size()), &pending_whole);
  MEDLARWALK_EXPECT(
      whole_input_events ==
      medlarwalk::SplitEvents(bytes, 1 + data[0], &pending_in_reads));
  MEDLARWALK_EXPECT(pending_whole == pending_in_reads);
  std::string all;
  for (const std::string& e : whole_input_events) all += e;
  MEDLARWALK_EXPECT(all == bytes.substr(0, bytes.size() - pending_whole));
  return 0;
}
