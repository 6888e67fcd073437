// Detection of the end of an answer, for each way in which an answer can end.
// Each answer is truncated at every byte, by an orderly close and by a reset; a
// truncated answer must never count as complete.
#include <ev.h>

#include <functional>
#include <memory>
#include <string>

#include "CppUTest/TestHarness.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "agent.h"
#include "agent_link.h"
#include "http1_client.h"
#include "later.h"
#include "procs.h"
#include "settings.h"

using namespace medlarwalk;
using namespace medlarwalk::testing;

namespace {

// What a scripted server does with its connection after it has sent its last
// piece.
enum class Ending { kStay, kClose, kReset };

// A server that answers the first bytes it receives with `pieces`, one at a
// time.
class ScriptedServer {
 public:
  ScriptedServer(struct ev_loop* loop, std::vector<std::string> pieces,
                 Ending ending, int port = 0)
      : listener_(loop, [=](std::shared_ptr<TcpConnection> tcp) {
          auto answered = std::make_shared<bool>(false);
          TcpConnection* t = tcp.get();
          TcpEvents events;
          events.on_data = [=](absl::string_view) {
            if (*answered) return;
            *answered = true;
            SendPiece(loop, t->shared_from_this(), pieces, 0, ending);
          };
          events.on_closed = [this](const absl::Status&) {
            ++closed_by_client_;
          };
          tcp->set_events(std::move(events));
          open_.push_back(std::move(tcp));
        }) {
    CHECK_TRUE(listener_.Listen({"127.0.0.1", port}).ok());
  }
  Endpoint endpoint() const { return {"127.0.0.1", listener_.port()}; }
  // Returns the number of connections that clients have closed.
  int closed_by_client() const { return closed_by_client_; }

 private:
  static void SendPiece(struct ev_loop* loop,
                        std::shared_ptr<TcpConnection> tcp,
                        const std::vector<std::string>& pieces, size_t next,
                        Ending ending) {
    if (next < pieces.size()) tcp->Write(pieces[next]);
    if (next + 1 < pieces.size()) {
      // The delay is long enough for the client to read the pieces one by one.
      CallAfter(loop, 20,
                [=] { SendPiece(loop, tcp, pieces, next + 1, ending); });
    } else if (ending == Ending::kClose) {
      tcp->CloseAfterWrites();
    } else if (ending == Ending::kReset) {
      // The reset is delayed until the client has read the bytes, because a
      // reset drops bytes in transit.
      CallAfter(loop, 2, [tcp] { tcp->CloseWithReset(); });
    }
  }
  int closed_by_client_ = 0;
  std::vector<std::shared_ptr<TcpConnection>> open_;
  TcpListener listener_;
};

// Result of a call as reported by the callbacks of the link.
struct CallResult {
  bool ended = false;
  CallEnd end = CallEnd::kNotSent;
  int status = 0;
  std::string body;
  std::string why;
};

UpstreamCall MakeGetCall(CallResult* result) {
  UpstreamCall u;
  u.request.method = "GET";
  u.request.target = "/";
  u.request.headers = {{"host", "x"}};
  u.on_head = [result](const MessageHead& h) {
    result->status = h.status;
    return true;
  };
  u.on_body = [result](absl::string_view d) {
    result->body.append(d.data(), d.size());
  };
  u.on_end = [result](CallEnd end, absl::string_view why) {
    result->ended = true;
    result->end = end;
    result->why = std::string(why);
  };
  return u;
}

bool RunLoopUntil(struct ev_loop* loop, const std::function<bool()>& done,
                  int ms = 2000) {
  BootClock clock;
  TimePoint until = clock.Now() + Millis(ms);
  while (!done() && clock.Now() < until) ev_run(loop, EVRUN_ONCE);
  return done();
}

CallResult CallOverHttp1(struct ev_loop* loop, const std::string& answer,
                         Ending ending) {
  BootClock clock;
  ScriptedServer peer(loop, {answer}, ending);
  auto c = Http1Client::Open(loop, clock, peer.endpoint(), Millis(1000));
  CallResult result;
  c->Start(MakeGetCall(&result));
  CHECK_TRUE(RunLoopUntil(loop, [&] { return result.ended; }));
  c->Close();
  return result;
}

CallResult CallOverHttp2(struct ev_loop* loop, const std::string& answer,
                         Ending ending) {
  BootClock clock;
  ScriptedServer peer(loop, {answer}, ending);
  H2Client client(loop, clock, "127.0.0.1", peer.endpoint().port, Millis(1000),
                  Millis(3000));
  auto link = std::make_shared<AgentLink>(client);
  CallResult result;
  link->Start(MakeGetCall(&result));
  CHECK_TRUE(RunLoopUntil(loop, [&] { return result.ended; }));
  return result;
}

// Calls an engine through a new agent beside it.
CallResult CallThroughAgent(struct ev_loop* loop, const Settings& settings,
                            std::vector<std::string> pieces, Ending ending) {
  BootClock clock;
  const UpstreamSettings* engine = settings.FindUpstream("ledgerhand-1");
  const HostSettings* host = settings.FindHost(engine->agent);
  Endpoint endpoint;
  CHECK_TRUE(ParseEndpoint(engine->url.substr(7), &endpoint).ok());
  ScriptedServer peer(loop, std::move(pieces), ending, endpoint.port);
  Agent agent(loop, clock, settings, host->name, "");
  CHECK_TRUE(agent.Start().ok());
  H2Client client(loop, clock, "127.0.0.1", host->port, Millis(1000),
                  Millis(3000));
  auto link = std::make_shared<AgentLink>(client);
  CallResult result;
  UpstreamCall u = MakeGetCall(&result);
  u.request.headers = {{kH2Upstream, engine->name}};
  link->Start(std::move(u));
  CHECK_TRUE(RunLoopUntil(loop, [&] { return result.ended; }));
  return result;
}

std::string Frame(char type, char flags, char stream, std::string payload) {
  std::string out(9, '\0');
  out[2] = static_cast<char>(payload.size());
  out[3] = type;
  out[4] = flags;
  out[8] = stream;
  return out + payload;
}

// HTTP/2 frames SETTINGS and HEADERS with ":status: 200".
const std::string kH2AnswerHead = Frame(4, 0, 0, "") + Frame(1, 4, 1, "\x88");

}  // namespace

TEST_GROUP(answer_end) {
  struct ev_loop* loop = ev_loop_new(EVFLAG_AUTO);
  void teardown() override { ev_loop_destroy(loop); }

  // Checks that the full `answer` is complete, with `body` bytes
  // and its end detected by `end_detected_by`. When truncated at any byte, the
  // answer must be incomplete.
  void CheckEveryTruncation(const std::string& answer, size_t body,
                            const char* end_detected_by) {
    CallResult whole = CallOverHttp1(loop, answer, Ending::kStay);
    CHECK_TRUE(whole.end == CallEnd::kWhole);
    STRCMP_EQUAL(end_detected_by, whole.why.c_str());
    LONGS_EQUAL(body, whole.body.size());
    for (size_t length = 0; length < answer.size(); ++length) {
      for (Ending ending : {Ending::kClose, Ending::kReset}) {
        CallResult cut = CallOverHttp1(loop, answer.substr(0, length), ending);
        CHECK_TRUE_TEXT(
            cut.end == CallEnd::kInterrupted || cut.end == CallEnd::kNoAnswer,
            absl::StrCat("cut after ", length, " bytes").c_str());
      }
    }
  }
};

TEST(answer_end, ContentLengthMarksTheEnd) {
  CheckEveryTruncation(
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndata: a\n\n", 9, "length");
}

TEST(answer_end, LastChunkMarksTheEnd) {
  CheckEveryTruncation(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
      "chunked\r\n\r\n5\r\ndata:\r\n4\r\n a\n\n\r\n0\r\n\r\n",
      9, "last_chunk");
}

// Without a length, an orderly close at any byte after the head ends the
// answer. After a reset the answer is never complete, even if its last byte has
// arrived.
TEST(answer_end, OrderlyCloseMarksTheEndWithoutALength) {
  const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
  const std::string answer = head + "data: a\n\n";
  for (size_t length = 0; length <= answer.size(); ++length) {
    CallResult closed =
        CallOverHttp1(loop, answer.substr(0, length), Ending::kClose);
    CHECK_EQUAL(length >= head.size(), closed.end == CallEnd::kWhole);
    if (closed.end == CallEnd::kWhole) {
      STRCMP_EQUAL("close", closed.why.c_str());
      LONGS_EQUAL(length - head.size(), closed.body.size());
    }
    CallResult reset =
        CallOverHttp1(loop, answer.substr(0, length), Ending::kReset);
    CHECK_FALSE(reset.end == CallEnd::kWhole);
  }
}

TEST(answer_end, EndStreamMarksTheEndOfAnAgentStream) {
  const std::string answer = kH2AnswerHead + Frame(0, 1, 1, "data: a\n\n");
  CallResult whole = CallOverHttp2(loop, answer, Ending::kStay);
  CHECK_TRUE(whole.end == CallEnd::kWhole);
  STRCMP_EQUAL("stream_end", whole.why.c_str());
  STRCMP_EQUAL("data: a\n\n", whole.body.c_str());
  for (size_t length = 0; length < answer.size(); ++length) {
    for (Ending ending : {Ending::kClose, Ending::kReset}) {
      CallResult cut = CallOverHttp2(loop, answer.substr(0, length), ending);
      CHECK_FALSE_TEXT(cut.end == CallEnd::kWhole,
                       absl::StrCat("cut after ", length, " bytes").c_str());
    }
  }
}

// Guards against relaying an abandoned stream as complete. The agent sends the
// head and one event, then abandons the stream with RST_STREAM and the code
// NO_ERROR instead of END_STREAM. NO_ERROR does not mean that the answer is
// complete.
TEST(answer_end, ResetWithNoErrorIsNotTheEnd) {
  const std::string reset = Frame(3, 0, 1, std::string(4, '\0'));
  CallResult result =
      CallOverHttp2(loop, kH2AnswerHead + Frame(0, 0, 1, "data: a\n\n") + reset,
                    Ending::kStay);
  CHECK_TRUE(result.end == CallEnd::kInterrupted);
}

// Guards against a status that is none, such as 000, on a link to another
// process: its head is no answer, by itself or behind an interim one.
TEST(answer_end, AnAnswerOnALinkNeedsAStatus) {
  const std::string settings = Frame(4, 0, 0, "");
  // A literal field with the name ":status" of the static table.
  auto head = [](const std::string& status) {
    return Frame(1, 4, 1, "\x08\x03" + status);
  };
  const std::string body = Frame(0, 1, 1, "data: a\n\n");
  for (const std::string& interim : {std::string(), head("100")}) {
    for (const char* status : {"000", "042", "099", "600", "999"}) {
      CallResult result = CallOverHttp2(
          loop, settings + interim + head(status) + body, Ending::kStay);
      CHECK_TRUE_TEXT(result.end == CallEnd::kNoAnswer, status);
      LONGS_EQUAL(0, result.status);
      STRCMP_EQUAL("", result.body.c_str());
    }
    CallResult result = CallOverHttp2(
        loop, settings + interim + head("203") + body, Ending::kStay);
    CHECK_TRUE(result.end == CallEnd::kWhole);
    LONGS_EQUAL(203, result.status);
  }
}

// Guards against an answer on a link to another process with an odd byte in a
// field, which is passed on without that field.
TEST(answer_end, AnAnswerOnALinkNeedsSoundFields) {
  // A literal field with a name and a value of its own.
  auto field = [](const std::string& name, const std::string& value) {
    return std::string(1, '\0') + static_cast<char>(name.size()) + name +
           static_cast<char>(value.size()) + value;
  };
  auto call = [&](const std::string& fields) {
    return CallOverHttp2(loop,
                         Frame(4, 0, 0, "") + Frame(1, 4, 1, "\x88" + fields) +
                             Frame(0, 1, 1, "data: a\n\n"),
                         Ending::kStay);
  };
  CHECK_TRUE(call(field("x-y", "a b")).end == CallEnd::kWhole);
  for (const std::string& bad :
       {field("x y", "z"), field("x-y ", "z"), field("x\x01", "z"),
        field(std::string("x\0y", 3), "z"), field("x\x7f", "z"), field("", "z"),
        field("x-y", "a\rb"), field("x-y", "a\nb"),
        field("x-y", std::string("a\0b", 3))}) {
    CallResult result = call(bad);
    CHECK_TRUE_TEXT(result.end == CallEnd::kNoAnswer,
                    absl::CEscape(bad).c_str());
    STRCMP_EQUAL("", result.body.c_str());
  }
}

// Guards against an engine's answer whose status is none, such as 000, that an
// agent passes on.
TEST(answer_end, AnAnswerThroughAnAgentNeedsAStatus) {
  const Settings settings =
      *ParseSettings(DefaultSettingsJson(ClaimPortRange()));
  for (const char* interim : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
    for (const char* status : {"000", "042", "099", "600", "999"}) {
      CallResult result = CallThroughAgent(
          loop, settings,
          {absl::StrCat(interim, "HTTP/1.1 ", status,
                        " X\r\nContent-Length: 5\r\n\r\nshort")},
          Ending::kStay);
      CHECK_TRUE_TEXT(result.end == CallEnd::kWhole, status);
      LONGS_EQUAL_TEXT(502, result.status, status);
    }
  }
}

// Guards against relaying an unfinished stream as complete. The engine answers
// without a length, the first piece that the agent reads ends inside "data:",
// and the engine closes the connection before "[DONE]". An agent that
// recognizes streams only by "data:" at the start of the first piece would take
// this stream for a plain answer, which ends when its connection closes.
TEST(answer_end, StreamWithAShortFirstPieceIsRecognized) {
  const Settings settings =
      *ParseSettings(DefaultSettingsJson(ClaimPortRange()));
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
  std::string stream = "data: a\n\ndata: [DONE]\n\n";
  auto end_of = [&](const std::string& rest) {
    return CallThroughAgent(loop, settings, {head + "da", rest}, Ending::kClose)
        .end;
  };
  CHECK_TRUE(end_of(stream.substr(2)) == CallEnd::kWhole);
  CHECK_FALSE(end_of(stream.substr(2, 7)) == CallEnd::kWhole);
}

// Guards against a 200 framed as whole with an empty body: an upstream stops in
// the middle of its answer's head and closes.
TEST(answer_end, AHeadCutOffAtAnyByteIsNoAnswerThroughAnAgent) {
  const Settings settings =
      *ParseSettings(DefaultSettingsJson(ClaimPortRange()));
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
  for (const char* rest : {"\r\nshort", "Content-Length: 5\r\n\r\nshort"}) {
    const std::string answer = head + rest;
    CallResult whole =
        CallThroughAgent(loop, settings, {answer}, Ending::kClose);
    CHECK_TRUE(whole.end == CallEnd::kWhole);
    LONGS_EQUAL(200, whole.status);
    STRCMP_EQUAL("short", whole.body.c_str());
    size_t head_bytes = answer.find("\r\n\r\n") + 4;
    for (size_t length = 1; length < head_bytes; ++length) {
      for (Ending ending : {Ending::kClose, Ending::kReset}) {
        CallResult cut = CallThroughAgent(loop, settings,
                                          {answer.substr(0, length)}, ending);
        CHECK_TRUE_TEXT(
            cut.status / 100 == 5 || cut.end != CallEnd::kWhole,
            absl::StrCat("cut after ", length, " bytes: ", cut.status).c_str());
      }
    }
  }
}

// Guards against an engine that continues a prefill after the caller has
// disconnected. The call is cancelled before the engine has sent a byte. The
// link must then close the connection at once, not at the engine's next byte or
// after the timeout of 30 s.
TEST(answer_end, CancelledCallIsClosedAtOnce) {
  ScriptedServer peer(loop, {}, Ending::kStay);
  HttpClient client(loop);
  HttpCall call;
  call.url = absl::StrCat("http://", peer.endpoint().ToString(), "/");
  uint64_t id = client.Start(std::move(call));
  CallAfter(loop, 50, [&] { client.Cancel(id); });
  CHECK_TRUE(RunLoopUntil(
      loop, [&] { return peer.closed_by_client() == 1; }, 500));
  LONGS_EQUAL(0, client.active());
}
