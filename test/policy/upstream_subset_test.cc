// Tests of deterministic subsetting and of its use in placement. Each test
// states the load pattern that it covers.
#include "upstream_subset.h"

#include <algorithm>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "absl/strings/str_cat.h"
#include "placement.h"

using namespace medlarwalk;

namespace {

const TimePoint kNow = TimePoint(std::chrono::hours(1));
const SubsetPolicy kPolicy;

int Size(double per_s, int processes, int upstreams) {
  return SubsetSize({per_s, std::chrono::seconds(9), processes, upstreams},
                    kPolicy);
}

// Returns the number of positions in `a` that are not in `b`.
int CountMoved(const UpstreamSubset& a, const UpstreamSubset& b) {
  int n = 0;
  for (int p = 0; p < a.count; ++p) n += a.Contains(p) && !b.Contains(p);
  return n;
}

std::vector<UpstreamState> PlainUpstreams(int n) {
  std::vector<UpstreamState> upstreams(n);
  for (int i = 0; i < n; ++i) {
    upstreams[i].info.id = absl::StrCat("s-", i);
    upstreams[i].info.service = "desk";
    upstreams[i].info.slots = 6;
  }
  RankUpstreams(absl::MakeSpan(upstreams));
  return upstreams;
}

}  // namespace

TEST_GROUP(upstream_subset){};

// Guards against upstreams that are in the subsets of many more entries than
// others, at any number of entries and upstreams.
TEST(upstream_subset, EachUpstreamHasItsShareOfEntries) {
  for (int entries : {1, 2, 3, 7, 24, 30, 100, 362, 1000}) {
    for (int upstreams : {1, 2, 5, 6, 24, 106, 636, 3000}) {
      int size = Size(0.5, entries, upstreams);
      std::vector<int> covered(upstreams);
      for (int e = 0; e < entries; ++e) {
        UpstreamSubset s =
            ComputeSubset(ProcessIndex{entries, e}, 0, upstreams, size);
        for (int p = 0; p < upstreams; ++p) covered[p] += s.Contains(p);
      }
      auto [least, most] = std::minmax_element(covered.begin(), covered.end());
      CHECK_TRUE(*least >= std::min(entries, 2));
      CHECK_TRUE(*most <= *least + 2);
    }
  }
}

// Guards against an uneven load of upstreams while there is little work: each
// entry then sends all of it to the upstream that its order begins with.
TEST(upstream_subset, EachUpstreamIsHomeToItsShareOfEntries) {
  for (int entries : {3, 24, 100, 362, 1000}) {
    for (int upstreams : {6, 24, 106, 636}) {
      int size = Size(0.5, entries, upstreams);
      std::vector<int> homes(upstreams);
      for (int e = 0; e < entries; ++e) {
        UpstreamSubset s =
            ComputeSubset(ProcessIndex{entries, e}, 0, upstreams, size);
        for (int p = 0; p < upstreams; ++p) homes[p] += s.Distance(p) == 0;
      }
      auto [least, most] = std::minmax_element(homes.begin(), homes.end());
      CHECK_TRUE(*least >= 1);
      CHECK_TRUE(*most <= *least + 1);
    }
  }
}

// Guards against connections that are all closed and opened anew when one entry
// or upstream joins or leaves.
TEST(upstream_subset, OneEntryOrUpstreamMoreMovesFewPairs) {
  for (int entries : {3, 30, 362, 1000}) {
    for (int upstreams : {6, 24, 106, 636, 3000}) {
      int size = Size(0.5, entries, upstreams);
      int most = upstreams / entries + 1;
      int moved_by_upstream = 0;
      for (int e = 0; e < entries; ++e) {
        UpstreamSubset s =
            ComputeSubset(ProcessIndex{entries, e}, 0, upstreams, size);
        auto with = [&](int count, int index, int n) {
          return ComputeSubset(ProcessIndex{count, index}, 0, n, size);
        };
        CHECK_TRUE(CountMoved(s, with(entries + 1, e, upstreams)) <= most);
        CHECK_TRUE(CountMoved(s, with(entries + 1, e + 1, upstreams)) <= most);
        int moved = CountMoved(s, with(entries, e, upstreams + 1));
        CHECK_TRUE(moved <= 1);
        moved_by_upstream += moved;
      }
      CHECK_TRUE(moved_by_upstream <= entries * 2 / 3 + 1);
    }
  }
}

// Guards against a subset at an entry that does not know which one of the
// entries it is: all such entries would use the same upstreams.
TEST(upstream_subset, AnUnknownIndexMeansAllUpstreams) {
  for (auto process :
       {std::optional<ProcessIndex>(), std::optional<ProcessIndex>({8, -1}),
        std::optional<ProcessIndex>({8, 8}),
        std::optional<ProcessIndex>({0, 0})}) {
    UpstreamSubset s = ComputeSubset(process, 0, 100, 4);
    for (int p = 0; p < 100; ++p) CHECK_TRUE(s.Contains(p));
  }
  CHECK_TRUE(UpstreamSubset{}.Contains(5));
}

// Guards against a small fleet that is cut into subsets although each entry
// keeps a connection to every upstream open, and against subsets that leave too
// little choice or upstreams without entries.
TEST(upstream_subset, SizeFollowsRateAndFleet) {
  LONGS_EQUAL(24, Size(10, 8, 24));    // 90 requests in an idle time.
  LONGS_EQUAL(4, Size(0.5, 362, 24));  // 5 requests in an idle time.
  LONGS_EQUAL(6, Size(2, 362, 636));
  LONGS_EQUAL(150, Size(50, 362, 636));
  LONGS_EQUAL(30, Size(0.1, 10, 100));  // Three entries for each upstream.
  LONGS_EQUAL(100, SubsetSize({1, Duration::zero(), 300, 100}, kPolicy));
  LONGS_EQUAL(0, Size(1, 10, 0));
}

// Guards against a rate that a burst leaves behind.
TEST(upstream_subset, RateFollowsArrivals) {
  EventRate rate;
  for (int i = 0; i < 400; ++i) rate.Record(kNow + Millis(100) * i);
  DOUBLES_EQUAL(10, rate.PerSecond(kNow + Millis(40000)), 0.5);
  CHECK_TRUE(rate.PerSecond(kNow + std::chrono::seconds(90)) < 0.1);
}

// Guards against a new connection for each request of an entry with few
// requests, and against requests that wait for the subset's upstreams while
// others are idle.
TEST(upstream_subset, PlacementUsesOpenLinksOfTheSubsetFirst) {
  std::vector<UpstreamState> upstreams = PlainUpstreams(24);
  PlacementRequest request;
  request.service = "desk";
  request.max_load = 2;
  request.subset = ComputeSubset(ProcessIndex{100, 50}, 0, 24, 4);
  auto choose = [&](double draw) -> UpstreamState& {
    return upstreams[*ChooseUpstream(upstreams, request, kNow, draw, {})];
  };
  for (double draw = 0; draw < 1; draw += 0.05) {
    CHECK_TRUE(request.subset.Contains(choose(draw).rank));
  }
  UpstreamState& known = choose(0.3);
  known.idle_links = 1;
  for (double draw = 0; draw < 1; draw += 0.05) {
    POINTERS_EQUAL(&known, &choose(draw));
  }
  // The home is used again after its connection was closed.
  for (UpstreamState& u : upstreams) u.idle_links = &u != &known;
  POINTERS_EQUAL(&known, &choose(0.5));
  for (UpstreamState& u : upstreams) {
    if (request.subset.Contains(u.rank)) u.in_flight = 3;
  }
  CHECK_FALSE(request.subset.Contains(choose(0.5).rank));
  for (UpstreamState& u : upstreams) {
    u.in_flight = 0;
    u.reachable = !request.subset.Contains(u.rank);
  }
  CHECK_FALSE(request.subset.Contains(choose(0.5).rank));
}

// Guards against an upstream that gets nothing more in a small fleet, because
// its connection was closed while it was limited or unusable.
TEST(upstream_subset, AllUpstreamsAreEqualInAWholeSubset) {
  std::vector<UpstreamState> upstreams = PlainUpstreams(4);
  upstreams[0].idle_links = upstreams[1].idle_links = 1;
  PlacementRequest request;
  request.service = "desk";
  request.max_load = 2;
  request.subset = ComputeSubset(ProcessIndex{3, 1}, 0, 4, 4);
  std::vector<int> chosen(4);
  for (double draw = 0; draw < 1; draw += 0.05)
    ++chosen[*ChooseUpstream(upstreams, request, kNow, draw, {})];
  for (int n : chosen) CHECK_TRUE(n >= 4);
}

// Guards against a shared prompt part that each entry sends to an engine of its
// own subset: every engine would read it again.
TEST(upstream_subset, APromptPrefixKeepsItsEngineInEverySubset) {
  std::vector<UpstreamState> upstreams = PlainUpstreams(100);
  PlacementRequest request;
  request.service = "desk";
  request.shape = WorkShape::kPrefill;
  request.affinity = 77;
  request.shared_tokens = 500;
  std::optional<size_t> first = ChooseUpstream(upstreams, request, kNow, 0, {});
  for (int e = 0; e < 50; ++e) {
    request.subset = ComputeSubset(ProcessIndex{50, e}, 0, 100, 6);
    upstreams[(e * 7) % 100].idle_links = 1;
    CHECK_TRUE(first == ChooseUpstream(upstreams, request, kNow, 0.5, {}));
  }
}
