// What an entry keeps of an upstream across readings of the list.
#include "upstream_pool.h"

#include "CppUTest/TestHarness.h"

using namespace medlarwalk;

namespace {

class IdleLink : public UpstreamLink {
 public:
  void Start(UpstreamCall) override {}
  void Cancel() override { Close(); }
  void Close() override { open_ = false; }
  bool idle() const override { return true; }
  bool open() const override { return open_; }
  bool sent() const override { return false; }
  void PauseRead(bool) override {}
  TimePoint idle_since() const override { return BootClock().Now(); }
  Duration keep_for() const override { return std::chrono::seconds(4); }

 private:
  bool open_ = true;
};

UpstreamInfo Engine(int64_t born, int port = 80) {
  UpstreamInfo u;
  u.id = "i-1";
  u.service = "engine";
  u.address = {"10.0.0.9", port};
  u.born = born;
  return u;
}

}  // namespace

TEST_GROUP(upstream_pool) {
  BootClock clock;
  UpstreamPool pool{clock, [](const UpstreamInfo&, Duration) {
                      return std::make_shared<IdleLink>();
                    }};
  std::vector<std::string> Read(const UpstreamInfo& u) {
    return pool.Update({u});
  }
  // The upstream has failed, is said to be gone, and one connection is kept.
  std::shared_ptr<UpstreamLink> KnowMuch() {
    UpstreamBoard& b = *pool.Find("i-1");
    b.ended = true;
    b.reported = 60;
    b.in_flight = 3;
    auto link = pool.Take(b, Millis(100));
    pool.Give("i-1", link);
    return link;
  }
};

// Symptom: an upstream that is back gets no work, or is taken for one that
// holds prompts it has lost. Sequence: it starts again under its old id, and
// was believed gone (another incarnation had answered at its address), loaded
// and connected. Cause: what was known went by its id alone.
TEST(upstream_pool, AnUpstreamThatStartedAgainIsKnownForNothing) {
  Read(Engine(1000));
  std::shared_ptr<UpstreamLink> link = KnowMuch();
  LONGS_EQUAL(0, Read(Engine(1000)).size());
  CHECK_TRUE(pool.Find("i-1")->ended);
  LONGS_EQUAL(1, Read(Engine(2000)).size());
  const UpstreamBoard& b = *pool.Find("i-1");
  CHECK_FALSE(b.ended);
  LONGS_EQUAL(0, b.reported);
  LONGS_EQUAL(3, b.in_flight);
  CHECK_TRUE(b.listed);
  CHECK_FALSE(link->open());
}

// The list lags and several processes read it: an older reading that comes
// late must not bring the earlier start back.
TEST(upstream_pool, AnOlderReadingDoesNotBringTheEarlierStartBack) {
  Read(Engine(2000));
  LONGS_EQUAL(0, Read(Engine(1000)).size());
  CHECK_EQUAL(2000, pool.Find("i-1")->info.born);
  CHECK_TRUE(pool.Find("i-1")->listed);
}

// Where no start is told, another address tells it.
TEST(upstream_pool, AnotherAddressIsAnotherStart) {
  Read(Engine(0));
  KnowMuch();
  LONGS_EQUAL(1, Read(Engine(0, 81)).size());
  CHECK_FALSE(pool.Find("i-1")->ended);
}
