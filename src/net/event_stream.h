// Splits a stream of server-sent events into complete events, so that a
// truncated event is never forwarded and another upstream can continue the
// stream after the last complete event.
#ifndef MEDLARWALK_EVENT_STREAM_H_
#define MEDLARWALK_EVENT_STREAM_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "absl/functional/function_ref.h"
#include "absl/strings/numbers.h"
#include "absl/strings/string_view.h"

namespace medlarwalk {

// Returns the value of the event's "id" field, if it is a number.
inline std::optional<int64_t> ParseEventId(absl::string_view event) {
  while (!event.empty()) {
    size_t eol = event.find('\n');
    absl::string_view line = event.substr(0, eol);
    if (line.substr(0, 3) == "id:") {
      int64_t id;
      if (absl::SimpleAtoi(line.substr(3), &id)) return id;
      return std::nullopt;
    }
    if (eol == absl::string_view::npos) break;
    event.remove_prefix(eol + 1);
  }
  return std::nullopt;
}

// Buffers bytes and passes on complete events, each with the blank line that
// ends it. Thread safety: not thread safe; use one instance per stream.
class EventSplitter {
 public:
  // Calls `f` for each event that `data` completes. When `f` returns false,
  // Feed stops after that event and returns false.
  bool Feed(absl::string_view data,
            absl::FunctionRef<bool(absl::string_view)> f) {
    // Only a separator that the new bytes complete is not yet found.
    constexpr size_t kMaxSeparatorStart = 3;
    size_t from = buf_.size() - std::min(buf_.size(), kMaxSeparatorStart);
    buf_.append(data.data(), data.size());
    size_t at = 0;
    bool go = true;
    while (go) {
      size_t lf = buf_.find("\n\n", from);
      size_t crlf = buf_.find("\r\n\r\n", from);
      size_t end = lf < crlf ? lf + 2 : crlf + 4;
      if (lf == std::string::npos && crlf == std::string::npos) break;
      go = f(absl::string_view(buf_).substr(at, end - at));
      at = from = end;
    }
    buf_.erase(0, at);
    return go;
  }
  // Returns the number of buffered bytes that are not yet a complete event.
  size_t pending() const { return buf_.size(); }

 private:
  std::string buf_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_EVENT_STREAM_H_
