// HTTP/1.1 heads and bodies: what a message is must not depend on how its
// bytes were cut into reads. First byte: request or answer, size of the cuts.
#include "http1.h"

#include <algorithm>
#include <string>

#include "absl/strings/str_cat.h"
#include "fuzz/fuzz.h"

namespace medlarwalk {
namespace {

constexpr uint32_t kHeaderLimit = 8192;
constexpr uint64_t kBodyLimit = 1 << 16;

// All that parsing `bytes` in reads of `cut` bytes tells, as text.
std::string Told(Http1Parser::Kind kind, absl::string_view bytes, size_t cut) {
  std::string heads;
  std::string body;
  bool complete = false;
  Http1Parser parser(
      kind, kHeaderLimit, kBodyLimit,
      {[&](const MessageHead& h) {
         absl::StrAppend(&heads, h.method, " ", h.target, " ", h.status, " ",
                         h.reason, " ", h.keep_alive, "\n");
         for (const auto& [k, v] : h.headers) {
           absl::StrAppend(&heads, k, ":", v, "\n");
         }
       },
       [&](absl::string_view d) { body.append(d.data(), d.size()); },
       [&] { complete = true; }});
  std::string buf;
  absl::Status status;
  while (!bytes.empty() && status.ok() && !parser.done()) {
    size_t n = std::min(cut, bytes.size());
    buf.append(bytes.data(), n);
    bytes.remove_prefix(n);
    status = parser.Feed(&buf);
  }
  MEDLARWALK_EXPECT(complete == (parser.done() && status.ok()) || !status.ok());
  if (status.ok() && !parser.done()) status = parser.FeedEnd();
  MEDLARWALK_EXPECT(!complete || parser.done());
  if (!status.ok()) return absl::StrCat("refused ", parser.head_done());
  EndName(parser.end_known_by());
  return absl::StrCat(heads, "\n", body, "\n", complete);
}

}  // namespace
}  // namespace medlarwalk

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using medlarwalk::Http1Parser;
  if (size < 1) return 0;
  auto kind =
      data[0] & 1 ? Http1Parser::Kind::kAnswer : Http1Parser::Kind::kRequest;
  size_t cut = 1 + data[0] / 2;
  absl::string_view bytes = medlarwalk::fuzzing::Text(data + 1, size - 1);
  MEDLARWALK_EXPECT(medlarwalk::Told(kind, bytes, bytes.size()) ==
                    medlarwalk::Told(kind, bytes, cut));
  return 0;
}
