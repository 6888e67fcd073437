// A configuration of hundreds of kilobytes: what it costs the processes that
// keep it, send it and wait for it.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <memory>
#include <optional>
#include <random>

#include "CppUTest/TestHarness.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "control.h"
#include "heap_use.h"
#include "procs.h"
#include "replica_group.h"
#include "watch_client.h"

using namespace medlarwalk;
using namespace medlarwalk::testing;

namespace {

constexpr size_t kDocumentBytes = 600'000;
constexpr auto kElection = std::chrono::seconds(5);

// Random: compressed, it is no smaller.
std::string Text(int64_t version, size_t bytes = kDocumentBytes) {
  std::mt19937 random(static_cast<uint32_t>(version));
  std::string out = absl::StrCat(version, " ");
  for (size_t i = 0; i < bytes; ++i) out += static_cast<char>(random());
  return out;
}

Document MakeDocument(int64_t version) {
  return std::make_shared<const std::string>(Text(version));
}

absl::StatusOr<int64_t> VersionOf(absl::string_view document) {
  int64_t v;
  if (!absl::SimpleAtoi(document.substr(0, document.find(' ')), &v)) {
    return absl::InvalidArgumentError("no number");
  }
  return v;
}

// A group whose leader has an acknowledged first configuration.
std::unique_ptr<Group> GroupInOffice(int members) {
  auto g = std::make_unique<Group>(members, 1);
  CHECK_TRUE(g->AwaitLeader(kElection) >= 0);
  g->Run(Millis(500));
  return g;
}

// One control process, a group by itself, and what asks it.
class LoneControl {
 public:
  LoneControl() : loop_(ev_loop_new(EVFLAG_AUTO)) {
    ControlOptions o;
    o.name = "control";
    o.peer = Endpoint{"127.0.0.1", FreeBase()};
    o.seeds = {o.peer.ToString()};
    o.bootstrap = true;
    o.data_dir = TempDir();
    o.list.at = Endpoint{"127.0.0.1", 1};  // Nobody listens there.
    o.list.encode = [](absl::string_view) {
      return OutgoingRequest{"GET", "/", {}, ""};
    };
    o.list.decode = [](absl::string_view) { return ListPage{}; };
    o.validate = VersionOf;
    at_ = o.peer;
    control_ = std::make_unique<Control>(loop_, clock_, wall_, std::move(o));
    CHECK_TRUE(control_->Start().ok());
  }
  ~LoneControl() {
    for (int fd : askers_) close(fd);
    control_.reset();
    ev_loop_destroy(loop_);
  }
  void Submit(std::string document) {
    bool done = false;
    control_->Submit(std::move(document), [&](absl::Status s) {
      CHECK_TRUE(s.ok());
      done = true;
    });
    for (int i = 0; i < 500 && !done; ++i) Run(Millis(10));
    CHECK_TRUE(done);
  }
  // Asks for what is newer than `version` on a connection of its own, and
  // never reads the answer.
  void AskAndNeverRead(int64_t version) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int small = 4096;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<uint16_t>(at_.port));
    inet_pton(AF_INET, at_.ip.c_str(), &a.sin_addr);
    CHECK_EQUAL(0, connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof(a)));
    askers_.push_back(fd);
    WatchRequest r;
    r.name = absl::StrCat("asker-", fd);
    r.config_version = version;
    std::string bytes = RequestBytes(kWatchPath, EncodeWatchRequest(r));
    CHECK_EQUAL(static_cast<ssize_t>(bytes.size()),
                send(fd, bytes.data(), bytes.size(), 0));
  }
  void Run(Duration d) {
    TimePoint until = clock_.Now() + d;
    while (clock_.Now() < until) ev_run(loop_, EVRUN_ONCE);
  }

 private:
  // What a client of HTTP/2 writes to post `body`.
  static std::string RequestBytes(std::string path, std::string body) {
    nghttp2_session_callbacks* cbs;
    nghttp2_session_callbacks_new(&cbs);
    nghttp2_session* s;
    nghttp2_session_client_new(&s, cbs, nullptr);
    nghttp2_session_callbacks_del(cbs);
    // The whole answer may be sent: only the socket holds it up.
    nghttp2_settings_entry window{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
                                  64 << 20};
    nghttp2_submit_settings(s, NGHTTP2_FLAG_NONE, &window, 1);
    nghttp2_submit_window_update(s, NGHTTP2_FLAG_NONE, 0, 64 << 20);
    std::vector<std::string> text = {
        ":method", "POST",       ":path",      path, ":scheme",
        "http",    ":authority", "medlarwalk", "x",  "y"};
    std::vector<nghttp2_nv> nva;
    for (size_t i = 0; i < text.size(); i += 2) {
      nva.push_back({reinterpret_cast<uint8_t*>(text[i].data()),
                     reinterpret_cast<uint8_t*>(text[i + 1].data()),
                     text[i].size(), text[i + 1].size(), 0});
    }
    nghttp2_data_provider p{};
    p.source.ptr = &body;
    p.read_callback = [](nghttp2_session*, int32_t, uint8_t* buf, size_t n,
                         uint32_t* flags, nghttp2_data_source* source,
                         void*) -> ssize_t {
      auto* b = static_cast<std::string*>(source->ptr);
      n = std::min(n, b->size());
      std::copy_n(b->data(), n, buf);
      *flags |= NGHTTP2_DATA_FLAG_EOF;
      return static_cast<ssize_t>(n);
    };
    nghttp2_submit_request(s, nullptr, nva.data(), nva.size(), &p, nullptr);
    std::string out;
    const uint8_t* data;
    for (ssize_t n; (n = nghttp2_session_mem_send(s, &data)) > 0;) {
      out.append(reinterpret_cast<const char*>(data), static_cast<size_t>(n));
    }
    nghttp2_session_del(s);
    return out;
  }

  struct ev_loop* loop_;
  BootClock clock_;
  SystemWallClock wall_;
  Endpoint at_;
  std::unique_ptr<Control> control_;
  std::vector<int> askers_;
};

}  // namespace

TEST_GROUP(large_config){};

// An operator added 3,000 routes; from then on every leader ended for its
// memory within two seconds of its election, one after the other, and none of
// its followers did. The entries of the log are large and take long to arrive;
// heartbeats overtake them, and the reply to a heartbeat was taken for the
// reply to the entries, so the leader sent them all again at each round trip:
//   event=memory heap=28404128 log=597937 entries=7 peers=9630796
//   event=memory heap=85867376 log=597937 entries=7 peers=27217662
// 0.9 s later. The time-out for sending again never struck, as each heartbeat
// moved the time it counts from.
TEST(large_config, EntriesUnderWayAreNotSentAgain) {
  auto g = GroupInOffice(3);
  g->bytes_per_s = 1e6;  // 0.6 s for the document.
  g->bytes_sent = 0;
  std::optional<bool> done;
  g->node(g->Leader())->Propose(7, MakeDocument(7), [&](absl::Status s) {
    done = s.ok();
  });
  g->Run(std::chrono::seconds(3));
  CHECK_TRUE(done.value_or(false));
  // Once to each of the two others, once more where a reply took too long.
  CHECK_TRUE(g->bytes_sent < 5 * kDocumentBytes);
}

// The entries are lost on the way, but not the heartbeats after them. They must
// be sent again even so: nothing else tells the leader of the loss.
TEST(large_config, LostEntriesAreSentAgain) {
  auto g = GroupInOffice(3);
  int l = g->Leader();
  for (int i = 0; i < 3; ++i) g->Cut(l, i, true);
  std::optional<bool> done;
  g->node(l)->Propose(7, MakeDocument(7),
                      [&](absl::Status s) { done = s.ok(); });
  g->HealAll();
  g->Run(std::chrono::seconds(2));
  CHECK_TRUE(done.value_or(false));
}

// A process started anew read thirty documents back, one for each change, and
// held them all: the log was folded into a snapshot by the number of its
// entries only ("store_opened snapshot=0 entries=30").
TEST(large_config, TheLogIsFoldedByItsBytes) {
  auto g = GroupInOffice(3);
  for (int64_t v = 2; v < 20; ++v) {
    g->node(g->Leader())->Propose(v, MakeDocument(v), [](absl::Status) {});
    g->Run(Millis(400));
  }
  for (int i = 0; i < 3; ++i) {
    CHECK_EQUAL(19, g->node(i)->config_version());
    CHECK_TRUE(g->node(i)->log_bytes() < 4 * kDocumentBytes);
    size_t stored = 0;
    for (const LogEntry& e : g->store(i).state().log) stored += e.index > 0;
    CHECK_TRUE(stored < 8);
  }
}

// Changes come faster than the links take them. All that was proposed and not
// committed stayed in the leader's log and was sent, though each document
// replaces the ones before. Now the newest waits for the ones under way, and
// the operators of those it overtakes are answered when it is committed.
TEST(large_config, ChangesFasterThanTheLinksDoNotPileUp) {
  auto g = GroupInOffice(3);
  g->bytes_per_s = 2e6;  // 0.3 s for a document.
  int l = g->Leader();
  int acknowledged = 0;
  size_t most = 0;
  constexpr int kChanges = 100;
  for (int64_t v = 2; v < 2 + kChanges; ++v) {
    g->node(l)->Propose(v, MakeDocument(v),
                        [&](absl::Status s) { acknowledged += s.ok(); });
    g->Run(Millis(50));
    most = std::max(most, g->node(l)->log_bytes());
  }
  g->Run(std::chrono::seconds(3));
  CHECK_EQUAL(kChanges, acknowledged);
  CHECK_EQUAL(1 + kChanges, g->node(l)->config_version());
  CHECK_TRUE(most < 8 * kDocumentBytes);
}

// Thirty askers behind slow links wait for a new configuration. Each had an
// encoded copy of its own, and more while it was made; one for all is enough.
TEST(large_config, AskersThatDoNotReadShareOneDocument) {
  LoneControl c;
  c.Submit(Text(1, 100));
  constexpr int kAskers = 30;
  for (int i = 0; i < kAskers; ++i) c.AskAndNeverRead(1);
  c.Run(Millis(100));
  size_t before = ReadHeapUse().in_use;
  c.Submit(Text(2, 4'000'000));
  c.Run(Millis(300));
  size_t rise = ReadHeapUse().in_use - before;
  CHECK_TRUE(rise > 4'000'000);
  CHECK_TRUE(rise < 5 * 4'000'000);
}

// An entry behind 10 Mbit/s needs 0.9 s and more for 1.2 MB. Its watch was
// given up after 0.9 s however much had come, and asked for anew elsewhere,
// where the same happened: such an entry never got the configuration. What
// counts is the time since the last bytes came.
TEST(large_config, ADocumentThatComesSlowlyIsAwaited) {
  struct ev_loop* loop = ev_loop_new(EVFLAG_AUTO);
  BootClock clock;
  int base = FreeBase();
  int asked = 0;
  std::shared_ptr<H2Stream> answer;
  H2Server server(loop, [&](const H2Request&, std::shared_ptr<H2Stream> s) {
    ++asked;
    answer = std::move(s);
  });
  CHECK_TRUE(server.Listen("127.0.0.1", base).ok());
  std::string got;
  WatchOptions o;
  o.name = "entry";
  o.serves_callers = true;
  WatchClient watch(loop, clock, o, {absl::StrCat("127.0.0.1:", base)},
                    [&](const WatchReply& r, bool) {
                      if (r.config) got = *r.config;
                    });
  watch.Start();
  std::string document = Text(7, 200'000);
  std::string bytes;
  {
    auto encoded = nlohmann::json{
        {"a", 0}, {"c", 7}, {"g", -1}, {"s", 1}, {"m", nlohmann::json::array()},
        {"h", ""}};
    encoded["d"] = nlohmann::json::binary(
        std::vector<uint8_t>(document.begin(), document.end()));
    std::vector<uint8_t> v = nlohmann::json::to_cbor(encoded);
    bytes.assign(v.begin(), v.end());
  }
  TimePoint until = clock.Now() + std::chrono::seconds(4);
  TimePoint next{};
  size_t at = 0;
  bool started = false;
  while (got.empty() && clock.Now() < until) {
    ev_run(loop, EVRUN_ONCE);
    if (!answer || clock.Now() < next || at >= bytes.size()) continue;
    if (!started) answer->StartStream(200, {});
    started = true;
    answer->Write(absl::string_view(bytes).substr(at, 16'000));
    at += 16'000;
    next = clock.Now() + Millis(150);  // 1.9 s for the whole.
    if (at >= bytes.size()) {
      answer->Finish();
      answer.reset();
    }
  }
  CHECK_EQUAL(document.size(), got.size());
  CHECK_EQUAL(1, asked);
  answer.reset();
}

// A document fills the link from a peer for seconds; the answer to our ping
// stands behind it, in the peer's socket. The link was given up as silent after
// 0.9 s, with most of the document read, and all began anew on the next one. A
// peer of which bytes still come is there, whatever became of the ping.
TEST(large_config, APeerThatStillSendsIsNotSilent) {
  struct ev_loop* loop = ev_loop_new(EVFLAG_AUTO);
  BootClock clock;
  int base = FreeBase();
  std::shared_ptr<TcpConnection> peer;
  TcpListener listener(loop, [&](std::shared_ptr<TcpConnection> c) {
    peer = std::move(c);
    // An empty SETTINGS frame, as the protocol has a server begin.
    peer->Write(absl::string_view("\0\0\0\4\0\0\0\0\0", 9));
  });
  CHECK_TRUE(listener.Listen(Endpoint{"127.0.0.1", base}).ok());
  H2Client client(loop, clock, "127.0.0.1", base, Millis(100), Millis(300));
  H2Call call;
  call.path = "/x";
  client.Submit(std::move(call));
  auto run = [&](Duration d, bool sending) {
    TimePoint until = clock.Now() + d;
    TimePoint next{};
    while (clock.Now() < until) {
      ev_run(loop, EVRUN_ONCE);
      if (!sending || !peer || clock.Now() < next) continue;
      next = clock.Now() + Millis(50);
      // Room for one byte more: says nothing, but comes.
      peer->Write(absl::string_view("\0\0\4\x8\0\0\0\0\0\0\0\0\1", 13));
    }
  };
  run(Millis(1200), true);
  CHECK_EQUAL(0, client.dead_connections());
  CHECK_TRUE(client.usable());
  run(Millis(900), false);
  CHECK_TRUE(client.dead_connections() > 0);
  CHECK_FALSE(client.usable());
  listener.Stop();
  peer.reset();
}
