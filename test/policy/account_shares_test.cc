// Tests of the shares of client accounts, with replays of an overload by one
// account. In the replays several entries share engines and know each other's
// load with a delay.
#include "account_shares.h"

#include <cstdio>
#include <deque>
#include <map>
#include <random>

#include "CppUTest/TestHarness.h"
#include "waiting_queue.h"

using namespace medlarwalk;

namespace {

constexpr char kService[] = "s";
constexpr int kEntries = 4;
constexpr int kSlots = 100;
constexpr int kServiceMs = 100;  // On average: 1,000 requests a second in all.
constexpr int kMaxWaitMs = 25;
constexpr int kInTimeMs = 150;  // From arrival until an engine begins.
constexpr int kHeavy = 0;       // Sends thousands of requests a second.
constexpr int kLight = 1;       // Sends one request at a time.
constexpr int kAccounts = 12;   // The other ten send their usual.

struct Pattern {
  bool shares = true;
  bool heavy_at_all_entries = true;
  double heavy_per_ms = 2.45;
  double usual_per_ms = 0.05;  // Each of ten accounts.
};

struct Outcome {
  double asked = 0;
  double in_time = 0;
  double share() const { return in_time / asked; }
};

class Replay {
 public:
  explicit Replay(const Pattern& p) : pattern_(p), entries_(kEntries) {
    clock_.Advance(std::chrono::hours(1));
    for (ms_ = 0; ms_ < 30000; ++ms_) {
      clock_.Advance(Millis(1));
      EndRequests();
      if (ms_ % 25 == 0) HearOfOthers(ms_ / 25 % kEntries);
      for (int a = 0; a < kAccounts; ++a) Arrive(a);
      for (Entry& e : entries_) Serve(e);
    }
  }
  // Outcomes of the heavy account, the light one and the ten others.
  Outcome outcomes[3];
  std::vector<size_t> sent;  // Requests in the order of their sending.

 private:
  struct Entry {
    WaitingQueue queue{WaitingPolicy{}};
    AccountShares shares{AccountSharesPolicy{}};
    int in_flight = 0;
    int others = 0;  // Requests of the other entries in flight, as last heard.
    int reported = 0;
    std::vector<AccountUse> heard;
  };
  struct Asked {
    int account;
    int arrived_ms;
    Entry* entry;
  };

  const AccountShares* SharesOf(const Entry& e) const {
    return pattern_.shares ? &e.shares : nullptr;
  }

  void Arrive(int account) {
    double u = std::uniform_real_distribution<double>(0, 1)(random_);
    double n =
        account == kHeavy ? pattern_.heavy_per_ms : pattern_.usual_per_ms;
    if (account == kLight) n = ms_ >= light_next_ms_ ? 1 : 0;
    for (; n > u; --n) Ask(account);
  }

  void Ask(int account) {
    bool first = account == kHeavy && !pattern_.heavy_at_all_entries;
    Entry& e = entries_[first ? 0 : random_() % kEntries];
    WaitingRequest w;
    w.seq = asked_.size();
    asked_.push_back({account, ms_, &e});
    ++outcomes[std::min(account, 2)].asked;
    if (account == kLight) light_next_ms_ = 1 << 30;
    w.enqueued_at = clock_.Now();
    w.reject_at = w.enqueued_at + Millis(kMaxWaitMs);
    w.service = kService;
    w.account = account;
    w.tokens = 500;
    e.shares.RecordRequest(account, w.enqueued_at);
    bool held = pattern_.shares &&
                e.shares.IsAboveEqualShare(account, w.enqueued_at) &&
                e.queue.LessServedAccountWaits(kService, 0, account, e.shares,
                                               w.enqueued_at);
    if (!held && TrySend(w.seq)) return;
    std::optional<uint64_t> shed;
    if (!e.queue.Enqueue(w, &shed, SharesOf(e)).ok()) Reject(w.seq);
    if (shed) Reject(*shed);
  }

  void Reject(size_t seq) {
    if (asked_[seq].account == kLight) light_next_ms_ = ms_ + 100;
  }

  bool TrySend(size_t seq) {
    Entry& e = *asked_[seq].entry;
    if (e.in_flight + e.others >= kSlots) return false;
    ++e.in_flight;
    e.shares.RecordUse(asked_[seq].account, 500, clock_.Now());
    at_engines_.push_back(seq);
    sent.push_back(seq);
    return true;
  }

  void Serve(Entry& e) {
    TimePoint now = clock_.Now();
    for (uint64_t seq : e.queue.ExpiredRequests(now)) {
      e.queue.RemoveUnserved(seq);
      Reject(seq);
    }
    for (uint64_t seq : e.queue.ServingOrder(kService, now, SharesOf(e)))
      if (TrySend(seq)) e.queue.RemoveServed(seq, now);
  }

  void EndRequests() {
    for (; !running_.empty() && running_.begin()->first <= ms_;
         running_.erase(running_.begin())) {
      const Asked& a = asked_[running_.begin()->second];
      --a.entry->in_flight;
      if (a.account == kLight) light_next_ms_ = ms_;
    }
    for (; !at_engines_.empty() && running_.size() < kSlots;
         at_engines_.pop_front()) {
      const Asked& a = asked_[at_engines_.front()];
      int time = kServiceMs / 2 + static_cast<int>(random_() % kServiceMs);
      running_.emplace(ms_ + time, at_engines_.front());
      outcomes[std::min(a.account, 2)].in_time +=
          ms_ - a.arrived_ms <= kInTimeMs;
    }
  }

  // Tells an entry the others' load, as they reported it up to 100 ms ago.
  void HearOfOthers(size_t entry) {
    Entry& e = entries_[entry];
    e.others = 0;
    for (const Entry& o : entries_) e.others += &o == &e ? 0 : o.reported;
    e.shares.MergeOthers(e.heard, clock_.Now());
    e.heard.clear();
    e.reported = e.in_flight;
    std::vector<AccountUse> own = e.shares.TakeOwnUse(64);
    for (Entry& o : entries_)
      if (&o != &e) o.heard.insert(o.heard.end(), own.begin(), own.end());
  }

  Pattern pattern_;
  ManualClock clock_;
  std::mt19937_64 random_{1};
  int ms_ = 0;
  int light_next_ms_ = 0;
  std::vector<Entry> entries_;
  std::vector<Asked> asked_;
  std::deque<size_t> at_engines_;
  std::multimap<int, size_t> running_;  // By the time of their end.
};

double InTime(const Replay& r) {
  return r.outcomes[0].in_time + r.outcomes[1].in_time + r.outcomes[2].in_time;
}

// A queue of three requests at most; the heavy account has consumed more than
// the light one.
struct QueueRig {
  QueueRig() : queue(Policy()), shares(AccountSharesPolicy{}) {
    shares.RecordUse(kHeavy, 100000, now);
    shares.RecordUse(kLight, 10, now);
  }
  static WaitingPolicy Policy() {
    WaitingPolicy p;
    p.max_waiting = 3;
    p.starvation_bound = Millis(1000);
    p.floor_interval = 1;
    return p;
  }
  bool Enqueue(uint64_t seq, Tier tier, AccountKey account) {
    WaitingRequest w;
    w.seq = seq;
    w.tier = tier;
    w.enqueued_at = now;
    w.reject_at = now + std::chrono::seconds(4);
    w.service = kService;
    w.account = account;
    return queue.Enqueue(w, &shed, &shares).ok();
  }
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  WaitingQueue queue;
  AccountShares shares;
  std::optional<uint64_t> shed;
};

}  // namespace

TEST_GROUP(account_shares){};

// Guards against an account that sends thousands of requests a second, three
// times the capacity with the others, and by this takes the others' slots. All
// other accounts must get more than in order of arrival, and the engines must
// not do less work, whether the heavy account sends through all entries or one.
TEST(account_shares, HeavyAccountTakesLessFromTheOthers) {
  for (bool all : {true, false}) {
    Pattern p;
    p.heavy_at_all_entries = all;
    Replay with(p);
    p.shares = false;
    Replay without(p);
    for (const Replay* r : {&without, &with}) {
      std::printf(
          "heavy at %s, shares %s: heavy %.3f light %.3f usual %.3f, "
          "%.0f in time a second\n",
          all ? "all entries" : "one entry", r == &with ? "on" : "off",
          r->outcomes[0].share(), r->outcomes[1].share(),
          r->outcomes[2].share(), InTime(*r) / 30);
    }
    CHECK_TRUE(with.outcomes[1].share() > 1.2 * without.outcomes[1].share());
    CHECK_TRUE(with.outcomes[2].share() > 1.3 * without.outcomes[2].share());
    CHECK_TRUE(InTime(with) > 0.99 * InTime(without));
  }
}

// Guards against requests that are held or reordered although engines are free.
TEST(account_shares, WithoutAShortageTheOrderIsThatOfArrival) {
  Pattern p;
  p.heavy_per_ms = 0.3;
  p.usual_per_ms = 0.01;
  Replay with(p);
  p.shares = false;
  Replay without(p);
  CHECK_TRUE(with.sent.size() > 10000);
  CHECK_TRUE(with.sent == without.sent);
}

// Guards against an account that passes a more urgent tier because it has
// consumed less, and against a lower tier that starves.
TEST(account_shares, OrderHoldsWithinOneTierAndKeepsTheFloor) {
  QueueRig rig;
  CHECK_TRUE(rig.Enqueue(1, 1, kHeavy));
  rig.now += Millis(1);
  CHECK_TRUE(rig.Enqueue(2, 1, kLight));
  CHECK_TRUE(rig.Enqueue(3, 0, kHeavy));
  CHECK_TRUE(rig.queue.ServingOrder(kService, rig.now, &rig.shares) ==
             (std::vector<uint64_t>{3, 2, 1}));
  CHECK_TRUE(rig.queue.ServingOrder(kService, rig.now) ==
             (std::vector<uint64_t>{3, 1, 2}));
  // Only request 1 starves.
  rig.now += Millis(999);
  CHECK_EQUAL(1u,
              rig.queue.ServingOrder(kService, rig.now, &rig.shares).front());
}

// Guards against a queue that a heavy account keeps full, so that others are
// rejected on arrival, and against shedding across tiers.
TEST(account_shares, FullQueueShedsTheAccountWithMostConsumption) {
  QueueRig rig;
  for (uint64_t seq : {1, 2, 3}) CHECK_TRUE(rig.Enqueue(seq, 1, kHeavy));
  CHECK_FALSE(rig.Enqueue(4, 1, kHeavy));
  CHECK_TRUE(rig.Enqueue(5, 1, kLight));
  CHECK_EQUAL(3u, *rig.shed);
  CHECK_FALSE(rig.Enqueue(6, 2, kLight));
  CHECK_TRUE(rig.Enqueue(7, 0, kHeavy));
  CHECK_EQUAL(2u, *rig.shed);
}

// Guards against shares by figures that are missing, old, or cut off at the
// size of a message.
TEST(account_shares, FiguresOfOthersCountWhileTheyAreFresh) {
  QueueRig rig;
  CHECK_TRUE(rig.shares.IsAboveEqualShare(kHeavy, rig.now));
  rig.shares.MergeOthers({{{kLight, 500000}}}, rig.now);
  rig.now += Millis(500);
  CHECK_FALSE(rig.shares.IsAboveEqualShare(kHeavy, rig.now));
  CHECK_TRUE(rig.shares.IsAboveEqualShare(kLight, rig.now));
  rig.now += Millis(600);
  CHECK_TRUE(rig.shares.IsAboveEqualShare(kHeavy, rig.now));
  // An account alone is never above its share.
  rig.now += std::chrono::seconds(5);
  rig.shares.RecordUse(kHeavy, 1000, rig.now);
  CHECK_FALSE(rig.shares.IsAboveEqualShare(kHeavy, rig.now));
  std::vector<AccountUse> use = rig.shares.TakeOwnUse(1);
  CHECK_EQUAL(1u, use.size());
  LONGS_EQUAL(101000, use[0].tokens);
  use = rig.shares.TakeOwnUse(1);
  LONGS_EQUAL(10, use[0].tokens);
  CHECK_TRUE(rig.shares.TakeOwnUse(1).empty());
}
