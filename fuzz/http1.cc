// Fuzz target: HTTP/1.1 messages. The parsed message does not depend on how its
// bytes are split into reads, and an answer has a status. The first byte
// selects request or answer, and the size of the reads.
#include "http1.h"

#include <algorithm>
#include <string>

#include "absl/strings/str_cat.h"
#include "fuzz/fuzz.h"

namespace medlarwalk {
namespace {

constexpr uint32_t kHeaderLimit = 8192;
constexpr uint64_t kBodyLimit = 1 << 16;

// Returns the result of parsing `bytes` in reads of `read_size` bytes, as text.
std::string ParseResult(Http1Parser::Kind kind, absl::string_view bytes,
                        size_t read_size) {
  std::string heads_text;
  std::string body_text;
  bool complete = false;
  Http1Parser parser(
      kind, kHeaderLimit, kBodyLimit,
      {[&](const MessageHead& h) {
         // A message whose codings are not just `chunked` goes no further.
         if (h.status == 0 && h.Find("Transfer-Encoding"))
           MEDLARWALK_EXPECT(h.framing == BodyFraming::kChunked);
         MEDLARWALK_EXPECT((kind == Http1Parser::Kind::kAnswer) ==
                           IsStatus(h.status));
         absl::StrAppend(&heads_text, h.method, " ", h.target, " ", h.status,
                         " ", h.reason, " ", h.keep_alive, "\n");
         for (const auto& [k, v] : h.headers) {
           absl::StrAppend(&heads_text, k, ":", v, "\n");
         }
       },
       [&](absl::string_view d) { body_text.append(d.data(), d.size()); },
       [&] { complete = true; }});
  std::string buf;
  absl::Status status;
  while (!bytes.empty() && status.ok() && !parser.done()) {
    size_t n = std::min(read_size, bytes.size());
    buf.append(bytes.data(), n);
    bytes.remove_prefix(n);
    status = parser.Feed(&buf);
  }
  MEDLARWALK_EXPECT(complete == (parser.done() && status.ok()) || !status.ok());
  if (status.ok() && !parser.done()) status = parser.FeedEof();
  MEDLARWALK_EXPECT(!complete || parser.done());
  if (!status.ok()) return absl::StrCat("refused ", parser.head_done());
  EndDetectionName(parser.end_detection());
  return absl::StrCat(heads_text, "\n", body_text, "\n", complete);
}

}  // namespace
}  // namespace medlarwalk

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using medlarwalk::Http1Parser;
  if (size < 1) return 0;
  auto kind =
      data[0] & 1 ? Http1Parser::Kind::kAnswer : Http1Parser::Kind::kRequest;
  size_t read_size = 1 + data[0] / 2;
  absl::string_view bytes = medlarwalk::fuzzing::Text(data + 1, size - 1);
  MEDLARWALK_EXPECT(medlarwalk::ParseResult(kind, bytes, bytes.size()) ==
                    medlarwalk::ParseResult(kind, bytes, read_size));
  return 0;
}
