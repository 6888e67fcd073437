// The server for callers: answers that are cut.
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <string>

#include "CppUTest/TestHarness.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "caller_server.h"
#include "procs.h"
#include "tcp.h"

using namespace medlarwalk;
using namespace medlarwalk::testing;

TEST_GROUP(caller_server_cut) {
  struct ev_loop* loop = nullptr;
  ManualClock clock;
  void setup() override {
    loop = ev_loop_new(EVFLAG_AUTO);
    clock.Advance(std::chrono::hours(1));
  }
  void teardown() override { ev_loop_destroy(loop); }

  // Runs the loop until done() or for about `ms` milliseconds; returns done().
  bool RunUntil(const std::function<bool()>& done, int ms) {
    for (int i = 0; i < ms && !done(); ++i) {
      ev_run(loop, EVRUN_NOWAIT);
      usleep(1000);
    }
    return done();
  }
};

// Guards against a whole answer that is lost to a reset because the answer
// after it on the connection is cut.
TEST(caller_server_cut, AWholeAnswerStaysWhenTheNextOneIsCut) {
  std::shared_ptr<CallerExchange> second;
  CallerServer server(loop, clock, [&](std::shared_ptr<CallerExchange> ex) {
    if (ex->head.target == "/first") {
      ex->Respond(200, {}, std::string(size_t{1} << 17, 'w'));
      return;
    }
    ex->StartAnswer(200, "OK", {});
    ex->Write("part");
    second = std::move(ex);
  });
  CHECK_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  auto caller =
      TcpConnection::Connect(loop, {"127.0.0.1", server.port()}, Millis(1000));
  size_t received = 0;
  bool closed = false;
  TcpEvents e;
  e.on_data = [&](absl::string_view d) { received += d.size(); };
  e.on_closed = [&](absl::Status) { closed = true; };
  caller->set_events(std::move(e));
  CHECK_TRUE(RunUntil([&] { return caller->connected(); }, 1000));
  caller->SetReadPaused(true);
  caller->Write(
      "GET /first HTTP/1.1\r\nHost: a\r\n\r\n"
      "GET /second HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK_TRUE(RunUntil([&] { return second != nullptr; }, 1000));
  second->Abort();
  RunUntil([] { return false; }, 50);
  caller->Write("POST /third HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n");
  RunUntil([] { return false; }, 50);
  caller->SetReadPaused(false);
  RunUntil([&] { return closed; }, 1000);
  CHECK_TRUE(received > size_t{1} << 17);
}
