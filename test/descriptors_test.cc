// What happens when a process may open no more descriptors.
#include <sys/resource.h>

#include <vector>

#include "CppUTest/TestHarness.h"
#include "caller_server.h"
#include "h2.h"
#include "procs.h"
#include "tcp.h"

using namespace medlarwalk;
using namespace medlarwalk::testing;

namespace {

// Lets this process open no descriptor more while it lives.
class NoMoreDescriptors {
 public:
  NoMoreDescriptors() {
    getrlimit(RLIMIT_NOFILE, &before_);
    rlimit none = before_;
    none.rlim_cur = 3;
    setrlimit(RLIMIT_NOFILE, &none);
  }
  ~NoMoreDescriptors() { setrlimit(RLIMIT_NOFILE, &before_); }

 private:
  rlimit before_{};
};

// Takes callers in, at most `most` of them, and answers nothing by itself.
struct Entry {
  Entry(struct ev_loop* loop, const Clock& clock, size_t most)
      : at{"127.0.0.1", FreeBase()},
        server(loop, clock, [this](std::shared_ptr<CallerExchange> ex) {
          open.push_back(std::move(ex));
        }) {
    server.set_most_connections(most);
    CHECK_TRUE(server.Listen(at).ok());
  }
  Endpoint at;
  std::vector<std::shared_ptr<CallerExchange>> open;
  CallerServer server;
};

}  // namespace

TEST_GROUP(descriptors) {
  struct ev_loop* loop = nullptr;
  BootClock clock;
  void setup() override { loop = ev_loop_new(EVFLAG_AUTO); }
  void teardown() override { ev_loop_destroy(loop); }

  // Turns the loop for `d`, at least once in 2 ms.
  void Run(Duration d) {
    ev_timer pace;
    ev_timer_init(
        &pace, [](struct ev_loop*, ev_timer*, int) {}, 0.002, 0.002);
    ev_timer_start(loop, &pace);
    TimePoint until = clock.Now() + d;
    while (clock.Now() < until) ev_run(loop, EVRUN_ONCE);
    ev_timer_stop(loop, &pace);
  }
};

// Two entries ended in a burst with
//   libev: ev_io_start called with negative fd
// All their descriptors were taken by callers and calls; a link to another
// process of ours was lost, and the socket for a new one could not be made.
// The call must fail as one that was not sent, and the link must come back.
TEST(descriptors, ALinkWithoutASocketFailsItsCalls) {
  int base = FreeBase();
  int answered = 0;
  H2Server server(loop, [&](const H2Request&, std::shared_ptr<H2Stream> s) {
    ++answered;
    s->Respond(200, {}, "");
  });
  CHECK_TRUE(server.Listen("127.0.0.1", base).ok());
  H2Client client(loop, clock, "127.0.0.1", base, Millis(100), Millis(300));
  int failed = 0;
  int whole = 0;
  auto call = [&] {
    H2Call c;
    c.path = "/x";
    c.on_close = [&](const absl::Status& s, bool never_sent) {
      (s.ok() ? whole : failed) += 1;
      CHECK_TRUE(s.ok() || never_sent);
    };
    client.Submit(std::move(c));
  };
  {
    NoMoreDescriptors none;
    call();
    Run(Millis(500));
  }
  CHECK_EQUAL(1, failed);
  CHECK_FALSE(client.usable());
  Run(Millis(700));
  CHECK_TRUE(client.usable());
  call();
  Run(Millis(200));
  CHECK_EQUAL(1, whole);
  CHECK_EQUAL(1, answered);
}

// A caller waits to be taken in and there is no descriptor for it: the
// listening socket stays readable, and the loop turned as fast as the host
// allows, at the expense of the requests that would have freed descriptors.
TEST(descriptors, AListenerWithoutDescriptorsDoesNotSpin) {
  int base = FreeBase();
  int taken = 0;
  TcpListener listener(loop, [&](std::shared_ptr<TcpConnection>) { ++taken; });
  CHECK_TRUE(listener.Listen(Endpoint{"127.0.0.1", base}).ok());
  H2Server links(loop, [](const H2Request&, std::shared_ptr<H2Stream>) {});
  CHECK_TRUE(links.Listen("127.0.0.1", base + 1).ok());
  auto a =
      TcpConnection::Connect(loop, Endpoint{"127.0.0.1", base}, Millis(900));
  auto b = TcpConnection::Connect(loop, Endpoint{"127.0.0.1", base + 1},
                                  Millis(900));
  unsigned turns = 0;
  {
    NoMoreDescriptors none;
    unsigned from = ev_iteration(loop);
    Run(Millis(500));  // 250 turns of its own.
    turns = ev_iteration(loop) - from;
  }
  CHECK_TRUE(turns < 350);
  CHECK_EQUAL(0, taken);
  Run(Millis(400));
  CHECK_EQUAL(1, taken);
}

// Callers that keep connections open without using them took every descriptor
// there was, until none was left for the calls of those who do. Past a bound
// the connection that has been idle longest makes room; a busy one never does.
TEST(descriptors, IdleCallersMakeRoomForNewOnes) {
  Entry entry(loop, clock, 10);
  std::vector<std::shared_ptr<TcpConnection>> callers;
  std::vector<bool> closed(40, false);
  auto connect = [&](size_t i) {
    auto c = TcpConnection::Connect(loop, entry.at, Millis(900));
    TcpEvents e;
    e.on_closed = [&closed, i](const absl::Status&) { closed[i] = true; };
    c->set_events(std::move(e));
    callers.push_back(c);
    Run(Millis(5));
  };
  connect(0);
  callers[0]->Write("GET /busy HTTP/1.1\r\nHost: x\r\n\r\n");
  Run(Millis(20));
  CHECK_EQUAL(1U, entry.open.size());
  for (size_t i = 1; i < 40; ++i) connect(i);
  Run(Millis(50));
  CHECK_EQUAL(10U, entry.server.connections());
  CHECK_FALSE(closed[0]);
  for (size_t i = 1; i < 31; ++i) CHECK_TRUE(closed[i]);
  for (size_t i = 31; i < 40; ++i) CHECK_FALSE(closed[i]);
  entry.open[0]->Respond(200, {}, "");
  Run(Millis(20));
  callers.clear();
  Run(Millis(20));
}

// Every connection taken in has a request under way: there is nobody to make
// room, and a newcomer waits in the listening queue until one has its answer.
TEST(descriptors, ANewcomerWaitsWhileAllAreBusy) {
  Entry entry(loop, clock, 2);
  std::vector<std::shared_ptr<TcpConnection>> callers;
  for (int i = 0; i < 3; ++i) {
    callers.push_back(TcpConnection::Connect(loop, entry.at, Millis(900)));
    callers.back()->Write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  Run(Millis(300));
  CHECK_EQUAL(2U, entry.open.size());
  entry.open[0]->Respond(200, {}, "");
  Run(Millis(200));
  CHECK_EQUAL(3U, entry.open.size());
  callers.clear();
  Run(Millis(20));
}
