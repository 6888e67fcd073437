// Tests of the software versions that upstreams have run of late.
#include "build_history.h"

#include "CppUTest/TestHarness.h"

using namespace medlarwalk;

namespace {

const TimePoint kNow = TimePoint(std::chrono::hours(1));

std::vector<UpstreamInfo> Listed(const std::vector<std::string>& builds) {
  std::vector<UpstreamInfo> out;
  for (const std::string& build : builds) {
    UpstreamInfo u;
    u.service = "engine";
    u.build = build;
    out.push_back(u);
  }
  return out;
}

}  // namespace

TEST_GROUP(build_history){};

// Guards against a version that is forgotten as soon as its last upstream has
// left, while streams of it may be taken up.
TEST(build_history, AVersionThatHasLeftIsKnownForAWhile) {
  BuildHistory h;
  h.RecordList(Listed({"v1", "v1"}), kNow);
  LONGS_EQUAL(1, h.BuildsOf("engine", kNow).size());
  CHECK_FALSE(h.ListsSeveral("engine"));
  h.RecordList(Listed({"v1", "v2"}), kNow);
  CHECK_TRUE(h.ListsSeveral("engine"));
  TimePoint left = kNow + std::chrono::hours(1);
  h.RecordList(Listed({"v2"}), left);
  CHECK_FALSE(h.ListsSeveral("engine"));
  int64_t before = h.version();
  LONGS_EQUAL(2, h.BuildsOf("engine", left + kBuildMemory - Millis(1)).size());
  LONGS_EQUAL(1, h.BuildsOf("engine", left + kBuildMemory).size());
  h.RemoveExpired(left + kBuildMemory);
  CHECK_TRUE(h.version() != before);
}

// Guards against a process that takes the only listed version for the only one
// although another process, or its own life before, has seen another.
TEST(build_history, VersionsOfOthersCountForTheRestOfTheirTime) {
  BuildHistory h;
  h.RecordList(Listed({"v2"}), kNow);
  h.Merge({{"engine", "v1", Millis(20'000)}, {"engine", "v2", Millis(0)}},
          kNow);
  LONGS_EQUAL(2, h.BuildsOf("engine", kNow + Millis(39'999)).size());
  LONGS_EQUAL(1, h.BuildsOf("engine", kNow + Millis(40'000)).size());
  // A later record of an earlier time takes nothing back.
  h.Merge({{"engine", "v1", Millis(50'000)}}, kNow);
  LONGS_EQUAL(2, h.BuildsOf("engine", kNow + Millis(39'999)).size());
}
