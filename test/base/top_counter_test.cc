// Tests of the bounded counter by account and of the account labels.
#include "top_counter.h"

#include <set>

#include "CppUTest/TestHarness.h"
#include "absl/strings/str_cat.h"

using namespace medlarwalk;

TEST_GROUP(top_counter){};

// Guards against an account that has most of the rejected requests and no
// series of its own, because many small accounts came first, and against events
// that no series counts.
TEST(top_counter, LargeKeysAreKeptAndTheSumIsExact) {
  TopCounter counter(4);
  int64_t events = 0;
  for (int i = 0; i < 1000; ++i) {
    counter.Increment(absl::StrCat("small", i));
    counter.Increment("large");
    events += 2;
  }
  int64_t sum = counter.other();
  int64_t large = 0;
  for (const TopCounter::Entry& e : counter.entries()) {
    sum += e.count;
    if (e.key == "large") large = e.count;
  }
  LONGS_EQUAL(4, counter.entries().size());
  LONGS_EQUAL(1000, large);
  LONGS_EQUAL(events, sum);
}

// Guards against an account name that breaks a line of the log or the metrics,
// and against two accounts with one label.
TEST(top_counter, AccountLabelsAreSafeAndDistinct) {
  std::set<std::string> labels;
  const std::string names[] = {"acct-1",
                               "other",
                               "",
                               "a\nb",
                               "a\"} 1\nx{a=\"",
                               "a%0Ab",
                               "\xc3\xbc\xff",
                               std::string(300, 'x'),
                               std::string(301, 'x')};
  for (const std::string& name : names) {
    std::string label = AccountLabel(name);
    CHECK_TRUE(label.size() <= 73);
    CHECK_FALSE(label == kOtherAccounts);
    for (char c : label) {
      CHECK_TRUE(c >= ' ' && c <= '~' && c != '"' && c != '\\');
    }
    CHECK_TRUE(labels.insert(label).second);
  }
  STRCMP_EQUAL("acct-1", AccountLabel("acct-1").c_str());
}
