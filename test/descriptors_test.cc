// Behavior of a process that has reached its descriptor limit.
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

// Prevents this process from opening descriptors during the object's lifetime.
class DescriptorBlocker {
 public:
  DescriptorBlocker() {
    getrlimit(RLIMIT_NOFILE, &original_limit_);
    rlimit no_descriptors = original_limit_;
    no_descriptors.rlim_cur = 3;
    setrlimit(RLIMIT_NOFILE, &no_descriptors);
  }
  ~DescriptorBlocker() { setrlimit(RLIMIT_NOFILE, &original_limit_); }

 private:
  rlimit original_limit_{};
};

// Accepts at most `max_connections` callers and keeps their requests
// unanswered.
struct CallerSink {
  CallerSink(struct ev_loop* loop, const Clock& clock, size_t max_connections)
      : endpoint{"127.0.0.1", ClaimPortRange()},
        server(loop, clock, [this](std::shared_ptr<CallerExchange> ex) {
          requests.push_back(std::move(ex));
        }) {
    server.set_max_connections(max_connections);
    CHECK_TRUE(server.Listen(endpoint).ok());
  }
  Endpoint endpoint;
  std::vector<std::shared_ptr<CallerExchange>> requests;
  CallerServer server;
};

}  // namespace

TEST_GROUP(descriptors) {
  struct ev_loop* loop = nullptr;
  BootClock clock;
  void setup() override { loop = ev_loop_new(EVFLAG_AUTO); }
  void teardown() override { ev_loop_destroy(loop); }

  // Runs the loop for `d`, with at least one iteration every 2 ms.
  void Run(Duration d) {
    ev_timer timer;
    ev_timer_init(
        &timer, [](struct ev_loop*, ev_timer*, int) {}, 0.002, 0.002);
    ev_timer_start(loop, &timer);
    TimePoint until = clock.Now() + d;
    while (clock.Now() < until) ev_run(loop, EVRUN_ONCE);
    ev_timer_stop(loop, &timer);
  }
};

// Guards against a process that crashes in a burst of requests with
//
//   libev: ev_io_start called with negative fd
//
// Connections of callers and to upstreams use all descriptors. The link to
// another medlarwalk process is lost, and no socket can be opened for a new
// link. A call on the link must fail as not sent, and the link must reconnect
// once a descriptor is free.
TEST(descriptors, LinkWithoutASocketFailsItsCalls) {
  int port = ClaimPortRange();
  int answered = 0;
  H2Server server(loop, [&](const H2Request&, std::shared_ptr<H2Stream> s) {
    ++answered;
    s->Respond(200, {}, "");
  });
  CHECK_TRUE(server.Listen("127.0.0.1", port).ok());
  H2Client client(loop, clock, "127.0.0.1", port, Millis(100), Millis(300));
  int failed = 0;
  int succeeded = 0;
  auto submit_call = [&] {
    H2Call c;
    c.path = "/x";
    c.on_close = [&](const absl::Status& s, bool never_sent) {
      (s.ok() ? succeeded : failed) += 1;
      CHECK_TRUE(s.ok() || never_sent);
    };
    client.Submit(std::move(c));
  };
  {
    DescriptorBlocker blocker;
    submit_call();
    Run(Millis(500));
  }
  CHECK_EQUAL(1, failed);
  CHECK_FALSE(client.usable());
  Run(Millis(700));
  CHECK_TRUE(client.usable());
  submit_call();
  Run(Millis(200));
  CHECK_EQUAL(1, succeeded);
  CHECK_EQUAL(1, answered);
}

// Guards against a busy loop when no descriptor is left for a waiting caller.
// The listening socket stays readable, so an event loop that keeps watching it
// would spin and slow down the requests whose end frees descriptors.
TEST(descriptors, ListenerWithoutDescriptorsDoesNotSpin) {
  int port = ClaimPortRange();
  int accepted = 0;
  TcpListener listener(loop,
                       [&](std::shared_ptr<TcpConnection>) { ++accepted; });
  CHECK_TRUE(listener.Listen(Endpoint{"127.0.0.1", port}).ok());
  H2Server h2_server(loop, [](const H2Request&, std::shared_ptr<H2Stream>) {});
  CHECK_TRUE(h2_server.Listen("127.0.0.1", port + 1).ok());
  auto a =
      TcpConnection::Connect(loop, Endpoint{"127.0.0.1", port}, Millis(900));
  auto b = TcpConnection::Connect(loop, Endpoint{"127.0.0.1", port + 1},
                                  Millis(900));
  unsigned iterations = 0;
  {
    DescriptorBlocker blocker;
    unsigned first_iteration = ev_iteration(loop);
    Run(Millis(500));  // The timer of Run alone causes 250 iterations.
    iterations = ev_iteration(loop) - first_iteration;
  }
  CHECK_TRUE(iterations < 350);
  CHECK_EQUAL(0, accepted);
  Run(Millis(400));
  CHECK_EQUAL(1, accepted);
}

// Guards against idle callers that use up all descriptors and leave none for
// calls to upstreams. If there are more connections than allowed, those idle
// longest are closed. A busy connection is never closed.
TEST(descriptors, IdleCallersAreClosedForNewOnes) {
  CallerSink sink(loop, clock, 10);
  std::vector<std::shared_ptr<TcpConnection>> callers;
  std::vector<bool> closed(40, false);
  auto connect = [&](size_t i) {
    auto c = TcpConnection::Connect(loop, sink.endpoint, Millis(900));
    TcpEvents e;
    e.on_closed = [&closed, i](const absl::Status&) { closed[i] = true; };
    c->set_events(std::move(e));
    callers.push_back(c);
    Run(Millis(5));
  };
  connect(0);
  callers[0]->Write("GET /busy HTTP/1.1\r\nHost: x\r\n\r\n");
  Run(Millis(20));
  CHECK_EQUAL(1U, sink.requests.size());
  for (size_t i = 1; i < 40; ++i) connect(i);
  Run(Millis(50));
  CHECK_EQUAL(10U, sink.server.connections());
  CHECK_FALSE(closed[0]);
  for (size_t i = 1; i < 31; ++i) CHECK_TRUE(closed[i]);
  for (size_t i = 31; i < 40; ++i) CHECK_FALSE(closed[i]);
  sink.requests[0]->Respond(200, {}, "");
  Run(Millis(20));
  callers.clear();
  Run(Millis(20));
}

// Guards against closing a busy connection to accept a new caller. If all
// connections have a request in progress, a new caller waits in the listen
// backlog until one of the requests is answered.
TEST(descriptors, NewCallerWaitsWhileAllAreBusy) {
  CallerSink sink(loop, clock, 2);
  std::vector<std::shared_ptr<TcpConnection>> callers;
  for (int i = 0; i < 3; ++i) {
    callers.push_back(TcpConnection::Connect(loop, sink.endpoint, Millis(900)));
    callers.back()->Write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  Run(Millis(300));
  CHECK_EQUAL(2U, sink.requests.size());
  sink.requests[0]->Respond(200, {}, "");
  Run(Millis(200));
  CHECK_EQUAL(3U, sink.requests.size());
  callers.clear();
  Run(Millis(20));
}
