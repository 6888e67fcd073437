// Control processes over real sockets on 127.0.0.1, all on one loop: operators'
// calls at any of them, restarts, lost disks, hosts without a disk.
#include "control.h"

#include <unistd.h>

#include <filesystem>
#include <map>
#include <optional>
#include <set>

#include "CppUTest/TestHarness.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "procs.h"

using namespace medlarwalk;
using namespace medlarwalk::testing;

namespace {

// Control processes that can be stopped and started; a document is a number,
// its version.
class Controls {
 public:
  Controls(int core, int relays)
      : loop_(ev_loop_new(EVFLAG_AUTO)),
        dir_(TempDir()),
        base_(FreeBase()),
        core_(core),
        processes_(static_cast<size_t>(core + relays)) {}
  ~Controls() {
    processes_.clear();
    ev_loop_destroy(loop_);
  }

  std::string Address(int i) const {
    return absl::StrCat("127.0.0.1:", base_ + i);
  }
  std::vector<std::string> Addresses(int from, int to) const {
    std::vector<std::string> out;
    for (int i = from; i < to; ++i) out.push_back(Address(i));
    return out;
  }
  void Start(int i, std::vector<std::string> seeds, bool bootstrap) {
    ControlOptions o;
    o.name = absl::StrCat("control-", i);
    o.peer = Endpoint{"127.0.0.1", base_ + i};
    o.seeds = std::move(seeds);
    o.bootstrap = bootstrap;
    if (i < core_) o.data_dir = DataDir(i);
    o.list.at = Endpoint{"127.0.0.1", 1};  // Nobody listens there.
    o.list.encode = [](absl::string_view) {
      return OutgoingRequest{"GET", "/", {}, ""};
    };
    o.list.decode = [](absl::string_view) { return ListPage{}; };
    o.validate = [](absl::string_view d) -> absl::StatusOr<int64_t> {
      int64_t v;
      if (!absl::SimpleAtoi(d, &v))
        return absl::InvalidArgumentError("no number");
      return v;
    };
    auto c = std::make_unique<Control>(loop_, clock_, wall_, std::move(o));
    CHECK_TRUE(c->Start().ok());
    processes_[static_cast<size_t>(i)] = std::move(c);
  }
  void StopAll() {
    for (auto& p : processes_) p.reset();
  }
  void Kill(int i) { processes_[static_cast<size_t>(i)].reset(); }
  void Wipe(int i) {
    Kill(i);
    std::filesystem::remove_all(DataDir(i));
  }
  std::string DataDir(int i) const { return absl::StrCat(dir_, "/", i); }

  // Submits `document` at `i` again and again, as an operator does, for up to
  // `ms`; returns the last answer.
  absl::Status Submit(int i, const std::string& document, int ms = 8000) {
    absl::Status last = absl::UnavailableError("not asked");
    TimePoint until = clock_.Now() + Millis(ms);
    while (clock_.Now() < until) {
      auto answer = std::make_shared<std::optional<absl::Status>>();
      processes_[static_cast<size_t>(i)]->Submit(
          document, [answer](absl::Status s) { *answer = s; });
      Await([&] { return answer->has_value(); }, 1500);
      last = answer->value_or(absl::UnavailableError("silent"));
      if (!absl::IsUnavailable(last)) return last;
    }
    return last;
  }
  std::string Read(int i) {
    auto answer =
        std::make_shared<std::optional<absl::StatusOr<std::string>>>();
    processes_[static_cast<size_t>(i)]->Read(
        [answer](absl::StatusOr<std::string> r) { *answer = std::move(r); });
    Await([&] { return answer->has_value(); }, 3000);
    return answer->has_value() && (*answer)->ok() ? ***answer : "";
  }
  // A serving process that follows them.
  std::unique_ptr<WatchClient> Follow(int n, WatchClient::OnReply on_reply) {
    WatchOptions o;
    o.name = absl::StrCat("entry-", n);
    o.serves_callers = true;
    auto w = std::make_unique<WatchClient>(
        loop_, clock_, o, Addresses(0, static_cast<int>(processes_.size())),
        std::move(on_reply));
    w->Start();
    return w;
  }
  bool Await(const std::function<bool()>& done, int ms) {
    TimePoint until = clock_.Now() + Millis(ms);
    while (!done() && clock_.Now() < until) ev_run(loop_, EVRUN_ONCE);
    return done();
  }

 private:
  struct ev_loop* loop_;
  BootClock clock_;
  SystemWallClock wall_;
  std::string dir_;
  int base_;
  int core_;
  std::vector<std::unique_ptr<Control>> processes_;
};

}  // namespace

TEST_GROUP(control){};

// An order is accepted at any process and read back at any; sent again it is
// acknowledged again; an invalid one is refused; an older one changes nothing.
TEST(control, OrdersAtAnyProcess) {
  Controls c(3, 1);
  for (int i = 0; i < 4; ++i) c.Start(i, c.Addresses(0, 3), true);
  CHECK_TRUE(c.Submit(1, "5").ok());
  for (int i = 0; i < 4; ++i) STRCMP_EQUAL("5", c.Read(i).c_str());
  for (int i = 0; i < 4; ++i) CHECK_TRUE(c.Submit(i, "5").ok());
  CHECK_TRUE(c.Submit(3, "4").ok());
  STRCMP_EQUAL("5", c.Read(0).c_str());
  CHECK_TRUE(absl::IsInvalidArgument(c.Submit(2, "rubbish")));
  CHECK_TRUE(c.Submit(3, "9").ok());
  STRCMP_EQUAL("9", c.Read(1).c_str());
}

// All processes stop at once and come back with the state they had; one lost
// its disk meanwhile and takes part again.
TEST(control, RestartOfAllWithOneLostDisk) {
  Controls c(3, 0);
  for (int i = 0; i < 3; ++i) c.Start(i, c.Addresses(0, 3), true);
  for (int v = 1; v <= 20; ++v)
    CHECK_TRUE(c.Submit(v % 3, absl::StrCat(v)).ok());
  c.StopAll();
  c.Wipe(1);
  for (int i = 0; i < 3; ++i) c.Start(i, c.Addresses(0, 3), false);
  CHECK_TRUE(c.Submit(0, "21").ok());
  for (int i = 0; i < 3; ++i) STRCMP_EQUAL("21", c.Read(i).c_str());
  // The other disk may go next: the wiped host counts again.
  c.Await([] { return false; }, 1500);
  c.Wipe(2);
  CHECK_TRUE(c.Submit(0, "22").ok());
  STRCMP_EQUAL("22", c.Read(1).c_str());
}

// Symptom: after all processes restart, nothing is ever served again.
// Sequence: the seeds are exchanged for processes on hosts without a disk;
// then everything restarts at once. Cause: these know of nobody but each
// other. The core, which keeps its members on disk, must tell them.
TEST(control, SeedsWithoutADiskAreToldOfTheCore) {
  Controls c(3, 3);
  for (int i = 0; i < 6; ++i) c.Start(i, c.Addresses(0, 3), true);
  CHECK_TRUE(c.Submit(0, "1").ok());
  c.StopAll();
  for (int i = 0; i < 6; ++i) c.Start(i, c.Addresses(3, 6), false);
  CHECK_TRUE(c.Submit(4, "2").ok());
  STRCMP_EQUAL("2", c.Read(5).c_str());
  // An empty host of the core finds its way in through them as well.
  c.Wipe(0);
  c.Start(0, c.Addresses(3, 6), false);
  CHECK_TRUE(c.Submit(0, "3").ok());
}

// Symptom: an acknowledged change is gone. Sequence: two operators send
// different versions to two processes at once, the leader dies in between.
// Whatever was acknowledged is there afterwards, or something newer.
TEST(control, RacingOrdersAndALostLeader) {
  Controls c(3, 0);
  for (int i = 0; i < 3; ++i) c.Start(i, c.Addresses(0, 3), true);
  CHECK_TRUE(c.Submit(0, "1").ok());
  int64_t acked = 1;
  for (int round = 0; round < 3; ++round) {
    int dead = round % 3;
    c.Kill(dead);
    int64_t v = 10 * (round + 1);
    CHECK_TRUE(c.Submit((dead + 1) % 3, absl::StrCat(v)).ok());
    CHECK_TRUE(c.Submit((dead + 2) % 3, absl::StrCat(v + 1)).ok());
    acked = v + 1;
    c.Start(dead, c.Addresses(0, 3), false);
    CHECK_TRUE(c.Submit(dead, absl::StrCat(acked)).ok());
    STRCMP_EQUAL(absl::StrCat(acked).c_str(), c.Read(dead).c_str());
  }
}

// Guards against two entries that take each other's turn at an upstream, and a
// turn that nobody takes: wherever they ask, each has a place of its own.
TEST(control, EachServingProcessHasAPlaceOfItsOwn) {
  constexpr int kServing = 9;
  Controls c(3, 2);
  for (int i = 0; i < 5; ++i) c.Start(i, c.Addresses(0, 3), true);
  std::map<int, WatchReply> told;
  std::vector<std::unique_ptr<WatchClient>> serving;
  for (int n = 0; n < kServing; ++n) {
    serving.push_back(c.Follow(n, [&told, n](const WatchReply& r, bool ok) {
      if (ok) told[n] = r;
    }));
  }
  CHECK_TRUE(c.Await(
      [&] {
        std::set<int> places;
        for (const auto& [n, r] : told) {
          if (r.serving == kServing) places.insert(r.place);
        }
        return places.size() == kServing && *places.begin() == 0 &&
               *places.rbegin() == kServing - 1;
      },
      10000));
}

// Guards against a control process that ends when it wakes: it stood still
// until its followers counted as gone, and their watches were still open.
TEST(control, WatchesAreAnsweredAfterALongStandstill) {
  Controls c(1, 0);
  c.Start(0, c.Addresses(0, 1), true);
  int told = 0;
  auto w = c.Follow(0, [&told](const WatchReply&, bool ok) { told += ok; });
  CHECK_TRUE(c.Await([&] { return told > 0; }, 5000));
  c.Await([] { return false; }, 50);
  usleep(3'300'000);
  int before = told;
  CHECK_TRUE(c.Await([&] { return told > before; }, 5000));
}
