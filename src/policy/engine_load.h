// Work of all entry processes at each engine, and the pace at which engines
// do it. Pure data; messages are sent by other modules.
//
// Load pattern: dozens of entries send prompts to the same engines. A load
// report of an engine is older than a short latency target, and an entry knows
// exactly only its own requests: each entry would send its next prompt to an
// engine that the others have just filled. Therefore each entry reports its own
// work, and uses the sum of what all others report.
#ifndef MEDLARWALK_ENGINE_LOAD_H_
#define MEDLARWALK_ENGINE_LOAD_H_

#include <array>
#include <cstdint>

#include "types.h"
#include "upstream_list.h"

namespace medlarwalk {

// Number of urgency levels by which work is counted. Level 0 is the
// most urgent tier of the service, the last level is all further tiers.
inline constexpr int kUrgencyLevels = 4;

// Identifies one incarnation of an engine in messages.
using EngineKey = uint32_t;

// Returns the key of this incarnation: an engine that has restarted under its
// id has another key, because its queue and memory are empty.
EngineKey KeyOfEngine(const UpstreamInfo& engine);

// Unfinished work at one engine, of one process or summed over processes.
struct EngineWork {
  // Prompt tokens sent and not yet prefilled, by urgency level, without those
  // that the engine is expected to have cached.
  std::array<int64_t, kUrgencyLevels> pending_prefill{};
  int awaiting_first_event = 0;  // Streams without a first event.
  int generating = 0;            // Streams that have sent an event.
  // Streams of both kinds by urgency level. Fewer than these in all if a sender
  // told none.
  std::array<int, kUrgencyLevels> streams{};
  // Tightest event gap target among the streams at the engine; zero: no
  // streams.
  Millis tightest_gap_target{};
  // Tokens of engine memory that the requests occupy until they end: prompt and
  // expected output.
  int64_t memory_tokens = 0;

  // Adds the work of other processes.
  void Add(const EngineWork& other);
  // Multiplies all counts by `factor`, rounded to the nearest whole number.
  // Precondition: `factor` is not negative.
  void Scale(double factor);
  bool empty() const;
  // Returns the number of streams that are known to be less urgent than
  // `level`.
  int LessUrgentThan(int level) const;
  bool operator==(const EngineWork& other) const;
};

// Observed pace of one engine. Zero values are unknown.
struct EnginePace {
  double prefill_tokens_per_ms = 0;
  Millis idle_event_gap{};     // Event gap while no prompt is in prefill.
  Millis longest_event_gap{};  // Longest event gap of the last second.
  Millis age{};                // Age of the observation.

  // Combines this observation with that of another process: the newer known
  // value of each kind, and the longest gap if both are from the last second.
  void Merge(const EnginePace& other);
  bool empty() const;
};

// Work and pace of one engine, as reported and published.
struct EngineRecord {
  EngineKey engine = 0;
  EngineWork work;
  EnginePace pace;
};

// Ages between which a report of work falls from its whole value to zero. A
// process reports ten times a second, so the whole value survives a few lost
// reports, and the part of a process that has ended is gone within 2 s.
inline constexpr auto kWholeUntil = Millis(500);
inline constexpr auto kGoneAfter = Millis(2000);

// Returns the share, in [0, 1], of a report of work that still counts at `age`.
double DecayFactor(Duration age);

}  // namespace medlarwalk

#endif  // MEDLARWALK_ENGINE_LOAD_H_
