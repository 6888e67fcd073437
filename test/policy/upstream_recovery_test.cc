// Tests of upstreams that recover: an upstream avoided for what it did earlier
// must get requests again, although no answer shows its recovery.
#include <map>
#include <random>

#include "CppUTest/TestHarness.h"
#include "absl/strings/str_cat.h"
#include "placement.h"

using namespace medlarwalk;

namespace {

constexpr int kUpstreams = 10;
constexpr int kFailing = 3;  // The first ones fail.
constexpr auto kServiceTime = Millis(40);

// One entry process at low load: one request every 40 ms or so to
// kUpstreams upstreams, on a manual clock.
class Replay {
 public:
  Replay() {
    for (int i = 0; i < kUpstreams; ++i) {
      UpstreamState u;
      u.info.id = absl::StrCat("u-", i);
      u.info.service = "desk";
      u.info.slots = 8;
      upstreams.push_back(u);
    }
  }
  // Sends requests for `length`. The first upstreams fail `failing` of theirs.
  void Run(Duration length, double failing) {
    sent.assign(kUpstreams, 0);
    failed = 0;
    TimePoint until = now + length;
    while (now < until) {
      Send(failing);
      now += Millis(20 + static_cast<int>(40 * draw(random)));
      Finish();
    }
  }
  // Returns the mean number of requests to a failing upstream, in shares of
  // that of another upstream.
  double FailingShare() const {
    double bad = 0, good = 0;
    for (size_t i = 0; i < kUpstreams; ++i)
      (i < kFailing ? bad : good) += sent[i];
    return bad / kFailing / (good / (kUpstreams - kFailing));
  }

  PlacementPolicy policy;
  std::vector<UpstreamState> upstreams;
  std::vector<int> sent;
  int failed = 0;
  bool retryable = true;

 private:
  void Send(double failing) {
    PlacementRequest request;
    request.service = "desk";
    request.retryable = retryable;
    size_t at = *ChooseUpstream(upstreams, request, now, draw(random), policy);
    bool fails = at < kFailing && draw(random) < failing;
    ++sent[at];
    failed += fails;
    ++upstreams[at].in_flight;
    answers.insert({now + kServiceTime, {at, fails}});
  }
  void Finish() {
    while (!answers.empty() && answers.begin()->first <= now) {
      auto [at, fails] = answers.begin()->second;
      TimePoint end = answers.begin()->first;
      answers.erase(answers.begin());
      --upstreams[at].in_flight;
      if (fails) {
        RecordFailure(upstreams[at], end, false, policy);
      } else {
        RecordSuccess(upstreams[at], end);
      }
    }
  }

  TimePoint now = TimePoint(std::chrono::hours(1));
  std::multimap<TimePoint, std::pair<size_t, bool>> answers;
  std::mt19937_64 random{1};
  std::uniform_real_distribution<double> draw{0, 1};
};

}  // namespace

TEST_GROUP(upstream_recovery){};

// Guards against an upstream that failed and recovered, and gets no request
// again while others have room: only an answer would show its recovery.
TEST(upstream_recovery, ShareReturnsWithinTwoSecondsOfTheLastFailure) {
  Replay r;
  r.Run(std::chrono::seconds(6), 1);
  r.Run(std::chrono::seconds(2), 0);
  r.Run(std::chrono::seconds(4), 0);
  CHECK_TRUE_TEXT(r.FailingShare() > 0.7,
                  absl::StrCat(r.FailingShare(), " of a peer's").c_str());
}

// Guards against requests that fail for good at an upstream that is tried
// although it still fails. Requests that may not be retried must come back
// later than others, but must come back.
TEST(upstream_recovery, FinalRequestsReturnLater) {
  Replay r;
  r.retryable = false;
  r.Run(std::chrono::seconds(6), 1);
  r.Run(std::chrono::seconds(4), 1);
  LONGS_EQUAL(0, r.failed);
  r.Run(std::chrono::seconds(150), 0);
  r.Run(std::chrono::seconds(4), 0);
  CHECK_TRUE_TEXT(r.FailingShare() > 0.7,
                  absl::StrCat(r.FailingShare(), " of a peer's").c_str());
}

// Guards against an upstream that fails for long and is tried all the time.
TEST(upstream_recovery, AnUpstreamThatStillFailsGetsFewRequests) {
  Replay r;
  r.Run(std::chrono::seconds(3), 0.4);
  r.Run(std::chrono::seconds(20), 0.4);
  CHECK_TRUE_TEXT(r.FailingShare() < 0.5,
                  absl::StrCat(r.FailingShare(), " of a peer's").c_str());
}

// Guards against a straggler or a slow engine that recovers and gets no stream
// again: only a stream would show its recovery. One that is still slow is
// avoided again from its first measured gap on.
TEST(upstream_recovery, SlowEnginesAreTriedAgain) {
  PlacementPolicy policy;
  policy.straggler_factor = 2;
  TimePoint now = TimePoint(std::chrono::hours(1));
  std::vector<UpstreamState> upstreams(4);
  for (size_t i = 0; i < upstreams.size(); ++i) {
    UpstreamState& u = upstreams[i];
    u.info.id = absl::StrCat("i-", i);
    u.info.service = "engine";
    u.info.slots = 64;
    u.in_flight = i == 0 ? 0 : 8;
    for (int k = 0; k < 20; ++k) {
      RecordEventGap(u, Millis(i == 0 ? 80 : 10), now);
      RecordDecodePace(u, Millis(i == 0 ? 80 : 10), now);
    }
  }
  MarkStragglers(absl::MakeSpan(upstreams), policy);
  MarkSlowDecoders(absl::MakeSpan(upstreams), policy);
  PlacementRequest request;
  request.service = "engine";
  request.shape = WorkShape::kDecode;
  auto chosen = [&] {
    return *ChooseUpstream(upstreams, request, now, 0, policy);
  };
  CHECK_TRUE(chosen() != 0);
  LONGS_EQUAL(1, CountAvoided(upstreams, now, policy).stragglers);
  now += policy.straggler_memory + Millis(1);
  LONGS_EQUAL(0, CountAvoided(upstreams, now, policy).stragglers);
  upstreams[0].slow_decode = false;
  LONGS_EQUAL(0, chosen());
  RecordEventGap(upstreams[0], Millis(80), now);
  CHECK_TRUE(chosen() != 0);
  upstreams[0].straggler = false;
  upstreams[0].slow_decode = true;
  CHECK_TRUE(chosen() != 0);
  now += policy.decode_pace_memory;
  LONGS_EQUAL(0, chosen());
  RecordDecodePace(upstreams[0], Millis(80), now);
  CHECK_TRUE(chosen() != 0);
}

// Guards against an ejection of seconds for a single failure, long after the
// last ones.
TEST(upstream_recovery, OldFailuresAreNotInARow) {
  PlacementPolicy policy;
  TimePoint now = TimePoint(std::chrono::hours(1));
  UpstreamState u;
  for (int i = 0; i < 6; ++i) RecordFailure(u, now, true, policy);
  now = u.ejected_until + policy.max_ejection + Millis(1);
  RecordFailure(u, now, true, policy);
  CHECK_TRUE(MayReceiveRequests(u, now, policy));
  RecordFailure(u, now, true, policy);
  CHECK_FALSE(MayReceiveRequests(u, now, policy));
  LONGS_EQUAL(1, CountAvoided({&u, 1}, now, policy).ejected);
}
