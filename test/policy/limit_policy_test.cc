// Tests of the rate limits that upstreams announce: the table that processes
// share, and the send slots.
#include <algorithm>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "absl/strings/str_cat.h"
#include "rate_limit_table.h"
#include "send_slots.h"

using namespace medlarwalk;

namespace {

constexpr TimePoint kStart{std::chrono::hours(500)};
// An arbitrary time of day, in milliseconds since 1970.
constexpr Millis kUnixTime{1'790'000'000'123};

// Returns the times at which `serving` processes send within `seconds`. Each
// process always has a request to send and looks for a slot every `poll_ms`.
// The clock of each process is ahead of the shared time by up to
// `max_clock_error` ms.
std::vector<Millis> SimulateSends(double per_s, int serving, int seconds,
                                  int poll_ms = 20, int max_clock_error = 0) {
  std::vector<std::optional<Millis>> last_slots(static_cast<size_t>(serving));
  std::vector<Millis> out;
  for (int ms = 0; ms < seconds * 1000; ms += poll_ms) {
    for (int i = 0; i < serving; ++i) {
      Millis clock_error(max_clock_error ? i * 37 % max_clock_error : 0);
      SendSlotQuery query{
          "i-1", per_s, {serving, i}, kUnixTime + Millis(ms) + clock_error};
      auto& last_slot = last_slots[static_cast<size_t>(i)];
      while (auto slot = FindOpenSendSlot(query, last_slot)) {
        last_slot = slot;
        out.push_back(Millis(ms));
      }
    }
  }
  return out;
}

// Returns the largest number of sends within any interval of length `period`.
int MaxSendsWithin(const std::vector<Millis>& send_times, Millis period) {
  size_t max_sends = 0;
  for (size_t i = 0, j = 0; j < send_times.size(); ++j) {
    while (send_times[j] - send_times[i] >= period) ++i;
    max_sends = std::max(max_sends, j - i + 1);
  }
  return static_cast<int>(max_sends);
}

LimitRecord MakeRecord(const char* upstream, std::optional<double> per_s,
                       int at, int since) {
  return {upstream, per_s, kStart + Millis(at), kStart + Millis(since)};
}

}  // namespace

TEST_GROUP(limit_policy){};

// Guards against a burst above the rate limit. Such a burst arises when
// hundreds of entries each save up their share of the limit and spend it at the
// same moment.
TEST(limit_policy, ProcessesTogetherKeepTheLimit) {
  for (double per_s : {0.3, 1.0, 2.3, 7.7, 40.0}) {
    for (int serving : {1, 2, 8, 9, 33, 105, 362}) {
      std::vector<Millis> send_times = SimulateSends(per_s, serving, 60);
      std::string description = absl::StrCat(per_s, " a second at ", serving);
      CHECK_TRUE_TEXT(MaxSendsWithin(send_times, Millis(4000)) <= 6 * per_s + 5,
                      description.c_str());
      // The full limit is used while all processes have requests to send.
      CHECK_TRUE_TEXT(static_cast<double>(send_times.size()) >= 59 * per_s - 1,
                      description.c_str());
    }
  }
}

TEST(limit_policy, SkewedClocksExceedTheLimitOnlySlightly) {
  std::vector<Millis> send_times = SimulateSends(1, 33, 60, 20, 2000);
  CHECK_TRUE(MaxSendsWithin(send_times, Millis(4000)) <= 11);
}

// Guards against the double use of a slot that begins at a whole millisecond.
TEST(limit_policy, UsesEachSlotOnce) {
  for (double per_s : {0.1, 0.5, 1.0, 2.0, 3.0, 8.0, 125.0}) {
    std::vector<Millis> send_times = SimulateSends(per_s, 1, 20, 1);
    CHECK_TRUE(static_cast<double>(send_times.size()) <= 21 * per_s + 1);
  }
}

// Guards against an entry that sends nothing after its clock was set back. The
// last slot that it used then lies in the future, and later slots open only
// once the clock has caught up.
TEST(limit_policy, FindsSlotsAfterClockIsSetBack) {
  SendSlotQuery query{"i-1", 2, {1, 0}, kUnixTime};
  std::optional<Millis> last_slot = kUnixTime + Millis(3'600'000);
  int slots_used = 0;
  for (int ms = 0; ms < 5000; ms += 20) {
    query.time = kUnixTime + Millis(ms);
    if (auto slot = FindOpenSendSlot(query, last_slot)) {
      last_slot = slot;
      ++slots_used;
    }
  }
  CHECK_TRUE(slots_used >= 8);
}

TEST(limit_policy, StillProbesAnUpstreamWithLimitZero) {
  std::vector<Millis> send_times = SimulateSends(0, 4, 60);
  CHECK_TRUE(send_times.size() >= 5 && send_times.size() <= 7);
}

TEST(limit_policy, NewestRecordWins) {
  RateLimitTable table;
  table.MergePublished({MakeRecord("a", 2.0, 100, 0)});
  table.MergePublished({MakeRecord("a", 3.0, 50, 0)});
  DOUBLES_EQUAL(2.0, *table.Find("a")->per_s, 0);
  table.MergePublished({MakeRecord("a", std::nullopt, 200, 0)});
  CHECK_TRUE(table.Find("a") == nullptr);
  // A record with an earlier time that arrives late, through another process,
  // must not restore the lifted limit.
  table.MergePublished({MakeRecord("a", 2.0, 150, 0)});
  CHECK_TRUE(table.Find("a") == nullptr);
}

TEST(limit_policy, KeepsLimitStartWhenItsValueChanges) {
  RateLimitTable table;
  CHECK_TRUE(table.RecordLimit("a", 2.0, kStart));
  CHECK_TRUE(!table.RecordLimit("a", 2.0, kStart + Millis(10)));
  CHECK_TRUE(table.RecordLimit("a", 1.5, kStart + Millis(20)));
  CHECK_TRUE(table.Find("a")->since == kStart);
}

// Guards against the publication of insignificant changes. An upstream
// announces a slightly different limit in each answer, and each change would be
// published to every process.
TEST(limit_policy, IgnoresSmallChanges) {
  RateLimitTable table;
  table.RecordLimit("a", 2.0, kStart);
  CHECK_TRUE(!table.RecordLimit("a", 2.05, kStart + Millis(10)));
  CHECK_TRUE(!table.RecordLimit("a", 1.95, kStart + Millis(20)));
  CHECK_TRUE(table.RecordLimit("a", 2.2, kStart + Millis(30)));
  LONGS_EQUAL(2, table.seq());
}

// Guards against a change that two processes report and publish to each other
// forever, because each of them treats it as new.
TEST(limit_policy, DoesNotReportBackPublishedLimits) {
  RateLimitTable entry;
  RateLimitTable control;
  entry.RecordLimit("a", 2.0, kStart);
  control.MergeReported(entry.ChangedSince(0, 10));
  LONGS_EQUAL(1, control.ChangedSince(0, 10).size());
  uint64_t seq = entry.seq();
  entry.MergePublished(control.All());
  LONGS_EQUAL(seq, entry.seq());
  LONGS_EQUAL(entry.version(), control.version());
}

// Guards against limits that the target never receives, because there were more
// than fit into one report.
TEST(limit_policy, ReportsEveryLimitOverSeveralReports) {
  RateLimitTable table;
  for (int n = 800; n > 0; --n) {
    table.RecordLimit(std::to_string(n), 2.0, kStart);
  }
  LimitReportTracker reports(table);
  RateLimitTable target;
  for (int n = 0; n < 2; ++n) {
    target.MergeReported(reports.RecordsToReport("a"));
    reports.OnDelivered();
  }
  LONGS_EQUAL(800, target.limits_in_force());
  LONGS_EQUAL(0, reports.RecordsToReport("a").size());
}

TEST(limit_policy, RemovesLiftedLimitsAndUnlistedUpstreams) {
  RateLimitTable table;
  table.RecordLimit("gone", 2.0, kStart);
  table.RecordLimit("ended", 2.0, kStart);
  table.RecordLimit("ended", std::nullopt, kStart + Millis(10));
  table.RecordLimit("here", 2.0, kStart);
  auto listed = [](const std::string& id) { return id != "gone"; };
  table.RemoveStaleLimits(listed, kStart + Millis(1000));
  LONGS_EQUAL(3, table.All().size());
  table.RemoveStaleLimits(listed, kStart + std::chrono::hours(1));
  LONGS_EQUAL(1, table.All().size());
  CHECK_TRUE(table.Find("here") != nullptr);
}
