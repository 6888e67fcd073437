// Tests of placement where the work of all processes is known. Each test states
// the load pattern that it covers.
#include <algorithm>
#include <random>

#include "CppUTest/TestHarness.h"
#include "absl/strings/str_cat.h"
#include "placement.h"

using namespace medlarwalk;

namespace {

constexpr int kSlots = 96;
const TimePoint kNow = TimePoint(std::chrono::hours(1));
const PlacementPolicy kPolicy;
constexpr Urgency kMostUrgent{0, 0};

std::vector<UpstreamState> Engines(int n) {
  std::vector<UpstreamState> engines(static_cast<size_t>(n));
  for (int i = 0; i < n; ++i) {
    UpstreamState& u = engines[static_cast<size_t>(i)];
    u.info.id = absl::StrCat("i-", i);
    u.info.service = "engine";
    u.info.slots = kSlots;
    u.others_known = true;
  }
  RankUpstreams(absl::MakeSpan(engines));
  return engines;
}

}  // namespace

TEST_GROUP(shared_placement){};

// Guards against a jump in long generations that fills one engine: entries with
// the same reports all find the same engine least loaded until the next ones.
TEST(shared_placement, AJumpSpreadsOverTheEngines) {
  constexpr int kEntries = 27;
  constexpr int kEngines = 9;
  constexpr int kGenerations = 400;
  std::vector<UpstreamState> seen = Engines(kEngines);
  std::vector<std::vector<UpstreamState>> entries(kEntries, seen);
  std::vector<int> sent(kEngines);
  std::mt19937_64 random(1);
  std::uniform_real_distribution<double> draw(0, 1);
  PlacementRequest request;
  request.service = "engine";
  request.shape = WorkShape::kDecode;
  request.decode_engines = kEngines;
  request.drawn_engines = 2;
  for (int i = 0; i < kGenerations; ++i) {
    std::vector<UpstreamState>& own =
        entries[static_cast<size_t>(i) % kEntries];
    auto at = ChooseUpstream(own, request, kNow, draw(random), kPolicy);
    CHECK_TRUE(at.has_value());
    ++own[*at].in_flight;
    ++sent[*at];
  }
  // No engine gets more than it has slots, though none has reported anything.
  CHECK(*std::max_element(sent.begin(), sent.end()) <= kSlots);
}

// Guards against engines that are filled beyond their slots after a loss of
// others, and against entries that reject generations because their own part is
// used up while the engine has room.
TEST(shared_placement, TheWorkOfAllDecidesWhetherAnEngineTakesAGeneration) {
  constexpr int kEntries = 27;
  UpstreamState u = Engines(1)[0];
  u.others_work.generating = kSlots;
  CHECK_FALSE(
      AcceptsGeneration(u, kMostUrgent, kSlots, kEntries, kNow, kPolicy));
  u.others_work.generating = 10;
  u.in_flight = 2 * kSlots / kEntries + 1;
  CHECK_TRUE(
      AcceptsGeneration(u, kMostUrgent, kSlots, kEntries, kNow, kPolicy));
  u.others_known = false;
  CHECK_FALSE(
      AcceptsGeneration(u, kMostUrgent, kSlots, kEntries, kNow, kPolicy));
}

// Guards against an old load report that hides what the others have sent since.
TEST(shared_placement, ReportedWorkGoesBeforeALoadReport) {
  UpstreamState u = Engines(1)[0];
  RecordLoadReport(u, 1, 0, kNow);
  u.in_flight = 2;
  u.others_work.awaiting_first_event = 3;
  u.others_work.generating = 40;
  DOUBLES_EQUAL(45, EstimatedLoad(u, kNow, kPolicy), 1e-9);
}

// Guards against urgent requests that are refused while less urgent ones of
// other entries fill the engines. Streams of untold level keep their place.
TEST(shared_placement, LessUrgentWorkOfOthersKeepsNoUrgentRequestOut) {
  constexpr int kEntries = 27;
  constexpr Urgency kLess{2, 2};
  UpstreamState u = Engines(1)[0];
  u.others_work.generating = kSlots;
  auto accepts = [&](const Urgency& urgency) {
    return AcceptsGeneration(u, urgency, kSlots, kEntries, kNow, kPolicy);
  };
  CHECK_FALSE(accepts(kMostUrgent));
  u.others_work.streams[2] = kSlots;
  CHECK_TRUE(accepts(kMostUrgent));
  CHECK_FALSE(accepts(kLess));
  u.others_known = false;
  u.in_flight = kSlots;
  CHECK_FALSE(accepts(kMostUrgent));
}
