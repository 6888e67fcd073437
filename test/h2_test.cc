// HTTP/2 between our own processes, both ends on one loop.
#include "h2.h"

#include <unistd.h>

#include "CppUTest/TestHarness.h"
#include "procs.h"

using namespace medlarwalk;

namespace {

// Runs `loop` until `done` or `ms` have passed; returns done().
bool Await(struct ev_loop* loop, const std::function<bool()>& done, int ms) {
  for (int i = 0; i < ms && !done(); ++i) {
    ev_run(loop, EVRUN_NOWAIT);
    usleep(1000);
  }
  return done();
}

H2Call Get(const std::string& path, std::string* body, bool* closed) {
  H2Call c;
  c.method = "GET";
  c.path = path;
  c.on_data = [body](absl::string_view d) { body->append(d.data(), d.size()); };
  c.on_close = [closed](const absl::Status&, bool) { *closed = true; };
  return c;
}

}  // namespace

TEST_GROUP(h2){};

// Symptom: an answer is cut though nobody gave its request up. Sequence: a
// peer stops as planned (GOAWAY) while stream 1 runs; another stream goes to
// its successor on a new connection, again as number 1; the first request is
// given up. Cause: a stream was cancelled by its number on whatever connection
// was the newest.
TEST(h2, CancelReachesTheConnectionOfItsStream) {
  struct ev_loop* loop = ev_loop_new(EVFLAG_AUTO);
  {
    BootClock clock;
    int port = testing::FreeBase();
    std::shared_ptr<H2Stream> held_by_old;
    std::shared_ptr<H2Stream> held_by_new;
    H2Server old_server(
        loop, [&](const H2Request&, auto s) { held_by_old = std::move(s); });
    CHECK_TRUE(old_server.Listen("127.0.0.1", port).ok());
    H2Client client(loop, clock, "127.0.0.1", port, Millis(1000), Millis(3000));
    std::string first;
    std::string second;
    bool first_closed = false;
    bool second_closed = false;
    int32_t a = client.Submit(Get("/a", &first, &first_closed));
    CHECK_TRUE(Await(
        loop, [&] { return held_by_old != nullptr; }, 2000));
    old_server.StopAccepting();
    Await(
        loop, [] { return false; }, 50);
    H2Server new_server(
        loop, [&](const H2Request&, auto s) { held_by_new = std::move(s); });
    CHECK_TRUE(new_server.Listen("127.0.0.1", port).ok());
    client.Submit(Get("/b", &second, &second_closed));
    CHECK_TRUE(Await(
        loop, [&] { return held_by_new != nullptr; }, 2000));
    client.Cancel(a);
    CHECK_TRUE(Await(
        loop, [&] { return held_by_old->closed(); }, 2000));
    held_by_new->Respond(200, {}, "whole");
    CHECK_TRUE(Await(
        loop, [&] { return second_closed; }, 2000));
    STRCMP_EQUAL("whole", second.c_str());
    CHECK_FALSE(first_closed);  // A cancelled call hears nothing more.
  }
  ev_loop_destroy(loop);
}
