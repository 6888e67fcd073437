// Which control process a process follows.
#include "watch_client.h"

#include <ev.h>

#include <memory>

#include "CppUTest/TestHarness.h"
#include "absl/strings/str_cat.h"
#include "h2.h"
#include "procs.h"

using namespace medlarwalk;
using namespace medlarwalk::testing;

namespace {

// Control processes that answer each watch at once, all in step and each
// knowing all, one to a data centre: "dc-0", "dc-1" and so on.
class Fakes {
 public:
  explicit Fakes(int n) : loop_(ev_loop_new(EVFLAG_AUTO)), base_(FreeBase()) {
    for (int i = 0; i < n; ++i) {
      places_.push_back({Address(i), absl::StrCat("dc-", i)});
    }
    asked.resize(n);
    servers_.resize(n);
    for (int i = 0; i < n; ++i) Start(i);
  }
  ~Fakes() {
    servers_.clear();
    ev_loop_destroy(loop_);
  }
  std::string Address(int i) const {
    return absl::StrCat("127.0.0.1:", base_ + i);
  }
  void Start(int i) {
    servers_[i] = std::make_unique<H2Server>(
        loop_, [this, i](const H2Request&, std::shared_ptr<H2Stream> s) {
          ++asked[i];
          WatchReply r;
          r.age_ms = 0;
          r.control = places_;
          s->Respond(200, {}, EncodeWatchReply(r));
        });
    CHECK_TRUE(servers_[i]->Listen("127.0.0.1", base_ + i).ok());
  }
  void Stop(int i) { servers_[i].reset(); }
  bool Await(const std::function<bool()>& done, int ms = 6000) {
    TimePoint until = clock_.Now() + Millis(ms);
    while (!done() && clock_.Now() < until) {
      ev_run(loop_, EVRUN_NOWAIT);
      usleep(500);
    }
    return done();
  }
  struct ev_loop* loop() {
    return loop_;
  }
  const Clock& clock() { return clock_; }
  std::vector<int> asked;  // Watches each has been sent.

 private:
  struct ev_loop* loop_;
  BootClock clock_;
  int base_;
  std::vector<ControlEndpoint> places_;
  std::vector<std::unique_ptr<H2Server>> servers_;
};

}  // namespace

TEST_GROUP(watch_client){};

// Symptom: each change of the list crosses between data centres once for every
// entry. Cause: entries followed control processes anywhere, by lot. The one of
// the own data centre is followed, found through any other; while it is away
// another is, and it is followed again when it is back.
TEST(watch_client, FollowsTheOneOfItsDataCentre) {
  Fakes f(3);
  WatchOptions o;
  o.name = "entry";
  o.data_centre = "dc-2";
  WatchClient watch(f.loop(), f.clock(), o, {f.Address(0)},
                    [](const WatchReply&, bool) {});
  watch.Start();
  CHECK_TRUE(f.Await([&] { return f.asked[2] > 20; }));
  CHECK_TRUE(f.asked[0] <= 2);

  f.Stop(2);
  int before = f.asked[0] + f.asked[1];
  CHECK_TRUE(f.Await([&] { return f.asked[0] + f.asked[1] > before + 20; }));

  f.Start(2);
  before = f.asked[2];
  CHECK_TRUE(f.Await([&] { return f.asked[2] > before + 20; }));
}
