// Tests reading the list of upstreams from a source with a rate limit.
#include "lister.h"

#include <ev.h>

#include <memory>
#include <optional>

#include "CppUTest/TestHarness.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "caller_server.h"

using namespace medlarwalk;

namespace {

// Serves a list of `pages` pages with one upstream each. Accepts `calls_per_s`
// calls, then rejects calls for the rest of the second.
class FakeSource {
 public:
  FakeSource(int pages, int calls_per_s)
      : loop_(ev_loop_new(EVFLAG_AUTO)), pages_(pages) {
    auto answer = [this, calls_per_s](auto ex) {
      if (clock_.Now() - second_began_at_ >= std::chrono::seconds(1)) {
        second_began_at_ = clock_.Now();
        calls_ = 0;
      }
      bool accepted = ++calls_ <= calls_per_s;
      ex->Respond(accepted ? 200 : 429, {}, ex->head.target.substr(1));
    };
    server_ = std::make_unique<CallerServer>(loop_, clock_, answer);
    CHECK_TRUE(server_->Listen(Endpoint{"127.0.0.1", 0}).ok());
  }
  ~FakeSource() {
    server_.reset();
    ev_loop_destroy(loop_);
  }

  ListSource MakeListSource() {
    ListSource s;
    s.endpoint = Endpoint{"127.0.0.1", server_->port()};
    s.encode = [](absl::string_view token) {
      return OutgoingRequest{
          "GET", absl::StrCat("/", token.empty() ? "0" : token), {}, ""};
    };
    s.decode = [this](absl::string_view body) -> absl::StatusOr<ListPage> {
      int page = 0;
      CHECK_TRUE(absl::SimpleAtoi(body, &page));
      ListPage p;
      p.upstreams.emplace_back();
      p.upstreams[0].id = absl::StrCat("u-", page);
      if (page + 1 < pages_) p.next_token = absl::StrCat(page + 1);
      return p;
    };
    return s;
  }

  // Reads the list once, calling Tick regularly as a process does.
  absl::StatusOr<std::vector<UpstreamInfo>> Read(Lister& lister) {
    std::optional<absl::StatusOr<std::vector<UpstreamInfo>>> result;
    lister.Read([&](auto r) { result = std::move(r); });
    TimePoint until = clock_.Now() + std::chrono::seconds(6);
    while (!result && clock_.Now() < until) {
      ev_run(loop_, EVRUN_NOWAIT);
      lister.Tick();
    }
    return result ? *std::move(result) : absl::UnavailableError("never ended");
  }

  struct ev_loop* loop() {
    return loop_;
  }
  const Clock& clock() { return clock_; }

 private:
  struct ev_loop* loop_;
  BootClock clock_;
  int pages_;
  TimePoint second_began_at_{};
  int calls_ = 0;
  std::unique_ptr<CallerServer> server_;
};

}  // namespace

TEST_GROUP(lister){};

// Guards against a list of thousands of upstreams that is never read
// completely. The list has 60 pages, and the source accepts 40 calls per
// second. If the rejection of page 41 failed the read, the lister would start
// over each second with the first 40 pages.
TEST(lister, ReadsMorePagesThanCallsPerSecond) {
  FakeSource source(60, 40);
  Lister lister(source.loop(), source.clock(), source.MakeListSource());
  absl::StatusOr<std::vector<UpstreamInfo>> r = source.Read(lister);
  CHECK_TRUE(r.ok());
  CHECK_EQUAL(60, r->size());
  STRCMP_EQUAL("u-59", r->back().id.c_str());
  CHECK_EQUAL(60, lister.length().pages);
  CHECK_EQUAL(60, lister.length().upstreams);
}

// Guards against a read that never ends because the source rejects every call.
// The read must fail, so that the next one can begin.
TEST(lister, ReadFailsIfEveryCallIsRejected) {
  FakeSource source(3, 0);
  Lister lister(source.loop(), source.clock(), source.MakeListSource());
  CHECK_FALSE(source.Read(lister).ok());
  CHECK_FALSE(lister.busy());
}

// A short list is read often enough that a draining upstream is known within
// the required time. Reading a long list loads the reader's network link no
// more than reading a short one. The source's rate limit takes precedence over
// both rules.
TEST(lister, IntervalDependsOnListSizeAndRateLimit) {
  for (size_t n = 0; n <= 1200; n += 100) {
    CHECK_TRUE(ListPollInterval({n, 4}, 0) == Millis(600));
  }
  CHECK_TRUE(ListPollInterval({2000, 40}, 0) == Millis(1000));
  CHECK_TRUE(ListPollInterval({30000, 600}, 0) == Millis(1500));
  CHECK_TRUE(ListPollInterval({3000, 60}, 40) == std::chrono::seconds(3));
  CHECK_TRUE(ListPollInterval({16, 1}, 40) == Millis(600));
}
