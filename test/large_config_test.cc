// Tests configurations of hundreds of kilobytes: their cost in memory, traffic
// and time for the processes that store, send and receive them.
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
constexpr auto kElectionTimeout = std::chrono::seconds(5);

// Returns a document of random bytes, which does not get smaller by
// compression.
std::string RandomText(int64_t version, size_t bytes = kDocumentBytes) {
  std::mt19937 random(static_cast<uint32_t>(version));
  std::string out = absl::StrCat(version, " ");
  for (size_t i = 0; i < bytes; ++i) out += static_cast<char>(random());
  return out;
}

Document MakeDocument(int64_t version) {
  return std::make_shared<const std::string>(RandomText(version));
}

absl::StatusOr<int64_t> VersionOf(absl::string_view document) {
  int64_t v;
  if (!absl::SimpleAtoi(document.substr(0, document.find(' ')), &v)) {
    return absl::InvalidArgumentError("no number");
  }
  return v;
}

// Returns a group that has elected a leader and run for another 500 ms.
std::unique_ptr<ReplicaGroup> GroupWithLeader(int members) {
  auto g = std::make_unique<ReplicaGroup>(members, 1);
  CHECK_TRUE(g->AwaitLeader(kElectionTimeout) >= 0);
  g->Run(Millis(500));
  return g;
}

// One control process that forms a group by itself, with connections of
// followers to it.
class SingleControl {
 public:
  SingleControl() : loop_(ev_loop_new(EVFLAG_AUTO)) {
    ControlOptions o;
    o.name = "control";
    o.peer = Endpoint{"127.0.0.1", ClaimPortRange()};
    o.seeds = {o.peer.ToString()};
    o.bootstrap = true;
    o.data_dir = MakeTempDir();
    // Address without a listening process.
    o.list.endpoint = Endpoint{"127.0.0.1", 1};
    o.list.encode = [](absl::string_view) {
      return OutgoingRequest{"GET", "/", {}, ""};
    };
    o.list.decode = [](absl::string_view) { return ListPage{}; };
    o.validate = VersionOf;
    endpoint_ = o.peer;
    control_ = std::make_unique<Control>(loop_, clock_, wall_, std::move(o));
    CHECK_TRUE(control_->Start().ok());
  }
  ~SingleControl() {
    for (int fd : follower_fds_) close(fd);
    control_.reset();
    ev_loop_destroy(loop_);
  }
  void Submit(std::string document) {
    bool done = false;
    control_->SubmitConfig(std::move(document), [&](absl::Status s) {
      CHECK_TRUE(s.ok());
      done = true;
    });
    for (int i = 0; i < 500 && !done; ++i) Run(Millis(10));
    CHECK_TRUE(done);
  }
  // Sends a watch for a version above `version` on a new connection, and never
  // reads the answer.
  void WatchWithoutReading(int64_t version) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int small = 4096;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<uint16_t>(endpoint_.port));
    inet_pton(AF_INET, endpoint_.ip.c_str(), &a.sin_addr);
    CHECK_EQUAL(0, connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof(a)));
    follower_fds_.push_back(fd);
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
  // Returns the bytes that an HTTP/2 client writes to post `body`.
  static std::string RequestBytes(std::string path, std::string body) {
    nghttp2_session_callbacks* cbs;
    nghttp2_session_callbacks_new(&cbs);
    nghttp2_session* s;
    nghttp2_session_client_new(&s, cbs, nullptr);
    nghttp2_session_callbacks_del(cbs);
    // Opens the HTTP/2 windows for the complete answer, so that only the socket
    // can block it.
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
  Endpoint endpoint_;
  std::unique_ptr<Control> control_;
  std::vector<int> follower_fds_;
};

}  // namespace

TEST_GROUP(large_config){};

// Guards against a leader that runs out of memory within two seconds of its
// election. An operator had added 3,000 routes. Each subsequent leader failed
// the same way, while followers did not. Large log entries arrive slowly, and
// heartbeats overtake them. The leader took the reply to a heartbeat for the
// reply to the entries, and sent all entries again at each round trip. Two
// lines of the leader's log, 0.9 s apart:
//   event=memory heap=28404128 log=597937 entries=7 peers=9630796
//   event=memory heap=85867376 log=597937 entries=7 peers=27217662
// The retransmission timeout never expired, because each heartbeat restarted
// it.
TEST(large_config, EntriesInFlightAreNotSentAgain) {
  auto g = GroupWithLeader(3);
  g->bytes_per_s = 1e6;  // Sending the document takes 0.6 s.
  g->bytes_sent = 0;
  std::optional<bool> done;
  g->node(g->Leader())->Propose(7, MakeDocument(7), [&](absl::Status s) {
    done = s.ok();
  });
  g->Run(std::chrono::seconds(3));
  CHECK_TRUE(done.value_or(false));
  // The leader may send one copy to each of the two followers, and one more
  // because of a late reply.
  CHECK_TRUE(g->bytes_sent < 5 * kDocumentBytes);
}

// Guards against log entries that are lost forever. The network drops the
// entries but delivers the heartbeats after them. The leader must send the
// entries again after a timeout, because nothing else shows the loss.
TEST(large_config, LostEntriesAreSentAgain) {
  auto g = GroupWithLeader(3);
  int l = g->Leader();
  for (int i = 0; i < 3; ++i) g->SetLinkCut(l, i, true);
  std::optional<bool> done;
  g->node(l)->Propose(7, MakeDocument(7),
                      [&](absl::Status s) { done = s.ok(); });
  g->RestoreAllLinks();
  g->Run(std::chrono::seconds(2));
  CHECK_TRUE(done.value_or(false));
}

// Guards against a restarted process that loads every past configuration into
// memory. The number of entries alone decided when the log was compacted into a
// snapshot, so thirty documents remained ("store_opened snapshot=0
// entries=30").
TEST(large_config, LogIsCompactedByItsSizeInBytes) {
  auto g = GroupWithLeader(3);
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

// Guards against a leader's log that grows without bound when configurations
// arrive faster than the links transmit them. The leader kept and sent every
// proposed document, although each replaces the ones before it. Only the newest
// document may wait for those in flight. Operators of a replaced document are
// answered when the newer one is committed.
TEST(large_config, ProposalsFasterThanTheLinksDoNotAccumulate) {
  auto g = GroupWithLeader(3);
  g->bytes_per_s = 2e6;  // Sending a document takes 0.3 s.
  int l = g->Leader();
  int acknowledged = 0;
  size_t max_log_bytes = 0;
  constexpr int kChanges = 100;
  for (int64_t v = 2; v < 2 + kChanges; ++v) {
    g->node(l)->Propose(v, MakeDocument(v),
                        [&](absl::Status s) { acknowledged += s.ok(); });
    g->Run(Millis(50));
    max_log_bytes = std::max(max_log_bytes, g->node(l)->log_bytes());
  }
  g->Run(std::chrono::seconds(3));
  CHECK_EQUAL(kChanges, acknowledged);
  CHECK_EQUAL(1 + kChanges, g->node(l)->config_version());
  CHECK_TRUE(max_log_bytes < 8 * kDocumentBytes);
}

// Guards against one encoded copy of a configuration per follower. Thirty
// followers behind slow links wait for the same new configuration. Their
// answers must share one encoded copy.
TEST(large_config, FollowersThatDoNotReadShareOneDocument) {
  SingleControl c;
  c.Submit(RandomText(1, 100));
  constexpr int kFollowers = 30;
  for (int i = 0; i < kFollowers; ++i) c.WatchWithoutReading(1);
  c.Run(Millis(100));
  size_t heap_before = ReadHeapUse().in_use;
  c.Submit(RandomText(2, 4'000'000));
  c.Run(Millis(300));
  size_t growth = ReadHeapUse().in_use - heap_before;
  CHECK_TRUE(growth > 4'000'000);
  CHECK_TRUE(growth < 5 * 4'000'000);
}

// Guards against an entry on a slow link that never receives the configuration.
// At 10 Mbit/s, 1.2 MB take 0.9 s or longer. The entry canceled its watch 0.9 s
// after sending it and tried the next control process, with the same result.
// The timeout must count from the last received bytes.
TEST(large_config, WatchWaitsForASlowDocument) {
  struct ev_loop* loop = ev_loop_new(EVFLAG_AUTO);
  BootClock clock;
  int base = ClaimPortRange();
  int watches_received = 0;
  std::shared_ptr<H2Stream> answer;
  H2Server server(loop, [&](const H2Request&, std::shared_ptr<H2Stream> s) {
    ++watches_received;
    answer = std::move(s);
  });
  CHECK_TRUE(server.Listen("127.0.0.1", base).ok());
  std::string received;
  WatchOptions o;
  o.name = "entry";
  o.serves_callers = true;
  WatchClient watch(loop, clock, o, {absl::StrCat("127.0.0.1:", base)},
                    [&](const WatchReply& r, bool) {
                      if (r.config) received = *r.config;
                    });
  watch.Start();
  std::string document = RandomText(7, 200'000);
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
  size_t sent = 0;
  bool started = false;
  while (received.empty() && clock.Now() < until) {
    ev_run(loop, EVRUN_ONCE);
    if (!answer || clock.Now() < next || sent >= bytes.size()) continue;
    if (!started) answer->StartStream(200, {});
    started = true;
    answer->Write(absl::string_view(bytes).substr(sent, 16'000));
    sent += 16'000;
    next = clock.Now() + Millis(150);  // Sending the document takes 1.9 s.
    if (sent >= bytes.size()) {
      answer->FinishStream();
      answer.reset();
    }
  }
  CHECK_EQUAL(document.size(), received.size());
  CHECK_EQUAL(1, watches_received);
  answer.reset();
}

// Guards against closing a link whose peer still sends. A document fills the
// link for seconds, and the answer to a ping waits behind the document in the
// peer's socket. The link was closed as silent after 0.9 s with most of the
// document received, and the transfer started over on the next link. A peer
// counts as alive if any of its bytes arrive.
TEST(large_config, PeerThatStillSendsIsNotSilent) {
  struct ev_loop* loop = ev_loop_new(EVFLAG_AUTO);
  BootClock clock;
  int base = ClaimPortRange();
  std::shared_ptr<TcpConnection> peer;
  TcpListener listener(loop, [&](std::shared_ptr<TcpConnection> c) {
    peer = std::move(c);
    // An empty SETTINGS frame, which HTTP/2 requires as a server's first frame.
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
      // A WINDOW_UPDATE frame for one byte: traffic without an effect.
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
