// HTTP/2 links between processes: ping, cancellation and connection timeouts.
#include "h2.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>

#include "CppUTest/TestHarness.h"
#include "absl/strings/str_cat.h"
#include "heap_use.h"
#include "link_pool.h"
#include "loop_order.h"
#include "platform/test/gateway_rig.h"
#include "procs.h"

using namespace medlarwalk;
using testing::UnresponsiveAddress;

namespace {

// Runs `loop` until done() or for about `ms` milliseconds; returns done().
bool RunUntil(struct ev_loop* loop, const std::function<bool()>& done, int ms) {
  for (int i = 0; i < ms && !done(); ++i) {
    ev_run(loop, EVRUN_NOWAIT);
    usleep(1000);
  }
  return done();
}

H2Call GetRequest(const std::string& path, std::string* body, bool* closed) {
  H2Call c;
  c.method = "GET";
  c.path = path;
  c.on_data = [body](absl::string_view d) { body->append(d.data(), d.size()); };
  c.on_close = [closed](const absl::Status&, bool) { *closed = true; };
  return c;
}

// Returns a request with a body that records at its end whether it is known not
// to have been processed.
H2Call RequestWithBody(std::optional<bool>* never_sent) {
  H2Call c;
  c.path = "/";
  c.body = Payload(std::string("body"));
  c.on_close = [never_sent](const absl::Status&, bool never) {
    *never_sent = never;
  };
  return c;
}

}  // namespace

TEST_GROUP(h2){};

// Guards against cancelling the wrong request. After a GOAWAY the first request
// runs on the old connection and the second on a new one, and both streams have
// id 1. A client that cancels by stream id on the newest connection would
// truncate the answer to the second request when the first is cancelled.
TEST(h2, CancelUsesTheConnectionOfTheStream) {
  struct ev_loop* loop = ev_loop_new(EVFLAG_AUTO);
  {
    BootClock clock;
    int port = testing::ClaimPortRange();
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
    int32_t a = client.Submit(GetRequest("/a", &first, &first_closed));
    CHECK_TRUE(RunUntil(
        loop, [&] { return held_by_old != nullptr; }, 2000));
    old_server.StopAccepting();
    RunUntil(
        loop, [] { return false; }, 50);
    H2Server new_server(
        loop, [&](const H2Request&, auto s) { held_by_new = std::move(s); });
    CHECK_TRUE(new_server.Listen("127.0.0.1", port).ok());
    client.Submit(GetRequest("/b", &second, &second_closed));
    CHECK_TRUE(RunUntil(
        loop, [&] { return held_by_new != nullptr; }, 2000));
    client.Cancel(a);
    CHECK_TRUE(RunUntil(
        loop, [&] { return held_by_old->closed(); }, 2000));
    held_by_new->Respond(200, {}, "whole");
    CHECK_TRUE(RunUntil(
        loop, [&] { return second_closed; }, 2000));
    STRCMP_EQUAL("whole", second.c_str());
    CHECK_FALSE(first_closed);  // A cancelled call gets no callbacks.
  }
  ev_loop_destroy(loop);
}

// Guards against a call that never ends: the client is destroyed while the call
// runs on a connection on which the peer sent GOAWAY.
TEST(h2, DestroyedClientEndsCallsOnDrainingConnections) {
  struct ev_loop* loop = ev_loop_new(EVFLAG_AUTO);
  {
    BootClock clock;
    int port = testing::ClaimPortRange();
    std::vector<std::shared_ptr<H2Stream>> held;
    H2Server server(
        loop, [&](const H2Request&, auto s) { held.push_back(std::move(s)); });
    CHECK_TRUE(server.Listen("127.0.0.1", port).ok());
    auto client = std::make_unique<H2Client>(loop, clock, "127.0.0.1", port,
                                             Millis(1000), Millis(3000));
    std::string body;
    bool first_closed = false;
    bool second_closed = false;
    client->Submit(GetRequest("/a", &body, &first_closed));
    CHECK_TRUE(RunUntil(
        loop, [&] { return held.size() == 1; }, 2000));
    server.StopAccepting();
    RunUntil(
        loop, [] { return false; }, 50);
    client->Submit(GetRequest("/b", &body, &second_closed));
    CHECK_FALSE(first_closed);
    client.reset();
    CHECK_TRUE(first_closed);
    CHECK_TRUE(second_closed);
  }
  ev_loop_destroy(loop);
}

namespace {

// Event loops of two processes; the test decides when each one runs.
struct ClientAndServerLoops {
  ClientAndServerLoops()
      : client_loop(ev_loop_new(EVFLAG_AUTO)),
        server_loop(ev_loop_new(EVFLAG_AUTO)),
        port(testing::ClaimPortRange()) {}
  ~ClientAndServerLoops() {
    ev_loop_destroy(client_loop);
    ev_loop_destroy(server_loop);
  }
  struct ev_loop* client_loop;
  struct ev_loop* server_loop;
  int port;
};

constexpr Millis kPingInterval(100);
constexpr Millis kPingTimeout(300);

}  // namespace

// Guards against a delayed process that declares its peer silent. When the
// process checks the ping timeout, the peer's answer is already in the socket
// but not yet read.
TEST(h2, DelayedProcessReadsBeforeCheckingPingTimeout) {
  ClientAndServerLoops loops;
  // Only this test advances the clock by which the client judges its peer: a
  // busy machine must not add to the delays.
  ManualClock clock;
  H2Server server(loops.server_loop, [](const H2Request&, auto s) {
    s->Respond(200, {}, "whole");
  });
  CHECK_TRUE(server.Listen("127.0.0.1", loops.port).ok());
  {
    H2Client client(loops.client_loop, clock, "127.0.0.1", loops.port,
                    kPingInterval, kPingTimeout);
    std::string body;
    bool closed = false;
    client.Submit(GetRequest("/a", &body, &closed));
    CHECK_TRUE(RunUntil(
        loops.client_loop,
        [&] {
          ev_run(loops.server_loop, EVRUN_NOWAIT);
          return closed;
        },
        2000));
    for (int i = 0; i < 5; ++i) {
      // The peer answers a ping, and the client reads the answer late. The
      // client must not treat the peer as silent.
      clock.Advance(Millis(150));
      RunUntil(
          loops.client_loop, [] { return false; }, 150);
      RunUntil(
          loops.server_loop, [] { return false; }, 50);
      clock.Advance(Millis(500));
      usleep(500'000);
      RunUntil(
          loops.client_loop, [] { return false; }, 2);
      LONGS_EQUAL(0, client.dead_connections());
      CHECK_TRUE(client.usable());
    }
  }
}

namespace {

// Runs before the timers of the iteration in which it is due, and takes long.
struct SlowCallback {
  SlowCallback(struct ev_loop* l, std::function<void()> f)
      : loop(l), run(std::move(f)) {
    ev_timer_init(&timer, OnTimer, 0., 0.);
    ev_set_priority(&timer, kLinkPriority);
    timer.data = this;
    ev_timer_start(loop, &timer);
  }
  ~SlowCallback() { ev_timer_stop(loop, &timer); }
  static void OnTimer(struct ev_loop*, ev_timer* w, int) {
    static_cast<SlowCallback*>(w->data)->run();
  }
  struct ev_loop* loop;
  std::function<void()> run;
  ev_timer timer{};
};

}  // namespace

// Guards against a process that declares its peer silent after a slow callback
// of its own: the ping timer runs in the same iteration, before the answer that
// came meanwhile is read.
TEST(h2, SlowCallbackDoesNotMakeThePeerSilent) {
  ClientAndServerLoops loops;
  ManualClock clock;
  std::shared_ptr<H2Stream> held;
  H2Server server(loops.server_loop,
                  [&](const H2Request&, auto s) { held = std::move(s); });
  CHECK_TRUE(server.Listen("127.0.0.1", loops.port).ok());
  H2Client client(loops.client_loop, clock, "127.0.0.1", loops.port,
                  kPingInterval, kPingTimeout);
  std::string body;
  bool closed = false;
  client.Submit(GetRequest("/a", &body, &closed));
  CHECK_TRUE(RunUntil(
      loops.client_loop,
      [&] {
        ev_run(loops.server_loop, EVRUN_NOWAIT);
        return held != nullptr;
      },
      2000));
  clock.Advance(kPingInterval);
  RunUntil(
      loops.client_loop, [] { return false; }, 50);  // Sends a ping.
  bool ran = false;
  SlowCallback slow(loops.client_loop, [&] {
    ran = true;
    RunUntil(
        loops.server_loop, [] { return false; }, 50);
    clock.Advance(2 * kPingTimeout);
    CHECK_TRUE(client.usable());
  });
  usleep(100'000);  // The ping timer is due in the same iteration.
  ev_run(loops.client_loop, EVRUN_NOWAIT);
  CHECK_TRUE(ran);
  CHECK_FALSE(closed);
  LONGS_EQUAL(0, client.dead_connections());
}

namespace {

// Takes the connections to a port and never reads from them, like a frozen
// process, until it is destroyed.
class FrozenPeer {
 public:
  explicit FrozenPeer(int port) : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    a.sin_port = htons(static_cast<uint16_t>(port));
    CHECK_EQUAL(0, bind(fd_, reinterpret_cast<sockaddr*>(&a), sizeof(a)));
    CHECK_EQUAL(0, listen(fd_, 64));
  }
  ~FrozenPeer() {
    StopListening();
    if (connection_ >= 0) close(connection_);
  }
  FrozenPeer(const FrozenPeer&) = delete;
  FrozenPeer& operator=(const FrozenPeer&) = delete;

  // Keeps the first connection open and frees the port.
  void KeepFirstConnection() {
    connection_ = accept(fd_, nullptr, nullptr);
    CHECK_TRUE(connection_ >= 0);
    StopListening();
  }

 private:
  void StopListening() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  int fd_;
  int connection_ = -1;
};

constexpr Millis kMaxSilence(3000);

// Runs the loops while `clock` advances by `d` in steps of 25 ms. A null
// `server_loop` stands for a frozen process.
void Pass(struct ev_loop* client_loop, struct ev_loop* server_loop,
          ManualClock& clock, Millis d) {
  for (Millis t(0); t < d; t += Millis(25)) {
    clock.Advance(Millis(25));
    RunUntil(
        client_loop,
        [&] {
          if (server_loop) ev_run(server_loop, EVRUN_NOWAIT);
          return false;
        },
        30);
  }
}

}  // namespace

// Guards against losing the calls in progress to a sound peer that is silent
// for longer than the ping timeout and then goes on.
TEST(h2, CallsSurviveAPeerThatIsSilentAndGoesOn) {
  ClientAndServerLoops loops;
  ManualClock clock;
  std::shared_ptr<H2Stream> held;
  H2Server server(loops.server_loop,
                  [&](const H2Request&, auto s) { held = std::move(s); });
  CHECK_TRUE(server.Listen("127.0.0.1", loops.port).ok());
  H2Client client(loops.client_loop, clock, "127.0.0.1", loops.port,
                  kPingInterval, kPingTimeout, kMaxSilence);
  std::string body;
  bool closed = false;
  client.Submit(GetRequest("/a", &body, &closed));
  Pass(loops.client_loop, loops.server_loop, clock, Millis(50));
  CHECK_TRUE(held != nullptr);
  Pass(loops.client_loop, nullptr, clock, Millis(1500));
  CHECK_FALSE(client.usable());
  CHECK_FALSE(closed);
  held->Respond(200, {}, Payload(std::string("whole")));
  Pass(loops.client_loop, loops.server_loop, clock, Millis(500));
  CHECK_TRUE(closed);
  STRCMP_EQUAL("whole", body.c_str());
  CHECK_TRUE(client.usable());
}

// Guards against calls held by a connection that is lost, although the peer
// answers on a new one.
TEST(h2, ConnectionSilentBesideAnAnsweringOneEndsItsCalls) {
  ClientAndServerLoops loops;
  ManualClock clock;
  FrozenPeer lost(loops.port);
  H2Client client(loops.client_loop, clock, "127.0.0.1", loops.port,
                  kPingInterval, kPingTimeout, 10 * kMaxSilence);
  std::string body;
  bool closed = false;
  client.Submit(GetRequest("/a", &body, &closed));
  Pass(loops.client_loop, nullptr, clock, Millis(50));
  lost.KeepFirstConnection();
  H2Server server(loops.server_loop, [](const H2Request&, auto s) {
    s->Respond(200, {}, Payload(std::string("whole")));
  });
  CHECK_TRUE(server.Listen("127.0.0.1", loops.port).ok());
  Pass(loops.client_loop, nullptr, clock, Millis(1000));
  CHECK_FALSE(client.usable());
  CHECK_FALSE(closed);
  for (int i = 0; i < 20 && !client.usable(); ++i)
    Pass(loops.client_loop, loops.server_loop, clock, Millis(25));
  CHECK_TRUE(client.usable());
  CHECK_FALSE(closed);  // The peer may have been frozen until now.
  Pass(loops.client_loop, loops.server_loop, clock, kPingTimeout + Millis(50));
  CHECK_TRUE(closed);
}

// Guards against calls held for good by a peer that answers nowhere.
TEST(h2, PeerThatStaysSilentEndsItsCalls) {
  ClientAndServerLoops loops;
  ManualClock clock;
  FrozenPeer frozen(loops.port);
  H2Client client(loops.client_loop, clock, "127.0.0.1", loops.port,
                  kPingInterval, kPingTimeout, kMaxSilence);
  std::string body;
  bool closed = false;
  client.Submit(GetRequest("/a", &body, &closed));
  Pass(loops.client_loop, nullptr, clock, kMaxSilence);
  CHECK_FALSE(closed);
  Pass(loops.client_loop, nullptr, clock, 2 * kPingInterval);
  CHECK_TRUE(closed);
  CHECK_FALSE(client.usable());
}

// Guards against calls held for good by a connection that its peer drains, if
// the peer is lost before it has finished them.
TEST(h2, LostConnectionThatDrainsEndsItsCalls) {
  ClientAndServerLoops loops;
  ManualClock clock;
  std::shared_ptr<H2Stream> held;
  H2Server server(loops.server_loop,
                  [&](const H2Request&, auto s) { held = std::move(s); });
  CHECK_TRUE(server.Listen("127.0.0.1", loops.port).ok());
  H2Client client(loops.client_loop, clock, "127.0.0.1", loops.port,
                  kPingInterval, kPingTimeout, kMaxSilence);
  std::string body;
  bool first_closed = false;
  bool second_closed = false;
  client.Submit(GetRequest("/a", &body, &first_closed));
  Pass(loops.client_loop, loops.server_loop, clock, Millis(50));
  CHECK_TRUE(held != nullptr);
  server.StopAccepting();
  Pass(loops.client_loop, loops.server_loop, clock, Millis(50));
  H2Server successor(loops.client_loop, [](const H2Request&, auto s) {
    s->Respond(200, {}, Payload(std::string("whole")));
  });
  CHECK_TRUE(successor.Listen("127.0.0.1", loops.port).ok());
  client.Submit(GetRequest("/b", &body, &second_closed));
  Pass(loops.client_loop, loops.server_loop, clock, 2 * kPingTimeout);
  CHECK_TRUE(second_closed);
  CHECK_FALSE(first_closed);  // The peer still runs.
  Pass(loops.client_loop, nullptr, clock, kMaxSilence / 2);
  CHECK_FALSE(first_closed);  // It may go on.
  Pass(loops.client_loop, nullptr, clock, kMaxSilence);
  CHECK_TRUE(first_closed);
}

// Guards against a delayed process that reports a connect timeout although the
// connection was established in time.
TEST(h2, DelayedProcessDetectsEstablishedConnection) {
  ClientAndServerLoops loops;
  TcpListener listener(loops.server_loop,
                       [](std::shared_ptr<TcpConnection>) {});
  CHECK_TRUE(listener.Listen({"127.0.0.1", loops.port}).ok());
  auto c = TcpConnection::Connect(loops.client_loop, {"127.0.0.1", loops.port},
                                  kPingTimeout);
  bool failed = false;
  bool connected = false;
  TcpEvents e;
  e.on_connected = [&] { connected = true; };
  e.on_closed = [&](absl::Status) { failed = true; };
  c->set_events(std::move(e));
  usleep(500'000);
  RunUntil(
      loops.client_loop, [&] { return connected || failed; }, 100);
  CHECK_TRUE(connected);
  CHECK_FALSE(failed);
  c->Close();
}

// Guards against a timeout that expires too early. A timeout that is set late
// in a long loop iteration but counts from the start of the iteration expires
// before the loop polls the socket.
TEST(h2, TimeoutCountsFromWhenItIsSet) {
  ClientAndServerLoops loops;
  UnresponsiveAddress unresponsive;
  ev_run(loops.client_loop, EVRUN_NOWAIT);
  usleep(500'000);
  auto c = TcpConnection::Connect(loops.client_loop, unresponsive.endpoint,
                                  kPingTimeout);
  bool failed = false;
  TcpEvents e;
  e.on_closed = [&](absl::Status) { failed = true; };
  c->set_events(std::move(e));
  RunUntil(
      loops.client_loop, [&] { return failed; }, 50);
  CHECK_FALSE(failed);
  CHECK_TRUE(RunUntil(
      loops.client_loop, [&] { return failed; }, 2000));
}

// Guards against a link that never connects while packets queue on the network
// path. The queue makes a round trip longer than the first connect timeout.
// With a constant timeout, every attempt would be given up before its round
// trip completes.
TEST(h2, ConnectTimeoutGrowsWithEachAttempt) {
  ClientAndServerLoops loops;
  BootClock clock;
  UnresponsiveAddress unresponsive;
  H2Client client(loops.client_loop, clock, "127.0.0.1",
                  unresponsive.endpoint.port, Millis(300), Millis(900));
  std::string body;
  bool closed = false;
  client.Submit(GetRequest("/a", &body, &closed));
  // The first attempt must end after the short timeout, because other peers may
  // be reachable.
  CHECK_TRUE(RunUntil(
      loops.client_loop, [&] { return closed; }, 500));
  TimePoint until = clock.Now() + Millis(5000);
  while (clock.Now() < until) {
    RunUntil(
        loops.client_loop, [] { return false; }, 20);
  }
  CHECK_TRUE(client.dead_connections() <= 5);
}

namespace {

// A port of a host that is just starting: it drops the packets of new
// connections until BecomeReachable() is called.
class StartingHost {
 public:
  StartingHost()
      : fd_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)),
        filler_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof(a);
    CHECK_EQUAL(0, bind(fd_, reinterpret_cast<sockaddr*>(&a), n));
    CHECK_EQUAL(0, listen(fd_, 0));
    getsockname(fd_, reinterpret_cast<sockaddr*>(&a), &n);
    port = ntohs(a.sin_port);
    // This connection fills the backlog.
    CHECK_EQUAL(0, connect(filler_, reinterpret_cast<sockaddr*>(&a), n));
  }
  ~StartingHost() {
    close(fd_);
    close(filler_);
  }
  void BecomeReachable() { close(accept(fd_, nullptr, nullptr)); }
  // Accepts the next connection and returns whether there is one.
  bool Accept() {
    int c = accept(fd_, nullptr, nullptr);
    if (c < 0) return false;
    close(c);
    return true;
  }
  int port = 0;

 private:
  int fd_;
  int filler_;
};

}  // namespace

// Guards against a link to a starting host that stays down for the whole
// connect timeout. The host lost the first packet, and the client sent no other
// one before it gave up the attempt.
TEST(h2, ConnectsSoonAfterTheHostStarts) {
  ClientAndServerLoops loops;
  ManualClock clock;
  StartingHost host;
  H2Client client(loops.client_loop, clock, "127.0.0.1", host.port, Millis(300),
                  Millis(900));
  std::string body;
  bool closed = false;
  client.Submit(GetRequest("/a", &body, &closed));
  ev_run(loops.client_loop, EVRUN_NOWAIT);
  host.BecomeReachable();
  bool accepted = false;
  // 280 ms, less than the connect timeout.
  for (int i = 0; i < 7 && !accepted; ++i) {
    clock.Advance(Millis(40));
    accepted = RunUntil(
        loops.client_loop, [&] { return client.healthy(); }, 80);
  }
  CHECK_TRUE(accepted);
  CHECK_TRUE(host.Accept());
  CHECK_FALSE(closed);
}

// Guards against messages that are dropped for a peer that has just started.
// Its link had timed out before, and stayed unusable for the backoff and a
// ping, although the peer had already sent requests of its own.
TEST(h2, LinkToPeerThatProvedAliveIsUsable) {
  ClientAndServerLoops loops;
  ManualClock clock;
  StartingHost host;
  H2Client client(loops.client_loop, clock, "127.0.0.1", host.port, Millis(300),
                  Millis(900));
  std::string body;
  bool closed = false;
  client.Submit(GetRequest("/a", &body, &closed));
  clock.Advance(Millis(400));
  CHECK_TRUE(RunUntil(
      loops.client_loop, [&] { return closed; }, 500));
  CHECK_FALSE(client.usable());
  host.BecomeReachable();
  client.OnPeerAlive();
  CHECK_TRUE(client.usable());
  CHECK_TRUE(RunUntil(
      loops.client_loop, [&] { return client.healthy(); }, 500));
}

// Guards against a process that ends with SIGABRT at a planned stop: a pool of
// links or a server that is destroyed calls back into objects destroyed before
// it.
TEST(h2, WhatIsDestroyedCallsNothingBack) {
  struct ev_loop* loop = ev_loop_new(EVFLAG_AUTO);
  {
    BootClock clock;
    int port = testing::ClaimPortRange();
    std::shared_ptr<H2Stream> held;
    bool stream_closed = false;
    auto server = std::make_unique<H2Server>(
        loop, [&](const H2Request&, std::shared_ptr<H2Stream> s) {
          held = std::move(s);
          held->set_on_close([&] { stream_closed = true; });
        });
    CHECK_TRUE(server->Listen("127.0.0.1", port).ok());
    auto links = std::make_unique<LinkPool>(loop, clock);
    bool call_closed = false;
    links->Post(absl::StrCat("127.0.0.1:", port), "/", Payload(),
                [&](int, const std::string&) { call_closed = true; });
    CHECK_TRUE(RunUntil(
        loop, [&] { return held != nullptr; }, 2000));
    server.reset();
    CHECK_FALSE(stream_closed);
    held->Respond(200, {}, Payload(std::string("late")));
    links.reset();
    CHECK_FALSE(call_closed);
  }
  ev_loop_destroy(loop);
}

// Guards against a request that ends as perhaps executed because its connection
// waits in the listen backlog when the server stops.
TEST(h2, ARequestInTheBacklogAtAStopIsNotExecuted) {
  ClientAndServerLoops loops;
  BootClock clock;
  int executed = 0;
  H2Server server(loops.server_loop,
                  [&](const H2Request&, auto) { ++executed; });
  CHECK_TRUE(server.Listen("127.0.0.1", loops.port).ok());
  H2Client client(loops.client_loop, clock, "127.0.0.1", loops.port,
                  Millis(1000), Millis(3000));
  std::optional<bool> never_sent;
  client.Submit(RequestWithBody(&never_sent));
  RunUntil(
      loops.client_loop, [] { return false; }, 50);  // Connects and sends.
  CHECK_TRUE(client.healthy());
  server.StopAccepting();
  CHECK_TRUE(RunUntil(
      loops.client_loop,
      [&] {
        ev_run(loops.server_loop, EVRUN_NOWAIT);
        return never_sent.has_value();
      },
      2000));
  CHECK_TRUE(*never_sent);
  CHECK_EQUAL(0, executed);
}

// Guards against a request that ends as perhaps executed although its peer had
// announced its end: the reset that meets the request is seen before the GOAWAY
// that came earlier.
TEST(h2, RequestsAfterAnUnreadGoAwayAreNotExecuted) {
  ClientAndServerLoops loops;
  BootClock clock;
  std::shared_ptr<H2Stream> held;
  auto server = std::make_unique<H2Server>(
      loops.server_loop,
      [&](const H2Request&, auto s) { held = std::move(s); });
  CHECK_TRUE(server->Listen("127.0.0.1", loops.port).ok());
  H2Client client(loops.client_loop, clock, "127.0.0.1", loops.port,
                  Millis(1000), Millis(3000));
  std::string body;
  bool closed = false;
  client.Submit(GetRequest("/a", &body, &closed));
  CHECK_TRUE(RunUntil(
      loops.client_loop,
      [&] {
        ev_run(loops.server_loop, EVRUN_NOWAIT);
        if (held) held->Respond(200, {}, std::string("whole"));
        return closed;
      },
      2000));
  server->StopAccepting();
  RunUntil(
      loops.server_loop, [] { return false; }, 50);
  server.reset();
  std::optional<bool> first;
  std::optional<bool> second;
  client.Submit(RequestWithBody(&first));
  client.Submit(RequestWithBody(&second));
  CHECK_TRUE(RunUntil(
      loops.client_loop,
      [&] { return first.has_value() && second.has_value(); }, 2000));
  CHECK_TRUE(*first);
  CHECK_TRUE(*second);
}

namespace {

// Speaks HTTP/2 through a session that the test controls frame by frame.
class RawH2Peer {
 public:
  RawH2Peer(std::shared_ptr<TcpConnection> tcp, bool client)
      : tcp_(std::move(tcp)) {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_option* options = nullptr;
    nghttp2_option_new(&options);
    nghttp2_option_set_max_send_header_block_length(options, size_t{1} << 20);
    if (client) {
      nghttp2_session_client_new2(&session_, callbacks, nullptr, options);
    } else {
      nghttp2_session_server_new2(&session_, callbacks, nullptr, options);
    }
    nghttp2_option_del(options);
    nghttp2_session_callbacks_del(callbacks);
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, nullptr, 0);
    TcpEvents e;
    e.on_data = [this](absl::string_view d) {
      nghttp2_session_mem_recv(
          session_, reinterpret_cast<const uint8_t*>(d.data()), d.size());
      received_ = true;
      Flush();
    };
    tcp_->set_events(std::move(e));
  }
  ~RawH2Peer() {
    tcp_->Close();
    nghttp2_session_del(session_);
  }
  bool received() const { return received_; }
  // Sends a block of fields on `stream`; -1 opens one.
  int32_t SendFields(int32_t stream, const HeaderList& fields, bool ends) {
    std::vector<nghttp2_nv> nva;
    for (const auto& [k, v] : fields) {
      nva.push_back({reinterpret_cast<uint8_t*>(const_cast<char*>(k.data())),
                     reinterpret_cast<uint8_t*>(const_cast<char*>(v.data())),
                     k.size(), v.size(), NGHTTP2_NV_FLAG_NONE});
    }
    int32_t id = nghttp2_submit_headers(
        session_, ends ? NGHTTP2_FLAG_END_STREAM : NGHTTP2_FLAG_NONE, stream,
        nullptr, nva.data(), nva.size(), nullptr);
    Flush();
    return id;
  }

 private:
  void Flush() {
    const uint8_t* data = nullptr;
    for (;;) {
      ssize_t n = nghttp2_session_mem_send(session_, &data);
      if (n <= 0) return;
      tcp_->Write(absl::string_view(reinterpret_cast<const char*>(data),
                                    static_cast<size_t>(n)));
    }
  }

  std::shared_ptr<TcpConnection> tcp_;
  nghttp2_session* session_ = nullptr;
  bool received_ = false;
};

}  // namespace

// Guards against trailers that replace fields of a request's head, such as the
// fencing number of an order.
TEST(h2, TrailersOfARequestReplaceNoFieldsOfItsHead) {
  struct ev_loop* loop = ev_loop_new(EVFLAG_AUTO);
  {
    int port = testing::ClaimPortRange();
    std::string fields;
    H2Server server(loop, [&](const H2Request& r, auto s) {
      fields = absl::StrCat(r.Header("mw-number"), ",", r.Header("mw-late"),
                            ",", r.headers.size());
      s->Respond(200, {}, "");
    });
    CHECK_TRUE(server.Listen("127.0.0.1", port).ok());
    RawH2Peer peer(TcpConnection::Connect(loop, Endpoint{"127.0.0.1", port},
                                          std::chrono::seconds(1)),
                   true);
    CHECK_TRUE(RunUntil(
        loop, [&] { return peer.received(); }, 2000));
    int32_t id = peer.SendFields(-1,
                                 {{":method", "POST"},
                                  {":scheme", "http"},
                                  {":path", "/a"},
                                  {":authority", "m"},
                                  {"mw-number", "1"}},
                                 false);
    peer.SendFields(id, {{"mw-number", "2"}, {"mw-late", "x"}}, true);
    CHECK_TRUE(RunUntil(
        loop, [&] { return !fields.empty(); }, 2000));
    STRCMP_EQUAL("1,,1", fields.c_str());
  }
  ev_loop_destroy(loop);
}

// Guards against an interim answer that is taken for the answer, and against
// interim answers and trailers without end that fill the memory.
TEST(h2, FieldsOfAnAnswerAreThoseOfItsFinalHead) {
  struct ev_loop* loop = ev_loop_new(EVFLAG_AUTO);
  {
    BootClock clock;
    int status = 0;
    std::map<std::string, std::string> fields;
    std::string body;
    bool closed = false;
    std::unique_ptr<RawH2Peer> peer;
    TcpListener listener(loop, [&](std::shared_ptr<TcpConnection> tcp) {
      peer = std::make_unique<RawH2Peer>(std::move(tcp), false);
    });
    CHECK_TRUE(listener.Listen(Endpoint{"127.0.0.1", 0}).ok());
    H2Client client(loop, clock, "127.0.0.1", listener.port(), Millis(1000),
                    Millis(3000));
    H2Call call = GetRequest("/a", &body, &closed);
    call.on_response = [&](int s, const auto& headers) {
      status = s;
      fields = headers;
    };
    client.Submit(std::move(call));
    CHECK_TRUE(RunUntil(
        loop, [&] { return peer && peer->received(); }, 2000));
    constexpr int32_t kFirstStream = 1;
    for (int i = 0; i < 100; ++i) {
      peer->SendFields(
          kFirstStream,
          {{":status", "103"}, {absl::StrCat("x-", i), std::string(1000, 'x')}},
          false);
    }
    peer->SendFields(kFirstStream, {{":status", "200"}, {"mw-a", "1"}}, false);
    peer->SendFields(kFirstStream, {{"mw-a", "2"}, {"mw-late", "x"}}, true);
    CHECK_TRUE(RunUntil(
        loop, [&] { return closed; }, 2000));
    LONGS_EQUAL(200, status);
    LONGS_EQUAL(1, fields.size());
    STRCMP_EQUAL("1", fields["mw-a"].c_str());
  }
  ev_loop_destroy(loop);
}

// Guards against an answer without end on a link between processes: it is kept
// whole and fills the memory.
TEST(h2, AnswerWithoutEndEndsItsCallAlone) {
  struct ev_loop* loop = ev_loop_new(EVFLAG_AUTO);
  {
    BootClock clock;
    int port = testing::ClaimPortRange();
    std::shared_ptr<H2Stream> endless;
    std::shared_ptr<H2Stream> other;
    H2Server server(loop, [&](const H2Request& r, auto s) {
      (r.path == "/endless" ? endless : other) = std::move(s);
    });
    CHECK_TRUE(server.Listen("127.0.0.1", port).ok());
    LinkPool links(loop, clock);
    std::string address = absl::StrCat("127.0.0.1:", port);
    int endless_status = -1;
    size_t endless_kept = 0;
    links.Post(address, "/endless", Payload(),
               [&](int status, const std::string& body) {
                 endless_status = status;
                 endless_kept = body.size();
               });
    int other_status = -1;
    std::string other_body;
    links.Post(address, "/other", Payload(),
               [&](int status, const std::string& body) {
                 other_status = status;
                 other_body = body;
               });
    CHECK_TRUE(RunUntil(
        loop, [&] { return endless && other; }, 2000));
    endless->StartStream(200, {});
    const std::string piece(size_t{1} << 20, 'x');
    constexpr int kPieces = 32;
    for (int i = 0; i < kPieces && endless_status < 0; ++i) {
      endless->Write(piece);
      RunUntil(
          loop,
          [&] { return endless_status >= 0 || server.queued_bytes() == 0; },
          2000);
    }
    LONGS_EQUAL(0, endless_status);
    CHECK_TRUE(endless_kept <= kMaxLinkBodyBytes);
    CHECK_TRUE(RunUntil(
        loop, [&] { return endless->closed(); }, 2000));
    other->Respond(200, {}, std::string(kMaxLinkBodyBytes, 'y'));
    CHECK_TRUE(RunUntil(
        loop, [&] { return other_status >= 0; }, 5000));
    LONGS_EQUAL(200, other_status);
    LONGS_EQUAL(kMaxLinkBodyBytes, other_body.size());
  }
  ev_loop_destroy(loop);
}

// Guards against a head of 500 KB on a link between processes, whose fields
// fill the memory.
TEST(h2, HeadOfAnAnswerWithTooManyFieldsEndsItsCall) {
  struct ev_loop* loop = ev_loop_new(EVFLAG_AUTO);
  {
    BootClock clock;
    size_t field_bytes = 0;
    std::string body;
    bool closed = false;
    std::unique_ptr<RawH2Peer> peer;
    TcpListener listener(loop, [&](std::shared_ptr<TcpConnection> tcp) {
      peer = std::make_unique<RawH2Peer>(std::move(tcp), false);
    });
    CHECK_TRUE(listener.Listen(Endpoint{"127.0.0.1", 0}).ok());
    H2Client client(loop, clock, "127.0.0.1", listener.port(), Millis(1000),
                    Millis(3000));
    H2Call call = GetRequest("/a", &body, &closed);
    call.on_response = [&](int, const auto& headers) {
      field_bytes = 0;
      for (const auto& [k, v] : headers) field_bytes += k.size() + v.size();
    };
    client.Submit(std::move(call));
    CHECK_TRUE(RunUntil(
        loop, [&] { return peer && peer->received(); }, 2000));
    constexpr int32_t kFirstStream = 1;
    constexpr int kFields = 500;
    HeaderList fields = {{":status", "200"}};
    for (int i = 0; i < kFields; ++i)
      fields.emplace_back(absl::StrCat("x-", i), std::string(1000, '~'));
    peer->SendFields(kFirstStream, fields, false);
    CHECK_TRUE(RunUntil(
        loop, [&] { return closed || field_bytes > 0; }, 2000));
    LONGS_EQUAL(0, field_bytes);
    CHECK_TRUE(closed);
  }
  ev_loop_destroy(loop);
}

// Guards against a server that holds a body for each of many streams: each is
// within its limit, their sum is not.
TEST(h2, BodiesOfAllStreamsHaveALimit) {
  constexpr size_t kMegabyte = size_t{1} << 20;
  constexpr int kCalls = 16;
  constexpr size_t kBodyBytes = 7 * kMegabyte;
  struct ev_loop* loop = ev_loop_new(EVFLAG_AUTO);
  {
    BootClock clock;
    int port = testing::ClaimPortRange();
    size_t whole = 0;
    H2Server server(loop, [&](const H2Request& r, auto stream) {
      whole += r.body.size() == kBodyBytes;
      stream->Respond(200, {}, "");
    });
    CHECK_TRUE(server.Listen("127.0.0.1", port).ok());
    H2Client client(loop, clock, "127.0.0.1", port, Millis(5000),
                    Millis(20000));
    auto body = std::make_shared<const std::string>(kBodyBytes, 'x');
    size_t ended = 0;
    size_t not_processed = 0;
    auto submit = [&] {
      H2Call call;
      call.path = "/";
      call.body = Payload("", body);
      call.on_close = [&](const absl::Status& s, bool never_sent) {
        ++ended;
        not_processed += !s.ok() && never_sent;
      };
      client.Submit(std::move(call));
    };
    size_t before = ReadHeapUse().in_use;
    size_t peak = 0;
    for (int i = 0; i < kCalls; ++i) submit();
    CHECK_TRUE(RunUntil(
        loop,
        [&] {
          peak = std::max(peak, ReadHeapUse().in_use);
          return ended == kCalls;
        },
        20000));
    // A string that grows has room for up to twice its size.
    CHECK_TRUE(peak < before + 2 * kMaxLinkBodiesBytes + 16 * kMegabyte);
    LONGS_EQUAL(kCalls, whole + not_processed);
    CHECK_TRUE(not_processed > 0);
    submit();
    CHECK_TRUE(RunUntil(
        loop, [&] { return ended == kCalls + 1; }, 20000));
    LONGS_EQUAL(kCalls + 1, whole + not_processed);
    CHECK_TRUE(whole > 0);
  }
  ev_loop_destroy(loop);
}
