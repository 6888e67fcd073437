// Tests of which state of an upstream an entry process keeps when it applies a
// new upstream list.
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
  void SetReadPaused(bool) override {}
  TimePoint idle_since() const override { return BootClock().Now(); }
  Duration max_idle_time() const override { return std::chrono::seconds(4); }

 private:
  bool open_ = true;
};

UpstreamInfo Engine(int64_t started_unix_ms, int port = 80) {
  UpstreamInfo u;
  u.id = "i-1";
  u.service = "engine";
  u.address = {"10.0.0.9", port};
  u.started_unix_ms = started_unix_ms;
  return u;
}

}  // namespace

TEST_GROUP(upstream_pool) {
  BootClock clock;
  UpstreamPool pool{clock, [](const UpstreamInfo&, Duration) {
                      return std::make_shared<IdleLink>();
                    }};
  std::vector<std::string> UpdateList(const UpstreamInfo& u) {
    return pool.Update({u});
  }
  // Gives the upstream a termination mark, a load, requests in flight and one
  // pooled link.
  std::shared_ptr<UpstreamLink> SetFailedState() {
    UpstreamState& state = *pool.Find("i-1");
    state.terminated = true;
    state.reported_load = 60;
    state.in_flight = 3;
    auto link = pool.AcquireLink(state, Millis(100));
    pool.ReleaseLink("i-1", link);
    return link;
  }
};

// Guards against keeping the old state of a restarted upstream, which would
// then get no requests or count as caching prompts that it has lost. The
// upstream restarts under its old id while its state marks it as terminated,
// loaded and connected; another incarnation of it has answered at its address.
// State that is kept by id alone would survive the restart.
TEST(upstream_pool, RestartResetsTheState) {
  UpdateList(Engine(1000));
  std::shared_ptr<UpstreamLink> link = SetFailedState();
  LONGS_EQUAL(0, UpdateList(Engine(1000)).size());
  CHECK_TRUE(pool.Find("i-1")->terminated);
  LONGS_EQUAL(1, UpdateList(Engine(2000)).size());
  const UpstreamState& state = *pool.Find("i-1");
  CHECK_FALSE(state.terminated);
  LONGS_EQUAL(0, state.reported_load);
  LONGS_EQUAL(3, state.in_flight);
  CHECK_TRUE(state.listed);
  CHECK_FALSE(link->open());
}

// Guards against an outdated list that arrives late and restores an upstream's
// earlier start time. The list may lag, and several processes read it.
TEST(upstream_pool, OutdatedListDoesNotRestoreTheEarlierStart) {
  UpdateList(Engine(2000));
  LONGS_EQUAL(0, UpdateList(Engine(1000)).size());
  CHECK_EQUAL(2000, pool.Find("i-1")->info.started_unix_ms);
  CHECK_TRUE(pool.Find("i-1")->listed);
}

// Without a start time in the list, a new address means that the upstream has
// restarted.
TEST(upstream_pool, NewAddressCountsAsARestart) {
  UpdateList(Engine(0));
  SetFailedState();
  LONGS_EQUAL(1, UpdateList(Engine(0, 81)).size());
  CHECK_FALSE(pool.Find("i-1")->terminated);
}
