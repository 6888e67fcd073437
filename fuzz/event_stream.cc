// Event streams: the events do not depend on how their bytes were cut, and
// with what is pending they are the whole input.
#include "event_stream.h"

#include <algorithm>
#include <string>
#include <vector>

#include "fuzz/fuzz.h"

namespace medlarwalk {
namespace {

std::vector<std::string> Events(absl::string_view bytes, size_t cut,
                                size_t* pending) {
  std::vector<std::string> out;
  EventSplitter split;
  while (!bytes.empty()) {
    size_t n = std::min(cut, bytes.size());
    MEDLARWALK_EXPECT(split.Feed(bytes.substr(0, n), [&](absl::string_view e) {
      EventId(e);
      out.emplace_back(e);
      return true;
    }));
    bytes.remove_prefix(n);
  }
  *pending = split.pending();
  return out;
}

}  // namespace
}  // namespace medlarwalk

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size < 1) return 0;
  absl::string_view bytes = medlarwalk::fuzzing::Text(data + 1, size - 1);
  size_t whole_pending = 0;
  size_t cut_pending = 0;
  std::vector<std::string> whole = medlarwalk::Events(
      bytes, std::max<size_t>(1, bytes.size()), &whole_pending);
  MEDLARWALK_EXPECT(whole ==
                    medlarwalk::Events(bytes, 1 + data[0], &cut_pending));
  MEDLARWALK_EXPECT(whole_pending == cut_pending);
  std::string all;
  for (const std::string& e : whole) all += e;
  MEDLARWALK_EXPECT(all == bytes.substr(0, bytes.size() - whole_pending));
  return 0;
}
