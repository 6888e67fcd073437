// Stand-in for a model engine, speaking the OpenAI-style chat API. It models
// what the brief says of engines, no more: continuous batching (a step gets
// slower as the batch grows), a prefix cache of limited size, load reports
// that lag, cache events published late and with gaps, faults on order
// (truncate mid-stream, straggle), and orders with fencing numbers that it
// either checks or ignores. It is not a cluster simulator.
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

// How the stand-in behaves. Units in the names.
struct FakeEngineOptions {
  std::string address = "127.0.0.1";
  int port = 0;
  Millis step{10};                   // One decode step with an empty batch.
  double step_per_request_us = 300;  // Added to a step per running request.
  int max_batch = 64;                // Requests decoded together.
  double prefill_us_per_char = 20;   // Prompt characters not in the cache.
  int prefix_cache_entries = 256;    // Prefixes the cache holds.
  Millis report_lag{500};            // Age of the load it reports.
  Millis cache_event_delay{300};     // Delay before an event is visible.
  double cache_event_drop = 0.1;     // Share of events never published.
  bool checks_fencing = true;        // Refuses orders with an old number.
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
  struct Running;
  void Handle(const HttpRequest& req, std::shared_ptr<HttpExchange> ex);
  void Chat(const HttpRequest& req, std::shared_ptr<HttpExchange> ex);
  void Order(const HttpRequest& req, std::shared_ptr<HttpExchange> ex);
  void Fault(const HttpRequest& req, std::shared_ptr<HttpExchange> ex);
  void Load(std::shared_ptr<HttpExchange> ex);
  void CacheEvents(const HttpRequest& req, std::shared_ptr<HttpExchange> ex);
  void Stats(std::shared_ptr<HttpExchange> ex);
  bool TouchPrefix(uint64_t prefix);
  void Publish(const std::string& kind, uint64_t prefix);
  void Step();
  void ScheduleStep();
  static void OnStep(struct ev_loop* loop, ev_timer* w, int revents);

  struct ev_loop* loop_;
  const Clock& clock_;
  FakeEngineOptions options_;
  HttpServer server_;
  ev_timer step_timer_{};
  std::mt19937_64 rng_;
  std::list<std::unique_ptr<Running>> running_;
  std::deque<std::unique_ptr<Running>> waiting_;
  // Prefix cache: most recent at the front.
  std::list<uint64_t> lru_;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> cached_;
  // Load history for lagged reports: (time, running, waiting).
  struct LoadSample {
    TimePoint at;
    int running;
    int waiting;
  };
  std::deque<LoadSample> load_history_;
  // Cache events: sequence numbers grow even for dropped events (gaps).
  struct CacheEvent {
    uint64_t seq;
    TimePoint visible_at;
    std::string kind;
    uint64_t prefix;
  };
  std::deque<CacheEvent> events_;
  uint64_t next_event_seq_ = 1;
  // Faults and orders.
  int truncate_after_tokens_ = 0;
  double straggle_factor_ = 1.0;
  int64_t highest_fencing_ = 0;
  int64_t orders_applied_ = 0;
  int64_t stale_orders_applied_ = 0;
  int64_t requests_ = 0;
  int64_t tokens_ = 0;
  int64_t cache_hits_ = 0;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_FAKE_ENGINE_H_
