// How the end of a message is decided: requests of callers, answers of servers
// and the doors that other libraries serve. Each case is sent over a socket.
#include <unistd.h>

#include <functional>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "agent.h"
#include "caller_server.h"
#include "http1_client.h"
#include "http_client.h"
#include "procs.h"
#include "settings.h"

using namespace medlarwalk;
using medlarwalk::testing::ClaimPortRange;

namespace {

// A request that stands inside the body of another one.
constexpr absl::string_view kInner =
    "POST /inner HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";

// Header fields with which the end of the body can't be told.
std::vector<std::string> MalformedFraming() {
  return {"Transfer-Encoding: xchunked",
          "Transfer-Encoding: chunked, identity",
          "Transfer-Encoding: identity",
          "Transfer-Encoding: identity, chunked",
          "Transfer-Encoding: gzip",
          "Transfer-Encoding: gzip, chunked",
          "Transfer-Encoding: deflate",
          "Transfer-Encoding: chunked, chunked",
          "Transfer-Encoding: chunked;q=1",
          "Transfer-Encoding: chunked;foo",
          "Transfer-Encoding: \"chunked\"",
          "Transfer-Encoding:",
          "Transfer-Encoding: ,",
          "Transfer-Encoding: chunked chunked",
          "Transfer-Encoding: chunke",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
          "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
          "Transfer-Encoding: xchunked\r\nContent-Length: 5",
          "Content-Length: 5\r\nTransfer-Encoding: xchunked",
          "Content-Length: 5\r\nTransfer-Encoding: chunked",
          "Transfer-Encoding: chunked\r\nContent-Length: 5",
          "Transfer-Encoding: chunked\r\nContent-Length: 0",
          "Transfer-Encoding : chunked",
          "Transfer-Encoding\t: chunked",
          "X: y\r\n Transfer-Encoding: chunked",
          "X: y\r\n\tContent-Length: 5",
          "Transfer-Encoding:\r\n chunked",
          "Transfer-Encoding: chunked\r\n identity",
          "Transfer-Encoding: \vchunked",
          "Transfer-Encoding: chunked\v",
          "Content-Length: 5, 6",
          "Content-Length: 5\r\nContent-Length: 6",
          "Content-Length: +5",
          "Content-Length: -5",
          "Content-Length: 0x5",
          "Content-Length: 5 5",
          "Content-Length:",
          "Content-Length: 5,",
          "Content-Length: 5;a",
          "Content-Length: 5.0",
          "Content-Length: \"5\"",
          "Content-Length: 18446744073709551621",
          "Content-Length : 5",
          "Content-Length: 5\r\n 6",
          "X: y\nContent-Length: 5",
          "X: y\rContent-Length: 5",
          "Content-Length: 5\nX: y"};
}

// Chunked bodies that no reader may accept.
std::vector<std::string> MalformedChunks() {
  return {" 5\r\nhello\r\n0\r\n\r\n",
          "0x5\r\nhello\r\n0\r\n\r\n",
          "+5\r\nhello\r\n0\r\n\r\n",
          "-5\r\nhello\r\n0\r\n\r\n",
          "5,\r\nhello\r\n0\r\n\r\n",
          "5g\r\nhello\r\n0\r\n\r\n",
          "\r\n5\r\nhello\r\n0\r\n\r\n",
          "5\nhello\r\n0\r\n\r\n",
          "5;a\nb\r\nhello\r\n0\r\n\r\n",
          "5;a=\"\n\"\r\nhello\r\n0\r\n\r\n",
          "5;a=\"\rb\"\r\nhello\r\n0\r\n\r\n",
          "5;a=\"b\r\nhello\r\n0\r\n\r\n",
          "0;a=\"b\r\n\r\n",
          "5\r\nhelloX\r\n0\r\n\r\n",
          "5\r\nhello0\r\n\r\n",
          "5\r\nhello\n0\r\n\r\n",
          "10000000000000005\r\nhello\r\n0\r\n\r\n",
          "5\r\nhello\r\n0\r\nContent-Length: 9\r\n\r\n",
          "5\r\nhello\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n",
          "5\r\nhello\r\n0\r\nbad line\r\n\r\n"};
}

// Three digits or fewer that are no status of HTTP.
constexpr absl::string_view kNoStatus[] = {"000", "001", "042", "099", "600",
                                           "700", "999", "0",   "20",  "2000",
                                           "2x0", "-20", "+20", "0x2", ""};

// Ends of a head, each with a body that its reader would take for whole.
constexpr absl::string_view kWholeBodies[] = {
    "Content-Length: 5\r\n\r\nhello", "\r\nhello",
    "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"};

// Returns answers whose final head has a status that is none, by itself and
// behind interim answers.
std::vector<std::string> AnswersWithoutAStatus() {
  std::vector<std::string> out;
  for (absl::string_view interim :
       {"", "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"}) {
    for (absl::string_view status : kNoStatus) {
      for (absl::string_view rest : kWholeBodies)
        out.push_back(
            absl::StrCat(interim, "HTTP/1.1 ", status, " X\r\n", rest));
    }
  }
  return out;
}

// Returns answers with a field whose name is no token: each byte that must not
// stand in a name, a blank before the colon, no name at all.
std::vector<std::string> AnswersWithABadFieldName() {
  std::vector<std::string> fields = {"X : y", "X\t: y", ": y", "X y: z",
                                     "Content Length: 5"};
  for (int c = 0; c < 256; ++c) {
    char byte = static_cast<char>(c);
    bool token = absl::ascii_isalnum(byte) ||
                 absl::StrContains("!#$%&'*+-.^_`|~:", std::string(1, byte));
    if (token && c != 0) continue;
    fields.push_back(absl::StrCat("X", std::string(1, byte), "Y: z"));
    fields.push_back(absl::StrCat("X", std::string(1, byte), ": z"));
  }
  std::vector<std::string> out;
  for (const std::string& field : fields) {
    for (absl::string_view rest : kWholeBodies)
      out.push_back(absl::StrCat("HTTP/1.1 200 OK\r\n", field, "\r\n", rest));
  }
  return out;
}

// Returns a chunked body that holds a request.
std::string ChunkedInner() {
  return absl::StrCat(absl::Hex(kInner.size()), "\r\n", kInner,
                      "\r\n0\r\n\r\n");
}

// What a server on the loop has seen, and what its caller got.
struct Outcome {
  std::vector<std::string> requests;  // "TARGET BODY" of each.
  std::string received;
  bool closed = false;
};

// Sends the bytes `answer` to whoever writes to it, and closes.
class AnsweringServer {
 public:
  AnsweringServer(struct ev_loop* loop, std::string answer)
      : answer_(std::move(answer)),
        listener_(loop, [this](std::shared_ptr<TcpConnection> tcp) {
          accepted_ = std::move(tcp);
          TcpEvents e;
          e.on_data = [this](absl::string_view) {
            accepted_->Write(answer_);
            accepted_->CloseAfterWrites();
          };
          accepted_->set_events(std::move(e));
        }) {
    CHECK_TRUE(listener_.Listen({"127.0.0.1", 0}).ok());
  }
  int port() const { return listener_.port(); }

 private:
  std::string answer_;
  std::shared_ptr<TcpConnection> accepted_;
  TcpListener listener_;
};

}  // namespace

TEST_GROUP(framing) {
  struct ev_loop* loop = nullptr;
  BootClock clock;
  void setup() override { loop = ev_loop_new(EVFLAG_AUTO); }
  void teardown() override { ev_loop_destroy(loop); }

  bool RunUntil(const std::function<bool()>& done, int ms) {
    for (int i = 0; i < ms * 10 && !done(); ++i) {
      ev_run(loop, EVRUN_NOWAIT);
      usleep(100);
    }
    return done();
  }

  // Sends `text` to a CallerServer: in one piece, or cut at `cut`, and after
  // it, once an answer has come, another request.
  Outcome Play(const std::string& text, size_t cut = 0,
               const CallerLimits& limits = {}) {
    Outcome out;
    CallerServer server(loop, clock, [&](std::shared_ptr<CallerExchange> ex) {
      out.requests.push_back(absl::StrCat(ex->head.target, " ", ex->body));
      ex->Respond(200, {}, "ok");
    });
    server.set_limits(limits);
    CHECK_TRUE(server.Listen({"127.0.0.1", 0}).ok());
    auto caller = TcpConnection::Connect(loop, {"127.0.0.1", server.port()},
                                         Millis(1000));
    TcpEvents e;
    e.on_data = [&](absl::string_view d) { absl::StrAppend(&out.received, d); };
    e.on_closed = [&](absl::Status) { out.closed = true; };
    caller->set_events(std::move(e));
    CHECK_TRUE(RunUntil([&] { return caller->connected(); }, 1000));
    caller->Write(absl::string_view(text).substr(0, cut));
    if (cut > 0) RunUntil([] { return false; }, 2);
    caller->Write(absl::string_view(text).substr(cut));
    CHECK_TRUE(RunUntil([&] { return !out.received.empty(); }, 1000));
    caller->Write("GET /after HTTP/1.1\r\nHost: a\r\n\r\n");
    RunUntil([&] { return out.closed || out.requests.size() > 1; }, 100);
    caller->Close();
    RunUntil([&] { return server.connections() == 0; }, 1000);
    return out;
  }

  // Checks that `text` is refused, the connection closed and no byte after it
  // read as a request.
  void CheckRefused(const std::string& text, size_t cut = 0) {
    Outcome out = Play(text, cut);
    std::string shown = absl::CEscape(text);
    CHECK_TRUE_TEXT(out.requests.empty(), shown.c_str());
    CHECK_TRUE_TEXT(absl::StartsWith(out.received, "HTTP/1.1 400 "),
                    absl::StrCat(shown, " got ", out.received).c_str());
    CHECK_TRUE_TEXT(
        absl::StrContains(out.received, "\r\nConnection: close\r\n"),
        shown.c_str());
    CHECK_TRUE_TEXT(out.closed, shown.c_str());
    // One answer only.
    LONGS_EQUAL_TEXT(0, out.received.rfind("HTTP/1.1"), shown.c_str());
  }

  // Checks that `text` is one request with the body `body`, and that the
  // connection stays open for the next one.
  void CheckWhole(const std::string& text, const std::string& body,
                  size_t cut = 0) {
    Outcome out = Play(text, cut);
    std::string shown = absl::CEscape(text);
    CHECK_TRUE_TEXT(out.requests.size() == 2, shown.c_str());
    STRCMP_EQUAL_TEXT(absl::StrCat("/ ", body).c_str(), out.requests[0].c_str(),
                      shown.c_str());
    STRCMP_EQUAL_TEXT("/after ", out.requests[1].c_str(), shown.c_str());
  }

  // Returns how a call ends to a server that answers `answer` and closes; its
  // body in `body`.
  CallEnd Call(const std::string& answer, std::string* body,
               const std::string& method = "GET") {
    AnsweringServer server(loop, answer);
    auto client = Http1Client::Open(loop, clock, {"127.0.0.1", server.port()},
                                    Millis(1000));
    bool ended = false;
    CallEnd end = CallEnd::kNotSent;
    UpstreamCall call;
    call.request = {method, "/", {{"Host", "a"}}, ""};
    call.on_head = [](const MessageHead&) { return true; };
    call.on_body = [&](absl::string_view d) { absl::StrAppend(body, d); };
    call.on_end = [&](CallEnd e, absl::string_view) {
      end = e;
      ended = true;
    };
    client->Start(std::move(call));
    CHECK_TRUE(RunUntil([&] { return ended; }, 2000));
    return end;
  }

  // As Call(), by the client with which agents call engines. Returns whether
  // the answer is whole.
  bool CallAsAgent(const std::string& answer, std::string* body) {
    AnsweringServer server(loop, answer);
    HttpClient client(loop);
    bool ended = false;
    bool whole = false;
    HttpCall call;
    call.method = "GET";
    call.url = absl::StrCat("http://127.0.0.1:", server.port(), "/");
    call.timeout = Millis(2000);
    call.on_data = [&](absl::string_view d) { absl::StrAppend(body, d); };
    call.on_done = [&](const HttpCallResult& r) {
      ended = true;
      whole = r.status.ok();
    };
    client.Start(std::move(call));
    CHECK_TRUE(RunUntil([&] { return ended; }, 3000));
    return whole;
  }

  // Checks that no reader takes any of `answers` or passes on a byte of it.
  void CheckNoAnswers(const std::vector<std::string>& answers) {
    for (const std::string& answer : answers) {
      std::string shown = absl::CEscape(answer);
      std::string body;
      CHECK_TRUE_TEXT(Call(answer, &body) == CallEnd::kNoAnswer, shown.c_str());
      CHECK_FALSE_TEXT(CallAsAgent(answer, &body), shown.c_str());
      STRCMP_EQUAL_TEXT("", body.c_str(), shown.c_str());
    }
  }
};

// Guards against a request inside the body of another one being run, and that
// one without its body: the entry can't tell the end of the body.
TEST(framing, ARequestThatCannotBeFramedIsRefused) {
  for (const std::string& field : MalformedFraming()) {
    std::string head =
        absl::StrCat("POST / HTTP/1.1\r\nHost: a\r\n", field, "\r\n\r\n");
    CheckRefused(absl::StrCat(head, kInner));
    CheckRefused(absl::StrCat(head, ChunkedInner()));
    CheckRefused(absl::StrCat(head, kInner), head.size());
    CheckRefused(absl::StrCat(head, kInner), head.size() - 3);
  }
}

// Guards against a smuggled request behind an ambiguous head: chunks in
// HTTP/1.0, a host or a length given twice.
TEST(framing, AmbiguousHeadsAreRefused) {
  CheckRefused(absl::StrCat(
      "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
      ChunkedInner()));
  for (absl::string_view field :
       {"Content-Length: 5\r\nContent-Length: 5", "Content-Length: 5, 5",
        "Host: b\r\nContent-Length: 5"}) {
    CheckRefused(absl::StrCat("POST / HTTP/1.1\r\nHost: a\r\n", field,
                              "\r\n\r\nhello", kInner));
  }
}

// Guards against a chunk whose end another reader sees elsewhere.
TEST(framing, MalformedChunksAreRefused) {
  for (const std::string& body : MalformedChunks()) {
    CheckRefused(
        absl::StrCat("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n",
                     body, kInner));
  }
}

// Guards against memory that a caller fills with a chunk extension or a trailer
// that never ends.
TEST(framing, EndlessChunkExtensionsAndTrailersAreRefused) {
  CallerLimits limits;
  limits.header_bytes = 1000;
  std::string filler(100'000, 'a');
  for (absl::string_view start : {"5;", "0\r\nX: ", "5;a=\""}) {
    Outcome out =
        Play(absl::StrCat("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
                          "chunked\r\n\r\n",
                          start, filler),
             0, limits);
    CHECK_TRUE(out.requests.empty());
    CHECK_TRUE(absl::StartsWith(out.received, "HTTP/1.1 413 "));
    CHECK_TRUE(out.closed);
  }
}

// Guards against the refusal of sound requests: any case, blanks around values,
// empty list elements, chunk extensions and trailers.
TEST(framing, SoundRequestsAreServed) {
  std::string inner(kInner);
  for (absl::string_view coding :
       {"Transfer-Encoding: chunked", "transfer-encoding: CHUNKED",
        "TRANSFER-ENCODING:chunked", "Transfer-Encoding:\tChunked \t",
        "Transfer-Encoding:   chunked  ", "Transfer-Encoding: chunked,",
        "Transfer-Encoding: , chunked",
        "Connection: Transfer-Encoding\r\nTransfer-Encoding: chunked"}) {
    std::string head =
        absl::StrCat("POST / HTTP/1.1\r\nHost: a\r\n", coding, "\r\n\r\n");
    CheckWhole(absl::StrCat(head, ChunkedInner()), inner);
    CheckWhole(absl::StrCat(head, ChunkedInner()), inner, head.size() + 1);
  }
  for (absl::string_view body :
       {"5;a=b\r\nhello\r\n0\r\n\r\n",
        "5 ; a = \"x y\"\r\nhello\r\n0;z\r\n\r\n",
        "2;q=\"\\\"\"\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
        "005\r\nhello\r\n000\r\n\r\n", "5\r\nhello\r\n0\r\nX: y\r\n\r\n",
        "5\r\nhello\r\n0\r\nHost: b\r\nX:\r\n\r\n"}) {
    std::string text = absl::StrCat(
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
        body);
    for (size_t cut = 0; cut < text.size(); cut += 7)
      CheckWhole(text, "hello", cut);
  }
  for (absl::string_view field :
       {"Content-Length: 5", "content-length:5", "Content-Length: \t 5 ",
        "Content-Length: 005",
        "Connection: Content-Length\r\nContent-Length: 5",
        "Connection: upgrade\r\nUpgrade: h2c\r\nContent-Length: 5"}) {
    CheckWhole(
        absl::StrCat("POST / HTTP/1.1\r\nHost: a\r\n", field, "\r\n\r\nhello"),
        "hello");
  }
  CheckWhole("POST / HTTP/1.1\r\nHost: a\r\n\r\n", "");
}

// Guards against a refusal that its caller never sees: a connection closed with
// unread bytes is reset, and the reset takes the answer with it.
TEST(framing, ARefusalReachesACallerThatIsStillSending) {
  std::string text = absl::StrCat(
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n",
      std::string(4 << 20, 'x'));
  CheckRefused(text);
}

// Guards against an answer that is cut, or whose coding is lost, and that looks
// whole.
TEST(framing, AnAnswerThatCannotBeFramedIsNotWhole) {
  std::string body;
  for (const std::string& field : MalformedFraming()) {
    for (const std::string& rest :
         {std::string("5\r\nhello\r\n0\r\n\r\n"), std::string(30, 'x')}) {
      std::string answer =
          absl::StrCat("HTTP/1.1 200 OK\r\n", field, "\r\n\r\n", rest);
      CHECK_TRUE_TEXT(Call(answer, &body) != CallEnd::kWhole,
                      absl::CEscape(answer).c_str());
    }
  }
  for (const std::string& chunks : MalformedChunks()) {
    std::string answer = absl::StrCat(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunks);
    CHECK_TRUE_TEXT(Call(answer, &body) != CallEnd::kWhole,
                    absl::CEscape(answer).c_str());
  }
  for (absl::string_view answer :
       {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nhello\r\n0\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
        "chunked\r\n\r\n5\r\nhello\r\n"}) {
    CHECK_TRUE_TEXT(Call(std::string(answer), &body) != CallEnd::kWhole,
                    absl::CEscape(answer).c_str());
  }
}

// Guards against the loss of sound answers: any case, blanks, a length told
// twice alike, chunk extensions, and bodies that end with their connection.
TEST(framing, SoundAnswersAreWhole) {
  for (absl::string_view rest :
       {"transfer-encoding: CHUNKED\r\n\r\n5;a=b\r\nhello\r\n0\r\nX: y\r\n\r\n",
        "Transfer-Encoding:chunked,\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "Content-Length: 5\r\n\r\nhello", "content-length:\t5 \r\n\r\nhello",
        "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
        "Connection: close\r\n\r\nhello", "\r\nhello"}) {
    std::string body;
    std::string answer = absl::StrCat("HTTP/1.1 200 OK\r\n", rest);
    CHECK_TRUE_TEXT(Call(answer, &body) == CallEnd::kWhole,
                    absl::CEscape(answer).c_str());
    STRCMP_EQUAL_TEXT("hello", body.c_str(), absl::CEscape(answer).c_str());
  }
  // Answers with these statuses have no body, whatever their fields say.
  for (absl::string_view answer :
       {"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"}) {
    std::string body;
    CHECK_TRUE(Call(std::string(answer), &body) == CallEnd::kWhole);
    STRCMP_EQUAL("", body.c_str());
  }
  std::string body;
  CHECK_TRUE(Call("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", &body,
                  "HEAD") == CallEnd::kWhole);
  CHECK_TRUE(Call("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                  "Content-Length: 5\r\n\r\nhello",
                  &body) == CallEnd::kWhole);
  STRCMP_EQUAL("hello", body.c_str());
}

// Guards against an engine's answer that an agent passes on as whole though its
// end can't be told.
TEST(framing, TheAgentsClientRefusesWhatCannotBeFramed) {
  for (const std::string& field : MalformedFraming()) {
    std::string answer = absl::StrCat("HTTP/1.1 200 OK\r\n", field, "\r\n\r\n",
                                      "5\r\nhello\r\n0\r\n\r\n");
    std::string body;
    CHECK_FALSE_TEXT(CallAsAgent(answer, &body), absl::CEscape(answer).c_str());
  }
}

// Guards against an answer whose status is none, such as 000, that is passed
// on.
TEST(framing, AnAnswerWithoutAStatusIsNoAnswer) {
  CheckNoAnswers(AnswersWithoutAStatus());
}

// Guards against an answer with an odd byte in a field's name that is passed
// on, with that field or with a body that isn't the server's.
TEST(framing, AnAnswerWithABadFieldNameIsNoAnswer) {
  CheckNoAnswers(AnswersWithABadFieldName());
}

// Guards against the loss of an answer with an unusual status.
TEST(framing, AnswersOfEveryStatusAreWhole) {
  for (int status : {200, 226, 299, 300, 399, 418, 499, 500, 599}) {
    std::string body;
    std::string answer = absl::StrCat("HTTP/1.1 ", status,
                                      " X\r\nContent-Length: 5\r\n\r\nhello");
    CHECK_TRUE(Call(answer, &body) == CallEnd::kWhole);
    CHECK_TRUE(CallAsAgent(answer, &body));
    STRCMP_EQUAL("hellohello", body.c_str());
  }
}

// Guards against a malformed request that an agent's metrics endpoint leaves
// without an answer, its connection open.
TEST(framing, TheAgentsMetricsEndpointRefusesWhatCannotBeFramed) {
  int port = ClaimPortRange();
  absl::StatusOr<Settings> settings = ParseSettings(DefaultSettingsJson(port));
  CHECK_TRUE(settings.ok());
  Agent agent(loop, clock, *settings, "agent-1", "");
  CHECK_TRUE(agent.Start().ok());
  Endpoint endpoint{"127.0.0.1", settings->FindHost("agent-1")->metrics_port};
  std::vector<std::string> fields = MalformedFraming();
  fields.emplace_back("X: sound");
  for (const std::string& field : fields) {
    std::string received;
    bool closed = false;
    auto caller = TcpConnection::Connect(loop, endpoint, Millis(1000));
    TcpEvents e;
    e.on_data = [&](absl::string_view d) { absl::StrAppend(&received, d); };
    e.on_closed = [&](absl::Status) { closed = true; };
    caller->set_events(std::move(e));
    CHECK_TRUE(RunUntil([&] { return caller->connected(); }, 1000));
    caller->Write(absl::StrCat("GET /metrics HTTP/1.1\r\nHost: a\r\n", field,
                               "\r\n\r\n", kInner));
    bool sound = &field == &fields.back();
    RunUntil([&] { return closed || (sound && !received.empty()); }, 300);
    CHECK_TRUE_TEXT(
        absl::StartsWith(received, sound ? "HTTP/1.1 200 " : "HTTP/1.1 400 "),
        absl::StrCat(absl::CEscape(field), " got ", received).c_str());
    CHECK_TRUE_TEXT(closed != sound, absl::CEscape(field).c_str());
  }
}
