// Placement decisions on the load patterns they are meant for.
#include "placement.h"

#include <map>
#include <random>

#include "CppUTest/TestHarness.h"
#include "absl/strings/str_cat.h"

using namespace medlarwalk;

namespace {

std::vector<UpstreamBoard> Engines(int n) {
  std::vector<UpstreamBoard> boards;
  for (int i = 0; i < n; ++i) {
    UpstreamBoard b;
    b.info.id = absl::StrCat("i-", i);
    b.info.service = "engine";
    b.info.slots = 64;
    boards.push_back(b);
  }
  RankUpstreams(absl::MakeSpan(boards));
  return boards;
}

const TimePoint kNow = TimePoint(std::chrono::hours(1));
const PlacementPolicy kPolicy;

PlacementAsk Ask(WorkShape shape, uint64_t affinity = 0) {
  PlacementAsk a;
  a.service = "engine";
  a.shape = shape;
  a.affinity = affinity;
  a.shared_tokens = affinity ? 5000 : 0;
  a.decode_engines = 3;
  return a;
}

}  // namespace

TEST_GROUP(placement){};

// Symptom: long generations pause past their limit. Load pattern: long
// prompts and long generations in equal number. Cause: a prompt's reading
// holds up every stream beside it. They are kept on engines of their own, and
// two entries that share nothing choose the same ones.
TEST(placement, LongGenerationsAreKeptFromLongPrompts) {
  std::vector<UpstreamBoard> boards = Engines(12);
  std::mt19937_64 random(1);
  std::uniform_real_distribution<double> draw(0, 1);
  std::map<size_t, int> decode;
  std::map<size_t, int> prefill;
  for (int i = 0; i < 300; ++i) {
    bool d = i % 3 == 0;
    auto at =
        Place(boards, Ask(d ? WorkShape::kDecode : WorkShape::kPrefill, i),
              kNow, draw(random), kPolicy);
    CHECK_TRUE(at.has_value());
    ++(d ? decode : prefill)[*at];
    if (i % 10 < 2) ++boards[*at].in_flight;
  }
  for (const auto& [i, n] : decode) LONGS_EQUAL(0, prefill[i]);
  LONGS_EQUAL(3, decode.size());
}

// The engines kept for long generations are given up when they are full while
// others are idle: no class waits for the sake of the split.
TEST(placement, TheSplitGivesWayUnderLoad) {
  std::vector<UpstreamBoard> boards = Engines(4);
  for (UpstreamBoard& b : boards) {
    if (b.rank < 3) b.in_flight = 60;
  }
  auto at = Place(boards, Ask(WorkShape::kDecode), kNow, 0, kPolicy);
  LONGS_EQUAL(3, boards[*at].rank);
}

// Symptom: prompt parts are read again on many engines. Load pattern: many
// requests about a hundred subjects. Each subject has one home while that is
// not clearly busier than the rest; when it fails, one next home.
TEST(placement, OneHomeForEachSharedPart) {
  std::vector<UpstreamBoard> boards = Engines(12);
  std::mt19937_64 random(2);
  std::uniform_real_distribution<double> draw(0, 1);
  for (uint64_t part = 1; part <= 100; ++part) {
    auto home = Place(boards, Ask(WorkShape::kPrefill, part), kNow, 0, kPolicy);
    for (int i = 0; i < 5; ++i) {
      boards[*home].in_flight = 8;
      auto again = Place(boards, Ask(WorkShape::kPrefill, part), kNow,
                         draw(random), kPolicy);
      LONGS_EQUAL(*home, *again);
    }
    boards[*home].aside_until = kNow + std::chrono::seconds(1);
    auto next = Place(boards, Ask(WorkShape::kPrefill, part), kNow, 0, kPolicy);
    CHECK_TRUE(*next != *home);
    boards[*home].aside_until = {};
    boards[*home].in_flight = 0;
  }
}

// Symptom: parts are read again and again at the worst load, each reading
// making it worse. Load pattern: more long prompts than can be read. A request
// whose homes have their hands full waits for them; it is not sent wherever
// there is room.
TEST(placement, BusyHomesAreWaitedFor) {
  std::vector<UpstreamBoard> boards = Engines(12);
  for (size_t i = 0; i < boards.size(); i += 2) boards[i].reading = 2;
  std::map<size_t, int> placed;
  while (auto at =
             Place(boards, Ask(WorkShape::kPrefill, 7), kNow, 0, kPolicy)) {
    ++boards[*at].reading;
    ++placed[*at];
  }
  CHECK_TRUE(placed.size() <= 2);
}

// Symptom: a class goes unserved while a less urgent one is served. Load
// pattern: short shared parts and long ones at once. A request whose shared
// parts are short goes anywhere rather than wait for their home.
TEST(placement, ShortSharedPartsAreNotWaitedFor) {
  std::vector<UpstreamBoard> boards = Engines(12);
  PlacementAsk ask = Ask(WorkShape::kPrefill, 7);
  ask.shared_tokens = 500;
  std::map<size_t, int> placed;
  while (auto at = Place(boards, ask, kNow, 0, kPolicy)) {
    ++boards[*at].reading;
    ++placed[*at];
  }
  LONGS_EQUAL(12, placed.size());
}

// A part asked for by more callers than its homes can serve spreads while the
// other engines have room.
TEST(placement, AHotPartSpreadsWhileOthersHaveRoom) {
  std::vector<UpstreamBoard> boards = Engines(12);
  std::map<size_t, int> placed;
  while (auto at =
             Place(boards, Ask(WorkShape::kPrefill, 7), kNow, 0, kPolicy)) {
    ++boards[*at].reading;
    ++placed[*at];
  }
  LONGS_EQUAL(4, placed.size());
}

// The number of prompts under way at one engine follows how soon it reads.
TEST(placement, PromptsUnderWayFollowTheFirstEvents) {
  UpstreamBoard u = Engines(1)[0];
  double start = u.reading_limit;
  for (int i = 0; i < 10; ++i) {
    NoteFirstEvent(u, Millis(900), Millis(1000), kPolicy);
  }
  DOUBLES_EQUAL(1, u.reading_limit, 0.001);
  for (int i = 0; i < 100; ++i) {
    NoteFirstEvent(u, Millis(100), Millis(1000), kPolicy);
  }
  CHECK_TRUE(u.reading_limit > start);
  CHECK_TRUE(u.reading_limit <= kPolicy.reading_most);
}

// Leaving, unlisted and silent upstreams get nothing while others can.
TEST(placement, OnlyUsableUpstreamsAreChosen) {
  std::vector<UpstreamBoard> boards = Engines(4);
  boards[0].info.leaving = true;
  boards[1].listed = false;
  boards[2].in_flight = 1;
  boards[2].quiet_since = kNow - std::chrono::seconds(2);
  for (double draw : {0.0, 0.3, 0.6, 0.9}) {
    LONGS_EQUAL(3,
                *Place(boards, Ask(WorkShape::kPrefill), kNow, draw, kPolicy));
  }
  boards[3].full = true;
  LONGS_EQUAL(2, *Place(boards, Ask(WorkShape::kPrefill), kNow, 0, kPolicy));
}

// A failing upstream is put aside for longer each time, and is back at its
// first success.
TEST(placement, FailuresPutAsideForLongerEachTime) {
  UpstreamBoard u = Engines(1)[0];
  NoteFailure(u, kNow, true, kPolicy);
  CHECK_TRUE(Usable(u, kNow, kPolicy));
  NoteFailure(u, kNow, true, kPolicy);
  CHECK_FALSE(Usable(u, kNow, kPolicy));
  Duration first = u.aside_until - kNow;
  NoteFailure(u, kNow, true, kPolicy);
  CHECK_TRUE(u.aside_until - kNow > first);
  NoteSuccess(u, kNow);
  CHECK_TRUE(Usable(u, kNow, kPolicy));
}

// Symptom: long generations pause past their limit although engines are kept
// for them. Load pattern: nine entries share nine engines with twenty long
// generations, about two at each entry. Cause: each entry reckoned the whole
// demand from its own two, so some kept two engines and some three, and the
// third got long prompts from the ones beside generations from the others.
// Judged by what the engines tell of their load, all keep the same.
TEST(placement, EntriesKeepTheSameEngines) {
  std::mt19937_64 random(1);
  std::uniform_int_distribution<int> age_ms(0, 800);
  std::vector<int> kept(9, 2);
  for (int round = 0; round < 50; ++round) {
    for (int entry = 0; entry < 9; ++entry) {
      std::vector<UpstreamBoard> boards = Engines(9);
      for (UpstreamBoard& b : boards) {
        if (b.rank >= 2) continue;
        b.in_flight = b.reported_in_flight =
            std::binomial_distribution<int>(10, 1.0 / 9)(random);
        b.reported = 10;
        b.reported_at = kNow - Millis(age_ms(random));
      }
      DecodeDemand d;
      d.in_flight = DecodeLoad(boards, "engine", 2, kNow, kPolicy);
      kept[entry] = DecodeEngines(d, kept[entry], 64, 9, kPolicy);
      LONGS_EQUAL(2, kept[entry]);
    }
  }
}

// Symptom: as above, at engines that read slowly for their pause limit. Load
// pattern: prompts of long generations come in clumps of three; two clumps
// together hold an engine up for longer than a pause may last. Cause: the
// engines kept were enough by their number of requests, not by the pauses
// seen. A third of the engines is kept while pauses come near their limit.
TEST(placement, PausesNearTheirLimitKeepMoreEngines) {
  DecodeDemand d;
  d.in_flight = 20;
  NotePause(0.5, kNow, kPolicy, &d);
  LONGS_EQUAL(2, DecodeEngines(d, 2, 64, 9, kPolicy));
  NotePause(0.95, kNow, kPolicy, &d);
  LONGS_EQUAL(3, DecodeEngines(d, 2, 64, 9, kPolicy));
  // Not for one calm moment, but after some calm seconds, they go back.
  NotePause(0.2, kNow + std::chrono::seconds(1), kPolicy, &d);
  LONGS_EQUAL(3, DecodeEngines(d, 3, 64, 9, kPolicy));
  NotePause(0.2, kNow + std::chrono::seconds(9), kPolicy, &d);
  LONGS_EQUAL(2, DecodeEngines(d, 3, 64, 9, kPolicy));
}

// Symptom: an engine preempts requests while less urgent ones run on. Load
// pattern: ten of 40 engines are lost in a burst of long generations; twelve of
// each of 24 entries go elsewhere within half a second, before any report.
// Cause: every entry chose among the same few engines kept for them, by what it
// had sent there itself, and one of 64 places got 77.
TEST(placement, LostEnginesDoNotOverfillTheOthers) {
  constexpr int kEntries = 24;
  constexpr int kSlots = 64;
  std::vector<int> at(30);
  std::mt19937_64 random(3);
  std::uniform_real_distribution<double> draw(0, 1);
  int most = MostOwnBesideGenerations(kSlots, kEntries, kPolicy);
  for (int entry = 0; entry < kEntries; ++entry) {
    std::vector<UpstreamBoard> boards = Engines(30);
    for (UpstreamBoard& b : boards) b.info.slots = kSlots;
    PlacementAsk ask;
    ask.service = "engine";
    ask.shape = WorkShape::kDecode;
    ask.decode_engines = 4;
    for (int i = 0; i < 12; ++i) {
      for (UpstreamBoard& b : boards) b.full = b.in_flight >= most;
      std::optional<size_t> to =
          Place(boards, ask, kNow, draw(random), kPolicy);
      CHECK_TRUE(to.has_value());
      ++boards[*to].in_flight;
      ++at[*to];
    }
  }
  CHECK_TRUE(*std::max_element(at.begin(), at.end()) <= kSlots);
}

// Symptom: the most urgent generations are turned away at some entries while
// others leave their part of the engines unused. Load pattern: eight times the
// traffic, a fifth more of it at some entries. An engine that has just told of
// room gets more than the entry's part, one that is nearly full or has told
// nothing lately does not, and none gets more than two parts.
TEST(placement, AnEngineThatTellsOfRoomGetsMoreGenerations) {
  constexpr int kEntries = 24;
  constexpr int kSlots = 64;
  int part = MostOwnBesideGenerations(kSlots, kEntries, kPolicy);
  UpstreamBoard u = Engines(1)[0];
  u.in_flight = part;
  CHECK_FALSE(TakesGeneration(u, kSlots, kEntries, kNow, kPolicy));
  NoteReport(u, 20, 0, kNow - Millis(100));
  CHECK_TRUE(TakesGeneration(u, kSlots, kEntries, kNow, kPolicy));
  CHECK_FALSE(TakesGeneration(u, kSlots, kEntries,
                              kNow + std::chrono::seconds(1), kPolicy));
  NoteReport(u, 60, 0, kNow - Millis(100));
  CHECK_FALSE(TakesGeneration(u, kSlots, kEntries, kNow, kPolicy));
  NoteReport(u, 20, 0, kNow - Millis(100));
  while (TakesGeneration(u, kSlots, kEntries, kNow, kPolicy)) ++u.in_flight;
  CHECK_TRUE(u.in_flight <= 2 * kSlots / kEntries + 1);
}

// Symptom: new work keeps reaching an engine that is being taken out or whose
// agent does not answer. Cause: placement ignores what is known of it.
TEST(placement, LeavingOrUnreachableUpstreamsGetNoWork) {
  std::vector<UpstreamBoard> boards = Engines(3);
  boards[0].info.leaving = true;
  boards[1].reachable = false;
  for (int i = 0; i < 200; ++i) {
    CHECK_EQUAL(2u, *Place(boards, Ask(WorkShape::kPlain, i), kNow, i / 200.0,
                           kPolicy));
  }
  boards[2].info.leaving = true;
  CHECK_FALSE(
      Place(boards, Ask(WorkShape::kPlain), kNow, 0, kPolicy).has_value());
}

// Symptom: one engine swamped while its report still says idle. Sequence: a
// burst lands within one report's lag. Cause: trusting the report; what this
// process has sent is exact and wins.
TEST(placement, OwnRequestsCorrectALaggingReport) {
  std::vector<UpstreamBoard> boards = Engines(3);
  for (UpstreamBoard& b : boards) b.reported_at = kNow - Millis(100);
  boards[0].in_flight = 9;  // Its report still says 0.
  boards[1].reported = 2;
  boards[2].reported = 2;
  for (int i = 0; i < 100; ++i) {
    CHECK(*Place(boards, Ask(WorkShape::kPlain), kNow, i / 100.0, kPolicy) !=
          0u);
  }
}

// Symptom: one slow engine drags down every class's pauses. Sequence: it
// straggles; its events come further apart. Cause: no detection. It is marked
// and avoided while others can serve.
TEST(placement, AStragglerIsMarkedAndAvoided) {
  PlacementPolicy policy;
  policy.straggler_factor = 2;
  std::vector<UpstreamBoard> boards = Engines(3);
  for (int i = 0; i < 20; ++i) {
    NoteEventGap(boards[0], Millis(10));
    NoteEventGap(boards[1], Millis(11));
    NoteEventGap(boards[2], Millis(80));
  }
  MarkStragglers(absl::MakeSpan(boards), policy);
  CHECK_TRUE(boards[2].straggler);
  CHECK_FALSE(boards[0].straggler);
  for (int i = 0; i < 100; ++i) {
    CHECK(*Place(boards, Ask(WorkShape::kPlain), kNow, i / 100.0, policy) !=
          2u);
  }
  boards[0].info.leaving = boards[1].info.leaving = true;
  CHECK_EQUAL(2u, *Place(boards, Ask(WorkShape::kPlain), kNow, 0, policy));
}

TEST(placement, FullUpstreamsAreSkipped) {
  std::vector<UpstreamBoard> boards = Engines(3);
  boards[0].in_flight = boards[1].in_flight = 64;
  PlacementAsk ask = Ask(WorkShape::kPlain);
  CHECK_EQUAL(2u, *Place(boards, ask, kNow, 0.1, kPolicy));
  ask.service = "another";
  CHECK_FALSE(Place(boards, ask, kNow, 0.1, kPolicy).has_value());
}

// Symptom: a request sent again with its key runs a second time. Sequence: the
// upstream that ran it is busy when it comes again. Cause: it went to another
// one, which knows nothing of the key. It waits for its own instead.
TEST(placement, APinnedRequestGoesNowhereElse) {
  std::vector<UpstreamBoard> boards = Engines(3);
  PlacementAsk ask = Ask(WorkShape::kPlain);
  ask.pinned = 77;
  size_t home = *Place(boards, ask, kNow, 0.3, kPolicy);
  for (int i = 0; i < 50; ++i) {
    CHECK_EQUAL(home, *Place(boards, ask, kNow, i / 50.0, kPolicy));
  }
  boards[home].in_flight = 64;
  CHECK_FALSE(Place(boards, ask, kNow, 0.3, kPolicy).has_value());
  boards[home].in_flight = 0;
  boards[home].reachable = false;
  CHECK_FALSE(Place(boards, ask, kNow, 0.3, kPolicy).has_value());
}

// Symptom: shared parts are read again on an engine though its neighbour holds
// them. Load pattern: many entries, each of which has seen few requests for a
// subject; a busy first home sends one to the second. Cause: the source to copy
// from was guessed by the prompt's first part, by which nothing is placed. It
// is the other home of the subject, and never the engine itself.
TEST(placement, TheOtherHomeIsWhereToCopyFrom) {
  std::vector<UpstreamBoard> boards = Engines(12);
  for (uint64_t subject = 1; subject <= 50; ++subject) {
    PlacementAsk ask = Ask(WorkShape::kPrefill, subject);
    size_t first = *Place(boards, ask, kNow, 0.5, kPolicy);
    boards[first].reading = 100;  // Has its hands full.
    size_t second = *Place(boards, ask, kNow, 0.5, kPolicy);
    boards[first].reading = 0;
    CHECK(first != second);
    CHECK_EQUAL(first, *FirstHome(boards, "engine", subject, 3,
                                  boards[second].info.id, kNow, kPolicy));
    CHECK_EQUAL(second, *FirstHome(boards, "engine", subject, 3,
                                   boards[first].info.id, kNow, kPolicy));
  }
}

// Symptom: while an engine is replaced, long prompts and long generations mix
// on all engines. Sequence: the engine listed last begins to leave. Cause: the
// number of engines was read from the board looked at last, and a leaving one
// stands in no order: 0. It is how many stay.
TEST(placement, ALeavingEngineLeavesTheOthersInOrder) {
  std::vector<UpstreamBoard> boards = Engines(9);
  LONGS_EQUAL(9, RankedUpstreams(boards, "engine"));
  boards.back().info.leaving = true;
  RankUpstreams(absl::MakeSpan(boards));
  LONGS_EQUAL(8, RankedUpstreams(boards, "engine"));
  LONGS_EQUAL(0, RankedUpstreams(boards, "another"));
}

// Symptom: a fifth of the long generations is late by its pauses at the worst
// load, while those beside them are in time. Load pattern: a third of the
// engines makes each token 1.3 times as slowly; a prompt that is read beside a
// generation holds it up for 137 ms at a quick one and for 180 at a slow one,
// of 150 that it may pause. Cause: engines were taken for alike.
TEST(placement, LongGenerationsGoToTheQuickEngines) {
  std::vector<UpstreamBoard> boards = Engines(12);
  for (size_t i = 0; i < boards.size(); ++i) {
    for (int k = 0; k < 10; ++k) NotePace(boards[i], Millis(i % 3 ? 30 : 39));
  }
  MarkSlow(absl::MakeSpan(boards), kPolicy);
  PlacementAsk ask = Ask(WorkShape::kDecode);
  ask.decode_engines = 6;
  std::mt19937_64 random(5);
  std::uniform_real_distribution<double> draw(0, 1);
  int quick = 0;
  for (const UpstreamBoard& b : boards) quick += !b.slow && b.rank < 6;
  CHECK_TRUE(quick > 0 && quick < 6);
  // Until the quick ones have a quarter of their slots more than the others.
  for (int i = 0; i < 16 * quick; ++i) {
    size_t at = *Place(boards, ask, kNow, draw(random), kPolicy);
    CHECK_FALSE(boards[at].slow);
    ++boards[at].in_flight;
  }
  // Then the slow ones take their part as well: nobody is turned away for them.
  bool slow_taken = false;
  for (int i = 0; i < 64; ++i) {
    size_t at = *Place(boards, ask, kNow, draw(random), kPolicy);
    slow_taken = slow_taken || boards[at].slow;
    ++boards[at].in_flight;
  }
  CHECK_TRUE(slow_taken);
}

// Guards against engines taken for slow that are not: a few whose pace is
// known, all of them busy, or one whose events were held up on their way and
// came at once.
TEST(placement, BusyOrHeldUpEnginesAreNotSlow) {
  std::vector<UpstreamBoard> boards = Engines(12);
  NotePace(boards[0], Millis(30));
  NotePace(boards[1], Millis(60));
  MarkSlow(absl::MakeSpan(boards), kPolicy);
  CHECK_FALSE(boards[1].slow);
  for (UpstreamBoard& b : boards) b.pace_s = 0.030;
  // An entry that was frozen gets all that waits for it together.
  for (int i = 0; i < 6; ++i)
    NotePace(boards[static_cast<size_t>(i)], Millis(1));
  MarkSlow(absl::MakeSpan(boards), kPolicy);
  for (const UpstreamBoard& b : boards) CHECK_FALSE(b.slow);
  for (UpstreamBoard& b : boards) {
    for (int i = 0; i < 40; ++i) NotePace(b, Millis(75));
  }
  MarkSlow(absl::MakeSpan(boards), kPolicy);
  for (const UpstreamBoard& b : boards) CHECK_FALSE(b.slow);
}
