// Fuzz target: requests to the native API of medlarwalk. The input is the
// target in the first line, then header lines up to an empty line, then the
// body.
#include "native_api.h"

#include <memory>
#include <string>
#include <utility>

#include "absl/strings/str_split.h"
#include "fuzz/fuzz.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace medlarwalk;
  static const auto settings = std::make_shared<const Settings>(
      *ParseSettings(DefaultSettingsJson(20000)));
  static const Dialect dialect = NativeApiDialect(settings, "entry-1");
  std::pair<absl::string_view, absl::string_view> message =
      absl::StrSplit(fuzzing::Text(data, size), absl::MaxSplits("\n\n", 1));
  MessageHead head;
  head.method = "POST";
  for (absl::string_view line : absl::StrSplit(message.first, '\n')) {
    if (head.target.empty()) {
      head.target = std::string(line);
      continue;
    }
    std::pair<std::string, std::string> field =
        absl::StrSplit(line, absl::MaxSplits(':', 1));
    head.headers.push_back(std::move(field));
  }
  absl::StatusOr<RequestFacts> f = dialect.read_request(head, message.second);
  if (!f.ok()) return 0;
  MEDLARWALK_EXPECT(f->prompt_tokens >= 0 && f->max_output_tokens >= 0);
  dialect.write_request(head, ForwardFacts{}, message.second);
  return 0;
}
