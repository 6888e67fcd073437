// Tests which upstream list an entry process uses.
#include "serving.h"

#include <ev.h>
#include <unistd.h>

#include <memory>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "absl/strings/match.h"
#include "control_wire.h"
#include "h2.h"
#include "packed.h"
#include "procs.h"
#include "tcp.h"

using namespace medlarwalk;
using namespace medlarwalk::testing;

namespace {

// A control process that publishes a configuration and the lists that it is
// given, and an entry process that follows it. No source of the list answers.
class EntryRig {
 public:
  explicit EntryRig(Duration grace = std::chrono::seconds(8))
      : loop_(ev_loop_new(EVFLAG_AUTO)),
        port_(ClaimPortRange()),
        lists_(64, EncodeListChange) {
    control_ = std::make_unique<H2Server>(
        loop_, [this](const H2Request& q, std::shared_ptr<H2Stream> s) {
          Answer(q, *s);
        });
    CHECK_TRUE(control_->Listen("127.0.0.1", port_).ok());
    ServingOptions o;
    o.name = "entry";
    o.grace = grace;
    o.frontend = Endpoint{"127.0.0.1", port_ + 1};
    o.readiness = Endpoint{"127.0.0.1", port_ + 2};
    o.readiness_path = "/ready";
    o.control_seeds = {Endpoint{"127.0.0.1", port_}.ToString()};
    o.list.endpoint = Endpoint{"127.0.0.1", port_ + 3};
    o.list.encode = [](absl::string_view) { return OutgoingRequest{}; };
    o.decode = [](absl::string_view) -> absl::StatusOr<RoutingConfig> {
      return RoutingConfig{};
    };
    entry_ = std::make_unique<Serving>(loop_, clock_, wall_, std::move(o));
    CHECK_TRUE(entry_->Start().ok());
  }
  ~EntryRig() {
    entry_.reset();
    control_.reset();
    ev_loop_destroy(loop_);
  }

  // Publishes a list with one upstream `id`, read `age` ago. `in_sync`: the
  // control process is in sync with a leader.
  void Publish(const std::string& id, Duration age, bool in_sync) {
    UpstreamInfo u;
    u.id = id;
    lists_.Replace({u});
    read_at_ = clock_.Now() - age;
    in_sync_ = in_sync;
  }
  int64_t published() const { return lists_.version(); }
  // Returns whether the entry process states this version within `limit`.
  bool AwaitVersion(int64_t version, Duration limit) {
    TimePoint until = clock_.Now() + limit;
    while (held_ != version && clock_.Now() < until) {
      ev_run(loop_, EVRUN_NOWAIT);
      usleep(500);
    }
    return held_ == version;
  }
  // Returns the answer to a readiness probe.
  std::string Probe() {
    std::string answer;
    bool closed = false;
    auto tcp = TcpConnection::Connect(loop_, Endpoint{"127.0.0.1", port_ + 2},
                                      std::chrono::seconds(1));
    TcpEvents e;
    e.on_data = [&](absl::string_view d) { answer.append(d.data(), d.size()); };
    e.on_closed = [&](const absl::Status&) { closed = true; };
    tcp->set_events(std::move(e));
    tcp->Write("GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    TimePoint until = clock_.Now() + std::chrono::seconds(3);
    while (!closed && clock_.Now() < until) ev_run(loop_, EVRUN_ONCE);
    tcp->Close();
    return answer;
  }

  // Begins a planned stop. Returns whether the listener for callers is closed
  // within `limit`.
  bool StopAndAwaitNoListener(Duration limit) {
    entry_->Drain();
    TimePoint until = clock_.Now() + limit;
    bool refused = false;
    while (!refused && clock_.Now() < until) {
      ev_run(loop_, EVRUN_NOWAIT);
      auto tcp = TcpConnection::Connect(loop_, {"127.0.0.1", port_ + 1},
                                        std::chrono::seconds(1));
      TcpEvents e;
      e.on_closed = [&](const absl::Status&) { refused = true; };
      tcp->set_events(std::move(e));
      TimePoint next = clock_.Now() + Millis(20);
      while (!refused && !tcp->connected() && clock_.Now() < next)
        ev_run(loop_, EVRUN_NOWAIT);
      tcp->Close();
      usleep(5000);
    }
    return refused;
  }

 private:
  void Answer(const H2Request& q, H2Stream& stream) {
    absl::StatusOr<WatchRequest> w = DecodeWatchRequest(q.body);
    CHECK_TRUE(w.ok());
    held_ = w->list_version;
    WatchReply r;
    r.sync_age_ms = in_sync_ ? 0 : -1;
    r.serving_count = 1;
    r.config_version = 1;
    if (w->config_version == 0) r.config = CompressDocument("{}");
    r.list_age_ms = ToMs(clock_.Now() - read_at_);
    if (held_ != lists_.version()) r.list = lists_.EncodedChangeSince(held_);
    stream.Respond(200, {}, EncodeWatchReply(r));
  }

  struct ev_loop* loop_;
  BootClock clock_;
  SystemWallClock wall_;
  int port_;
  ListHistory lists_;
  TimePoint read_at_{};
  bool in_sync_ = true;
  int64_t held_ = 0;
  std::unique_ptr<H2Server> control_;
  std::unique_ptr<Serving> entry_;
};

}  // namespace

TEST_GROUP(serving){};

// Guards against a storm of reads at the list's source while there is no
// leader: every entry process read the list itself although a control process
// that it reached had a newer one.
TEST(serving, TakesNewerListsFromAControlProcessWithoutLeader) {
  EntryRig rig;
  rig.Publish("a", Duration::zero(), true);
  CHECK_TRUE(rig.AwaitVersion(rig.published(), std::chrono::seconds(5)));
  rig.Publish("b", Duration::zero(), false);
  CHECK_TRUE(rig.AwaitVersion(rig.published(), std::chrono::seconds(5)));
}

// Guards against a list that goes back: a control process without a leader may
// hold one from before it was cut off.
TEST(serving, IgnoresOlderListsFromAControlProcessWithoutLeader) {
  EntryRig rig;
  rig.Publish("a", Duration::zero(), true);
  CHECK_TRUE(rig.AwaitVersion(rig.published(), std::chrono::seconds(5)));
  int64_t newer = rig.published();
  rig.Publish("b", std::chrono::seconds(30), false);
  CHECK_FALSE(rig.AwaitVersion(rig.published(), Millis(600)));
  CHECK_TRUE(rig.AwaitVersion(newer, Duration::zero()));
}

// Guards against a readiness page that does not say why a process is not ready,
// or what it has read of the list.
TEST(serving, ReadinessPageStatesWhatTheProcessHas) {
  EntryRig rig;
  std::string before = rig.Probe();
  CHECK_TRUE(absl::StartsWith(before, "HTTP/1.1 503 "));
  CHECK_TRUE(absl::StrContains(before, "\r\n\r\nready=0 has_config="));
  CHECK_TRUE(absl::EndsWith(before,
                            " upstreams=0 list_unread=0 list_rest_unread=0\n"));
  rig.Publish("a", Duration::zero(), true);
  CHECK_TRUE(rig.AwaitVersion(rig.published(), std::chrono::seconds(5)));
  std::string after = rig.Probe();
  CHECK_TRUE(absl::StartsWith(after, "HTTP/1.1 200 "));
  CHECK_TRUE(absl::EndsWith(after,
                            "\r\n\r\nready=1 has_config=1 upstreams=1 "
                            "list_unread=0 list_rest_unread=0\n"));
}

// Guards against a stop that lasts until the process is killed: with a grace
// period shorter than the usual time of accepting, the listener stayed open.
TEST(serving, AStopWithAShortGraceEndsWithinIt) {
  constexpr Millis kShortGrace(1000);
  EntryRig rig(kShortGrace);
  CHECK_TRUE(rig.StopAndAwaitNoListener(kShortGrace));
}
