// Replays of a burst: rejected callers return once, at any of several entries,
// and compete with newcomers for the places that come free.
#include <map>
#include <random>

#include "CppUTest/TestHarness.h"
#include "return_schedule.h"
#include "return_table.h"
#include "waiting_queue.h"

using namespace medlarwalk;

namespace {

constexpr int kEntries = 3;
constexpr int kPlaceIntervalMs = 5;  // Between two places of the service.
constexpr int kMaxFreePlaces = 6;
constexpr int kExchangeMs = 200;  // Between two messages from each to all.
constexpr auto kNetworkDelay = Millis(10);
constexpr Duration kTimeLeft = std::chrono::seconds(4);
constexpr Duration kTarget = Millis(300);
constexpr char kService[] = "s";

struct Entry {
  WaitingQueue queue{WaitingPolicy{}};
  ReturnTable table;
  ReturnSchedule schedule{};
};

struct Replay {
  bool with_table;     // Callers that keep their time are recognized.
  bool with_schedule;  // Their times are spread.
  double hasty_share;  // Callers that return at once, and often.

  int served = 0;
  int rejected_once = 0;
  int rejected_twice = 0;
  int hasty_recognized = 0;

  std::mt19937_64 random{7};
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  Entry entries[kEntries] = {};
  int free_places = 0;
  std::map<uint64_t, int> rejections = {};  // By caller.
  std::multimap<TimePoint, uint64_t> returns = {};

  double Draw() { return std::uniform_real_distribution<double>()(random); }
  bool IsHasty(uint64_t caller) const {
    return static_cast<double>(caller % 100) < hasty_share * 100;
  }
  void Arrive(uint64_t caller) {
    Entry& e = entries[random() % kEntries];
    bool kept =
        with_table && e.table.Claim(caller, 0, now) == ReturnClaim::kKept;
    hasty_recognized += kept && IsHasty(caller);
    Duration wait = kept ? kTarget : kTarget / 10;
    std::optional<uint64_t> shed;
    CHECK_TRUE(
        e.queue.Enqueue({caller, 0, now, now + wait, kept, kService}, &shed)
            .ok());
    Serve(e);
  }
  void Serve(Entry& e) {
    for (uint64_t caller : e.queue.ServingOrder(kService, now)) {
      if (free_places == 0) return;
      --free_places;
      ++served;
      e.queue.RemoveServed(caller, now);
      e.schedule.RecordPlace(now);
    }
  }
  void Reject(Entry& e, uint64_t caller) {
    int n = ++rejections[caller];
    rejected_once += n == 1;
    rejected_twice += n == 2;
    Duration delay = ClampedMs(300 * (0.5 + Draw()));
    if (with_schedule)
      delay = e.schedule.Promise({0, delay, kTimeLeft}, now, Draw());
    e.table.RecordPromise(caller, 0, now + delay, now);
    if (IsHasty(caller)) delay = Millis(20);
    if (IsHasty(caller) || n == 1)
      returns.emplace(now + delay + kNetworkDelay, caller);
  }
  void Exchange() {
    for (Entry& from : entries) {
      std::vector<ReturnRecord> rows = from.table.TakeNew(256, now);
      for (Entry& to : entries) to.table.Merge(rows, now);
    }
  }
  // Runs two seconds of twice the capacity between times of 0.6 of it.
  Replay& Run() {
    uint64_t next_caller = 0;
    for (int ms = 0; ms < 8000; ++ms, now += Millis(1)) {
      double load = ms >= 1000 && ms < 3000 ? 2 : 0.6;
      if (Draw() < load / kPlaceIntervalMs) Arrive(next_caller++);
      while (!returns.empty() && returns.begin()->first <= now) {
        Arrive(returns.begin()->second);
        returns.erase(returns.begin());
      }
      if (ms % kPlaceIntervalMs == 0)
        free_places = std::min(kMaxFreePlaces, free_places + 1);
      for (int i = 0; i < kEntries; ++i) {
        Entry& e = entries[(ms + i) % kEntries];
        Serve(e);
        for (uint64_t caller : e.queue.ExpiredRequests(now)) {
          e.queue.RemoveUnserved(caller);
          Reject(e, caller);
        }
      }
      if (ms % kExchangeMs == 0) Exchange();
    }
    return *this;
  }
};

}  // namespace

TEST_GROUP(return_replay){};

// Guards against callers that keep their time and are rejected again in favour
// of newcomers.
TEST(return_replay, FewerAreRejectedTwiceAfterABurst) {
  Replay before = Replay{false, false, 0}.Run();
  Replay without_table = Replay{false, true, 0}.Run();
  Replay with = Replay{true, true, 0}.Run();
  CHECK_TRUE(before.rejected_once > 200);
  CHECK_TRUE(without_table.rejected_twice * 5 <= before.rejected_twice * 4);
  CHECK_TRUE(with.rejected_twice * 2 <= before.rejected_twice);
  CHECK_TRUE(with.rejected_twice * 5 <= without_table.rejected_twice * 3);
  CHECK_TRUE(with.served > before.served);
}

// Guards against an advantage for callers that return at once, and often.
TEST(return_replay, HastyCallersAreNotRecognized) {
  Replay replay = Replay{true, true, 0.1}.Run();
  CHECK_TRUE(replay.rejected_once > 200);
  LONGS_EQUAL(0, replay.hasty_recognized);
}

// Guards against times that callers do not wait for, or that are minutes away.
TEST(return_replay, TimesAreWithinWhatACallerWaits) {
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  for (Duration left : {Millis(0), Millis(500), Millis(4000), Millis(600000)}) {
    ReturnSchedule schedule;
    schedule.RecordPlace(now);
    Duration longest = std::min<Duration>(left * 3 / 10, Millis(3000));
    for (int i = 0; i < 500; ++i) {
      Duration d = schedule.Promise({0, Millis(300), left}, now, i / 500.0);
      CHECK_TRUE(d >= Duration::zero() && d <= longest);
    }
  }
}
