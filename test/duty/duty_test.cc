// Tests of duties: the log, leadership, the group's time and usage counts. The
// simulation at the end runs a group of replicas on a manual clock; the group
// reports to a platform that executes calls late.
#include <memory>
#include <random>

#include "CppUTest/TestHarness.h"
#include "duty_leadership.h"
#include "duty_log.h"
#include "group_time.h"
#include "platform/test/usage_report_checker.h"
#include "test/replica/replica_group.h"
#include "usage_schedule.h"
#include "usage_table.h"

using namespace medlarwalk;
using namespace medlarwalk::testing;

namespace {

constexpr auto kSecond = std::chrono::seconds(1);

Document Content(const std::string& text) {
  return std::make_shared<const std::string>(text);
}

UsagePolicy FiveSecondWindows() {
  UsagePolicy p;
  p.window = 5 * kSecond;
  p.due = 10 * kSecond;
  return p;
}

}  // namespace

TEST_GROUP(duty){};

// Guards against two contents under one sequence number. Two leaders each
// propose a content for the number, and both proposals are committed in the
// end.
TEST(duty, FirstContentOfANumberWins) {
  DutyLog log;
  CHECK_TRUE(log.Apply({"usage", 7, Content("a"), 0}));
  CHECK_FALSE(log.Apply({"usage", 7, Content("b"), 0}));
  CHECK_FALSE(log.Apply({"usage", 6, Content("c"), 0}));
  const DutyLog::Subject& s = log.FindSubject("usage");
  LONGS_EQUAL(7, s.committed_through);
  LONGS_EQUAL(1, static_cast<long>(s.open.size()));
  STRCMP_EQUAL("a", s.open.at(7)->c_str());
  // Call 8 is recorded with the statement that calls up to 7 were accepted: the
  // content of call 7 must be removed, and the contents of other subjects must
  // stay.
  log.Apply({"scale", 1, Content("x"), 0});
  log.Apply({"usage", 8, Content("d"), 7});
  LONGS_EQUAL(1, static_cast<long>(log.FindSubject("usage").open.size()));
  LONGS_EQUAL(1, log.FindSubject("scale").committed_through);
}

// Guards against unbounded growth of the log while the platform is unreachable
// for hours.
TEST(duty, LimitsOpenRecords) {
  DutyLog log;
  for (int64_t n = 1; n <= 1000; ++n) log.Apply({"usage", n, Content("x"), 0});
  LONGS_EQUAL(64, static_cast<long>(log.FindSubject("usage").open.size()));
  LONGS_EQUAL(1000, log.FindSubject("usage").open.rbegin()->first);
}

// Guards against calls by hosts in the order A, B, A within one lease. Host A
// is the leader, B takes over and A becomes the leader again, all within a
// second.
TEST(duty, NewLeaderWaitsForPreviousHolderToStop) {
  DutyLeadershipPolicy p;
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

// Guards against a call by a process with an outdated confirmation of its
// leadership. The process requests a confirmation, is frozen, and receives the
// confirmation when it resumes.
TEST(duty, IgnoresOutdatedConfirmation) {
  DutyLeadershipPolicy p;
  p.lease = kSecond;
  DutyLeadership leadership(p);
  TimePoint now{};
  leadership.UpdateLeadership(true, 1, now);
  now += 5 * kSecond;
  TimePoint requested_at = now;
  now += 2 * kSecond;
  leadership.RecordConfirmation(1, requested_at);
  CHECK_FALSE(leadership.UsableToken(now).has_value());
  // A confirmation for another term is ignored.
  leadership.RecordConfirmation(2, now);
  CHECK_FALSE(leadership.UsableToken(now).has_value());
}

TEST(duty, DoesNotReuseRefusedToken) {
  DutyLeadershipPolicy p;
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

// Guards against a group time that follows a wall clock that jumps, on some
// hosts or on the leader. The windows of all processes would move with that
// clock.
TEST(duty, ClockJumpsOfSomeHostsDoNotMoveGroupTime) {
  GroupTime t;
  TimePoint now{};
  now += 100 * kSecond;
  const int64_t kUnix = 1'000'000'000;
  auto record_samples = [&](int64_t jump) {
    for (int host = 0; host < 7; ++host) {
      t.RecordSample(
          std::to_string(host),
          kUnix + ToMs(now.time_since_epoch()) + host + (host < 3 ? jump : 0),
          now);
    }
  };
  record_samples(0);
  int64_t before = *t.UnixMsAt(now) - ToMs(now.time_since_epoch());
  for (int64_t jump : {2000, -2000, 0}) {
    now += kSecond;
    record_samples(jump);
    int64_t after = *t.UnixMsAt(now) - ToMs(now.time_since_epoch());
    CHECK_TRUE(std::abs(after - before) <= 3);
  }
}

// Guards against a follower whose group time lags by the delay of a lossy link,
// and against a follower that uses its own wall clock.
TEST(duty, DelayedUpdateDoesNotMoveGroupTime) {
  GroupTime t;
  TimePoint now{};
  now += 100 * kSecond;
  t.RecordSample("self", 5, now);
  const int64_t kUnix = 1'000'000'000;
  auto true_ms = [&] { return kUnix + ToMs(now.time_since_epoch()); };
  t.RecordReceivedTime(true_ms() - 1, now);
  now += kSecond;
  t.RecordReceivedTime(true_ms() - 600, now);
  LONGS_EQUAL(true_ms() - 1, *t.UnixMsAt(now));
  // Without updates from control the group's time keeps advancing.
  now += 60 * kSecond;
  LONGS_EQUAL(true_ms() - 1, *t.UnixMsAt(now));
}

// A new leader keeps the time that it received as a follower until it has
// received the wall clocks of its own followers.
TEST(duty, NewLeaderKeepsReceivedTime) {
  GroupTime t;
  TimePoint now{};
  now += 100 * kSecond;
  const int64_t kUnix = 1'000'000'000;
  auto true_ms = [&] { return kUnix + ToMs(now.time_since_epoch()); };
  t.RecordReceivedTime(true_ms(), now);
  t.RecordSample("self", true_ms() + 2000, now);
  LONGS_EQUAL(true_ms(), *t.UnixMsAt(now));
  now += 3 * kSecond;
  t.RecordSample("self", true_ms() + 2000, now);
  t.RecordSample("a", true_ms(), now);
  t.RecordSample("b", true_ms(), now);
  LONGS_EQUAL(true_ms(), *t.UnixMsAt(now));
}

// Guards against requests that are counted twice. An entry reports its counts
// to one process and, after that process failed, again to another.
TEST(duty, MergesCountsByMaximum) {
  UsageTable entry;
  for (int i = 0; i < 3; ++i) entry.CountRequest(1, 10, "a");
  entry.CountRequest(1, 11, "a");
  UsageTable left;
  UsageTable right;
  UsageTable leader;
  UsageReportTracker reports(entry, Duration::zero());
  TimePoint now{};
  left.MergeRecords(reports.RecordsToReport("left", now));
  entry.CountRequest(1, 10, "a");
  // The process `left` fails before it answers, so `right` gets all records.
  reports.OnTargetLost();
  right.MergeRecords(reports.RecordsToReport("right", now));
  reports.OnDelivered();
  CHECK_TRUE(reports.RecordsToReport("right", now).empty());
  uint64_t through = 0;
  leader.MergeRecords(right.ChangedSince(0, 100, &through));
  leader.MergeRecords(left.ChangedSince(0, 100, &through));
  LONGS_EQUAL(4, leader.SumByAccount(10).at("a"));
  LONGS_EQUAL(1, leader.SumByAccount(11).at("a"));
  // The counts of a restarted entry are added to its counts from before the
  // restart.
  leader.MergeRecords(std::vector<UsageRecord>{{2, 10, "a", 5}});
  LONGS_EQUAL(9, leader.SumByAccount(10).at("a"));
  LONGS_EQUAL(2, static_cast<long>(leader.CountProcesses(10)));
}

// Guards against counts that grow after their window was committed, and against
// memory use that grows with the number of requests.
TEST(duty, DropsCommittedWindows) {
  UsageTable table(4);
  for (int i = 0; i < 1000; ++i) table.CountRequest(1, 10, "a");
  LONGS_EQUAL(1, static_cast<long>(table.size()));
  table.DropWindowsThrough(10);
  table.CountRequest(1, 10, "a");
  LONGS_EQUAL(0, static_cast<long>(table.size()));
  for (int64_t w = 11; w < 30; ++w) table.CountRequest(1, w, "a");
  LONGS_EQUAL(4, static_cast<long>(table.size()));
  uint64_t through = 0;
  LONGS_EQUAL(4, static_cast<long>(table.ChangedSince(0, 9, &through).size()));
}

// All records are reported, in reports of limited size that are at least the
// minimum interval apart.
TEST(duty, ReportsCountsInParts) {
  UsageTable entry;
  UsageTable control;
  for (int a = 0; a < 5000; ++a) entry.CountRequest(1, 10, std::to_string(a));
  UsageReportTracker reports(entry, Millis(800));
  TimePoint now{};
  now += kSecond;
  for (int i = 0; i < 10; ++i) {
    control.MergeRecords(reports.RecordsToReport("c", now));
    reports.OnDelivered();
    CHECK_TRUE(reports.RecordsToReport("c", now + Millis(100)).empty());
    reports.OnDelivered();
    now += kSecond;
  }
  LONGS_EQUAL(5000, static_cast<long>(control.SumByAccount(10).size()));
}

// Guards against a gap in the windows after an outage of the group, and against
// a report for every missed window after a long outage.
TEST(duty, CommitsWindowsWithoutGaps) {
  UsagePolicy p = FiveSecondWindows();
  DutyLog::Subject s;
  UsageLedger l;
  auto due = [&](int64_t unix_ms, Duration led_for = 5 * kSecond) {
    std::optional<WindowCommit> c = WindowToCommit(s, l, led_for, unix_ms, p);
    return c ? c->window : 0;
  };
  LONGS_EQUAL(0, due(1'000'000));
  // A process has counts and has not finished the window.
  l.counts.CountRequest(1, 200, "a");
  int64_t last = 1'005'000 + ToMs(LastMoment(p));
  LONGS_EQUAL(0, due(last - 1));
  LONGS_EQUAL(200, due(last));
  LONGS_EQUAL(0, due(last, p.regather_time - Millis(1)));
  LONGS_EQUAL(200, due(last, p.regather_time));
  // It finishes the window. A new leader may not know all processes.
  l.processes.RecordServed(1, 201);
  l.processes.RecordFinished(1, 200);
  LONGS_EQUAL(0, due(1'004'999));
  LONGS_EQUAL(200, due(1'005'000));
  LONGS_EQUAL(0, due(1'005'000, p.settle_time - Millis(1)));
  s.committed_through = 200;
  LONGS_EQUAL(0, due(last));
  LONGS_EQUAL(201, due(1'099'000));
  LONGS_EQUAL(400 - p.max_windows_behind, due(2'000'000));
}

// The last moment leaves time for a commit, an election, the reports to the new
// leader, its commit and three calls. It is never early if the time is short.
TEST(duty, LastMomentFollowsFromNamedTimes) {
  UsagePolicy p = FiveSecondWindows();
  LONGS_EQUAL(7150, ToMs(LastMoment(p)));
  p.due = kSecond;
  LONGS_EQUAL(250, ToMs(LastMoment(p)));
}

// An unanswered report is sent again with growing delays and does not delay the
// report of the next window.
TEST(duty, UnansweredReportDoesNotDelayOthers) {
  UsagePolicy p = FiveSecondWindows();
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

TEST(duty, EncodesAndDecodesCounts) {
  UsageCounts counts = {{"a", 3}, {"b", 0}};
  CHECK_TRUE(*DecodeUsage(*EncodeUsage(counts)) == counts);
  CHECK_TRUE(DecodeUsage(*EncodeUsage({}))->empty());
  CHECK_FALSE(DecodeUsage("\xff").ok());
  CHECK_FALSE(DecodeUsage("\xa1\x61z\x61q").ok());
}

namespace {

// A simulated group of replicas that reports to a platform, on a manual clock.
// Each proposal contains different counts, so that the test detects two
// different reports of one window.
class ReportingGroup {
 public:
  explicit ReportingGroup(uint64_t seed)
      // The log is compacted often, so that returning replicas get a snapshot.
      : group(5, seed, CompactingOptions()),
        checker(LeadershipPolicy().lease),
        random_(seed) {
    for (int i = 0; i < group.size(); ++i) hosts_.emplace_back();
    first_window_ = CurrentWindow();
  }

  void Step() {
    group.Run(Millis(20));
    TimePoint now = group.clock.Now();
    while (!delayed_calls_.empty() && delayed_calls_.begin()->first <= now) {
      checker.ExecuteCall(delayed_calls_.begin()->second);
      delayed_calls_.erase(delayed_calls_.begin());
    }
    for (int i = 0; i < group.size(); ++i) {
      if (group.running(i)) RunHost(i, now);
    }
  }
  // Resets the state of host `i`: a restarted process has no leadership state.
  void ResetHost(int i) { hosts_[static_cast<size_t>(i)] = Host(); }
  int RandomBelow(int n) {
    return std::uniform_int_distribution<int>(0, n - 1)(random_);
  }
  int64_t first() const { return first_window_; }
  int64_t CurrentWindow() const {
    return WindowAt(ToMs(group.clock.Now().time_since_epoch()),
                    FiveSecondWindows());
  }

  ReplicaGroup group;
  UsageReportChecker checker;
  bool no_faults = false;  // The platform answers every call at once.

 private:
  struct Host {
    DutyLeadership leadership{LeadershipPolicy()};
    UsageDeliveries deliveries{FiveSecondWindows()};
    bool confirming = false;
  };
  static ReplicaOptions CompactingOptions() {
    ReplicaOptions o;
    o.compact_entries = 6;
    return o;
  }
  static DutyLeadershipPolicy LeadershipPolicy() {
    DutyLeadershipPolicy p;
    p.lease = 3 * kSecond;
    return p;
  }

  void RunHost(int i, TimePoint now) {
    Host& h = hosts_[static_cast<size_t>(i)];
    Replica* r = group.node(i);
    bool leads = r->role() == ReplicaRole::kLeader;
    h.leadership.UpdateLeadership(leads, r->term(), now);
    if (!leads) return;
    const DutyLog::Subject& s = r->duties().FindSubject(kUsageSubject);
    UsageLedger usage;
    usage.counts.CountRequest(1, first_window_, "a");
    // Half of the windows are complete, the others wait for a process.
    usage.processes.RecordServed(1, first_window_);
    usage.processes.RecordServed(1, CurrentWindow());
    usage.processes.RecordFinished(1, CurrentWindow() / 2 * 2);
    std::optional<WindowCommit> due =
        WindowToCommit(s, usage, h.leadership.LedFor(now),
                       ToMs(now.time_since_epoch()), FiveSecondWindows());
    if (due) {
      UsageCounts counts = {{"a", RandomBelow(1'000'000)}};
      r->ProposeDuty({kUsageSubject, due->window, EncodeUsage(counts),
                      h.deliveries.AcceptedThrough(s)},
                     [](const absl::Status&) {});
    }
    std::optional<int64_t> next = h.deliveries.NextToSend(s, now);
    if (!next || !h.leadership.IsHolder(now)) return;
    if (std::optional<uint64_t> token = h.leadership.UsableToken(now)) {
      Call(i, *next, *token, *DecodeUsage(*s.open.at(*next)), now);
      return;
    }
    r->ReadBarrier([this, i, term = r->term(), now](const absl::Status& st) {
      if (st.ok())
        hosts_[static_cast<size_t>(i)].leadership.RecordConfirmation(term, now);
    });
  }

  void Call(int i, int64_t window, uint64_t token, UsageCounts counts,
            TimePoint now) {
    Host& h = hosts_[static_cast<size_t>(i)];
    UsageReportChecker::Call c{std::to_string(i), token, window,
                               std::move(counts)};
    checker.OnCallArrived(c, now);
    int outcome = no_faults ? 9 : RandomBelow(10);
    if (outcome < 3) {
      delayed_calls_.emplace(now + Millis(2000 + RandomBelow(10000)), c);
      h.deliveries.RecordFailed(window, now);
    } else if (!checker.ExecuteCall(c)) {
      h.leadership.RecordRefusal(token);
    } else if (outcome < 5) {
      h.deliveries.RecordFailed(window, now);  // The platform's answer is lost.
    } else {
      h.deliveries.RecordAccepted(window);
    }
  }

  std::mt19937_64 random_;
  std::vector<Host> hosts_;
  int64_t first_window_ = 0;
  std::multimap<TimePoint, UsageReportChecker::Call> delayed_calls_;
};

}  // namespace

// Guards against violations of the platform's rules: two different reports of
// one window, one token used by two hosts, and holders in the order A, B, A
// within a lease. Leaders are killed, frozen and isolated at any moment; calls
// are executed late or their answers are lost. After the faults end, every
// window must have a report.
TEST(duty, GroupReportsEachWindowOnceUnderFaults) {
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    ReportingGroup g(seed);
    int faulty = -1;
    TimePoint fault_end{};
    for (int step = 0; step < 60 * 50; ++step) {
      g.Step();
      TimePoint now = g.group.clock.Now();
      if (faulty >= 0 && now >= fault_end) {
        g.group.Freeze(faulty, false);
        g.group.RestoreAllLinks();
        if (!g.group.node(faulty)) g.group.Start(faulty);
        faulty = -1;
      }
      if (faulty >= 0 || g.RandomBelow(60) != 0) continue;
      int leader = g.group.Leader();
      faulty = leader >= 0 && g.RandomBelow(4) != 0 ? leader : g.RandomBelow(5);
      fault_end = now + Millis(200 + g.RandomBelow(3000));
      int fault = g.RandomBelow(4);
      if (fault == 0) g.group.SetIsolated(faulty, true);
      if (fault == 1) g.group.Freeze(faulty, true);
      if (fault >= 2) {
        g.group.Kill(faulty);
        g.ResetHost(faulty);
      }
      if (fault == 3) g.group.Wipe(faulty);
    }
    if (faulty >= 0) {
      g.group.Freeze(faulty, false);
      g.group.RestoreAllLinks();
      if (!g.group.node(faulty)) g.group.Start(faulty);
    }
    g.no_faults = true;
    for (int step = 0; step < 30 * 50; ++step) g.Step();
    for (const std::string& b : g.checker.violations()) FAIL(b.c_str());
    // Every window whose report is due must have been reported.
    int64_t now = g.CurrentWindow();
    for (int64_t w = g.first(); w <= now - 3; ++w) {
      if (!g.checker.accepted_reports().count(w)) {
        FAIL(("seed " + std::to_string(seed) + ": window " + std::to_string(w) +
              " of " + std::to_string(now) + " was not reported")
                 .c_str());
      }
    }
  }
}
