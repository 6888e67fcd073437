#include "errors.h"

#include "CppUTest/TestHarness.h"

using namespace medlarwalk;

TEST_GROUP(errors){};

// Every kind has its own code and the code leads back to the kind, so a kind
// carried across the HTTP/2 link (as a header) is read back as itself.
TEST(errors, EveryKindRoundTripsThroughItsCode) {
  for (int i = 0; i < kErrorKindCount; ++i) {
    auto kind = static_cast<ErrorKind>(i);
    CHECK(KindFromCode(AnswerFor(kind).code) == kind);
    absl::Status s = MakeError(kind, "m");
    CHECK(KindOf(s) == kind);
  }
}

// Every answer that tells the caller to come back says when.
TEST(errors, ComeBackAnswersCarryRetryAfter) {
  for (int i = 0; i < kErrorKindCount; ++i) {
    const Answer& a = AnswerFor(static_cast<ErrorKind>(i));
    if (a.http_status == 503 || a.http_status == 429) CHECK(a.retry_after);
  }
}
