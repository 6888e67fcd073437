// Tests of the records of where streams began, and of the processes that hold
// them.
#include "stream_origin_table.h"

#include <algorithm>
#include <map>

#include "CppUTest/TestHarness.h"
#include "absl/strings/str_cat.h"

using namespace medlarwalk;

namespace {

StreamRecord Record(StreamKey key, uint32_t attempt, const char* build) {
  return {key, attempt, {"chat", build}, Millis(1000)};
}

std::vector<Endpoint> Peers(int n) {
  std::vector<Endpoint> out;
  for (int i = 0; i < n; ++i)
    out.push_back({absl::StrCat("10.0.", i / 200, ".", i % 200), 7341});
  return out;
}

}  // namespace

TEST_GROUP(stream_origin_table) {
  ManualClock clock;
  StreamOriginTable table{3};
  std::string BuildOf(StreamKey key) {
    const StreamOrigin* o = table.Find(key, clock.Now());
    return o ? o->build : "";
  }
};

// Guards against a stream that goes on at the version of an upstream that
// rejected it, because the records of two attempts arrived in another order.
TEST(stream_origin_table, TheLastAttemptBeginsTheStream) {
  table.Record(Record(1, 2, "v2"), clock.Now());
  table.Record(Record(1, 1, "v1"), clock.Now());
  STRCMP_EQUAL("v2", BuildOf(1).c_str());
  table.Record(Record(1, 3, "v3"), clock.Now());
  STRCMP_EQUAL("v3", BuildOf(1).c_str());
}

// Guards against memory that grows with every stream ever begun.
TEST(stream_origin_table, RecordsExpireAndAreBounded) {
  for (StreamKey key = 1; key <= 5; ++key) {
    table.Record(Record(key, 1, "v1"), clock.Now());
    clock.Advance(Millis(100));
  }
  LONGS_EQUAL(3, table.size());
  STRCMP_EQUAL("", BuildOf(2).c_str());
  STRCMP_EQUAL("v1", BuildOf(3).c_str());
  clock.Advance(Millis(750));
  STRCMP_EQUAL("", BuildOf(3).c_str());
  STRCMP_EQUAL("v1", BuildOf(5).c_str());
  table.RemoveExpired(clock.Now());
  LONGS_EQUAL(2, table.size());
}

// Guards against a record that expires while its stream goes on.
TEST(stream_origin_table, ARecordIsRenewed) {
  table.Record(Record(1, 1, "v1"), clock.Now());
  clock.Advance(Millis(900));
  table.Record(Record(1, 1, "v1"), clock.Now());
  clock.Advance(Millis(900));
  table.RemoveExpired(clock.Now());
  STRCMP_EQUAL("v1", BuildOf(1).c_str());
}

// Guards against a question to processes that hold no record: a process that
// knows one peer more or less must ask the holders that another one chose.
TEST(stream_origin_table, HoldersChangeLittleWithThePeers) {
  std::vector<Endpoint> all = Peers(8);
  for (StreamKey key = 0; key < 500; ++key) {
    std::vector<Endpoint> stored = HoldersOf(key, all, 3);
    for (size_t gone = 0; gone < all.size(); ++gone) {
      std::vector<Endpoint> fewer = all;
      fewer.erase(fewer.begin() + static_cast<long>(gone));
      std::reverse(fewer.begin(), fewer.end());
      std::vector<Endpoint> asked = HoldersOf(key, fewer, 3);
      size_t common = 0;
      for (const Endpoint& e : stored)
        common += std::count(asked.begin(), asked.end(), e);
      CHECK_TRUE(common >= 2);
    }
  }
}

// Load pattern: every stream of a large fleet is recorded at three processes.
// Guards against a few processes that hold the records of all.
TEST(stream_origin_table, RecordsSpreadEvenlyOverALargeFleet) {
  constexpr int kPeers = 360;
  constexpr int kStreams = 36'000;
  std::vector<Endpoint> peers = Peers(kPeers);
  std::map<std::string, int> held;
  for (int i = 0; i < kStreams; ++i) {
    for (const Endpoint& e : HoldersOf(KeyOfStream(absl::StrCat(i)), peers, 3))
      ++held[e.ToString()];
  }
  int mean = kStreams * 3 / kPeers;
  LONGS_EQUAL(kPeers, held.size());
  for (const auto& [peer, n] : held) CHECK_TRUE(n < mean * 3 / 2);
}
