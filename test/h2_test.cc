// HTTP/2 between our own processes, both ends on one loop.
#include "h2.h"

#include <unistd.h>

#include "CppUTest/TestHarness.h"
#include "platform/test/gateway_rig.h"
#include "procs.h"

using namespace medlarwalk;
using testing::DarkAddress;

namespace {

// Runs `loop` until `done` or `ms` have passed; returns done().
bool Await(struct ev_loop* loop, const std::function<bool()>& done, int ms) {
  for (int i = 0; i < ms && !done(); ++i) {
    ev_run(loop, EVRUN_NOWAIT);
    usleep(1000);
  }
  return done();
}

H2Call Get(const std::string& path, std::string* body, bool* closed) {
  H2Call c;
  c.method = "GET";
  c.path = path;
  c.on_data = [body](absl::string_view d) { body->append(d.data(), d.size()); };
  c.on_close = [closed](const absl::Status&, bool) { *closed = true; };
  return c;
}

}  // namespace

TEST_GROUP(h2){};

// Symptom: an answer is cut though nobody gave its request up. Sequence: a
// peer stops as planned (GOAWAY) while stream 1 runs; another stream goes to
// its successor on a new connection, again as number 1; the first request is
// given up. Cause: a stream was cancelled by its number on whatever connection
// was the newest.
TEST(h2, CancelReachesTheConnectionOfItsStream) {
  struct ev_loop* loop = ev_loop_new(EVFLAG_AUTO);
  {
    BootClock clock;
    int port = testing::FreeBase();
    std::shared_ptr<H2Stream> held_by_old;
    std::shared_ptr<H2Stream> held_by_new;
    H2Server old_server(
        loop, [&](const H2Request&, auto s) { held_by_old = std::move(s); });
    CHECK_TRUE(old_server.Listen("127.0.0.1", port).ok());
    H2Client client(loop, clock, "127.0.0.1", port, Millis(1000), Millis(3000));
    std::string first;
    std::string second;
    bool first_closed = false;
    bool second_closed = false;
    int32_t a = client.Submit(Get("/a", &first, &first_closed));
    CHECK_TRUE(Await(
        loop, [&] { return held_by_old != nullptr; }, 2000));
    old_server.StopAccepting();
    Await(
        loop, [] { return false; }, 50);
    H2Server new_server(
        loop, [&](const H2Request&, auto s) { held_by_new = std::move(s); });
    CHECK_TRUE(new_server.Listen("127.0.0.1", port).ok());
    client.Submit(Get("/b", &second, &second_closed));
    CHECK_TRUE(Await(
        loop, [&] { return held_by_new != nullptr; }, 2000));
    client.Cancel(a);
    CHECK_TRUE(Await(
        loop, [&] { return held_by_old->closed(); }, 2000));
    held_by_new->Respond(200, {}, "whole");
    CHECK_TRUE(Await(
        loop, [&] { return second_closed; }, 2000));
    STRCMP_EQUAL("whole", second.c_str());
    CHECK_FALSE(first_closed);  // A cancelled call hears nothing more.
  }
  ev_loop_destroy(loop);
}

namespace {

// Two processes: each runs only when its own loop does.
struct TwoLoops {
  TwoLoops()
      : ours(ev_loop_new(EVFLAG_AUTO)),
        theirs(ev_loop_new(EVFLAG_AUTO)),
        port(testing::FreeBase()) {}
  ~TwoLoops() {
    ev_loop_destroy(ours);
    ev_loop_destroy(theirs);
  }
  struct ev_loop* ours;
  struct ev_loop* theirs;
  int port;
};

constexpr Millis kPingEvery(100);
constexpr Millis kPingWait(300);

}  // namespace

// Guards against a process that was late itself and takes its peer for silent:
// the answer to its ping lies in the socket, unread, when it wakes and judges.
TEST(h2, ALateProcessReadsBeforeItJudgesALink) {
  TwoLoops l;
  BootClock clock;
  H2Server server(
      l.theirs, [](const H2Request&, auto s) { s->Respond(200, {}, "whole"); });
  CHECK_TRUE(server.Listen("127.0.0.1", l.port).ok());
  {
    H2Client client(l.ours, clock, "127.0.0.1", l.port, kPingEvery, kPingWait);
    std::string body;
    bool closed = false;
    client.Submit(Get("/a", &body, &closed));
    CHECK_TRUE(Await(
        l.ours,
        [&] {
          ev_run(l.theirs, EVRUN_NOWAIT);
          return closed;
        },
        2000));
    for (int i = 0; i < 5; ++i) {
      // A ping goes out, and is answered; the answer is read late.
      Await(
          l.ours, [] { return false; }, 150);
      Await(
          l.theirs, [] { return false; }, 50);
      usleep(500'000);
      Await(
          l.ours, [] { return false; }, 2);
      LONGS_EQUAL(0, client.dead_connections());
      CHECK_TRUE(client.usable());
    }
  }
}

// The same for a connection that was established while the process was late.
TEST(h2, ALateProcessFindsItsConnectionEstablished) {
  TwoLoops l;
  TcpListener listener(l.theirs, [](std::shared_ptr<TcpConnection>) {});
  CHECK_TRUE(listener.Listen({"127.0.0.1", l.port}).ok());
  auto c = TcpConnection::Connect(l.ours, {"127.0.0.1", l.port}, kPingWait);
  bool failed = false;
  bool connected = false;
  TcpEvents e;
  e.on_connected = [&] { connected = true; };
  e.on_closed = [&](absl::Status) { failed = true; };
  c->set_events(std::move(e));
  usleep(500'000);
  Await(
      l.ours, [&] { return connected || failed; }, 100);
  CHECK_TRUE(connected);
  CHECK_FALSE(failed);
  c->Close();
}

// Guards against a time limit that is set late in a long turn and counts from
// the turn's beginning: it is over before the loop looks at the socket again.
TEST(h2, ATimeLimitCountsFromWhenItIsSet) {
  TwoLoops l;
  DarkAddress dark;
  ev_run(l.ours, EVRUN_NOWAIT);
  usleep(500'000);
  auto c = TcpConnection::Connect(l.ours, dark.at, kPingWait);
  bool failed = false;
  TcpEvents e;
  e.on_closed = [&](absl::Status) { failed = true; };
  c->set_events(std::move(e));
  Await(
      l.ours, [&] { return failed; }, 50);
  CHECK_FALSE(failed);
  CHECK_TRUE(Await(
      l.ours, [&] { return failed; }, 2000));
}

// Guards against attempts to connect that are all given up sooner than a round
// trip takes while packets queue at a link: none ever ends well.
TEST(h2, AttemptsToConnectAreGivenLongerEachTime) {
  TwoLoops l;
  BootClock clock;
  DarkAddress dark;
  H2Client client(l.ours, clock, "127.0.0.1", dark.at.port, Millis(300),
                  Millis(900));
  std::string body;
  bool closed = false;
  client.Submit(Get("/a", &body, &closed));
  // The first is as short as ever: others may be there.
  CHECK_TRUE(Await(
      l.ours, [&] { return closed; }, 500));
  TimePoint until = clock.Now() + Millis(5000);
  while (clock.Now() < until) {
    Await(
        l.ours, [] { return false; }, 20);
  }
  CHECK_TRUE(client.dead_connections() <= 5);
}
