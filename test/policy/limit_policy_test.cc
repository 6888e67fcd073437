// Limits that upstreams name: what processes believe of them, and whose turn
// it is to send.
#include <algorithm>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "absl/strings/str_cat.h"
#include "limit_book.h"
#include "limit_turns.h"

using namespace medlarwalk;

namespace {

constexpr TimePoint kStart{std::chrono::hours(500)};
// Some time of day, in milliseconds since 1970.
constexpr Millis kTime{1'790'000'000'123};

// When `serving` processes that always have a request to send do so within
// `seconds`, looking `every` ms; each is off the shared time by up to `off` ms.
std::vector<Millis> Sendings(double per_s, int serving, int seconds,
                             int every = 20, int off = 0) {
  std::vector<std::optional<Millis>> taken(static_cast<size_t>(serving));
  std::vector<Millis> out;
  for (int ms = 0; ms < seconds * 1000; ms += every) {
    for (int i = 0; i < serving; ++i) {
      Millis wrong(off ? i * 37 % off : 0);
      TurnAsk ask{"i-1", per_s, {serving, i}, kTime + Millis(ms) + wrong};
      auto& last = taken[static_cast<size_t>(i)];
      while (auto turn = OpenTurn(ask, last)) {
        last = turn;
        out.push_back(Millis(ms));
      }
    }
  }
  return out;
}

int MostIn(const std::vector<Millis>& at, Millis span) {
  size_t most = 0;
  for (size_t i = 0, j = 0; j < at.size(); ++j) {
    while (at[j] - at[i] >= span) ++i;
    most = std::max(most, j - i + 1);
  }
  return static_cast<int>(most);
}

LimitRecord Record(const char* upstream, std::optional<double> per_s, int at,
                   int since) {
  return {upstream, per_s, kStart + Millis(at), kStart + Millis(since)};
}

}  // namespace

TEST_GROUP(limit_policy){};

// Guards against hundreds of entries that each save up a part of a limit and
// spend it in the same moment.
TEST(limit_policy, AllTogetherSendNoMoreThanTheLimit) {
  for (double per_s : {0.3, 1.0, 2.3, 7.7, 40.0}) {
    for (int serving : {1, 2, 8, 9, 33, 105, 362}) {
      std::vector<Millis> at = Sendings(per_s, serving, 60);
      std::string what = absl::StrCat(per_s, " a second at ", serving);
      CHECK_TRUE_TEXT(MostIn(at, Millis(4000)) <= 6 * per_s + 5, what.c_str());
      // Nor is any of it lost while everyone has something to send.
      CHECK_TRUE_TEXT(static_cast<double>(at.size()) >= 59 * per_s - 1,
                      what.c_str());
    }
  }
}

TEST(limit_policy, ClocksThatDisagreeCostLittle) {
  std::vector<Millis> at = Sendings(1, 33, 60, 20, 2000);
  CHECK_TRUE(MostIn(at, Millis(4000)) <= 11);
}

// Guards against turns that begin at whole milliseconds being taken twice.
TEST(limit_policy, ATurnIsTakenOnce) {
  for (double per_s : {0.1, 0.5, 1.0, 2.0, 3.0, 8.0, 125.0}) {
    std::vector<Millis> at = Sendings(per_s, 1, 20, 1);
    CHECK_TRUE(static_cast<double>(at.size()) <= 21 * per_s + 1);
  }
}

// Guards against a clock that was set back and keeps an entry from its turns
// until it has caught up.
TEST(limit_policy, AClockSetBackDoesNotCloseTheTurns) {
  TurnAsk ask{"i-1", 2, {1, 0}, kTime};
  std::optional<Millis> taken = kTime + Millis(3'600'000);
  int turns = 0;
  for (int ms = 0; ms < 5000; ms += 20) {
    ask.time = kTime + Millis(ms);
    if (auto turn = OpenTurn(ask, taken)) {
      taken = turn;
      ++turns;
    }
  }
  CHECK_TRUE(turns >= 8);
}

TEST(limit_policy, AnUpstreamThatTakesNothingIsStillAsked) {
  std::vector<Millis> at = Sendings(0, 4, 60);
  CHECK_TRUE(at.size() >= 5 && at.size() <= 7);
}

TEST(limit_policy, TheNewestThatAnyoneHeardCounts) {
  LimitBook book;
  book.TakeTold({Record("a", 2.0, 100, 0)});
  book.TakeTold({Record("a", 3.0, 50, 0)});
  DOUBLES_EQUAL(2.0, *book.Find("a")->per_s, 0);
  book.TakeTold({Record("a", std::nullopt, 200, 0)});
  CHECK_TRUE(book.Find("a") == nullptr);
  // What was told before comes once more, by a slower way.
  book.TakeTold({Record("a", 2.0, 150, 0)});
  CHECK_TRUE(book.Find("a") == nullptr);
}

TEST(limit_policy, ALimitKeepsItsBeginningWhenItsValueChanges) {
  LimitBook book;
  CHECK_TRUE(book.Note("a", 2.0, kStart));
  CHECK_TRUE(!book.Note("a", 2.0, kStart + Millis(10)));
  CHECK_TRUE(book.Note("a", 1.5, kStart + Millis(20)));
  CHECK_TRUE(book.Find("a")->since == kStart);
}

// Guards against an upstream that names a slightly different limit each time
// and has every process told of each.
TEST(limit_policy, AValueThatHardlyChangesIsNoNews) {
  LimitBook book;
  book.Note("a", 2.0, kStart);
  CHECK_TRUE(!book.Note("a", 2.05, kStart + Millis(10)));
  CHECK_TRUE(!book.Note("a", 1.95, kStart + Millis(20)));
  CHECK_TRUE(book.Note("a", 2.2, kStart + Millis(30)));
  LONGS_EQUAL(2, book.seq());
}

// Guards against a change that goes round between two processes for ever, each
// taking it for new.
TEST(limit_policy, WhatWasToldIsNotReportedBack) {
  LimitBook entry;
  LimitBook control;
  entry.Note("a", 2.0, kStart);
  control.TakeReported(entry.ChangedSince(0, 10));
  LONGS_EQUAL(1, control.ChangedSince(0, 10).size());
  uint64_t seq = entry.seq();
  entry.TakeTold(control.All());
  LONGS_EQUAL(seq, entry.seq());
  LONGS_EQUAL(entry.version(), control.version());
}

TEST(limit_policy, EndedLimitsAndUpstreamsThatAreGoneAreForgotten) {
  LimitBook book;
  book.Note("gone", 2.0, kStart);
  book.Note("ended", 2.0, kStart);
  book.Note("ended", std::nullopt, kStart + Millis(10));
  book.Note("here", 2.0, kStart);
  auto listed = [](const std::string& id) { return id != "gone"; };
  book.Keep(listed, kStart + Millis(1000));
  LONGS_EQUAL(3, book.All().size());
  book.Keep(listed, kStart + std::chrono::hours(1));
  LONGS_EQUAL(1, book.All().size());
  CHECK_TRUE(book.Find("here") != nullptr);
}
