// Tests of the table of prompt parts and the engines that hold them.
#include "prefix_cache_index.h"

#include "CppUTest/TestHarness.h"

using namespace medlarwalk;

namespace {

const TimePoint kNow = TimePoint(std::chrono::hours(1));

std::vector<PromptPart> Parts(uint64_t doc, uint64_t subject, uint64_t own) {
  return {{doc, 100}, {subject, 200}, {own, 300}};
}

}  // namespace

TEST_GROUP(prefix_cache_index){};

// Guards against the prefill of the same parts on one engine after another. The
// engine to copy from must hold the longest leading run of parts: the engine
// that holds the subject if one is known, otherwise one that holds the
// document. The last part of a request is never shared.
TEST(prefix_cache_index, FindsTheLongestLeadingRun) {
  PrefixCacheIndex m(std::chrono::seconds(10), 100);
  STRCMP_EQUAL("", m.FindLongestPrefix(Parts(1, 2, 3), kNow).engine.c_str());
  m.RecordPrefilled(Parts(1, 2, 3), "i-a", kNow);
  STRCMP_EQUAL("i-a", m.FindLongestPrefix(Parts(1, 2, 9), kNow).engine.c_str());
  LONGS_EQUAL(2, m.FindLongestPrefix(Parts(1, 2, 9), kNow).parts);
  LONGS_EQUAL(1, m.FindLongestPrefix(Parts(1, 8, 9), kNow).parts);
  m.RecordPrefilled(Parts(1, 4, 5), "i-b", kNow);
  STRCMP_EQUAL("i-a", m.FindLongestPrefix(Parts(1, 2, 9), kNow).engine.c_str());
  STRCMP_EQUAL("i-b", m.FindLongestPrefix(Parts(1, 7, 9), kNow).engine.c_str());
  STRCMP_EQUAL("", m.FindLongestPrefix(Parts(8, 3, 9), kNow).engine.c_str());
}

// Parts that are too old or held by a terminated engine are ignored, and the
// table stays bounded for any input.
TEST(prefix_cache_index, RemovesOldPartsAndStaysBounded) {
  PrefixCacheIndex m(std::chrono::seconds(10), 100);
  m.RecordPrefilled(Parts(1, 2, 3), "i-a", kNow);
  STRCMP_EQUAL(
      "", m.FindLongestPrefix(Parts(1, 2, 3), kNow + std::chrono::seconds(11))
              .engine.c_str());
  m.RemoveEngine("i-a");
  STRCMP_EQUAL("", m.FindLongestPrefix(Parts(1, 2, 3), kNow).engine.c_str());
  for (uint64_t i = 0; i < 1000; ++i) {
    m.RecordPrefilled(Parts(10 * i, 10 * i + 1, 10 * i + 2), "i-b", kNow);
  }
  CHECK_TRUE(m.size() <= 100);
  m.RemoveExpired(kNow + std::chrono::seconds(11));
  LONGS_EQUAL(0, m.size());
}
