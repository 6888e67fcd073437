// The server for callers: slow senders and pipelined requests.
#include "caller_server.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <string>

#include "CppUTest/TestHarness.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "procs.h"
#include "tcp.h"

using namespace medlarwalk;
using namespace medlarwalk::testing;

TEST_GROUP(caller_server) {
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

// Guards against a caller that occupies a connection forever by sending the
// head of its request byte by byte. A body may arrive slowly.
TEST(caller_server, SlowHeadIsCutOffAndSlowBodyIsNot) {
  int answered = 0;
  CallerServer server(loop, clock, [&](std::shared_ptr<CallerExchange> ex) {
    ++answered;
    ex->Respond(200, {}, "");
  });
  Endpoint endpoint{"127.0.0.1", ClaimPortRange()};
  CHECK_TRUE(server.Listen(endpoint).ok());
  auto send_slowly = [&](TcpConnection& c, absl::string_view text) {
    for (char byte : text) {
      c.Write(absl::string_view(&byte, 1));
      RunUntil([] { return false; }, 20);
      clock.Advance(std::chrono::seconds(1));
    }
  };
  auto slow_body = TcpConnection::Connect(loop, endpoint, Millis(1000));
  CHECK_TRUE(RunUntil([&] { return slow_body->connected(); }, 1000));
  slow_body->Write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 16\r\n\r\n");
  send_slowly(*slow_body, "0123456789abcdef");
  CHECK_TRUE(RunUntil([&] { return answered == 1; }, 1000));
  slow_body->Close();

  auto slow_head = TcpConnection::Connect(loop, endpoint, Millis(1000));
  CHECK_TRUE(RunUntil([&] { return slow_head->connected(); }, 1000));
  send_slowly(*slow_head, "GET / HTTP/1.1\r\n");
  CHECK_TRUE(RunUntil([&] { return server.connections() == 0; }, 1000));
  LONGS_EQUAL(1, answered);
}

// Guards against a stack overflow: the handler answers pipelined requests at
// once, and each answer must not be sent from within the previous one.
TEST(caller_server, PipelinedRequestsDoNotNest) {
  constexpr int kRequests = 500;
  int answered = 0;
  uintptr_t lowest = UINTPTR_MAX;
  uintptr_t highest = 0;
  CallerServer server(loop, clock, [&](std::shared_ptr<CallerExchange> ex) {
    char local = 0;
    auto position = reinterpret_cast<uintptr_t>(&local);
    lowest = std::min(lowest, position);
    highest = std::max(highest, position);
    ++answered;
    ex->Respond(200, {}, "");
  });
  Endpoint endpoint{"127.0.0.1", ClaimPortRange()};
  CHECK_TRUE(server.Listen(endpoint).ok());
  auto caller = TcpConnection::Connect(loop, endpoint, Millis(1000));
  std::string answers;
  TcpEvents e;
  e.on_data = [&](absl::string_view d) { absl::StrAppend(&answers, d); };
  caller->set_events(std::move(e));
  CHECK_TRUE(RunUntil([&] { return caller->connected(); }, 1000));
  std::string requests;
  for (int i = 0; i < kRequests; ++i) {
    absl::StrAppend(&requests, "GET /", i, " HTTP/1.1\r\nHost: a\r\n\r\n");
  }
  absl::StrAppend(&requests, "GET / HTTP/1.1\r\nHost: a\r\n",
                  "Connection: close\r\n\r\nGET /late HTTP/1.1\r\n\r\n");
  caller->Write(requests);
  CHECK_TRUE(RunUntil([&] { return server.connections() == 0; }, 2000));
  LONGS_EQUAL(kRequests + 1, answered);
  CHECK_TRUE(highest - lowest < 4096);
}

// Guards against a request that is never answered: the last one of a
// connection, whose body arrives after its head.
TEST(caller_server, LastRequestMayArriveInPieces) {
  std::string body;
  CallerServer server(loop, clock, [&](std::shared_ptr<CallerExchange> ex) {
    body = ex->body;
    ex->Respond(200, {}, "");
  });
  Endpoint endpoint{"127.0.0.1", ClaimPortRange()};
  CHECK_TRUE(server.Listen(endpoint).ok());
  auto caller = TcpConnection::Connect(loop, endpoint, Millis(1000));
  CHECK_TRUE(RunUntil([&] { return caller->connected(); }, 1000));
  caller->Write(
      "PUT / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
      "Content-Length: 10\r\n\r\n01234");
  CHECK_TRUE(RunUntil([&] { return server.connections() == 1; }, 1000));
  RunUntil([] { return false; }, 20);
  caller->Write("56789");
  CHECK_TRUE(RunUntil([&] { return !body.empty(); }, 1000));
  STRCMP_EQUAL("0123456789", body.c_str());
}

// Guards against a refused caller that keeps its connection, by sending on and
// on: it is closed within a second, and no byte of it is read as a request.
TEST(caller_server, ARefusedCallerIsClosedThoughItSendsOn) {
  int answered = 0;
  CallerServer server(loop, clock, [&](std::shared_ptr<CallerExchange> ex) {
    ++answered;
    ex->Respond(200, {}, "");
  });
  CHECK_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  auto caller =
      TcpConnection::Connect(loop, {"127.0.0.1", server.port()}, Millis(1000));
  CHECK_TRUE(RunUntil([&] { return caller->connected(); }, 1000));
  caller->Write("POST / HTTP/1.1\r\nTransfer-Encoding: x\r\n\r\n");
  CHECK_TRUE(RunUntil([&] { return server.connections() == 1; }, 1000));
  for (int i = 0; i < 8 && server.connections() > 0; ++i) {
    clock.Advance(Millis(250));
    caller->Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    RunUntil([&] { return server.connections() == 0; }, 300);
  }
  LONGS_EQUAL(0, server.connections());
  LONGS_EQUAL(0, server.requests_in_progress());
  LONGS_EQUAL(0, answered);
}

// Guards against a use after free at a planned stop: an exchange that is held
// beyond its server must not reach back into it.
TEST(caller_server, AnExchangeOutlivesItsServer) {
  std::shared_ptr<CallerExchange> held;
  bool disconnected = false;
  auto server = std::make_unique<CallerServer>(
      loop, clock, [&](std::shared_ptr<CallerExchange> ex) {
        held = std::move(ex);
        held->set_on_disconnect([&] { disconnected = true; });
      });
  CHECK_TRUE(server->Listen({"127.0.0.1", 0}).ok());
  auto caller =
      TcpConnection::Connect(loop, {"127.0.0.1", server->port()}, Millis(1000));
  CHECK_TRUE(RunUntil([&] { return caller->connected(); }, 1000));
  caller->Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK_TRUE(RunUntil([&] { return held != nullptr; }, 1000));
  server.reset();
  CHECK_TRUE(held->disconnected());
  CHECK_FALSE(disconnected);
  held->Respond(200, {}, "late");
}

// Guards against an answer that is cut though it is complete and its caller is
// reading it: at a planned stop, at the idle timeout and at the limit of
// connections. A caller that reads nothing holds the stop for seconds only.
TEST(caller_server, AnAnswerThatIsBeingReadIsNotCut) {
  const std::string body(8 << 20, 'x');
  CallerServer server(loop, clock, [&](std::shared_ptr<CallerExchange> ex) {
    ex->Respond(200, {}, body);
  });
  server.set_max_connections(1);
  CHECK_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  for (bool reads : {true, false}) {
    for (bool closes : {true, false}) {
      auto caller = TcpConnection::Connect(loop, {"127.0.0.1", server.port()},
                                           Millis(1000));
      size_t received = 0;
      TcpEvents e;
      e.on_data = [&](absl::string_view d) { received += d.size(); };
      caller->set_events(std::move(e));
      CHECK_TRUE(RunUntil([&] { return caller->connected(); }, 1000));
      caller->SetReadPaused(true);
      caller->Write(absl::StrCat("GET / HTTP/1.1\r\nHost: a\r\n",
                                 closes ? "Connection: close\r\n" : "",
                                 "\r\n"));
      CHECK_TRUE(
          RunUntil([&] { return server.requests_in_progress() == 1; }, 1000));
      RunUntil([] { return false; }, 50);
      // One that waits for a place does not push it out.
      auto newcomer = TcpConnection::Connect(loop, {"127.0.0.1", server.port()},
                                             Millis(1000));
      for (int i = 0; i < 40 && received < body.size(); ++i) {
        server.CloseIdleConnections();
        if (reads) {
          caller->SetReadPaused(false);
          size_t before = received;
          RunUntil([&] { return received > before + body.size() / 20; }, 200);
          caller->SetReadPaused(true);
        }
        clock.Advance(Millis(500));
        RunUntil([] { return false; }, 5);
        if (!reads && i >= 6) LONGS_EQUAL(0, server.requests_in_progress());
      }
      newcomer->Close();
      CHECK_EQUAL(reads, received > body.size());
      caller->Close();
      CHECK_TRUE(RunUntil([&] { return server.connections() == 0; }, 1000));
    }
  }
}

// Guards against an answer that is cut while its caller reads it, because the
// next request of the connection is refused as malformed.
TEST(caller_server, ARefusalDoesNotCutTheAnswerBeforeIt) {
  const std::string body(8 << 20, 'x');
  CallerServer server(loop, clock, [&](std::shared_ptr<CallerExchange> ex) {
    ex->Respond(200, {}, body);
  });
  CHECK_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  auto caller =
      TcpConnection::Connect(loop, {"127.0.0.1", server.port()}, Millis(1000));
  std::string received;
  bool closed = false;
  TcpEvents e;
  e.on_data = [&](absl::string_view d) { absl::StrAppend(&received, d); };
  e.on_closed = [&](absl::Status) { closed = true; };
  caller->set_events(std::move(e));
  CHECK_TRUE(RunUntil([&] { return caller->connected(); }, 1000));
  caller->SetReadPaused(true);
  caller->Write(
      "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: x\r\n\r\n");
  CHECK_TRUE(
      RunUntil([&] { return server.requests_in_progress() == 1; }, 1000));
  for (int i = 0; i < 40 && !closed; ++i) {
    server.CloseIdleConnections();
    caller->SetReadPaused(false);
    size_t before = received.size();
    RunUntil(
        [&] { return closed || received.size() > before + body.size() / 20; },
        300);
    caller->SetReadPaused(true);
    clock.Advance(Millis(500));
    RunUntil([] { return false; }, 300);
  }
  CHECK_TRUE(received.size() > body.size());
  CHECK_TRUE(absl::StrContains(received, "HTTP/1.1 400 "));
}

// Guards against memory that grows by the answers of callers that read nothing.
// The one that reads still gets its whole answer.
TEST(caller_server, AnswersThatCallersDoNotReadAreBoundedInSum) {
  constexpr size_t kAnswerBytes = size_t{8} << 20;
  constexpr int kSilentCallers = 6;
  const std::string body(kAnswerBytes, 'b');
  CallerServer server(loop, clock, [&](std::shared_ptr<CallerExchange> ex) {
    ex->Respond(200, {}, body);
  });
  server.set_max_unsent_bytes(2 * kAnswerBytes);
  Endpoint endpoint{"127.0.0.1", ClaimPortRange()};
  CHECK_TRUE(server.Listen(endpoint).ok());
  std::vector<std::shared_ptr<TcpConnection>> callers;
  auto call = [&](bool reads, size_t* received) {
    auto tcp = TcpConnection::Connect(loop, endpoint, Millis(1000));
    TcpEvents events;
    events.on_data = [received](absl::string_view d) { *received += d.size(); };
    tcp->set_events(std::move(events));
    CHECK_TRUE(RunUntil([&] { return tcp->connected(); }, 1000));
    tcp->SetReadPaused(!reads);
    tcp->Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    callers.push_back(tcp);
    RunUntil([] { return false; }, 20);
    clock.Advance(Millis(200));
  };
  size_t unread = 0;
  for (int i = 0; i < kSilentCallers; ++i) call(false, &unread);
  CHECK_TRUE(server.connections() <= 4);
  size_t received = 0;
  call(true, &received);
  CHECK_TRUE(RunUntil([&] { return received > kAnswerBytes; }, 2000));
  CHECK_TRUE(server.connections() <= 4);
}

// Guards against an answer that is lost to a reset: the last one of a
// connection, whose caller is still sending its next request. A caller that
// sends without end is closed.
TEST(caller_server, ALastAnswerStaysWhileItsCallerSends) {
  CallerServer server(loop, clock, [&](std::shared_ptr<CallerExchange> ex) {
    ex->Respond(200, {}, "whole");
  });
  CHECK_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  for (int seconds : {3, 60}) {
    auto caller = TcpConnection::Connect(loop, {"127.0.0.1", server.port()},
                                         Millis(1000));
    bool closed = false;
    TcpEvents e;
    e.on_closed = [&](absl::Status) { closed = true; };
    caller->set_events(std::move(e));
    CHECK_TRUE(RunUntil([&] { return caller->connected(); }, 1000));
    // It reads nothing yet, so it learns of a close by a reset only.
    caller->SetReadPaused(true);
    caller->Write(
        "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n");
    CHECK_TRUE(RunUntil([&] { return server.connections() == 1; }, 1000));
    for (int i = 0; i < seconds * 2 && server.connections() > 0; ++i) {
      caller->Write("bytes of its body");
      RunUntil([] { return false; }, 300);
      clock.Advance(Millis(500));
    }
    LONGS_EQUAL(seconds == 3 ? 1 : 0, server.connections());
    clock.Advance(Millis(3100));
    CHECK_TRUE(RunUntil([&] { return server.connections() == 0; }, 1000));
    caller->Close();
  }
}

// Guards against a stop that ends while a caller still sends after its last
// answer: the end of the process resets the connection, and the answer with it.
TEST(caller_server, AStopWaitsForCallersThatSendAfterTheirLastAnswer) {
  CallerServer server(loop, clock, [&](std::shared_ptr<CallerExchange> ex) {
    ex->Respond(200, {}, "whole");
  });
  CHECK_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  auto caller =
      TcpConnection::Connect(loop, {"127.0.0.1", server.port()}, Millis(1000));
  CHECK_TRUE(RunUntil([&] { return caller->connected(); }, 1000));
  server.CloseAfterAnswers();
  caller->SetReadPaused(true);
  caller->Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK_TRUE(RunUntil([&] { return server.connections() == 1; }, 1000));
  RunUntil([] { return false; }, 50);
  caller->Write("POST / HTTP/1.1\r\nHo");
  RunUntil([] { return false; }, 50);
  server.StopAccepting();
  LONGS_EQUAL(1, server.requests_in_progress());
  caller->Write("st: a\r\n");
  RunUntil([] { return false; }, 50);
  LONGS_EQUAL(1, server.requests_in_progress());
  caller->Close();
  CHECK_TRUE(
      RunUntil([&] { return server.requests_in_progress() == 0; }, 1000));
}

// Guards against a request that is lost at a stop because its connection waits
// in the listen backlog when the listener closes.
TEST(caller_server, AConnectionInTheBacklogIsServedAtAStop) {
  int answered = 0;
  CallerServer server(loop, clock, [&](std::shared_ptr<CallerExchange> ex) {
    ++answered;
    ex->Respond(200, {}, "");
  });
  CHECK_TRUE(server.Listen({"127.0.0.1", 0}).ok());
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  CHECK_TRUE(ToSockaddr({"127.0.0.1", server.port()}, &at));
  CHECK_EQUAL(0, connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)));
  constexpr absl::string_view kGet = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  CHECK_EQUAL(static_cast<ssize_t>(kGet.size()),
              send(fd, kGet.data(), kGet.size(), MSG_NOSIGNAL));
  server.StopAccepting();
  CHECK_TRUE(RunUntil([&] { return answered == 1; }, 1000));
  char buf[16];
  CHECK_TRUE(recv(fd, buf, sizeof(buf), 0) > 0);
  close(fd);
}
