#include "errors.h"

#include "CppUTest/TestHarness.h"

using namespace medlarwalk;

TEST_GROUP(errors){};

// Guards against two error kinds with the same code. The HTTP/2 link carries an
// error kind as its code in a header, and the receiver decodes the kind from
// the code.
TEST(errors, EveryKindRoundTripsThroughItsCode) {
  for (int i = 0; i < kErrorKindCount; ++i) {
    auto kind = static_cast<ErrorKind>(i);
    CHECK(ErrorKindFromCode(ErrorAnswerFor(kind).code) == kind);
    absl::Status s = MakeError(kind, "m");
    CHECK(ErrorKindOf(s) == kind);
  }
}

// Guards against an answer that asks the caller to retry without Retry-After.
TEST(errors, RetryLaterAnswersCarryRetryAfter) {
  for (int i = 0; i < kErrorKindCount; ++i) {
    const ErrorAnswer& a = ErrorAnswerFor(static_cast<ErrorKind>(i));
    if (a.http_status == 503 || a.http_status == 429) CHECK(a.retry_after);
  }
}

// Guards against an error that promises the caller that its request did not run
// although it may have run.
TEST(errors, OnlyErrorsOfRequestsThatDidNotRunPromiseSo) {
  for (int i = 0; i < kErrorKindCount; ++i) {
    const ErrorAnswer& a = ErrorAnswerFor(static_cast<ErrorKind>(i));
    CHECK(a.http_status != 408 && a.http_status != 421);
    if (a.http_status == 429 || a.http_status == 503) CHECK(a.not_run);
  }
}
