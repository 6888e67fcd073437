// Tests who reads the parts of the upstream list, and replays lost readers on a
// manual clock.
#include "list_parts.h"

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"

using namespace medlarwalk;

namespace {

constexpr auto kSecond = std::chrono::seconds(1);
constexpr int kPages = 14;
const std::vector<std::string> kReaders = {"a", "b", "c", "d", "e"};

// Completes a read of `pages` pages whose parts all arrive at once, and counts
// the pages of each reader.
void ReadWhole(ListParts* parts, int pages, TimePoint now,
               std::map<std::string, int>* pages_of) {
  int left = pages - parts->part().max_pages;
  (*pages_of)[parts->part().reader] +=
      parts->part().max_pages + std::min(0, left);
  while (left > 0) {
    const ListParts::Part& p = parts->Next(now);
    (*pages_of)[p.reader] += std::min(left, p.max_pages);
    left -= p.max_pages;
  }
  parts->End();
}

// A source whose contents change with time, and readers that can freeze, be
// killed or be cut off. A part's content is the time at which it was read.
class Replay {
 public:
  explicit Replay(unsigned seed) : random_(seed) {}

  // Performs one read under random faults and checks the list that it yields.
  void Read() {
    std::vector<std::string> in_sync;
    for (const std::string& r : kReaders) {
      if (Draw(4)) in_sync.push_back(r);
    }
    TimePoint asked_at = now_;
    parts_.Begin(in_sync, kPages, now_);
    std::vector<TimePoint> read_times;
    int pages = 0;
    while (pages < kPages) {
      TimePoint requested_at = now_;
      uint64_t number = parts_.part().number;
      int asked = std::min(parts_.part().max_pages, kPages - pages);
      Outcome o = parts_.part().reader.empty() ? kAnswers : DrawOutcome();
      TimePoint read_at = now_ += Millis(5);
      // An answer to an earlier part, from a reader that was frozen.
      for (uint64_t n : late_) CHECK_FALSE(parts_.Awaits(n));
      if (o == kSilent) {
        late_.push_back(number);
        while (!parts_.IsOverdue(now_)) now_ += Millis(20);
        CHECK_TRUE(now_ - requested_at <= kSecond);
        parts_.OnLost(now_);
        read_times.clear();
        pages = 0;
        continue;
      }
      CHECK_TRUE(parts_.Awaits(number));
      if (o == kRefuses) {
        parts_.OnRefused(now_);
        continue;
      }
      read_times.push_back(read_at);
      int got = o == kPartly ? asked / 2 : asked;
      pages += got;
      if (pages >= kPages) break;
      if (got < asked) {
        parts_.ContinueAlone();
      } else {
        parts_.Next(now_);
      }
    }
    TimePoint began_at = parts_.began_at();
    parts_.End();
    CHECK_TRUE(began_at >= asked_at);
    // No part is older than the read claims, or was kept over a lost reader.
    for (TimePoint t : read_times) {
      CHECK_TRUE(t >= began_at);
      CHECK_TRUE(t - read_times.front() < Millis(200));
    }
    CHECK_TRUE(now_ - asked_at < kSecond);
    now_ += Millis(600);
  }

 private:
  enum Outcome { kAnswers, kSilent, kRefuses, kPartly };

  bool Draw(unsigned n) { return random_() % n != 0; }
  Outcome DrawOutcome() {
    unsigned n = random_() % 16;
    return n < 3 ? static_cast<Outcome>(n + 1) : kAnswers;
  }

  std::minstd_rand random_;
  ListParts parts_{200};
  TimePoint now_ = TimePoint{} + kSecond;
  std::vector<uint64_t> late_;
};

}  // namespace

TEST_GROUP(list_parts){};

// Guards against a host that carries most of the list's bytes.
TEST(list_parts, ReadersTakeTurns) {
  ListParts parts(200);
  std::map<std::string, int> pages_of;
  TimePoint now{};
  for (int i = 0; i < 60; ++i) {
    parts.Begin(kReaders, kPages, now);
    ReadWhole(&parts, kPages, now, &pages_of);
  }
  LONGS_EQUAL(6, static_cast<long>(pages_of.size()));
  for (const auto& [reader, n] : pages_of) {
    CHECK_TRUE(n >= kPages * 60 / 6 / 2 && n <= kPages * 60 / 6 * 3 / 2);
  }
}

// One process, a list of one page, and a list of unknown size (that of a new
// leader) are read by one process.
TEST(list_parts, ReadsAloneWhatCannotBeShared) {
  ListParts parts(200);
  TimePoint now{};
  std::vector<std::string> nobody;
  for (const ListParts::Part& p :
       {parts.Begin(nobody, kPages, now), parts.Begin(kReaders, 1, now),
        parts.Begin(kReaders, 0, now)}) {
    STRCMP_EQUAL("", p.reader.c_str());
    LONGS_EQUAL(200, p.max_pages);
  }
  CHECK_FALSE(parts.IsOverdue(now + 60 * kSecond));
}

// Guards against an old part in a fresh list. A reader is frozen or killed: the
// parts read before it are dropped, the list's age counts from the restart, and
// the answer of the reader that wakes is refused.
TEST(list_parts, LostReaderRestartsTheRead) {
  ListParts parts(200);
  TimePoint now{};
  parts.Begin({"a"}, kPages, now);
  uint64_t number = parts.Next(now).number;
  STRCMP_EQUAL("a", parts.part().reader.c_str());
  CHECK_FALSE(parts.IsOverdue(now + Millis(300)));
  now += kSecond;
  CHECK_TRUE(parts.IsOverdue(now));
  parts.OnLost(now);
  STRCMP_EQUAL("", parts.part().reader.c_str());
  LONGS_EQUAL(200, parts.part().max_pages);
  CHECK_TRUE(parts.began_at() == now);
  CHECK_FALSE(parts.Awaits(number));
}

// Guards against a list that is delayed at every read by the same lost reader.
// It is asked again after pauses that grow, until it answers.
TEST(list_parts, PausesAfterAFailureGrow) {
  ListParts parts(200);
  TimePoint now{};
  int asked = 0;
  for (int i = 0; i < 100; ++i, now += Millis(600)) {
    parts.Begin({"a"}, kPages, now);
    if (parts.part().reader.empty() && parts.part().max_pages < kPages)
      parts.Next(now);
    if (parts.part().reader.empty()) continue;
    ++asked;
    parts.OnLost(now);
  }
  CHECK_TRUE(asked >= 4 && asked <= 7);
}

// Guards against a new or deposed leader that takes over parts that it no
// longer awaits.
TEST(list_parts, AwaitsNothingAfterTheEnd) {
  ListParts parts(200);
  uint64_t number = parts.Begin(kReaders, kPages, TimePoint{}).number;
  parts.End();
  CHECK_FALSE(parts.Awaits(number));
  CHECK_FALSE(parts.IsOverdue(TimePoint{} + 60 * kSecond));
}

// Guards against a mixed or stale list under any order of readers that are
// killed, freeze and wake, refuse or stop early.
TEST(list_parts, ListIsFreshUnderRandomLosses) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    Replay replay(seed);
    for (int i = 0; i < 50; ++i) replay.Read();
  }
}
