// Fuzz target: the platform's headers of requests and answers. The input is
// lines of the form "Name: value".
#include "platform/headers.h"

#include <string>
#include <utility>

#include "absl/strings/str_split.h"
#include "fuzz/fuzz.h"
#include "platform/names.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace medlarwalk;
  static const Dialect dialect = platform::MakeDialect();
  MessageHead head;
  head.method = "POST";
  head.target = "/a/b?c";
  head.status = 200;
  for (absl::string_view line :
       absl::StrSplit(fuzzing::Text(data, size), '\n')) {
    std::pair<std::string, std::string> field =
        absl::StrSplit(line, absl::MaxSplits(':', 1));
    head.headers.push_back(std::move(field));
  }
  absl::StatusOr<RequestFacts> f = dialect.read_request(head, "");
  if (f.ok()) {
    if (f->time_limit) MEDLARWALK_EXPECT(*f->time_limit >= Duration::zero());
    ForwardFacts forward;
    forward.upstream_id = "i-1";
    OutgoingRequest out = dialect.write_request(head, forward, "");
    int expects = 0;
    for (const auto& [k, v] : out.headers)
      expects += k == platform::kExpectInstance;
    MEDLARWALK_EXPECT(expects == 1);
  }
  AnswerFacts a = dialect.read_answer(head);
  if (a.has_load) MEDLARWALK_EXPECT(a.running >= 0 && a.waiting >= 0);
  if (a.limit_per_s) MEDLARWALK_EXPECT(*a.limit_per_s >= 0);
  MEDLARWALK_EXPECT(a.backoff >= Duration::zero());
  return 0;
}
