// Duties: what is fixed, who may act, whose time is believed, what is counted.
// The replay at the end lets a whole group report to a platform that carries
// calls out late, on a manual clock.
#include <memory>
#include <random>

#include "CppUTest/TestHarness.h"
#include "duty_log.h"
#include "duty_turn.h"
#include "group_time.h"
#include "platform/test/usage_judge.h"
#include "test/replica_group.h"
#include "usage_book.h"
#include "usage_schedule.h"

using namespace medlarwalk;
using namespace medlarwalk::testing;

namespace {

constexpr auto kSecond = std::chrono::seconds(1);

Document Content(const std::string& text) {
  return std::make_shared<const std::string>(text);
}

UsagePolicy FiveSeconds() {
  UsagePolicy p;
  p.window = 5 * kSecond;
  p.due = 10 * kSecond;
  return p;
}

}  // namespace

TEST_GROUP(duty){};

// Guards against two contents under one number: two leaders propose each its
// own, and both are committed in the end.
TEST(duty, TheFirstContentOfANumberStands) {
  DutyLog log;
  CHECK_TRUE(log.Apply({"usage", 7, Content("a"), 0}));
  CHECK_FALSE(log.Apply({"usage", 7, Content("b"), 0}));
  CHECK_FALSE(log.Apply({"usage", 6, Content("c"), 0}));
  const DutyLog::Subject& s = log.FindSubject("usage");
  LONGS_EQUAL(7, s.fixed_through);
  LONGS_EQUAL(1, static_cast<long>(s.open.size()));
  STRCMP_EQUAL("a", s.open.at(7)->c_str());
  // What is done is not kept, and the other subjects are not touched.
  log.Apply({"scale", 1, Content("x"), 0});
  log.Apply({"usage", 8, Content("d"), 7});
  LONGS_EQUAL(1, static_cast<long>(log.FindSubject("usage").open.size()));
  LONGS_EQUAL(1, log.FindSubject("scale").fixed_through);
}

// Guards against memory that grows while the platform is away for hours.
TEST(duty, OpenRecordsAreBounded) {
  DutyLog log;
  for (int64_t n = 1; n <= 1000; ++n) log.Apply({"usage", n, Content("x"), 0});
  LONGS_EQUAL(64, static_cast<long>(log.FindSubject("usage").open.size()));
  LONGS_EQUAL(1000, log.FindSubject("usage").open.rbegin()->first);
}

// Guards against the order A, B, A within a lease: A leads, loses to B, leads
// again, all within a second.
TEST(duty, ALeaderWaitsUntilAnyHolderBeforeItHasEnded) {
  DutyTurnPolicy p;
  p.lease = 3 * kSecond;
  DutyLeadership leadership(p);
  TimePoint now{};
  now += kSecond;
  leadership.UpdateLeadership(true, 4, now);
  now += Millis(3900);
  leadership.UpdateLeadership(true, 4, now);
  leadership.RecordConfirmation(4, now);
  CHECK_FALSE(leadership.UsableToken(now).has_value());
  now += Millis(100);
  leadership.RecordConfirmation(4, now);
  LONGS_EQUAL(4, static_cast<long>(leadership.UsableToken(now).value_or(0)));
  leadership.UpdateLeadership(false, 5, now);
  CHECK_FALSE(leadership.UsableToken(now).has_value());
  leadership.UpdateLeadership(true, 6, now);
  leadership.RecordConfirmation(6, now);
  CHECK_FALSE(leadership.UsableToken(now).has_value());
}

// Guards against a call by a process that was frozen after it had asked whether
// it still leads, and wakes up with the answer.
TEST(duty, AConfirmationThatWasAskedForLongAgoIsNone) {
  DutyTurnPolicy p;
  p.lease = kSecond;
  DutyLeadership leadership(p);
  TimePoint now{};
  leadership.UpdateLeadership(true, 1, now);
  now += 5 * kSecond;
  TimePoint asked = now;
  now += 2 * kSecond;
  leadership.RecordConfirmation(1, asked);
  CHECK_FALSE(leadership.UsableToken(now).has_value());
  // One for another term neither.
  leadership.RecordConfirmation(2, now);
  CHECK_FALSE(leadership.UsableToken(now).has_value());
}

TEST(duty, ARefusedTokenIsNotUsedAgain) {
  DutyTurnPolicy p;
  DutyLeadership leadership(p);
  TimePoint now{};
  now += kSecond;
  leadership.UpdateLeadership(true, 1, now);
  now += 5 * kSecond;
  leadership.RecordConfirmation(1, now);
  CHECK_TRUE(leadership.UsableToken(now).has_value());
  leadership.RecordRefusal(1);
  CHECK_FALSE(leadership.UsableToken(now).has_value());
  leadership.UpdateLeadership(true, 2, now);
  now += 5 * kSecond;
  leadership.RecordConfirmation(2, now);
  CHECK_TRUE(leadership.UsableToken(now).has_value());
}

// Guards against a clock that jumps on some hosts, the leader's own among them:
// the windows of all would move with it.
TEST(duty, AJumpOfSomeClocksMovesNobodysTime) {
  GroupTime t;
  TimePoint now{};
  now += 100 * kSecond;
  const int64_t kUnix = 1'000'000'000;
  auto record_samples = [&](int64_t jump) {
    for (int host = 0; host < 7; ++host) {
      t.NoteSample(
          std::to_string(host),
          kUnix + ToMs(now.time_since_epoch()) + host + (host < 3 ? jump : 0),
          now);
    }
  };
  record_samples(0);
  int64_t before = *t.UnixMs(now) - ToMs(now.time_since_epoch());
  for (int64_t jump : {2000, -2000, 0}) {
    now += kSecond;
    record_samples(jump);
    int64_t after = *t.UnixMs(now) - ToMs(now.time_since_epoch());
    CHECK_TRUE(std::abs(after - before) <= 3);
  }
}

// Guards against a follower whose time falls behind by what a lossy link held a
// telling up, and against one that believes its own clock.
TEST(duty, ALateTellingDoesNotMoveTheTime) {
  GroupTime t;
  TimePoint now{};
  now += 100 * kSecond;
  t.NoteSample("self", 5, now);
  const int64_t kUnix = 1'000'000'000;
  auto truth = [&] { return kUnix + ToMs(now.time_since_epoch()); };
  t.NoteTold(truth() - 1, now);
  now += kSecond;
  t.NoteTold(truth() - 600, now);
  LONGS_EQUAL(truth() - 1, *t.UnixMs(now));
  // Control is away: the time told goes on.
  now += 60 * kSecond;
  LONGS_EQUAL(truth() - 1, *t.UnixMs(now));
}

// A leader that was told the time before goes on with it until those who follow
// it have told theirs.
TEST(duty, ANewLeaderTakesOverTheTime) {
  GroupTime t;
  TimePoint now{};
  now += 100 * kSecond;
  const int64_t kUnix = 1'000'000'000;
  auto truth = [&] { return kUnix + ToMs(now.time_since_epoch()); };
  t.NoteTold(truth(), now);
  t.NoteSample("self", truth() + 2000, now);
  LONGS_EQUAL(truth(), *t.UnixMs(now));
  now += 3 * kSecond;
  t.NoteSample("self", truth() + 2000, now);
  t.NoteSample("a", truth(), now);
  t.NoteSample("b", truth(), now);
  LONGS_EQUAL(truth(), *t.UnixMs(now));
}

// Guards against requests counted twice that are told twice, or through two
// processes after the first one failed.
TEST(duty, CountsAreJoinedByTheGreatest) {
  UsageBook entry;
  for (int i = 0; i < 3; ++i) entry.Count(1, 10, "a");
  entry.Count(1, 11, "a");
  UsageBook left;
  UsageBook right;
  UsageBook leader;
  UsageReports reports(entry, Duration::zero());
  TimePoint now{};
  left.MergeRecords(reports.For("left", now));
  entry.Count(1, 10, "a");
  // The left one fails before it answers: the right one is told all.
  reports.Lost();
  right.MergeRecords(reports.For("right", now));
  reports.Confirmed();
  CHECK_TRUE(reports.For("right", now).empty());
  uint64_t through = 0;
  leader.MergeRecords(right.ChangedSince(0, 100, &through));
  leader.MergeRecords(left.ChangedSince(0, 100, &through));
  LONGS_EQUAL(4, leader.SumByAccount(10).at("a"));
  LONGS_EQUAL(1, leader.SumByAccount(11).at("a"));
  // A new start of the entry counts for itself.
  leader.MergeRecords(std::vector<UsageRecord>{{2, 10, "a", 5}});
  LONGS_EQUAL(9, leader.SumByAccount(10).at("a"));
  LONGS_EQUAL(2, static_cast<long>(leader.CountProcesses(10)));
}

// Guards against a report that is raised after it was fixed, and against memory
// that grows with requests.
TEST(duty, WhatIsFixedIsForgotten) {
  UsageBook book(4);
  for (int i = 0; i < 1000; ++i) book.Count(1, 10, "a");
  LONGS_EQUAL(1, static_cast<long>(book.size()));
  book.DropThrough(10);
  book.Count(1, 10, "a");
  LONGS_EQUAL(0, static_cast<long>(book.size()));
  for (int64_t w = 11; w < 30; ++w) book.Count(1, w, "a");
  LONGS_EQUAL(4, static_cast<long>(book.size()));
  uint64_t through = 0;
  LONGS_EQUAL(4, static_cast<long>(book.ChangedSince(0, 9, &through).size()));
}

// All is told, however little at once, and no more often than the interval.
TEST(duty, TallyIsToldInParts) {
  UsageBook entry;
  UsageBook control;
  for (int a = 0; a < 5000; ++a) entry.Count(1, 10, std::to_string(a));
  UsageReports reports(entry, Millis(800));
  TimePoint now{};
  now += kSecond;
  for (int i = 0; i < 10; ++i) {
    control.MergeRecords(reports.For("c", now));
    reports.Confirmed();
    CHECK_TRUE(reports.For("c", now + Millis(100)).empty());
    reports.Confirmed();
    now += kSecond;
  }
  LONGS_EQUAL(5000, static_cast<long>(control.SumByAccount(10).size()));
}

// Guards against a gap in the windows when the group was away, and against a
// flood of old ones after a long time.
TEST(duty, WindowsFollowEachOther) {
  UsagePolicy p = FiveSeconds();
  DutyLog::Subject s;
  UsageBook book;
  CHECK_FALSE(WindowToCommit(s, book, 1'000'000, p).has_value());
  book.Count(1, 200, "a");
  CHECK_FALSE(WindowToCommit(s, book, 1'007'499, p).has_value());
  LONGS_EQUAL(200, *WindowToCommit(s, book, 1'007'500, p));
  s.fixed_through = 200;
  CHECK_FALSE(WindowToCommit(s, book, 1'007'500, p).has_value());
  LONGS_EQUAL(201, *WindowToCommit(s, book, 1'099'000, p));
  LONGS_EQUAL(400 - p.max_windows_behind, *WindowToCommit(s, book, 2'000'000, p));
}

// A report that is not answered is sent again, later each time, and does not
// hold up the next one.
TEST(duty, AnUnansweredReportHoldsUpNoOther) {
  UsagePolicy p = FiveSeconds();
  DutyLog log;
  log.Apply({kUsageSubject, 1, EncodeUsage({{"a", 1}}), 0});
  log.Apply({kUsageSubject, 2, EncodeUsage({{"a", 2}}), 0});
  const DutyLog::Subject& s = log.FindSubject(kUsageSubject);
  UsageDeliveries deliveries(p);
  TimePoint now{};
  now += kSecond;
  LONGS_EQUAL(1, *deliveries.NextToSend(s, now));
  deliveries.RecordFailed(1, now);
  LONGS_EQUAL(2, *deliveries.NextToSend(s, now));
  deliveries.RecordAccepted(2);
  CHECK_FALSE(deliveries.NextToSend(s, now).has_value());
  LONGS_EQUAL(0, deliveries.AcceptedThrough(s));
  now += kSecond;
  LONGS_EQUAL(1, *deliveries.NextToSend(s, now));
  deliveries.RecordAccepted(1);
  LONGS_EQUAL(2, deliveries.AcceptedThrough(s));
}

TEST(duty, CountsComeBackAsTheyWereFixed) {
  UsageCounts counts = {{"a", 3}, {"b", 0}};
  CHECK_TRUE(*DecodeUsage(*EncodeUsage(counts)) == counts);
  CHECK_TRUE(DecodeUsage(*EncodeUsage({}))->empty());
  CHECK_FALSE(DecodeUsage("\xff").ok());
  CHECK_FALSE(DecodeUsage("\xa1\x61z\x61q").ok());
}

namespace {

// A group that reports to a platform, on a manual clock. Each leader counts
// something else, so that a report that is made anew shows.
class ReportingGroup {
 public:
  explicit ReportingGroup(uint64_t seed)
      // Folded often, so that those who come back are told a snapshot.
      : group(5, seed, FoldingOptions()),
        judge(TurnPolicy().lease),
        random_(seed) {
    for (int i = 0; i < group.size(); ++i) hosts_.emplace_back();
    first_ = WindowNow();
  }

  void Step() {
    group.Run(Millis(20));
    TimePoint now = group.clock.Now();
    while (!late_.empty() && late_.begin()->first <= now) {
      judge.CarryOut(late_.begin()->second);
      late_.erase(late_.begin());
    }
    for (int i = 0; i < group.size(); ++i) {
      if (group.running(i)) Act(i, now);
    }
  }
  // A process that starts anew knows nothing of its turns.
  void Restarted(int i) { hosts_[static_cast<size_t>(i)] = Host(); }
  int Draw(int n) {
    return std::uniform_int_distribution<int>(0, n - 1)(random_);
  }
  int64_t first() const { return first_; }
  int64_t WindowNow() const {
    return WindowAt(ToMs(group.clock.Now().time_since_epoch()), FiveSeconds());
  }

  Group group;
  UsageJudge judge;
  bool calm = false;  // The platform answers every call.

 private:
  struct Host {
    DutyLeadership leadership{TurnPolicy()};
    UsageDeliveries deliveries{FiveSeconds()};
    bool confirming = false;
  };
  static ReplicaOptions FoldingOptions() {
    ReplicaOptions o;
    o.compact_entries = 6;
    return o;
  }
  static DutyTurnPolicy TurnPolicy() {
    DutyTurnPolicy p;
    p.lease = 3 * kSecond;
    return p;
  }

  void Act(int i, TimePoint now) {
    Host& h = hosts_[static_cast<size_t>(i)];
    Replica* r = group.node(i);
    bool leads = r->role() == ReplicaRole::kLeader;
    h.leadership.UpdateLeadership(leads, r->term(), now);
    if (!leads) return;
    const DutyLog::Subject& s = r->duties().FindSubject(kUsageSubject);
    UsageBook counted;
    counted.Count(1, first_, "a");
    std::optional<int64_t> due =
        WindowToCommit(s, counted, ToMs(now.time_since_epoch()), FiveSeconds());
    if (due) {
      UsageCounts counts = {{"a", Draw(1'000'000)}};
      r->ProposeDuty(
          {kUsageSubject, *due, EncodeUsage(counts), h.deliveries.AcceptedThrough(s)},
          [](const absl::Status&) {});
    }
    std::optional<int64_t> next = h.deliveries.NextToSend(s, now);
    if (!next || !h.leadership.IsHolder(now)) return;
    if (std::optional<uint64_t> token = h.leadership.UsableToken(now)) {
      Call(i, *next, *token, *DecodeUsage(*s.open.at(*next)), now);
      return;
    }
    r->ReadBarrier([this, i, term = r->term(), now](const absl::Status& st) {
      if (st.ok()) hosts_[static_cast<size_t>(i)].leadership.RecordConfirmation(term, now);
    });
  }

  void Call(int i, int64_t window, uint64_t token, UsageCounts counts,
            TimePoint now) {
    Host& h = hosts_[static_cast<size_t>(i)];
    UsageJudge::Call c{std::to_string(i), token, window, std::move(counts)};
    judge.Arrived(c, now);
    int how = calm ? 9 : Draw(10);
    if (how < 3) {
      late_.emplace(now + Millis(2000 + Draw(10000)), c);
      h.deliveries.RecordFailed(window, now);
    } else if (!judge.CarryOut(c)) {
      h.leadership.RecordRefusal(token);
    } else if (how < 5) {
      h.deliveries.RecordFailed(window, now);  // The answer is lost.
    } else {
      h.deliveries.RecordAccepted(window);
    }
  }

  std::mt19937_64 random_;
  std::vector<Host> hosts_;
  int64_t first_ = 0;
  std::multimap<TimePoint, UsageJudge::Call> late_;
};

}  // namespace

// Guards against what breaks the platform's trust: one window reported twice,
// differently; one token from two hosts; holders in the order A, B, A within a
// lease. Leaders are killed, frozen and cut off at any moment, calls are
// carried out late or lose their answers. Once all is calm every window has its
// report.
TEST(duty, AGroupReportsEachWindowOnceUnderFaults) {
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    ReportingGroup g(seed);
    int harmed = -1;
    TimePoint until{};
    for (int step = 0; step < 60 * 50; ++step) {
      g.Step();
      TimePoint now = g.group.clock.Now();
      if (harmed >= 0 && now >= until) {
        g.group.Freeze(harmed, false);
        g.group.HealAll();
        if (!g.group.node(harmed)) g.group.Start(harmed);
        harmed = -1;
      }
      if (harmed >= 0 || g.Draw(60) != 0) continue;
      int leader = g.group.Leader();
      harmed = leader >= 0 && g.Draw(4) != 0 ? leader : g.Draw(5);
      until = now + Millis(200 + g.Draw(3000));
      int how = g.Draw(4);
      if (how == 0) g.group.Isolate(harmed, true);
      if (how == 1) g.group.Freeze(harmed, true);
      if (how >= 2) {
        g.group.Kill(harmed);
        g.Restarted(harmed);
      }
      if (how == 3) g.group.Wipe(harmed);
    }
    if (harmed >= 0) {
      g.group.Freeze(harmed, false);
      g.group.HealAll();
      if (!g.group.node(harmed)) g.group.Start(harmed);
    }
    g.calm = true;
    for (int step = 0; step < 30 * 50; ++step) g.Step();
    for (const std::string& b : g.judge.broken()) FAIL(b.c_str());
    // Those whose reports are due.
    int64_t now = g.WindowNow();
    for (int64_t w = g.first(); w <= now - 3; ++w) {
      if (!g.judge.taken().count(w)) {
        FAIL(("seed " + std::to_string(seed) + ": window " + std::to_string(w) +
              " of " + std::to_string(now) + " was not reported")
                 .c_str());
      }
    }
  }
}
