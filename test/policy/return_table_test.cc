// Tests of the table of rejected requests: which arriving requests get
// precedence, and what other processes learn of them.
#include "return_table.h"

#include <memory>

#include "CppUTest/TestHarness.h"

using namespace medlarwalk;

namespace {

const TimePoint kNow = TimePoint{} + std::chrono::hours(1);
const TimePoint kPromised = kNow + Millis(400);
constexpr size_t kMessage = 256;  // Records in a message.

void CheckClaim(ReturnClaim expected, ReturnTable& table, uint64_t fingerprint,
                TimePoint now, Tier tier = 1) {
  CHECK(expected == table.Claim(fingerprint, tier, now));
}

}  // namespace

TEST_GROUP(return_table){};

// Guards against precedence without a rejection, for another tier, before the
// promised time or long after it, and against an early return that keeps the
// row for the next try.
TEST(return_table, OnlyARejectedRequestThatKeepsItsTimeIsRecognized) {
  ReturnTable t;
  for (uint64_t f = 1; f <= 4; ++f) t.RecordPromise(f, 1, kPromised, kNow);
  CheckClaim(ReturnClaim::kUnknown, t, 99, kPromised);
  CheckClaim(ReturnClaim::kUnknown, t, 1, kPromised, 2);
  CheckClaim(ReturnClaim::kEarly, t, 2, kNow + Millis(100));
  CheckClaim(ReturnClaim::kUnknown, t, 2, kPromised);
  CheckClaim(ReturnClaim::kKept, t, 3, kPromised - kReturnTolerance);
  CheckClaim(ReturnClaim::kUnknown, t, 3, kPromised);
  CheckClaim(ReturnClaim::kKept, t, 1, kPromised + kReturnMemory);
  CheckClaim(ReturnClaim::kUnknown, t, 4,
             kPromised + kReturnMemory + Millis(1));
}

// Guards against precedence at each of many entries for one rejection, with
// records that arrive late, repeatedly and out of order, and against losing
// more than the unsent rows of an entry that dies.
TEST(return_table, ARowIsUsedOnceAndOutlivesItsEntry) {
  auto died = std::make_unique<ReturnTable>();
  ReturnTable b;
  ReturnTable c;
  died->RecordPromise(1, 1, kPromised, kNow);
  std::vector<ReturnRecord> promise = died->TakeNew(kMessage, kNow);
  died->RecordPromise(2, 1, kPromised, kNow);
  died.reset();
  b.Merge(promise, kNow + Millis(20));
  c.Merge(promise, kNow + Millis(40));
  LONGS_EQUAL(0, b.TakeNew(kMessage, kNow).size());
  CheckClaim(ReturnClaim::kUnknown, b, 2, kPromised);
  CheckClaim(ReturnClaim::kKept, b, 1, kPromised);
  c.Merge(b.TakeNew(kMessage, kPromised), kPromised + Millis(100));
  c.Merge(promise, kNow + Millis(60));
  CheckClaim(ReturnClaim::kUnknown, c, 1, kPromised + Millis(200));
  // A later rejection of the same request makes a new promise.
  b.RecordPromise(1, 1, kPromised + Millis(600), kPromised);
  c.Merge(b.TakeNew(kMessage, kPromised), kPromised);
  CheckClaim(ReturnClaim::kKept, c, 1, kPromised + Millis(600));
}

// Guards against a table that grows without bound, rows that are dropped
// without being counted, and messages that begin with the oldest rows.
TEST(return_table, AFullTableDropsTheRowsThatEndFirst) {
  ReturnTable t;
  for (size_t i = 0; i < kMaxReturnRows + 100; ++i)
    t.RecordPromise(i, 1, kNow + Millis(i), kNow);
  t.Merge({{1, 1, kMaxReturnDelay + Millis(1)}}, kNow);
  LONGS_EQUAL(kMaxReturnRows, t.size());
  LONGS_EQUAL(101, t.dropped());
  LONGS_EQUAL(kMaxReturnRows + 99, t.TakeNew(1, kNow)[0].fingerprint);
  LONGS_EQUAL(kMaxReturnRows + 98, t.TakeNew(1, kNow)[0].fingerprint);
  CheckClaim(ReturnClaim::kUnknown, t, 99, kNow + Millis(99));
  CheckClaim(ReturnClaim::kKept, t, 100, kNow + Millis(100));
}
