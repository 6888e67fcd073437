// Splits a body of server-sent events into whole events, so that an event cut
// in the middle is never passed on and a stream can go on elsewhere after the
// last whole one.
#ifndef MEDLARWALK_EVENT_STREAM_H_
#define MEDLARWALK_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>

#include "absl/functional/function_ref.h"
#include "absl/strings/numbers.h"
#include "absl/strings/string_view.h"

namespace medlarwalk {

// The value of the event's "id" field, if it is a number.
inline std::optional<int64_t> EventId(absl::string_view event) {
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

// Collects bytes and hands out whole events, each with the blank line that
// ends it. Thread safety: none needed; one per stream.
class EventSplitter {
 public:
  // Calls `f` for each event that `data` completes. `f` returns false to stop
  // there; Feed then returns false.
  bool Feed(absl::string_view data,
            absl::FunctionRef<bool(absl::string_view)> f) {
    buf_.append(data.data(), data.size());
    size_t at = 0;
    bool go = true;
    while (go) {
      size_t lf = buf_.find("\n\n", at);
      size_t crlf = buf_.find("\r\n\r\n", at);
      size_t end = lf < crlf ? lf + 2 : crlf + 4;
      if (lf == std::string::npos && crlf == std::string::npos) break;
      go = f(absl::string_view(buf_).substr(at, end - at));
      at = end;
    }
    buf_.erase(0, at);
    return go;
  }
  // Bytes of an event that is not whole.
  size_t pending() const { return buf_.size(); }
  void Reset() { buf_.clear(); }

 private:
  std::string buf_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_EVENT_STREAM_H_
