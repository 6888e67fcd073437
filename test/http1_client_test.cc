// Tests of the memory that a connection to an upstream takes for a request.
#include "http1_client.h"

#include <unistd.h>

#include <memory>
#include <string>

#include "CppUTest/TestHarness.h"
#include "absl/strings/str_cat.h"
#include "heap_use.h"

using namespace medlarwalk;

namespace {

constexpr size_t kBodyBytes = size_t{8} << 20;

// A peer on loopback that reads a request, or nothing of it, and never answers.
struct SilentPeer {
  explicit SilentPeer(bool reads)
      : loop(ev_loop_new(EVFLAG_AUTO)),
        listener(loop, [this, reads](std::shared_ptr<TcpConnection> c) {
          c->SetReadPaused(!reads);
          TcpEvents e;
          e.on_data = [this](absl::string_view d) { received += d.size(); };
          c->set_events(std::move(e));
          accepted = std::move(c);
        }) {
    CHECK_TRUE(listener.Listen({"127.0.0.1", 0}).ok());
  }
  ~SilentPeer() {
    accepted.reset();
    listener.Stop();
  }
  // Sends a request with a body of kBodyBytes and returns how much the heap has
  // grown when nothing more can be sent.
  size_t HeapGrowth() {
    auto client = Http1Client::Open(loop, clock, {"127.0.0.1", listener.port()},
                                    Millis(1000));
    std::string body(kBodyBytes, 'x');
    UpstreamCall call;
    call.request.method = "POST";
    call.request.target = "/";
    call.request.headers = {{"Content-Length", absl::StrCat(kBodyBytes)}};
    call.request.body = body;
    size_t before = ReadHeapUse().in_use;
    client->Start(std::move(call));
    size_t last = SIZE_MAX;
    for (int i = 0; i < 2000 && last != received; ++i) {
      last = i % 100 == 99 ? received : SIZE_MAX;
      ev_run(loop, EVRUN_NOWAIT);
      usleep(1000);
    }
    size_t after = ReadHeapUse().in_use;
    client->Cancel();
    return after > before ? after - before : 0;
  }

  struct ev_loop* loop;
  BootClock clock;
  size_t received = 0;
  std::shared_ptr<TcpConnection> accepted;
  TcpListener listener;
};

}  // namespace

TEST_GROUP(http1_client){};

// Guards against a sent request that stays in memory until its answer comes.
TEST(http1_client, SentRequestIsFreed) {
  SilentPeer peer(true);
  CHECK_TRUE(peer.HeapGrowth() < kBodyBytes / 4);
  CHECK_TRUE(peer.received > kBodyBytes);
}

// Guards against a request that stands twice in memory while its upstream does
// not read it.
TEST(http1_client, UnsentRequestStandsOnce) {
  SilentPeer peer(false);
  CHECK_TRUE(peer.HeapGrowth() < kBodyBytes + kBodyBytes / 4);
}
