// Reading the list of upstreams from a source that limits its callers.
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

// A list of `pages`, one upstream each; takes `calls_per_s`, then refuses for
// the rest of the second.
class Source {
 public:
  Source(int pages, int calls_per_s)
      : loop_(ev_loop_new(EVFLAG_AUTO)), pages_(pages) {
    auto answer = [this, calls_per_s](auto ex) {
      if (clock_.Now() - second_ >= std::chrono::seconds(1)) {
        second_ = clock_.Now();
        calls_ = 0;
      }
      bool taken = ++calls_ <= calls_per_s;
      ex->Respond(taken ? 200 : 429, {}, ex->head.target.substr(1));
    };
    server_ = std::make_unique<CallerServer>(loop_, clock_, answer);
    CHECK_TRUE(server_->Listen(Endpoint{"127.0.0.1", 0}).ok());
  }
  ~Source() {
    server_.reset();
    ev_loop_destroy(loop_);
  }

  ListSource AsSource() {
    ListSource s;
    s.at = Endpoint{"127.0.0.1", server_->port()};
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
      if (page + 1 < pages_) p.next = absl::StrCat(page + 1);
      return p;
    };
    return s;
  }

  // One reading, as a process that calls Tick in time does it.
  absl::StatusOr<std::vector<UpstreamInfo>> Read(Lister& lister) {
    std::optional<absl::StatusOr<std::vector<UpstreamInfo>>> got;
    lister.Read([&](auto r) { got = std::move(r); });
    TimePoint until = clock_.Now() + std::chrono::seconds(6);
    while (!got && clock_.Now() < until) {
      ev_run(loop_, EVRUN_NOWAIT);
      lister.Tick();
    }
    return got ? *std::move(got) : absl::UnavailableError("never ended");
  }

  struct ev_loop* loop() {
    return loop_;
  }
  const Clock& clock() { return clock_; }

 private:
  struct ev_loop* loop_;
  BootClock clock_;
  int pages_;
  TimePoint second_{};
  int calls_ = 0;
  std::unique_ptr<CallerServer> server_;
};

}  // namespace

TEST_GROUP(lister){};

// Symptom: with thousands of upstreams no list is ever known. Sequence: a
// list of 60 pages, a source that takes 40 calls a second; the reading is
// refused at page 41 and begins anew, each second with the same first pages.
// Cause: a page put off was taken for a failed reading.
TEST(lister, AListOfMorePagesThanCallsASecondIsRead) {
  Source source(60, 40);
  Lister lister(source.loop(), source.clock(), source.AsSource());
  absl::StatusOr<std::vector<UpstreamInfo>> r = source.Read(lister);
  CHECK_TRUE(r.ok());
  CHECK_EQUAL(60, r->size());
  STRCMP_EQUAL("u-59", r->back().id.c_str());
  CHECK_EQUAL(60, lister.length().pages);
  CHECK_EQUAL(60, lister.length().upstreams);
}

// A source that takes no call ends the reading in time; the next may begin.
TEST(lister, AReadingThatIsNeverTakenEnds) {
  Source source(3, 0);
  Lister lister(source.loop(), source.clock(), source.AsSource());
  CHECK_FALSE(source.Read(lister).ok());
  CHECK_FALSE(lister.busy());
}

// A short list is read within the time in which a leaving upstream must be
// known; a long one costs its reader's link no more than a short one; the
// source's limit goes before both.
TEST(lister, HowOftenAListIsRead) {
  for (size_t n = 0; n <= 1200; n += 100) {
    CHECK_TRUE(ListInterval({n, 4}, 0) == Millis(600));
  }
  CHECK_TRUE(ListInterval({2000, 40}, 0) == Millis(1000));
  CHECK_TRUE(ListInterval({30000, 600}, 0) == Millis(1500));
  CHECK_TRUE(ListInterval({3000, 60}, 40) == std::chrono::seconds(3));
  CHECK_TRUE(ListInterval({16, 1}, 40) == Millis(600));
}
