// Which request is taken for the one that crashes upstreams, and how what
// processes know of it is joined.
#include "quarantine.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "CppUTest/TestHarness.h"
#include "absl/strings/str_cat.h"
#include "control_wire.h"
#include "quarantine_store.h"
#include "test/procs.h"

using namespace medlarwalk;
using namespace medlarwalk::testing;

namespace {

constexpr RequestPrint kDeadly = 1;
constexpr RequestPrint kBeside = 2;
constexpr RequestPrint kOther = 3;
constexpr auto kRun = Millis(50);     // From the sending to the crash.
constexpr auto kPause = Millis(200);  // From one crash to the next sending.

// A crash under what was sent at `sent`, `after` that.
Crash At(TimePoint sent, Duration after, bool just_begun = true) {
  return Crash{0, sent, sent + after, just_begun, false};
}

}  // namespace

TEST_GROUP(quarantine) {
  // Upstream `n` ends now, with all of `had`, which were sent a moment before.
  void End(int n, std::initializer_list<RequestPrint> had) {
    now += kPause;
    for (RequestPrint p : had) {
      q.NoteCrash(p, absl::StrCat("i-", n), At(now, kRun));
    }
    now += kRun;
  }
  Quarantine q;
  TimePoint now{std::chrono::hours(10)};
};

TEST(quarantine, ThreeCrashesInARowAreEnough) {
  End(1, {kDeadly, kOther});
  End(2, {kDeadly});
  CHECK_FALSE(q.Refuses(kDeadly));
  End(3, {kDeadly, kBeside});
  CHECK_TRUE(q.Refuses(kDeadly));
  CHECK_FALSE(q.Refuses(kOther));
  CHECK_FALSE(q.Refuses(kBeside));
  CHECK_TRUE(q.RefusedFor(kDeadly, now) > Duration::zero());
}

// An innocent request that met the deadly one each time has as many crashes.
// Nobody is refused until a crash has only one of them; then it is that one.
TEST(quarantine, OfTwoThatWereAlwaysTogetherNeitherIsRefused) {
  for (int n = 1; n <= 3; ++n) End(n, {kDeadly, kBeside});
  CHECK_FALSE(q.Refuses(kDeadly));
  CHECK_FALSE(q.Refuses(kBeside));
  End(4, {kDeadly});
  CHECK_TRUE(q.Refuses(kDeadly));
  CHECK_FALSE(q.Refuses(kBeside));
}

// But upstreams are not spent without end on telling the two apart.
TEST(quarantine, TwoThatAreNeverApartAreBothRefusedInTheEnd) {
  for (int n = 1; n <= QuarantinePolicy().crashes_if_unsure; ++n) {
    End(n, {kDeadly, kBeside});
  }
  CHECK_TRUE(q.Refuses(kDeadly));
}

// Each of two deadly requests is found by crashes of its own, and one who stood
// beside both, at more crashes than either, is not taken for them.
TEST(quarantine, TwoDeadlyRequestsAreBothFound) {
  End(1, {kDeadly, kBeside});
  End(2, {kOther, kBeside});
  End(3, {kDeadly});
  End(4, {kOther});
  End(5, {kDeadly});
  End(6, {kOther});
  CHECK_TRUE(q.Refuses(kDeadly));
  CHECK_TRUE(q.Refuses(kOther));
  CHECK_FALSE(q.Refuses(kBeside));
}

// Symptom: a lookup that many callers send is refused after power was lost at
// one place. Cause: it was at work at four upstreams at once, and each counted.
// None of them had it after another had ended.
TEST(quarantine, UpstreamsThatEndTogetherAreOneCrash) {
  for (int n = 1; n <= 4; ++n) {
    q.NoteCrash(kOther, absl::StrCat("i-", n), At(now, kRun + Millis(n)));
  }
  CHECK_FALSE(q.Refuses(kOther));
}

// Symptom: a long generation is refused that stood beside three crashes, each
// of which had nothing to do with it. Sequence: two engines end at one moment;
// it is moved from the first to the second before that one's end is known, and
// cut again a moment later; the third ends when it has run for seconds. A
// request that ends its upstreams late is found too, for two crashes more.
TEST(quarantine, WhatHadRunOrWasUnderWayCountsForLess) {
  q.NoteCrash(kOther, "i-1", At(now, kRun));
  q.NoteCrash(kOther, "i-2", At(now + kRun, Millis(1)));
  q.NoteCrash(kOther, "i-3", At(now + kPause, kPause, false));
  q.NoteCrash(kOther, "i-4", At(now + 3 * kPause, kPause, false));
  CHECK_FALSE(q.Refuses(kOther));
  q.NoteCrash(kOther, "i-5", At(now + 5 * kPause, kPause, false));
  CHECK_FALSE(q.Refuses(kOther));
  q.NoteCrash(kOther, "i-6", At(now + 7 * kPause, kPause, false));
  CHECK_TRUE(q.Refuses(kOther));
}

// Symptom: a generation is refused that met three losses of power, of which
// each ended several engines. One request cannot have ended those that did not
// have it; who hears of them later clears it then.
TEST(quarantine, WhatEndedTogetherWithOthersIsNotItsDoing) {
  for (int n = 1; n <= 3; ++n) End(n, {kOther});
  CHECK_TRUE(q.Refuses(kOther));
  Quarantine elsewhere;
  elsewhere.NoteCrash(kBeside, "i-8", At(now - kRun, kRun + Millis(3)));
  q.TakeReported(elsewhere.ChangedSince(0, 10));
  CHECK_FALSE(q.Refuses(kOther));
  // And everyone hears of the clearing.
  Quarantine below;
  below.TakeTold(q.Shared());
  CHECK_FALSE(below.Refuses(kOther));
}

// Two deadly copies at once are still its doing: it was at both.
TEST(quarantine, CopiesThatEndTwoUpstreamsAtOnceStillCount) {
  for (int n = 1; n <= 3; ++n) {
    q.NoteCrash(kDeadly, absl::StrCat("copy-", n), At(now + kPause, kRun));
    End(n, {kDeadly});
  }
  CHECK_TRUE(q.Refuses(kDeadly));
}

// A request that upstreams serve between their crashes does not end them.
TEST(quarantine, WhatWasServedIsClearedOfEarlierCrashes) {
  End(1, {kOther});
  End(2, {kOther});
  q.NoteServed(kOther);
  End(3, {kOther});
  CHECK_FALSE(q.Refuses(kOther));
  End(4, {kOther});
  CHECK_FALSE(q.Refuses(kOther));
  End(5, {kOther});
  CHECK_TRUE(q.Refuses(kOther));
  q.NoteServed(kOther);
  CHECK_FALSE(q.Refuses(kOther));
}

// What two entries saw makes the verdict, whoever tells it first and however
// often; and a clearing outlives old news of the same crashes.
TEST(quarantine, RecordsAreJoinedInAnyOrder) {
  Quarantine first;
  Quarantine second;
  first.NoteCrash(kDeadly, "i-1", At(now, kRun));
  second.NoteCrash(kDeadly, "i-2", At(now + kPause, kRun));
  first.NoteCrash(kDeadly, "i-3", At(now + 2 * kPause, kRun));
  std::vector<CrashRecord> a = first.ChangedSince(0, 10);
  std::vector<CrashRecord> b = second.ChangedSince(0, 10);
  Quarantine one;
  Quarantine two;
  one.TakeReported(a);
  one.TakeReported(b);
  two.TakeReported(b);
  two.TakeReported(a);
  two.TakeReported(b);
  CHECK_TRUE(one.Refuses(kDeadly));
  CHECK_TRUE(two.Refuses(kDeadly));
  CHECK_EQUAL(one.version(), two.version());
  one.NoteServed(kDeadly);
  CHECK_TRUE(one.version() != two.version());
  one.TakeTold(two.Shared());
  CHECK_FALSE(one.Refuses(kDeadly));
  two.TakeTold(one.Shared());
  CHECK_FALSE(two.Refuses(kDeadly));
  CHECK_EQUAL(one.version(), two.version());
}

// What is told from above is not reported back.
TEST(quarantine, WhatWasToldIsNotReported) {
  End(1, {kDeadly});
  End(2, {kDeadly});
  Quarantine below;
  below.TakeTold(q.Shared());
  LONGS_EQUAL(0, below.seq());
  LONGS_EQUAL(0, below.ChangedSince(0, 10).size());
  below.NoteServed(kDeadly);
  LONGS_EQUAL(1, below.ChangedSince(0, 10).size());
}

// One crash concerns nobody else: it is reported, but not told to all.
TEST(quarantine, OneCrashIsNotToldToAll) {
  End(1, {kDeadly, kOther, kBeside});
  LONGS_EQUAL(0, q.version());
  LONGS_EQUAL(3, q.ChangedSince(0, 10).size());
  End(2, {kDeadly});
  LONGS_EQUAL(1, q.Shared().size());
  CHECK_TRUE(q.version() != 0);
}

// After an hour of crashes hundreds stood beside two. What every process is
// told stays small, and whoever is refused is in it however old.
TEST(quarantine, WhatIsToldIsBounded) {
  for (int n = 1; n <= 3; ++n) End(n, {kDeadly});
  for (RequestPrint p = 10; p < 1000; ++p) {
    End(static_cast<int>(2 * p), {p});
    End(static_cast<int>(2 * p + 1), {p});
  }
  LONGS_EQUAL(QuarantinePolicy().most_shared, q.Shared().size());
  Quarantine below;
  below.TakeTold(q.Shared());
  CHECK_TRUE(below.Refuses(kDeadly));
}

TEST(quarantine, ItsSizeIsBoundedAndItForgets) {
  QuarantinePolicy policy;
  policy.most_records = 100;
  Quarantine small(policy);
  for (int n = 1; n <= 3; ++n) {
    now += kPause;
    small.NoteCrash(kDeadly, absl::StrCat("i-", n), At(now, kRun));
  }
  for (RequestPrint p = 10; p < 1000; ++p) {
    small.NoteCrash(p, "i-9", At(now + kPause, kPause));
  }
  LONGS_EQUAL(100, small.ChangedSince(0, 10000).size());
  CHECK_TRUE(small.Refuses(kDeadly));
  for (int n = 0; n < 100; ++n) {
    now += kPause;
    small.NoteCrash(kDeadly, absl::StrCat("j-", n), At(now, kRun));
  }
  LONGS_EQUAL(policy.most_crashes, small.Shared().front().crashes.size());
  small.Tick(now + policy.memory + std::chrono::seconds(2));
  CHECK_FALSE(small.Refuses(kDeadly));
  LONGS_EQUAL(0, small.version());
}

// A report is repeated until it is confirmed, and all of it where the process
// that had it failed: it may have started anew.
TEST(quarantine, ReportsAreRepeatedUntilTheyAreConfirmed) {
  CrashReports reports(q);
  End(1, {kDeadly});
  CHECK_TRUE(reports.waiting());
  LONGS_EQUAL(1, reports.For("a").size());
  CHECK_FALSE(reports.waiting());
  LONGS_EQUAL(1, reports.For("a").size());
  reports.Confirmed();
  LONGS_EQUAL(0, reports.For("a").size());
  End(2, {kOther});
  LONGS_EQUAL(1, reports.For("a").size());
  reports.Confirmed();
  reports.Lost();
  LONGS_EQUAL(2, reports.For("a").size());
  reports.Confirmed();
  LONGS_EQUAL(2, reports.For("b").size());
}

// Clocks of two processes have nothing in common: ages are what is told.
TEST(quarantine, RecordsSurviveTheWireAndTheDisk) {
  for (int n = 1; n <= 3; ++n) End(n, {kDeadly});
  TimePoint there{std::chrono::hours(500)};
  Quarantine other;
  other.TakeTold(
      *DecodeCrashRecords(EncodeCrashRecords(q.Shared(), now), there));
  CHECK_TRUE(other.Refuses(kDeadly));
  CHECK_EQUAL(q.version(), other.version());
  CHECK_EQUAL(ToMs(q.RefusedFor(kDeadly, now)),
              ToMs(other.RefusedFor(kDeadly, there)));

  std::string dir = TempDir();
  CHECK_TRUE(LoadCrashRecords(dir, now).empty());
  CHECK_TRUE(SaveCrashRecords(dir, q.Shared(), now, {}).ok());
  Quarantine again;
  again.TakeReported(LoadCrashRecords(dir, there));
  CHECK_TRUE(again.Refuses(kDeadly));
  // A file that does not check is none.
  for (const auto& f : std::filesystem::directory_iterator(dir)) {
    std::fstream torn(f.path(), std::ios::in | std::ios::out);
    torn.seekp(20);
    torn << "torn";
  }
  CHECK_TRUE(LoadCrashRecords(dir, now).empty());
  CHECK_FALSE(DecodeCrashRecords("no records", now).ok());
}

// The same words by another account, or at another path, are another request.
TEST(quarantine, APrintTellsPathAccountAndBodyApart) {
  RequestPrint p = PrintOf("/a/1", "club", "words");
  CHECK_TRUE(p == PrintOf("/a/1", "club", "words"));
  CHECK_TRUE(p != PrintOf("/a/2", "club", "words"));
  CHECK_TRUE(p != PrintOf("/a/1", "other", "words"));
  CHECK_TRUE(p != PrintOf("/a/1", "club", "word"));
}
