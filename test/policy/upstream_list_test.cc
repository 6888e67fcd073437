// Tests of the upstream list and of its distribution by differences, compared
// with sending the full list.
#include "upstream_list.h"

#include <algorithm>
#include <deque>
#include <random>

#include "CppUTest/TestHarness.h"
#include "absl/strings/str_cat.h"
#include "control_wire.h"

using namespace medlarwalk;

namespace {

UpstreamInfo Upstream(int n, int port = 80) {
  UpstreamInfo u;
  u.id = absl::StrCat("u-", n);
  u.service = absl::StrCat("s", n % 3);
  u.address = Endpoint{absl::StrCat("10.0.0.", n), port};
  u.data_centre = absl::StrCat("dc-", n % 4);
  u.slots = 48;
  return u;
}

std::vector<UpstreamInfo> Upstreams(int from, int to) {
  std::vector<UpstreamInfo> out;
  for (int i = from; i < to; ++i) out.push_back(Upstream(i));
  return out;
}

std::string ListText(const std::vector<UpstreamInfo>& list) {
  std::string out;
  for (const UpstreamInfo& u : list) {
    absl::StrAppend(&out, u.id, " ", u.started_unix_ms, " ", u.service, " ",
                    u.address.ToString(), " ", u.data_centre, " ", u.draining,
                    " ", u.slots, " ", u.build, "\n");
  }
  return out;
}

// Simulates a fleet whose upstreams are added, removed, drained and restarted.
class Fleet {
 public:
  explicit Fleet(uint32_t seed) : random_(seed) {
    for (int i = 0; i < 40; ++i) Add();
  }
  const std::vector<UpstreamInfo>& Step() {
    for (uint32_t n = random_() % 6; n > 0; --n) {
      size_t at = random_() % now_.size();
      switch (random_() % 4) {
        case 0:
          Add();
          break;
        case 1:
          if (now_.size() > 20) now_.erase(now_.begin() + at);
          break;
        case 2:
          now_[at].draining = !now_[at].draining;
          break;
        default:
          ++now_[at].address.port;
          now_[at].started_unix_ms += 1000;
          now_[at].build = absl::StrCat("v", random_() % 3);
      }
    }
    std::shuffle(now_.begin(), now_.end(), random_);
    return now_;
  }
  std::mt19937& random() { return random_; }

 private:
  void Add() { now_.push_back(Upstream(next_++)); }
  std::mt19937 random_;
  int next_ = 0;
  std::vector<UpstreamInfo> now_;
};

ListHistory History(size_t most = 64) { return {most, EncodeListChange}; }

}  // namespace

TEST_GROUP(upstream_list){};

// Two processes with the same upstreams have the same version, whatever the
// order of updates; any difference changes the version.
TEST(upstream_list, VersionDependsOnContentsOnly) {
  UpstreamList a;
  UpstreamList b;
  CHECK_EQUAL(0, a.version());
  a.Replace(Upstreams(0, 9));
  std::vector<UpstreamInfo> reversed = Upstreams(0, 9);
  std::reverse(reversed.begin(), reversed.end());
  b.Replace(Upstreams(3, 30));
  b.Replace(reversed);
  CHECK_EQUAL(a.version(), b.version());
  std::vector<UpstreamInfo> others[8];
  for (auto& o : others) o = Upstreams(0, 9);
  others[0][4].draining = true;
  others[1][4].service = "s";
  others[2][4].address.port = 81;
  others[3][4].data_centre = "";
  others[4][4].slots = 1;
  others[5][4].started_unix_ms = 1;
  others[6].pop_back();
  others[7][4].build = "v2";
  for (const auto& o : others) {
    b.Replace(o);
    CHECK_TRUE(a.version() != b.version());
  }
}

// An empty list that was received has another version than no list.
TEST(upstream_list, EmptyListHasAVersion) {
  UpstreamList a;
  a.Replace({});
  CHECK_TRUE(a.version() != 0);
}

// Guards against followers that hold a list that never existed. Two followers
// receive differences through the codec, of which some are lost, duplicated or
// reordered, and request updates from either of two sources, one of which
// misses updates for a while. Each follower must always hold a list that
// existed, and finally the newest list.
TEST(upstream_list, DifferencesYieldTheSameListAsFullUpdates) {
  int applied_differences = 0;
  for (uint32_t seed = 1; seed <= 50; ++seed) {
    Fleet fleet(seed);
    std::mt19937& random = fleet.random();
    ListHistory source[2] = {History(), History()};
    UpstreamList follower[2];
    std::deque<Document> in_transit[2];
    std::string newest;
    auto deliver = [&](int f, const Document& d) {
      absl::StatusOr<ListChange> c = DecodeListChange(*d);
      CHECK_TRUE(c.ok());
      if (follower[f].Apply(*c) && c->from != 0) ++applied_differences;
    };
    for (int step = 0; step < 60; ++step) {
      const std::vector<UpstreamInfo>& now = fleet.Step();
      UpstreamList whole;
      whole.Replace(now);
      newest = ListText(whole.All());
      source[0].Replace(now);
      bool disconnected = step > 20 && step < 40;
      if (!disconnected) source[1].Replace(now);
      for (int f = 0; f < 2; ++f) {
        ListHistory& s = source[random() % 2];
        if (follower[f].version() != s.version()) {
          in_transit[f].push_back(s.EncodedChangeSince(follower[f].version()));
        }
        while (!in_transit[f].empty() && random() % 3 != 0) {
          size_t at = random() % in_transit[f].size();
          Document d = in_transit[f][at];
          if (random() % 5 != 0) deliver(f, d);
          if (random() % 5 != 0) {
            in_transit[f].erase(in_transit[f].begin() + at);
          }
        }
      }
    }
    for (int f = 0; f < 2; ++f) {
      // No messages are lost from here on: a single answer must bring the
      // follower to the newest list.
      if (follower[f].version() != source[0].version()) {
        deliver(f, source[0].EncodedChangeSince(follower[f].version()));
      }
      STRCMP_EQUAL(newest.c_str(), ListText(follower[f].All()).c_str());
      CHECK_EQUAL(source[0].version(), follower[f].version());
    }
  }
  CHECK_TRUE(applied_differences > 500);
}

// A damaged difference, or one from another base list, is rejected and leaves
// the list unchanged.
TEST(upstream_list, RejectedDifferenceChangesNothing) {
  ListHistory source = History();
  source.Replace(Upstreams(0, 20));
  UpstreamList follower_list;
  CHECK_TRUE(follower_list.Apply(source.ChangeSince(0)));
  int64_t base = follower_list.version();
  std::vector<UpstreamInfo> next = Upstreams(0, 20);
  next[3].draining = true;
  next.pop_back();
  source.Replace(next);
  ListChange good = source.ChangeSince(base);
  CHECK_EQUAL(1, good.changed.size());
  CHECK_EQUAL(1, good.removed_ids.size());

  std::vector<ListChange> bad(6, good);
  bad[0].from = base + 1;
  bad[1].to += 1;
  bad[2].changed[0].address.port = 9;
  bad[3].removed_ids.clear();
  bad[4].changed.push_back(bad[4].changed[0]);
  bad[5].from = 0;  // Must be rejected although it claims to be the full list.
  for (const ListChange& c : bad) {
    CHECK_FALSE(follower_list.Apply(c));
    CHECK_EQUAL(base, follower_list.version());
    CHECK_EQUAL(20, follower_list.size());
  }
  CHECK_TRUE(follower_list.Apply(good));
  CHECK_FALSE(follower_list.Apply(good));
}

// A follower whose version is older than the kept changes gets the full list.
// All holders of the same version get the same bytes.
TEST(upstream_list, OldVersionsGetTheWholeList) {
  ListHistory source = History(4);
  source.Replace(Upstreams(0, 8));
  int64_t first = source.version();
  for (int i = 1; i <= 3; ++i) {
    std::vector<UpstreamInfo> now = Upstreams(0, 8);
    now[0].address.port += i;
    source.Replace(now);
  }
  CHECK_TRUE(source.HasChangesSince(first));
  CHECK_EQUAL(1, source.ChangeSince(first).changed.size());
  CHECK_TRUE(source.EncodedChangeSince(first) ==
             source.EncodedChangeSince(first));
  source.Replace(Upstreams(0, 4));
  CHECK_FALSE(source.HasChangesSince(first));
  CHECK_EQUAL(0, source.ChangeSince(first).from);
  CHECK_TRUE(source.EncodedChangeSince(first) == source.EncodedChangeSince(0));
}

// When the list returns to an earlier version, the difference starts from the
// latest occurrence of that version.
TEST(upstream_list, RecurringVersionUsesItsLatestOccurrence) {
  ListHistory source = History();
  std::vector<UpstreamInfo> a = Upstreams(0, 8);
  std::vector<UpstreamInfo> b = a;
  b[0].draining = true;
  source.Replace(a);
  int64_t first = source.version();
  source.Replace(b);
  source.Replace(a);
  CHECK_EQUAL(first, source.version());
  b = a;
  b[5].draining = true;
  source.Replace(b);
  ListChange c = source.ChangeSince(first);
  CHECK_EQUAL(1, c.changed.size());
  STRCMP_EQUAL("u-5", c.changed[0].id.c_str());
}

// The difference for one changed upstream of 3,000 is small compared with the
// full list.
TEST(upstream_list, DifferenceSizeDependsOnTheChange) {
  ListHistory source = History();
  std::vector<UpstreamInfo> list = Upstreams(0, 3000);
  source.Replace(list);
  int64_t held_version = source.version();
  size_t whole = source.EncodedChangeSince(0)->size();
  list[1500].draining = true;
  source.Replace(list);
  CHECK_TRUE(source.EncodedChangeSince(held_version)->size() < 200);
  CHECK_TRUE(whole > 10'000);
}

// Guards against an upstream that is dropped, or used again after it was seen
// draining, because the list could not be read to its end.
TEST(upstream_list, WhatIsKnownHoldsWhereTheListIsUnread) {
  UpstreamList known;
  std::vector<UpstreamInfo> before = Upstreams(0, 4);
  before[2].draining = true;
  known.Replace(before);
  std::vector<UpstreamInfo> read = {Upstream(0), Upstream(9)};
  auto ids = [&](const UnreadEntries& unread) {
    UpstreamList list;
    list.Replace(KeepUnread(read, unread, known));
    std::string out;
    for (const UpstreamInfo& u : list.All())
      absl::StrAppend(&out, u.id, u.draining ? "!" : "", " ");
    return out;
  };
  STRCMP_EQUAL("u-0 u-9 ", ids({}).c_str());
  STRCMP_EQUAL("u-0 u-9 ", ids({1, {}, false}).c_str());
  STRCMP_EQUAL("u-0 u-2! u-9 ", ids({1, {"u-2", "u-8"}, false}).c_str());
  STRCMP_EQUAL("u-0 u-1 u-2! u-3 u-9 ", ids({1, {}, true}).c_str());
}
