// A stand-in for a model engine with the OpenAI-style chat API. It models only
// these properties of engines: continuous batching (a decode step takes longer
// as the batch grows), a prefix cache of limited size, load reports that lag,
// cache events that are published late and with gaps, injected faults
// (truncated answers, slow decoding), and orders with fencing numbers that it
// either checks or ignores. It does not simulate a cluster.
#ifndef MEDLARWALK_FAKE_ENGINE_H_
#define MEDLARWALK_FAKE_ENGINE_H_

#include <ev.h>

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include "absl/status/status.h"
#include "http_server.h"
#include "types.h"

namespace medlarwalk {

// Behavior of the stand-in engine.
struct FakeEngineOptions {
  std::string address = "127.0.0.1";
  int port = 0;
  Millis step_time{10};  // Time of a decode step with an empty batch.
  // Time that each request in the batch adds to a decode step, in microseconds.
  double extra_step_us_per_request = 300;
  int max_batch_size = 64;  // Maximum number of requests decoded together.
  // Prefill time per character not in the cache.
  double prefill_us_per_char = 20;
  int prefix_cache_entries = 256;  // Capacity of the prefix cache.
  Millis report_lag{500};          // Age of the reported load.
  Millis cache_event_delay{300};   // Delay before a cache event is visible.
  double cache_event_drop = 0.1;   // Share of cache events never published.
  bool checks_fencing = true;  // Rejects orders with a stale fencing number.
  uint64_t seed = 1;
};

// The stand-in engine. Thread safety: loop thread only.
class FakeEngine {
 public:
  FakeEngine(struct ev_loop* loop, const Clock& clock,
             FakeEngineOptions options);
  ~FakeEngine();

  // Starts serving. Errors: Unavailable when the port is taken.
  absl::Status Start();

 private:
  struct ChatRequest;
  void HandleRequest(const HttpRequest& req, std::shared_ptr<HttpExchange> ex);
  void HandleChat(const HttpRequest& req, std::shared_ptr<HttpExchange> ex);
  void HandleOrder(const HttpRequest& req, std::shared_ptr<HttpExchange> ex);
  void HandleFaultInjection(const HttpRequest& req,
                            std::shared_ptr<HttpExchange> ex);
  void HandleLoadQuery(std::shared_ptr<HttpExchange> ex);
  void HandleCacheEvents(const HttpRequest& req,
                         std::shared_ptr<HttpExchange> ex);
  void HandleStats(std::shared_ptr<HttpExchange> ex);
  bool LookUpOrCachePrefix(uint64_t prefix);
  void RecordCacheEvent(const std::string& kind, uint64_t prefix);
  void RunDecodeStep();
  void ScheduleDecodeStep();
  static void OnStepTimer(struct ev_loop* loop, ev_timer* w, int revents);

  struct ev_loop* loop_;
  const Clock& clock_;
  FakeEngineOptions options_;
  HttpServer server_;
  ev_timer step_timer_{};
  std::mt19937_64 rng_;
  std::list<std::unique_ptr<ChatRequest>> running_;
  std::deque<std::unique_ptr<ChatRequest>> waiting_;
  // Prefix cache: the most recently used prefix is at the front.
  std::list<uint64_t> recent_prefixes_;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> cached_prefixes_;
  // The load at a past time, kept for lagged load reports.
  struct LoadSample {
    TimePoint at;
    int running;
    int waiting;
  };
  std::deque<LoadSample> load_history_;
  // A cache event. Dropped events use up sequence numbers too, which leaves
  // gaps.
  struct CacheEvent {
    uint64_t seq;
    TimePoint visible_at;
    std::string kind;
    uint64_t prefix;
  };
  std::deque<CacheEvent> cache_events_;
  uint64_t next_event_seq_ = 1;
  // Injected faults.
  int truncate_after_tokens_ = 0;
  double straggle_factor_ = 1.0;
  // Highest fencing number of an applied order.
  int64_t highest_fencing_ = 0;
  // Counters reported at /stats.
  int64_t orders_applied_ = 0;
  int64_t stale_orders_applied_ = 0;
  int64_t requests_ = 0;
  int64_t tokens_ = 0;
  int64_t cache_hits_ = 0;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_FAKE_ENGINE_H_
