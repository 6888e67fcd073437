#include "router.h"

#include <vector>

#include "CppUTest/TestHarness.h"

using namespace medlarwalk;

namespace {

std::vector<UpstreamState> Three() {
  std::vector<UpstreamState> v(3);
  for (int i = 0; i < 3; ++i) {
    v[i].name = "u" + std::to_string(i);
    v[i].models = {"m"};
    v[i].max_in_flight = 10;
  }
  return v;
}

}  // namespace

TEST_GROUP(router) { RouterPolicy policy; };

// Symptom: new work keeps reaching an engine that is being taken out.
// Sequence: membership marks it leaving. Cause: router ignores the flag.
TEST(router, LeavingOrUnhealthyUpstreamGetsNoWork) {
  auto v = Three();
  v[0].leaving = true;
  v[1].healthy = false;
  for (uint64_t key = 0; key < 200; ++key) {
    CHECK_EQUAL(2u, *ChooseUpstream(v, "m", key, policy));
  }
  v[2].leaving = true;
  CHECK_FALSE(ChooseUpstream(v, "m", 1, policy).has_value());
}

// Symptom: one engine swamped while its report still says idle.
// Sequence: a burst lands within one report lag. Cause: trusting the lagging
// report; the entry's own in-flight count is exact and wins.
TEST(router, OwnInFlightCountCorrectsLaggingReport) {
  auto v = Three();
  v[0].in_flight = 9;  // Report still says 0: it lags.
  v[1].reported_load = 2;
  v[2].reported_load = 2;
  for (uint64_t key = 0; key < 100; ++key) {
    CHECK(*ChooseUpstream(v, "m", key, policy) != 0u);
  }
}

TEST(router, PrefixStaysHomeWhileLoadIsClose) {
  auto v = Three();
  size_t home = *ChooseUpstream(v, "m", 42, policy);
  v[home].in_flight = 1;
  CHECK_EQUAL(home, *ChooseUpstream(v, "m", 42, policy));
  v[home].in_flight = 6;  // Much busier than the others: go elsewhere.
  CHECK(*ChooseUpstream(v, "m", 42, policy) != home);
}

// Symptom: one slow engine drags down every class's between-token time.
// Sequence: it straggles; its gaps grow. Cause: no detection. It is marked
// and avoided while others can serve.
TEST(router, StragglerIsMarkedAndAvoided) {
  auto v = Three();
  for (int i = 0; i < 20; ++i) {
    NoteTokenGap(v[0], 0.010);
    NoteTokenGap(v[1], 0.011);
    NoteTokenGap(v[2], 0.080);
  }
  MarkStragglers(absl::MakeSpan(v), policy);
  CHECK_TRUE(v[2].straggler);
  CHECK_FALSE(v[0].straggler);
  for (uint64_t key = 0; key < 100; ++key) {
    CHECK(*ChooseUpstream(v, "m", key, policy) != 2u);
  }
  v[0].leaving = v[1].leaving = true;  // Only the straggler left: use it.
  CHECK_EQUAL(2u, *ChooseUpstream(v, "m", 1, policy));
}

TEST(router, FullUpstreamIsSkipped) {
  auto v = Three();
  v[0].in_flight = v[1].in_flight = 10;
  CHECK_EQUAL(2u, *ChooseUpstream(v, "m", 7, policy));
  CHECK_FALSE(ChooseUpstream(v, "other-model", 7, policy).has_value());
}
