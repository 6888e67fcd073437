// State of one request in a gateway. Internal to the gateway's sources.
#ifndef MEDLARWALK_GATEWAY_REQUEST_H_
#define MEDLARWALK_GATEWAY_REQUEST_H_

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "gateway.h"
#include "own_engine_work.h"
#include "timed_placement.h"

namespace medlarwalk {

// Connect timeouts of one request, one per connection attempt. Failed
// connection attempts do not count as attempts of the request. The first
// timeouts are short: a running host answers within a round trip, and a request
// must not spend its latency target on a host without power, which never
// answers. The last timeouts grow until they exceed the second after which the
// kernel retransmits a lost first packet, because the network is slow if all
// shorter timeouts expire.
inline constexpr std::array<Millis, 4> kConnectTimeouts = {
    Millis(250), Millis(250), Millis(600), Millis(1200)};

// Time from the first event of an answer within which the engine crashes if the
// prompt makes it crash when it begins the answer.
inline constexpr auto kBeginsAnswerWindow = Millis(500);
// Time between two tries to place a hedge.
inline constexpr auto kHedgeRetryInterval = Millis(100);
// Reason of the rejection of a request with a quarantined part.
inline constexpr char kPartCrashesUpstreams[] =
    "a part of the prompt crashes upstreams";
// Reason of the rejection while all requests of an account on a route crash.
inline constexpr char kAccountCrashesUpstreams[] =
    "the account's requests on this route crash upstreams";

// State of one attempt at an upstream.
struct Gateway::Attempt {
  int attempt = 0;       // Number that no other attempt at the request has.
  std::string upstream;  // Empty if there is no current attempt.
  std::shared_ptr<UpstreamLink> connection;
  TimePoint sent_at{};
  TimePoint progress_at{};
  TimePoint head_at{};  // Time when the answer's head arrived.
  MessageHead answer;
  AnswerFacts answer_facts;
  // Buffered body of an answer that is not relayed while it arrives.
  std::string buffered_body;
  // Bytes of this attempt that are counted in the gateway's buffered_bytes_.
  size_t buffered_bytes = 0;
  bool have_head = false;
  // Whether the request is counted in the pending prefills of `upstream`.
  bool prefill_pending = false;
  // Whether the request is counted at `upstream` as a stream that waits for its
  // first event.
  bool first_event_pending = false;
  // Decision of the placement by predicted times, if there was one.
  TimedDecision placement;
  // Work of this attempt that is counted at `upstream`.
  AttemptWork work;
  bool relaying = false;  // Events of this attempt are relayed to the caller.
  // Reading from the upstream is paused, because the caller reads too slowly.
  bool read_paused = false;
  EventSplitter splitter;
  // Time of the first event of this attempt; TimePoint{} before it.
  TimePoint attempt_began_at{};
  // Start of the time in which events of this attempt have arrived without long
  // gaps.
  TimePoint steady_since{};
  bool served_recorded = false;  // The attempt has proved its parts harmless.
};

// One request, from its arrival to its final answer. The base is the attempt
// that is being handled.
struct Gateway::Request : Gateway::Attempt {
  uint64_t seq = 0;
  std::shared_ptr<CallerExchange> exchange;
  RequestFacts facts;
  // Keeps the object of `route` alive.
  std::shared_ptr<const RoutingConfig> config;
  const RouteRule* route = nullptr;
  const ServiceRule* service = nullptr;
  std::string account;
  AccountKey account_key = 0;
  // Prompt and events that are recorded as consumption of the account.
  bool prompt_recorded = false;
  int recorded_events = 0;
  RequestFingerprint fingerprint = 0;
  Tier tier = 0;
  // Priority rank: first by the request's tier, then by the account's tier.
  Tier rank = 0;
  uint64_t affinity = 0;
  int64_t shared_tokens = 0;
  WorkShape shape = WorkShape::kPlain;
  // Number of engines that were kept for long generations when the request was
  // last placed.
  int decode_engines = 0;
  TimePoint deadline{};
  std::multimap<TimePoint, uint64_t>::iterator deadline_entry;
  bool waiting = false;
  TimePoint starving_from{};  // Valid while `waiting`.
  // The request was rejected before, by any entry process, and its caller
  // returned when it was told to.
  bool returning = false;
  // Time until the caller was told to return with precedence, if it was.
  std::optional<Duration> promised_delay;
  bool may_have_run = false;  // An upstream may have run the request.
  bool run_counted = false;   // on_request_run was called for this request.
  int sends = 0;  // Number of times the request was sent to an upstream.
  size_t connect_failures = 0;  // Number of failed connection attempts.
  std::vector<std::string>
      tried_upstreams;   // Ids of the upstreams already tried.
  int last_attempt = 0;  // Number of the last attempt.
  // Other attempts in progress, oldest first: while all upstreams of a request
  // are silent, another one may be tried, and the first to go on keeps it.
  std::vector<std::unique_ptr<Attempt>> others;
  TimePoint hedge_not_before{};  // A hedge that found no place is tried again.
  // The last placement was a rejection, or found that the caller has left.
  bool unplaceable = false;
  // Tier admission held the request back at the last try to place it.
  bool held_back = false;
  // State of a streamed answer.
  bool stream_started = false;  // The caller has received the answer's head.
  std::optional<int64_t> last_event;
  // Software version of the upstream that began the stream, once it is known.
  std::optional<std::string> build;
  // Time of the last record of where the stream began.
  TimePoint origin_recorded_at{};
  uint32_t origin_number = 0;  // Grows with each attempt that is recorded.
  // How the end of a complete answer was detected; for the log.
  std::string end_detected_by;
  int events = 0;
  TimePoint first_event_at{};
  TimePoint last_event_at{};
  // Start of the window of events over which the upstream's decode pace is
  // measured.
  TimePoint pace_window_start{};
  int pace_window_events = 0;  // Number of events since pace_window_start.
  // Longest gap between two consecutive events, and id of the upstream that
  // sent the event after this gap.
  Duration longest_gap{};
  std::string longest_gap_upstream;

  // What the request shares with others that may crash upstreams for the same
  // reason: its prompt parts but the last one, which belongs to this request or
  // its session alone, then its account on its route, if it has an account.
  std::vector<uint64_t> crash_keys;
  bool has_account_key = false;  // The last of `crash_keys` is the account's.
  absl::Span<const uint64_t> shared_parts() const {
    return absl::MakeConstSpan(crash_keys)
        .first(crash_keys.size() - (has_account_key ? 1 : 0));
  }
  std::vector<PartAtCrash> parts_at_crash() const {
    std::vector<PartAtCrash> out;
    int position = 0;
    for (uint64_t id : shared_parts()) out.push_back({id, ++position});
    if (has_account_key) out.push_back({crash_keys.back(), kAccountPosition});
    return out;
  }
  RequestKind kind() const { return facts.kind.value_or(route->kind); }
  bool stream() const { return kind() == RequestKind::kStream; }
  bool repeatable() const {
    if (facts.repeatable) return *facts.repeatable && !stream_started;
    return kind() == RequestKind::kRepeatable || (stream() && route->resumable);
  }
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_GATEWAY_REQUEST_H_
