// Chooses the engine of a request by predicted times, or decides that the
// request waits or is rejected. Pure; random numbers are drawn from a generator
// that is passed in.
//
// Load pattern: dozens of entries send short prompts with tight targets for
// event gaps beside long prompts with ample ones, and the mix changes within a
// second. A prefill delays every stream at its engine, so a stream keeps its
// target only where few prompt tokens wait. No engine is set apart in advance:
// streams of many events are packed on the first engines of an order that all
// entries share, prompts go to engines where they break no target, and each
// leaves room for what the other entries have sent since their last report.
#ifndef MEDLARWALK_TIMED_PLACEMENT_H_
#define MEDLARWALK_TIMED_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "absl/types/span.h"
#include "engine_forecast.h"
#include "engine_load.h"
#include "types.h"

namespace medlarwalk {

// Parameters of timed placement.
struct TimedPolicy {
  // A request is sent where its first event is predicted within this share of
  // the time left until its target. The rest is for prompts that are not known
  // yet.
  double first_event_share = 0.8;
  // Share of a gap target, beyond the gap without prefills, that the prompts
  // known to wait at an engine may fill. The rest is for prompts that arrive
  // during the gap.
  double gap_share = 0.3;
  // Factor of that share for each level that a prompt is less urgent, so that
  // more urgent prompts find room where less urgent ones wait.
  double level_factor = 0.9;
  // Factor of gap_share at the engines of packed streams.
  double packed_gap_factor = 0.5;
  // Share of the work of an engine between two reports that packed streams may
  // count on. Their gaps need an engine that is idle most of the time.
  double packed_work_share = 0.2;
  // Shares of an engine's slots and memory up to which it is filled. Beyond
  // them it queues and preempts in its own order.
  double slot_share = 0.9;
  double memory_share = 0.9;
  // Share of slots up to which streams are packed on one engine.
  double packed_slot_share = 0.75;
  // Number of engines after the last one with packed streams that prompts leave
  // free as well, so that a jump in streams finds them.
  size_t reserve_engines = 3;
  // At most this share of the engines is left to packed streams.
  double max_set_apart = 0.6;
  // Number of engines that hold a shared part, in the order of a hash. A home
  // takes a prompt with a probability that falls with its room, and is certain
  // only from home_share of its full room on. A threshold would make all
  // entries leave and return to the engine at the same moments; and an idle
  // home that takes all prompts of its parts is overloaded before it shows.
  int homes = 2;
  double home_share = 2;
  // Where no engine is in time, random factors up to 1 + spread keep entries
  // with the same view from choosing the same engine.
  double spread = 2;
  // A request of the most urgent tier is also sent where its first event is
  // predicted late, up to this many times its target.
  double max_late_share = 2;
  // Time until a slot or memory is expected to become free, and time until the
  // next try of a request that was held back at random. Milliseconds.
  double slot_wait_ms = 50;
  double next_try_ms = 25;
};

// One engine, as a candidate for one request.
struct TimedEngine {
  size_t index = 0;            // In the caller's list.
  uint64_t affinity_hash = 0;  // Hash of engine and shared prompt part.
  EngineWork work;             // Of all processes.
  EngineForecast forecast;
  int slots = 1;
  int64_t memory_tokens = 0;  // Capacity; 0: unknown.
  // Prompt tokens of the request that the engine would have to prefill.
  double own_tokens = 0;
  // Time for which the engine has sent no awaited first event, in ms.
  double silent_ms = 0;
  bool avoided = false;  // Used only where no other engine is in time.
  // Set by ChooseEngine: prompt tokens that may still be sent here before the
  // next report, counting what the engine works off meanwhile; the same of an
  // idle engine; and the predicted first event.
  double room = 0;
  double full_room = 0;
  double first_ms = 0;
};

// The request to place. Times in milliseconds.
struct TimedRequest {
  int level = 0;  // Urgency level; 0: the most urgent.
  // A stream of many events, to be packed with others of its kind.
  bool packed = false;
  bool follows_prefix = false;  // Its shared part has a home by hash.
  double target_ms = 0;         // Latency target; 0: none.
  double left_ms = 0;           // Time until the latency target passes.
  double gap_target_ms = 0;     // Event gap target; 0: none.
  double output_tokens = 0;     // Expected; occupies engine memory.
};

// Work that the entries are expected to have sent and not yet reported.
struct UnseenWork {
  // At all engines together: prompt tokens, those of all tries to send a
  // prompt, and packed streams.
  double prompt_tokens = 0;
  double tried_tokens = 0;
  double streams = 0;
  // Time that the engines have worked on what is reported, in ms.
  double worked_ms = 0;
  // Tightest event gap targets of the service's recent packed streams and of
  // its other streams; 0: none.
  double packed_gap_ms = 0;
  double other_gap_ms = 0;
  // Factor of TimedPolicy::gap_share where no streams are packed: engines that
  // interleave prefills with decode steps keep gaps short whatever waits there.
  double gap_share_factor = 1;
};

// Number of engines by the first reason that rules them out.
struct RuledOutCounts {
  int slots = 0;
  int memory = 0;
  int first_event = 0;  // The request's own first event would be late.
  int own_gap = 0;      // The request's own event gaps would be too long.
  int others_gap = 0;   // Its prompt would delay streams already there.
  int set_apart = 0;    // Left to streams of many events.
};

enum class TimedRuling { kSend, kWait, kReject };

struct TimedDecision {
  TimedRuling ruling = TimedRuling::kReject;
  // Position of the chosen engine; valid if kSend.
  size_t engine = 0;
  // Prediction at the chosen engine, or at the best one. -1: no engine.
  double first_event_ms = -1;
  double gap_ms = -1;
  double tokens_ahead = 0;  // Expected at the chosen engine; for the forecast.
  // Time after which a new request of this kind is predicted to be served
  // within its target at the best engine; unset if no engine allows it.
  std::optional<Duration> delay;
  RuledOutCounts ruled_out;
};

// Decides about `request`. `engines`: the engines that may be sent to, in the
// order that all entries share. Allocates nothing.
TimedDecision ChooseEngine(absl::Span<TimedEngine> engines,
                           const TimedRequest& request,
                           const UnseenWork& unseen, std::mt19937_64& random,
                           const TimedPolicy& policy);

// Returns the prompt tokens that an engine prefills before a prompt of `level`.
double TokensAhead(const EngineWork& work, int level);
// Returns all prompt tokens that wait at an engine.
double PendingTokens(const EngineWork& work);

}  // namespace medlarwalk

#endif  // MEDLARWALK_TIMED_PLACEMENT_H_
