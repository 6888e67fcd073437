// Replays processes that all lose the reader of an outside source at once.
#include "source_read_pacer.h"

#include <memory>
#include <vector>

#include "CppUTest/TestHarness.h"

using namespace medlarwalk;

namespace {

constexpr auto kTick = Millis(20);
constexpr double kCallsPerS = 140;
constexpr int kPages = 4;
// Age from which what a process holds is out of date.
constexpr auto kMaxAge = Millis(3000);

// A source that rejects calls beyond its rate until the second is over.
class Source {
 public:
  bool Call(TimePoint now) {
    if (now - second_began_at_ >= std::chrono::seconds(1)) {
      second_began_at_ = now;
      calls_in_second_ = 0;
    }
    ++calls_;
    most_in_second_ = std::max(most_in_second_, ++calls_in_second_);
    return calls_in_second_ <= static_cast<int>(kCallsPerS);
  }
  int calls() const { return calls_; }
  int most_in_second() const { return most_in_second_; }

 private:
  TimePoint second_began_at_{};
  int calls_in_second_ = 0;
  int calls_ = 0;
  int most_in_second_ = 0;
};

struct Process {
  SourceReadPacer pacer;
  TimePoint current_at{};
};

struct Outcome {
  int calls = 0;
  int most_in_second = 0;
};

// Lets `n` processes be without their reader for `duration`. `known`: number of
// processes that control published before, then a lower one.
Outcome LoseReader(int n, Duration duration, int known) {
  SourceReadPolicy policy;
  policy.calls_per_s = kCallsPerS;
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  std::vector<Process> processes;
  for (int i = 0; i < n; ++i) {
    processes.push_back({SourceReadPacer(policy, 7919 * i + 1), now});
    processes.back().pacer.RecordProcessCount(now, known);
    processes.back().pacer.RecordProcessCount(now + kTick, 3);
    processes.back().pacer.RecordCallsPerRead(kPages);
  }
  Source source;
  TimePoint end = now + duration;
  for (; now < end; now += kTick) {
    for (Process& p : processes) {
      if (!p.pacer.BeginRead(now, now - p.current_at >= kMaxAge)) continue;
      bool ok = true;
      for (int page = 0; page < kPages && ok; ++page) ok = source.Call(now);
      p.pacer.RecordReadEnd(
          now, ok ? SourceReadEnd::kWhole : SourceReadEnd::kRejected);
      if (ok) p.current_at = now;
    }
  }
  return {source.calls(), source.most_in_second()};
}

}  // namespace

TEST_GROUP(source_read_pacer){};

// Guards against a storm of reads: the calls of all processes together grow
// with their number and keep the source rejecting.
TEST(source_read_pacer, CallsOfAllProcessesStayWithinTheirShare) {
  for (int n : {30, 300, 1000}) {
    Outcome o = LoseReader(n, std::chrono::seconds(20), n);
    UT_PRINT(StringFromFormat("%d processes: %d calls, at most %d a second", n,
                              o.calls, o.most_in_second)
                 .asCharString());
    CHECK_TRUE(o.calls <= 20 * kCallsPerS * SourceReadPolicy{}.share * 1.25);
    CHECK_TRUE(o.most_in_second < kCallsPerS);
    CHECK_TRUE(o.calls > 0);
  }
}

// Guards against a storm of processes that each know far fewer others than
// there are: rejections have to slow them down until the source accepts most
// calls again, so that the reader for all gets through.
TEST(source_read_pacer, RejectedProcessesSlowDown) {
  int until_20 = LoseReader(1000, std::chrono::seconds(20), 30).calls;
  int until_40 = LoseReader(1000, std::chrono::seconds(40), 30).calls;
  double rate = (until_40 - until_20) / 20.0;
  UT_PRINT(
      StringFromFormat("20 s: %d calls, then %.1f a second", until_20, rate)
          .asCharString());
  CHECK_TRUE(rate < 1.5 * kCallsPerS);
}

// Guards against a source that a small group reads later than it may.
TEST(source_read_pacer, SmallGroupReadsAtOnce) {
  SourceReadPolicy policy;
  policy.calls_per_s = 40;
  SourceReadPacer p(policy, 1);
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  p.RecordProcessCount(now, 8);
  p.RecordCallsPerRead(1);
  CHECK_FALSE(p.BeginRead(now, false));
  CHECK_TRUE(p.BeginRead(now, true));
  CHECK_FALSE(p.BeginRead(now + Millis(1400), true));
  CHECK_TRUE(p.BeginRead(now + Millis(2600), true));
}

// Guards against repeated reads by a process whose data is out of date by
// turns.
TEST(source_read_pacer, IntervalHoldsWhenDataIsOutOfDateByTurns) {
  SourceReadPacer p(SourceReadPolicy{}, 1);
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  int reads = 0;
  for (int i = 0; i < 500; ++i, now += kTick) {
    reads += p.BeginRead(now, i % 2 == 0);
  }
  CHECK_TRUE(reads <= 7);
}
