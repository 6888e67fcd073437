// The list of upstreams and the differences by which it spreads, against
// sending the whole list each time.
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

std::string Text(const std::vector<UpstreamInfo>& list) {
  std::string out;
  for (const UpstreamInfo& u : list) {
    absl::StrAppend(&out, u.id, " ", u.born, " ", u.service, " ",
                    u.address.ToString(), " ", u.data_centre, " ", u.leaving,
                    " ", u.slots, "\n");
  }
  return out;
}

// A fleet in which upstreams come, go, leave and start again.
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
          now_[at].leaving = !now_[at].leaving;
          break;
        default:
          ++now_[at].address.port;
          now_[at].born += 1000;
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

// Two processes that read the same upstreams, in whatever order and by
// whatever way, hold the same version; any difference is another version.
TEST(upstream_list, TheVersionTellsTheContents) {
  UpstreamList a;
  UpstreamList b;
  CHECK_EQUAL(0, a.version());
  a.Replace(Upstreams(0, 9));
  std::vector<UpstreamInfo> reversed = Upstreams(0, 9);
  std::reverse(reversed.begin(), reversed.end());
  b.Replace(Upstreams(3, 30));
  b.Replace(reversed);
  CHECK_EQUAL(a.version(), b.version());
  std::vector<UpstreamInfo> others[7];
  for (auto& o : others) o = Upstreams(0, 9);
  others[0][4].leaving = true;
  others[1][4].service = "s";
  others[2][4].address.port = 81;
  others[3][4].data_centre = "";
  others[4][4].slots = 1;
  others[5][4].born = 1;
  others[6].pop_back();
  for (const auto& o : others) {
    b.Replace(o);
    CHECK_TRUE(a.version() != b.version());
  }
}

// An empty list is one that was read.
TEST(upstream_list, AnEmptyReadingHasAVersion) {
  UpstreamList a;
  a.Replace({});
  CHECK_TRUE(a.version() != 0);
}

// Differences reach two followers through the codec, some lost, some twice,
// some out of order; the followers then ask with the version they hold, at
// either of two sources of which one was away for a while. Whatever they hold
// is a list that was, and in the end it is the newest.
TEST(upstream_list, DifferencesLeadToWhatTheWholeListWould) {
  int by_difference = 0;
  for (uint32_t seed = 1; seed <= 50; ++seed) {
    Fleet fleet(seed);
    std::mt19937& random = fleet.random();
    ListHistory source[2] = {History(), History()};
    UpstreamList follower[2];
    std::deque<Document> on_the_way[2];
    std::string newest;
    auto take = [&](int f, const Document& d) {
      absl::StatusOr<ListChange> c = DecodeListChange(*d);
      CHECK_TRUE(c.ok());
      if (follower[f].Apply(*c) && c->from != 0) ++by_difference;
    };
    for (int step = 0; step < 60; ++step) {
      const std::vector<UpstreamInfo>& now = fleet.Step();
      UpstreamList whole;
      whole.Replace(now);
      newest = Text(whole.All());
      source[0].Replace(now);
      bool away = step > 20 && step < 40;
      if (!away) source[1].Replace(now);
      for (int f = 0; f < 2; ++f) {
        ListHistory& s = source[random() % 2];
        if (follower[f].version() != s.version()) {
          on_the_way[f].push_back(s.EncodedSince(follower[f].version()));
        }
        while (!on_the_way[f].empty() && random() % 3 != 0) {
          size_t at = random() % on_the_way[f].size();
          Document d = on_the_way[f][at];
          if (random() % 5 != 0) take(f, d);
          if (random() % 5 != 0) {
            on_the_way[f].erase(on_the_way[f].begin() + at);
          }
        }
      }
    }
    for (int f = 0; f < 2; ++f) {
      // Nothing is lost any more: at most one question, and another for the
      // whole where the first answer did not fit.
      if (follower[f].version() != source[0].version()) {
        take(f, source[0].EncodedSince(follower[f].version()));
      }
      STRCMP_EQUAL(newest.c_str(), Text(follower[f].All()).c_str());
      CHECK_EQUAL(source[0].version(), follower[f].version());
    }
  }
  CHECK_TRUE(by_difference > 500);
}

// A difference made from another list, or damaged on the way, is refused and
// leaves what is held as it was.
TEST(upstream_list, WhatDoesNotFitChangesNothing) {
  ListHistory source = History();
  source.Replace(Upstreams(0, 20));
  UpstreamList held;
  CHECK_TRUE(held.Apply(source.Since(0)));
  int64_t base = held.version();
  std::vector<UpstreamInfo> next = Upstreams(0, 20);
  next[3].leaving = true;
  next.pop_back();
  source.Replace(next);
  ListChange good = source.Since(base);
  CHECK_EQUAL(1, good.changed.size());
  CHECK_EQUAL(1, good.gone.size());

  std::vector<ListChange> bad(6, good);
  bad[0].from = base + 1;
  bad[1].to += 1;
  bad[2].changed[0].address.port = 9;
  bad[3].gone.clear();
  bad[4].changed.push_back(bad[4].changed[0]);
  bad[5].from = 0;  // Said to be whole.
  for (const ListChange& c : bad) {
    CHECK_FALSE(held.Apply(c));
    CHECK_EQUAL(base, held.version());
    CHECK_EQUAL(20, held.size());
  }
  CHECK_TRUE(held.Apply(good));
  CHECK_FALSE(held.Apply(good));
}

// One who was away for longer than changes are kept is told the whole list,
// and all who hold the same version are told the same bytes.
TEST(upstream_list, OldVersionsAreToldTheWhole) {
  ListHistory source = History(4);
  source.Replace(Upstreams(0, 8));
  int64_t first = source.version();
  for (int i = 1; i <= 3; ++i) {
    std::vector<UpstreamInfo> now = Upstreams(0, 8);
    now[0].address.port += i;
    source.Replace(now);
  }
  CHECK_TRUE(source.Knows(first));
  CHECK_EQUAL(1, source.Since(first).changed.size());
  CHECK_TRUE(source.EncodedSince(first) == source.EncodedSince(first));
  source.Replace(Upstreams(0, 4));
  CHECK_FALSE(source.Knows(first));
  CHECK_EQUAL(0, source.Since(first).from);
  CHECK_TRUE(source.EncodedSince(first) == source.EncodedSince(0));
}

// A list that is again what it was: the newest way from there is told.
TEST(upstream_list, AListThatCameBackIsToldFromItsLastTime) {
  ListHistory source = History();
  std::vector<UpstreamInfo> a = Upstreams(0, 8);
  std::vector<UpstreamInfo> b = a;
  b[0].leaving = true;
  source.Replace(a);
  int64_t first = source.version();
  source.Replace(b);
  source.Replace(a);
  CHECK_EQUAL(first, source.version());
  b = a;
  b[5].leaving = true;
  source.Replace(b);
  ListChange c = source.Since(first);
  CHECK_EQUAL(1, c.changed.size());
  STRCMP_EQUAL("u-5", c.changed[0].id.c_str());
}

// What the change of one upstream of 3,000 costs: its own bytes, not those of
// the list.
TEST(upstream_list, AChangeCostsItsOwnBytes) {
  ListHistory source = History();
  std::vector<UpstreamInfo> list = Upstreams(0, 3000);
  source.Replace(list);
  int64_t held = source.version();
  size_t whole = source.EncodedSince(0)->size();
  list[1500].leaving = true;
  source.Replace(list);
  CHECK_TRUE(source.EncodedSince(held)->size() < 200);
  CHECK_TRUE(whole > 10'000);
}
