// How the end of an answer is known, in every way an answer can end: each is
// cut at every byte, by an orderly close and by a reset, and a cut answer must
// never be taken for a whole one.
#include <ev.h>

#include <functional>
#include <memory>
#include <string>

#include "CppUTest/TestHarness.h"
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

// How a scripted peer ends after what it says.
enum class Ending { kStay, kClose, kReset };

// A peer that answers the first bytes it gets with `says`, piece by piece.
class Peer {
 public:
  Peer(struct ev_loop* loop, std::vector<std::string> says, Ending ending,
       int port = 0)
      : listener_(loop, [=](std::shared_ptr<TcpConnection> tcp) {
          auto told = std::make_shared<bool>(false);
          TcpConnection* t = tcp.get();
          TcpEvents e;
          e.on_data = [=](absl::string_view) {
            if (*told) return;
            *told = true;
            Say(loop, t->shared_from_this(), says, 0, ending);
          };
          e.on_closed = [this](const absl::Status&) { ++left_; };
          tcp->set_events(std::move(e));
          open_.push_back(std::move(tcp));
        }) {
    CHECK_TRUE(listener_.Listen({"127.0.0.1", port}).ok());
  }
  Endpoint at() const { return {"127.0.0.1", listener_.port()}; }
  // Connections that their callers have closed.
  int left() const { return left_; }

 private:
  static void Say(struct ev_loop* loop, std::shared_ptr<TcpConnection> tcp,
                  const std::vector<std::string>& says, size_t next,
                  Ending ending) {
    if (next < says.size()) tcp->Write(says[next]);
    if (next + 1 < says.size()) {
      // Long enough apart to be read one by one.
      Later(loop, 20, [=] { Say(loop, tcp, says, next + 1, ending); });
    } else if (ending == Ending::kClose) {
      tcp->CloseAfterWrites();
    } else if (ending == Ending::kReset) {
      // After the bytes were read: a reset drops what is still on its way.
      Later(loop, 2, [tcp] { tcp->Reset(); });
    }
  }
  int left_ = 0;
  std::vector<std::shared_ptr<TcpConnection>> open_;
  TcpListener listener_;
};

// What a caller of a link saw.
struct Seen {
  bool ended = false;
  CallEnd end = CallEnd::kNotSent;
  std::string body;
  std::string why;
};

UpstreamCall Get(Seen* seen) {
  UpstreamCall u;
  u.request.method = "GET";
  u.request.target = "/";
  u.request.headers = {{"host", "x"}};
  u.on_head = [](const MessageHead&) { return true; };
  u.on_body = [seen](absl::string_view d) {
    seen->body.append(d.data(), d.size());
  };
  u.on_end = [seen](CallEnd end, absl::string_view why) {
    seen->ended = true;
    seen->end = end;
    seen->why = std::string(why);
  };
  return u;
}

bool Await(struct ev_loop* loop, const std::function<bool()>& done,
           int ms = 2000) {
  BootClock clock;
  TimePoint until = clock.Now() + Millis(ms);
  while (!done() && clock.Now() < until) ev_run(loop, EVRUN_ONCE);
  return done();
}

Seen OverHttp1(struct ev_loop* loop, const std::string& says, Ending ending) {
  BootClock clock;
  Peer peer(loop, {says}, ending);
  auto c = Http1Client::Open(loop, clock, peer.at(), Millis(1000));
  Seen seen;
  c->Start(Get(&seen));
  CHECK_TRUE(Await(loop, [&] { return seen.ended; }));
  c->Close();
  return seen;
}

Seen OverHttp2(struct ev_loop* loop, const std::string& says, Ending ending) {
  BootClock clock;
  Peer peer(loop, {says}, ending);
  H2Client client(loop, clock, "127.0.0.1", peer.at().port, Millis(1000),
                  Millis(3000));
  auto link = std::make_shared<AgentLink>(client);
  Seen seen;
  link->Start(Get(&seen));
  CHECK_TRUE(Await(loop, [&] { return seen.ended; }));
  return seen;
}

std::string Frame(char type, char flags, char stream, std::string payload) {
  std::string out(9, '\0');
  out[2] = static_cast<char>(payload.size());
  out[3] = type;
  out[4] = flags;
  out[8] = stream;
  return out + payload;
}

// HTTP/2: SETTINGS, HEADERS with ":status: 200", DATA.
const std::string kH2Head = Frame(4, 0, 0, "") + Frame(1, 4, 1, "\x88");

}  // namespace

TEST_GROUP(answer_end) {
  struct ev_loop* loop = ev_loop_new(EVFLAG_AUTO);
  void teardown() override { ev_loop_destroy(loop); }

  // `whole` in the ways `said` ends in order, and at every cut of it.
  void CutEverywhere(const std::string& said, size_t body, const char* known) {
    Seen whole = OverHttp1(loop, said, Ending::kStay);
    CHECK_TRUE(whole.end == CallEnd::kWhole);
    STRCMP_EQUAL(known, whole.why.c_str());
    LONGS_EQUAL(body, whole.body.size());
    for (size_t n = 0; n < said.size(); ++n) {
      for (Ending e : {Ending::kClose, Ending::kReset}) {
        Seen cut = OverHttp1(loop, said.substr(0, n), e);
        CHECK_TRUE_TEXT(
            cut.end == CallEnd::kBrokenOff || cut.end == CallEnd::kNoAnswer,
            absl::StrCat("cut after ", n, " bytes").c_str());
      }
    }
  }
};

TEST(answer_end, WithALength) {
  CutEverywhere("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndata: a\n\n", 9,
                "length");
}

TEST(answer_end, Chunked) {
  CutEverywhere(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\ndata:\r\n4\r\n a\n\n\r\n0\r\n\r\n",
      9, "last_chunk");
}

// Without a length the connection's end is the answer's: an orderly one, at
// any byte after the head. One that is reset is not whole, also after its
// last byte.
TEST(answer_end, WithItsConnection) {
  const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
  const std::string said = head + "data: a\n\n";
  for (size_t n = 0; n <= said.size(); ++n) {
    Seen closed = OverHttp1(loop, said.substr(0, n), Ending::kClose);
    CHECK_EQUAL(n >= head.size(), closed.end == CallEnd::kWhole);
    if (closed.end == CallEnd::kWhole) {
      STRCMP_EQUAL("close", closed.why.c_str());
      LONGS_EQUAL(n - head.size(), closed.body.size());
    }
    Seen reset = OverHttp1(loop, said.substr(0, n), Ending::kReset);
    CHECK_FALSE(reset.end == CallEnd::kWhole);
  }
}

TEST(answer_end, AsAStreamToAnAgent) {
  const std::string said = kH2Head + Frame(0, 1, 1, "data: a\n\n");
  Seen whole = OverHttp2(loop, said, Ending::kStay);
  CHECK_TRUE(whole.end == CallEnd::kWhole);
  STRCMP_EQUAL("stream_end", whole.why.c_str());
  STRCMP_EQUAL("data: a\n\n", whole.body.c_str());
  for (size_t n = 0; n < said.size(); ++n) {
    for (Ending e : {Ending::kClose, Ending::kReset}) {
      Seen cut = OverHttp2(loop, said.substr(0, n), e);
      CHECK_FALSE_TEXT(cut.end == CallEnd::kWhole,
                       absl::StrCat("cut after ", n, " bytes").c_str());
    }
  }
}

// Symptom: a stream that its agent gave up is passed on as whole. Sequence:
// the head and one event, then RST_STREAM with no error in place of the
// stream's end. Cause: the error code alone was looked at, which says why the
// stream was reset and not that the answer was complete.
TEST(answer_end, AResetWithoutAnErrorIsNotTheEnd) {
  const std::string reset = Frame(3, 0, 1, std::string(4, '\0'));
  Seen seen = OverHttp2(loop, kH2Head + Frame(0, 0, 1, "data: a\n\n") + reset,
                        Ending::kStay);
  CHECK_TRUE(seen.end == CallEnd::kBrokenOff);
}

// Symptom: a stream cut by its engine reaches the caller as whole. Sequence:
// the engine answers without a length; the first piece that the agent reads
// ends inside "data:"; the engine's connection ends before "[DONE]". Cause:
// the agent knew a stream by its first five bytes only, and an answer that is
// no stream and has no length is whole when its connection ends.
TEST(answer_end, AStreamWhoseFirstPieceIsShortIsStillAStream) {
  BootClock clock;
  int base = FreeBase();
  Settings settings = *ParseSettings(DefaultSettingsJson(base));
  const UpstreamSettings* engine = settings.FindUpstream("ledgerhand-1");
  const HostSettings* host = settings.FindHost(engine->agent);
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
  std::string stream = "data: a\n\ndata: [DONE]\n\n";
  auto ask = [&](std::vector<std::string> says) {
    Endpoint at;
    CHECK_TRUE(ParseEndpoint(engine->url.substr(7), &at).ok());
    Peer peer(loop, std::move(says), Ending::kClose, at.port);
    Agent agent(loop, clock, settings, host->name, "");
    CHECK_TRUE(agent.Start().ok());
    H2Client client(loop, clock, "127.0.0.1", host->port, Millis(1000),
                    Millis(3000));
    auto link = std::make_shared<AgentLink>(client);
    Seen seen;
    UpstreamCall u = Get(&seen);
    u.request.headers = {{kH2Upstream, engine->name}};
    link->Start(std::move(u));
    CHECK_TRUE(Await(loop, [&] { return seen.ended; }));
    return seen;
  };
  CHECK_TRUE(ask({head + "da", stream.substr(2)}).end == CallEnd::kWhole);
  CHECK_FALSE(ask({head + "da", stream.substr(2, 7)}).end == CallEnd::kWhole);
}

// Symptom: an engine reads a prompt on for a caller that has left. Sequence:
// the call is cancelled before the engine has answered a byte. Cause: a
// cancelled call was taken out at its next byte only, or at its timeout of 30
// s.
TEST(answer_end, ACancelledCallIsClosedAtOnce) {
  Peer peer(loop, {}, Ending::kStay);
  HttpClient client(loop);
  HttpCall call;
  call.url = absl::StrCat("http://", peer.at().ToString(), "/");
  uint64_t id = client.Start(std::move(call));
  Later(loop, 50, [&] { client.Cancel(id); });
  CHECK_TRUE(Await(
      loop, [&] { return peer.left() == 1; }, 500));
  LONGS_EQUAL(0, client.active());
}
