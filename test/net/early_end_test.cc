// Ends of answers that come before their requests are sent: a server answers
// without a length, in the middle of a long upload, and ends or resets the
// connection. Played with each client that reads answers.
#include <ev.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "http1_client.h"
#include "http_client.h"
#include "later.h"

using namespace medlarwalk;
using namespace medlarwalk::testing;

namespace {

// Far more than the buffers of a connection hold whose server reads nothing.
constexpr size_t kUploadBytes = size_t{8} << 20;
// Far more than a client needs to read a whole answer.
constexpr int kLaterMs = 500;
constexpr char kHalf[] = "HTTP/1.1 200 OK\r\n\r\nhalf";
constexpr char kOpen[] = "HTTP/1.1 200 OK\r\n\r\nfull";
constexpr char kSized[] = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull";
constexpr char kChunked[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "4\r\nfull\r\n0\r\n\r\n";

using Server = std::shared_ptr<TcpConnection>;

// A server that answers the first bytes of a request with `answer` and then
// treats the connection as `ending` says.
class EarlyServer {
 public:
  using Ending = std::function<void(struct ev_loop*, Server)>;

  EarlyServer(struct ev_loop* loop, std::string answer, Ending ending)
      : listener_(loop, [this, loop, answer, ending](Server tcp) {
          TcpEvents e;
          e.on_data = [this, loop, answer, ending,
                       t = tcp.get()](absl::string_view d) {
            bool first = received.empty();
            absl::StrAppend(&received, d);
            if (!first) return;
            t->SetReadPaused(true);
            t->Write(answer);
            ending(loop, t->shared_from_this());
          };
          tcp->set_events(std::move(e));
          open_.push_back(std::move(tcp));
        }) {
    CHECK_TRUE(listener_.Listen({"127.0.0.1", 0}).ok());
  }
  ~EarlyServer() {
    for (const Server& s : open_) s->Close();
  }
  Endpoint endpoint() const { return {"127.0.0.1", listener_.port()}; }
  std::string received;

 private:
  std::vector<Server> open_;
  TcpListener listener_;
};

// How a call ended.
struct Result {
  bool ended = false;
  bool whole = false;
  std::string body;
};

void Reset(struct ev_loop*, Server s) { s->CloseWithReset(); }

EarlyServer::Ending ResetAfter(int ms) {
  return [ms](struct ev_loop* loop, Server s) {
    CallAfter(loop, ms, [s] { s->CloseWithReset(); });
  };
}

EarlyServer::Ending EndThenResetAfter(int ms) {
  return [ms](struct ev_loop* loop, Server s) {
    s->ShutdownAfterWrites();
    if (ms == 0) {
      s->CloseWithReset();
    } else {
      CallAfter(loop, ms, [s] { s->CloseWithReset(); });
    }
  };
}

// The kernel resets the connection: bytes of the request are unread.
void CloseUnread(struct ev_loop*, Server s) { s->CloseAfterWrites(); }

// The kernel ends the connection and answers what still arrives with a reset.
void CloseAllRead(struct ev_loop*, Server s) {
  s->DiscardReceived();
  s->Close();
}

void EndAndReadOn(struct ev_loop*, Server s) {
  s->ShutdownAfterWrites();
  s->SetReadPaused(false);
}

void Stay(struct ev_loop*, Server) {}

void EndAndStay(struct ev_loop*, Server s) { s->ShutdownAfterWrites(); }

}  // namespace

TEST_GROUP(early_end) {
  struct ev_loop* loop = ev_loop_new(EVFLAG_AUTO);
  BootClock clock;
  const std::string upload = std::string(kUploadBytes, 'u');
  void teardown() override {
    ev_run(loop, 0);  // Ends when the last delayed call has been made.
    ev_loop_destroy(loop);
  }

  void AwaitEnd(const Result& result) {
    TimePoint until = clock.Now() + std::chrono::seconds(5);
    while (!result.ended && clock.Now() < until) ev_run(loop, EVRUN_ONCE);
    CHECK_TRUE(result.ended);
  }

  // Sends a request with `body` to `server`, by the client of servers.
  Result CallServer(const EarlyServer& server, const std::string& body) {
    auto client =
        Http1Client::Open(loop, clock, server.endpoint(), Millis(1000));
    Result out;
    UpstreamCall call;
    call.request = {
        "POST",
        "/",
        {{"Host", "a"}, {"Content-Length", absl::StrCat(body.size())}},
        body};
    call.on_head = [](const MessageHead&) { return true; };
    call.on_body = [&](absl::string_view d) { absl::StrAppend(&out.body, d); };
    call.on_end = [&](CallEnd end, absl::string_view) {
      out.ended = true;
      out.whole = end == CallEnd::kWhole;
    };
    client->Start(std::move(call));
    AwaitEnd(out);
    client->Close();
    return out;
  }

  // As CallServer(), by the client with which agents call engines.
  Result CallEngine(const EarlyServer& server, const std::string& body) {
    HttpClient client(loop);
    Result out;
    HttpCall call;
    call.url = absl::StrCat("http://", server.endpoint().ToString(), "/");
    call.body = body;
    call.on_data = [&](absl::string_view d) { absl::StrAppend(&out.body, d); };
    call.on_done = [&](const HttpCallResult& r) {
      out.ended = true;
      out.whole = r.status.ok();
    };
    client.Start(std::move(call));
    AwaitEnd(out);
    return out;
  }

  // Checks that no client takes half an answer, which ends so, for a whole one.
  void CheckCut(const char* name, const EarlyServer::Ending& ending) {
    EarlyServer first(loop, kHalf, ending);
    CHECK_FALSE_TEXT(CallServer(first, upload).whole, name);
    EarlyServer second(loop, kHalf, ending);
    CHECK_FALSE_TEXT(CallEngine(second, upload).whole, name);
  }

  // Checks that each client takes `answer` for whole, and that a server that
  // reads on gets no byte but those of the request.
  void CheckWhole(const char* name, const char* answer,
                  const EarlyServer::Ending& ending, const std::string& body) {
    auto check = [&](const EarlyServer& server, const Result& result) {
      CHECK_TRUE_TEXT(result.whole, name);
      STRCMP_EQUAL_TEXT("full", result.body.c_str(), name);
      size_t end = server.received.find("\r\n\r\n") + 4;
      std::string rest = server.received.substr(end);
      CHECK_TRUE_TEXT(absl::StartsWith(body, rest), name);
    };
    EarlyServer first(loop, answer, ending);
    check(first, CallServer(first, body));
    EarlyServer second(loop, answer, ending);
    check(second, CallEngine(second, body));
  }
};

// Guards against a part of an answer that is taken for a whole one: the server
// resets the connection while the upload is being written.
TEST(early_end, AResetDuringTheUploadIsNoEnd) {
  for (int i = 0; i < 10; ++i) CheckCut("at once", Reset);
  CheckCut("after 5 ms", ResetAfter(5));
  CheckCut("after 50 ms", ResetAfter(50));
  CheckCut("close with unread bytes", CloseUnread);
}

// Guards against a part of an answer that is taken for a whole one: the end of
// the connection arrives first, and the reset just after it.
TEST(early_end, AnEndWithAResetAfterItIsNoEnd) {
  for (int i = 0; i < 10; ++i) CheckCut("at once", EndThenResetAfter(0));
  for (int ms : {1, 5, 20, 60})
    CheckCut(absl::StrCat("after ", ms).c_str(), EndThenResetAfter(ms));
}

// Guards against a part of an answer that is taken for a whole one: the server
// has gone, which only the bytes show that are sent after the end.
TEST(early_end, AnEndAfterWhichNobodyReadsTheUploadIsNoEnd) {
  for (int i = 0; i < 5; ++i) CheckCut("close", CloseAllRead);
}

// Guards against the loss of a whole answer whose server does not want the rest
// of the upload, and against foreign bytes in the place of that rest.
TEST(early_end, SoundEarlyAnswersAreWhole) {
  CheckWhole("reads on", kOpen, EndAndReadOn, upload);
  CheckWhole("stays", kOpen, EndAndStay, upload);
  for (const char* answer : {kSized, kChunked}) {
    CheckWhole("reads on, length or chunks", answer, EndAndReadOn, upload);
    CheckWhole("stays, length or chunks", answer, Stay, upload);
    CheckWhole("reset later, length or chunks", answer, ResetAfter(kLaterMs),
               upload);
    CheckWhole("end, reset later, length or chunks", answer,
               EndThenResetAfter(kLaterMs), upload);
  }
  CheckWhole("small request", kOpen, EndAndReadOn, "u");
  CheckWhole("small request, close", kOpen, CloseAllRead, "u");
}

// Guards against a reset that a write has taken notice of and that the next
// read reports as an orderly end.
TEST(early_end, AResetThatAWriteMetIsNoEnd) {
  Server accepted;
  TcpListener listener(loop, [&](Server tcp) { accepted = std::move(tcp); });
  CHECK_TRUE(listener.Listen({"127.0.0.1", 0}).ok());
  auto client = TcpConnection::Connect(loop, {"127.0.0.1", listener.port()},
                                       Millis(1000));
  absl::Status end;
  bool closed = false;
  TcpEvents e;
  e.on_closed = [&](const absl::Status& s) {
    closed = true;
    end = s;
  };
  client->set_events(std::move(e));
  while (!accepted || !client->connected()) ev_run(loop, EVRUN_ONCE);
  accepted->Write("half");
  accepted->CloseWithReset();
  while (!client->PeerClosed()) ev_sleep(0.001);
  client->Write("request");
  TimePoint until = clock.Now() + std::chrono::seconds(5);
  while (!closed && clock.Now() < until) ev_run(loop, EVRUN_ONCE);
  CHECK_TRUE(closed);
  CHECK_FALSE(end.ok());
}
