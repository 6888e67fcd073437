// One request under way at a gateway. Internal to the gateway's sources.
#ifndef MEDLARWALK_GATEWAY_REQUEST_H_
#define MEDLARWALK_GATEWAY_REQUEST_H_

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway.h"

namespace medlarwalk {

// Connections tried for one request beside the sendings that count, and how
// long each may take. A host that is there answers within a round trip; one
// without power never does, and a request must not spend its latency target on
// it. The last ones outlast a lost first packet, which the kernel sends again
// after a second: then it is the network that is slow.
inline constexpr std::array<Millis, 4> kConnectTimeouts = {
    Millis(250), Millis(250), Millis(600), Millis(1200)};

// One request, from its arrival to its final answer.
struct Gateway::Request {
  uint64_t seq = 0;
  std::shared_ptr<CallerExchange> exchange;
  RequestFacts facts;
  std::shared_ptr<const RoutingConfig> config;  // Keeps `route` alive.
  const RouteRule* route = nullptr;
  const ServiceRule* service = nullptr;
  std::string account;
  RequestPrint asks = 0;
  Tier tier = 0;
  Tier rank = 0;  // The tier, and within it the account's.
  uint64_t affinity = 0;
  int64_t shared_tokens = 0;
  WorkShape shape = WorkShape::kPlain;
  int decode_engines = 0;  // As last placed.
  TimePoint give_up_at{};
  std::multimap<TimePoint, uint64_t>::iterator give_up_entry;
  bool waiting = false;
  TimePoint starves_at{};       // While waiting.
  bool maybe_run = false;       // Some upstream may have run it.
  bool run_noted = false;       // It was counted as one that began to run.
  int sends = 0;                // Upstreams it was sent to.
  size_t connect_failures = 0;  // Connections not established.
  std::vector<std::string> tried;
  // The attempt under way.
  int attempt = 0;
  std::string upstream;  // Empty when none.
  std::shared_ptr<UpstreamLink> connection;
  TimePoint sent_at{};
  TimePoint progress_at{};
  TimePoint head_at{};  // Of the answer.
  MessageHead answer;
  AnswerFacts answer_facts;
  std::string held;  // An answer's body until it is whole.
  bool have_head = false;
  bool reading = false;  // Counted as a prompt being read at `upstream`.
  // Streams.
  bool relaying = false;        // This attempt's events go to the caller.
  bool stream_started = false;  // The caller has the head.
  EventSplitter splitter;
  std::optional<int64_t> last_event;
  std::string end_known_by;  // Of a whole answer; for the log.
  int events = 0;
  TimePoint first_event_at{};
  TimePoint last_event_at{};
  // Of this attempt, for the pace of its upstream.
  TimePoint pace_from{};
  int pace_events = 0;  // Since then.
  Duration longest_pause{};
  std::string longest_pause_at;  // The upstream it came from.

  RequestKind kind() const { return facts.kind.value_or(route->kind); }
  bool stream() const { return kind() == RequestKind::kStream; }
  bool repeatable() const {
    if (facts.repeatable) return *facts.repeatable && !stream_started;
    return kind() == RequestKind::kRepeatable || (stream() && route->resumable);
  }
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_GATEWAY_REQUEST_H_
