// Tests of the decision which callers give way when all requests together take
// too much memory, with a replay of the load of many unfinished bodies.
#include "request_memory.h"

#include <numeric>
#include <vector>

#include "CppUTest/TestHarness.h"

using namespace medlarwalk;

namespace {

constexpr size_t kKb = 1024;
constexpr size_t kMb = 1024 * kKb;
constexpr size_t kLimit = 16 * kMb;

}  // namespace

TEST_GROUP(request_memory){};

// Guards against refusals while there is room.
TEST(request_memory, NothingIsRefusedBelowTheLimit) {
  std::vector<HeldRequest> held(16, {kMb, Millis(60'000)});
  CHECK_TRUE(ChooseRefused(held, kLimit, kLimit).empty());
}

// Guards against an upload that goes on being refused for those that have
// stopped short of their end.
TEST(request_memory, StalledRequestsGiveWayFirst) {
  std::vector<HeldRequest> held(17, {kMb, Millis(1000)});
  held[3] = {4 * kMb, Millis(5)};
  std::vector<size_t> refused = ChooseRefused(held, 20 * kMb, kLimit);
  LONGS_EQUAL(6, refused.size());
  for (size_t i : refused) CHECK_TRUE(i != 3);
}

// Guards against small requests being refused beside large ones.
TEST(request_memory, LargestGiveWayFirst) {
  std::vector<HeldRequest> held(100, {kKb, Millis(0)});
  for (size_t i = 0; i < 17; ++i) held.push_back({kMb, Millis(0)});
  for (size_t i : ChooseRefused(held, 17 * kMb + 100 * kKb, kLimit))
    CHECK_TRUE(i >= 100);
}

// Guards against a sum that cannot be brought down, because what was passed on
// is not refused: all that can be is refused, and no more.
TEST(request_memory, PassedOnRequestsStay) {
  std::vector<HeldRequest> held = {{kMb, Millis(0)}, {kMb, Millis(0)}};
  LONGS_EQUAL(2, ChooseRefused(held, 2 * kLimit, kLimit).size());
}

// Guards against large complete bodies that take all memory from small requests
// of any tier, and against a large one that finds no room in calm.
TEST(request_memory, LargeCompleteRequestsTakeHalf) {
  CHECK_TRUE(MayPassOn(kLimit, 0, kLimit));
  CHECK_TRUE(MayPassOn(kMb, kLimit / 2 - kMb, kLimit));
  CHECK_FALSE(MayPassOn(kMb, kLimit / 2, kLimit));
  CHECK_TRUE(MayPassOn(4 * kKb, kLimit / 2, kLimit));
  CHECK_FALSE(MayPassOn(4 * kKb, kLimit, kLimit));
}

// Guards against limits in which one body of the largest size does not fit.
TEST(request_memory, LimitHoldsOneRequestOfTheLargestSize) {
  LONGS_EQUAL(kLimit, RequestMemoryLimit(kLimit, 4 * kMb));
  LONGS_EQUAL(40 * kMb, RequestMemoryLimit(kLimit, 20 * kMb));
}

// Replays 80 bodies that grow by a read block in turn, beside a small request
// in each round. Guards against a sum beyond the limit and a small request
// refused.
TEST(request_memory, ReplayOfManyGrowingBodies) {
  constexpr size_t kCrowd = 80;
  constexpr size_t kBlock = 32 * kKb;
  std::vector<HeldRequest> held(kCrowd + 1);
  size_t peak = 0;
  for (size_t round = 0; round < 32; ++round) {
    held[kCrowd] = {2 * kKb, Millis(0)};
    for (size_t i = 0; i < kCrowd; ++i) {
      held[i].bytes += kBlock;
      size_t total = 0;
      for (const HeldRequest& h : held) total += h.bytes;
      peak = std::max(peak, total);
      for (size_t k : ChooseRefused(held, total, kLimit)) {
        CHECK_TRUE(k != kCrowd);
        held[k].bytes = 0;
      }
    }
  }
  CHECK_TRUE(peak <= kLimit + kBlock);
}
