// Placement: which upstream a request goes to. Pure functions over plain
// structs, the clock passed in as a time.
//
// Load pattern: several entry processes see the same late load reports, each
// knows only its own requests exactly, and prompts share long leading parts
// that only some upstreams hold in their cache.
#ifndef MEDLARWALK_PLACEMENT_H_
#define MEDLARWALK_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "types.h"
#include "upstream_list.h"

namespace medlarwalk {

// What one entry process knows of one upstream.
struct UpstreamBoard {
  UpstreamInfo info;
  bool listed = true;  // In the newest list; others only finish their work.
  // It has said itself that it leaves, whatever the list still says.
  bool said_leaving = false;
  // Another incarnation answers at its address: this one is gone for good,
  // whatever the list still says.
  bool ended = false;
  int in_flight = 0;  // Own requests there now.
  // The last load it told, when, and what of that was ours.
  int reported = 0;
  int reported_in_flight = 0;
  TimePoint reported_at{};
  // Requests a second that it takes from all processes together, where it names
  // such a limit; since when; and the last turn this process has used.
  std::optional<double> limit_per_s;
  TimePoint limit_since{};
  std::optional<Millis> turn_taken;
  // It has asked this process to send nothing until then.
  TimePoint rest_until{};
  bool no_turn = false;  // By its limit it is not for this process to send now.
  // Refused connections and broken answers put it aside for a while.
  int failures = 0;  // In a row.
  TimePoint aside_until{};
  // Share of answers that were failures, smoothed.
  double failure_share = 0;
  int answers = 0;
  // Nothing has come from it since this moment though it works for us.
  TimePoint quiet_since{};
  bool full = false;      // No connection may be added to those in use.
  bool reachable = true;  // The way to it is not known to be down.
  // Smoothed seconds between events of streams there, and how many were seen.
  double event_gap_s = 0;
  int event_gaps = 0;
  bool straggler = false;  // Far slower than the others of its service.
  // Seconds from one event of a long generation to the next, as they are there
  // when little else disturbs them; 0: not known. And whether that is slower
  // than elsewhere at its service.
  double pace_s = 0;
  bool slow = false;
  // Long prompts sent there whose first event has not come, and how many of
  // these this process allows itself.
  int reading = 0;
  double reading_limit = 2;
  // Place in an order of its service's upstreams that is the same for every
  // entry process, and how many stand in it.
  int rank = 0;
  int ranks = 1;
  // Prompt tokens sent to it that it is still reading, as far as known.
  double prefill_tokens = 0;
  TimePoint prefill_at{};
};

// What a request mostly asks of an engine.
enum class WorkShape {
  kPlain,    // Not an engine's work.
  kPrefill,  // Reads much, writes little.
  kDecode,   // Writes for long; its pauses suffer beside long prompts.
};

// Limits of placement.
struct PlacementPolicy {
  // A report counts for this long, less as it ages; then only own requests
  // do.
  Duration report_trust = std::chrono::seconds(2);
  // How much busier (share of its slots) the upstream that holds the prompt's
  // parts may be than the least busy one and still be chosen. Reading the
  // parts again costs more than a few places in the batch.
  double affinity_slack = 0.25;
  // Fewer shared tokens than this are read again rather than waited for.
  int64_t home_tokens = 2000;
  // Engines at which one prompt part is kept: a second one for when the first
  // has its hands full.
  int homes = 2;
  // More of them while fewer than this share of the engines have their hands
  // full: then it is the part that is hot, not the whole service.
  int hot_homes = 4;
  double hot_busy_share = 0.34;
  // A request writes for long if its likely output is at least this share of
  // its prompt.
  double decode_share = 0.1;
  // Share of an engine's slots that long generations should fill on the
  // engines kept for them: few, so that their own prompts, which come in
  // clumps, do not hold each other up; more while long prompts have to wait
  // for a place and every engine is needed.
  double decode_fill_calm = 0.25;
  double decode_fill_pressed = 0.6;
  // A third of the engines, at least, from when the longest pause of late (it
  // fades over pause_memory) is over the first share of its target until it
  // is under the second. Every entry with a generation at an engine sees its
  // pauses, so they agree without talking.
  double pausing_above = 0.85;
  double pausing_below = 0.4;
  double pause_memory_s = 8;
  // How far the engines kept may be from those needed before their number
  // changes.
  double decode_band = 0.5;
  // An engine reads the prompts it was given one after another, so what is
  // sent beyond a few only waits there, where it can neither be reordered nor
  // refused. The number under way at one engine is lowered (times
  // reading_backoff) when a first event took longer than reading_target of
  // its latency target, and raised by reading_step for each that was sooner.
  double reading_target = 0.5;
  double reading_backoff = 0.85;
  double reading_step = 0.1;
  double reading_most = 12;
  // Added, in shares of slots, to an engine kept for the other shape of work:
  // it is used once the own ones are that much busier.
  double wrong_shape_cost = 0.4;
  // Weight of the failure share above the average of the service.
  double failure_weight = 2.0;
  // An upstream that works for us but sent nothing for this long is avoided.
  Duration quiet_limit = Millis(1500);
  // Added to an upstream in another data centre, in shares of its slots:
  // decides between equals only.
  double remote_cost = 0.01;
  // Time aside after a failure, doubled for each further one in a row.
  Duration aside_first = Millis(500);
  Duration aside_most = Millis(4000);
  int failures_to_aside = 2;
  // Own requests at one engine past which it gets no more long generations, in
  // this process's part of its slots; 0: no limit. When engines are lost, those
  // of all processes meet at the few that are left before any report says so,
  // and past its slots an engine preempts.
  double own_generations_share = 0.75;
  // Past it, up to this share, only an engine of which a report no older than
  // this says that it has room: entries differ in what their callers send, and
  // one that has used up its part must not turn the most urgent away while
  // others leave theirs.
  double most_own_generations_share = 2;
  double room_load = 0.75;
  Duration room_report_age = Millis(500);
  // Fewer engines than this are not divided between shapes of work.
  int split_from = 2;
  // Load, in shares of its slots, at which an upstream gets no more: beyond
  // them it queues in its own order.
  double most_engine_load = 1.0;
  double most_plain_load = 2.0;
  // Part of what this process may send to one upstream at once that only the
  // top tier takes: where long work of lower tiers fills every place, none
  // comes free for seconds.
  double reserved_share = 0;
  // The first one found, whatever its load (the baseline of comparisons).
  bool blind = false;
  // An upstream whose events come this many times as far apart as at the
  // median one gets work only when no other can take it; 0: not looked at.
  double straggler_factor = 0;
  int straggler_samples = 8;
  // An engine whose pace is this many times that of a quick one is slow; 0: all
  // are taken for alike. A long generation there is late by its pauses as soon
  // as a prompt is read beside it: it gets one once the others are busier by
  // slow_cost, in shares of their slots.
  double slow_factor = 1.15;
  double slow_cost = 0.3;
  // Prompt reading rate assumed for an engine, tokens a millisecond.
  double prefill_rate = 30;
  // Weight of queued prompt reading: shares of slots for each second of it.
  double prefill_weight = 1.0;
};

// What placement needs to know of a request.
struct PlacementAsk {
  absl::string_view service;
  uint64_t affinity = 0;  // Hash of the shared parts of its prompt; 0: none.
  int64_t shared_tokens = 0;  // In these parts.
  absl::string_view data_centre;
  absl::Span<const std::string> avoid;  // Ids already tried.
  double most_load = 1.0;  // Estimated load over slots; busier ones are full.
  // Not 0: only the one upstream that this hash leads to will do, as it keeps
  // what is known of earlier sendings.
  uint64_t pinned = 0;
  WorkShape shape = WorkShape::kPlain;
  // The engines of the lowest ranks that are kept for long generations.
  int decode_engines = 0;
};

// What is asked of the engines of one service, smoothed.
struct DecodeDemand {
  double in_flight = 0;  // Long generations under way.
  double pressure = 0;   // Share of the time in which long prompts had to wait.
  // Their longest pause, in shares of its target, when last noted.
  double pause = 0;
  TimePoint pause_at{};
  bool pausing = false;  // It was too long of late.
};

// Requests at the `kept` engines of `service` that are kept for long
// generations, as they tell it themselves: every entry hears about the same.
// What an entry sends there itself, times the entries, is off by a third, and
// entries that differ in how many engines are kept undo each other's choice.
double DecodeLoad(absl::Span<const UpstreamBoard> boards,
                  absl::string_view service, int kept, TimePoint now,
                  const PlacementPolicy& policy);

// Notes that a long generation paused for `share` of its target.
void NotePause(double share, TimePoint now, const PlacementPolicy& policy,
               DecodeDemand* demand);

// How many of `engines` engines to keep for long generations, where `current`
// were kept so far: between a sixth and a half of them.
int DecodeEngines(const DecodeDemand& demand, int current, int slots,
                  int engines, const PlacementPolicy& policy);

// Own requests at an engine of `slots` past which it gets no more long
// generations, where `serving` processes share it.
int MostOwnBesideGenerations(int slots, int serving,
                             const PlacementPolicy& policy);
// Whether `u`, of `slots`, may get another, by that and by what it tells.
bool TakesGeneration(const UpstreamBoard& u, int slots, int serving,
                     TimePoint now, const PlacementPolicy& policy);

// The shape of a request by its tokens (0 where not known).
WorkShape ShapeOf(int64_t prompt_tokens, int64_t output_tokens,
                  const PlacementPolicy& policy);

// Ranks the upstreams of each service, the same way in every process.
void RankUpstreams(absl::Span<UpstreamBoard> boards);

// How many upstreams of `service` stand in that order.
int RankedUpstreams(absl::Span<const UpstreamBoard> boards,
                    absl::string_view service);

// Requests running or waiting at `u`, as well as it can be told.
double EstimatedLoad(const UpstreamBoard& u, TimePoint now,
                     const PlacementPolicy& policy);

// Whether `u` should be given new work at all.
bool Usable(const UpstreamBoard& u, TimePoint now,
            const PlacementPolicy& policy);

// The index of the upstream for `ask`, or nullopt when none may take it.
// Upstreams put aside are used only when nothing else is left, the one whose
// time aside ends first.
std::optional<size_t> Place(absl::Span<const UpstreamBoard> boards,
                            const PlacementAsk& ask, TimePoint now, double draw,
                            const PlacementPolicy& policy);

// Why upstreams of a service do not take a request now, each counted once.
struct NoPlaceCounts {
  int upstreams = 0;  // Listed and staying.
  int unusable = 0;   // Tried, aside, quiet, ended or out of reach.
  int full = 0;       // As many own requests or connections as allowed.
  int resting = 0;    // They have asked for rest.
  int limited = 0;    // By the limit it names, others' turn or nobody's.
  int loaded = 0;     // As busy as allowed, by estimate.
  int reading = 0;    // As many own prompts being read as allowed.
  int free = 0;       // Would take it, but are no home of its part.
};
NoPlaceCounts CountNoPlace(absl::Span<const UpstreamBoard> boards,
                           const PlacementAsk& ask, TimePoint now,
                           const PlacementPolicy& policy);

// How long until the first upstream of `service` has rested; zero where one
// that stays does not rest.
Duration RestLeft(absl::Span<const UpstreamBoard> boards,
                  absl::string_view service, TimePoint now);

// The engine of `service`, other than `except`, that a part would be kept at
// first, or nullopt.
std::optional<size_t> FirstHome(absl::Span<const UpstreamBoard> boards,
                                absl::string_view service, uint64_t part,
                                int decode_engines, absl::string_view except,
                                TimePoint now, const PlacementPolicy& policy);

// Whether any upstream of `ask.service` that stays is not among those to avoid.
bool AnyLeft(absl::Span<const UpstreamBoard> boards, const PlacementAsk& ask);

// Notes that two events of a stream at `u` were `gap` apart.
void NoteEventGap(UpstreamBoard& u, Duration gap);
// Marks the stragglers of each service.
void MarkStragglers(absl::Span<UpstreamBoard> boards,
                    const PlacementPolicy& policy);

// Notes that events of a long generation at `u` came `gap` apart on the mean of
// a few in a row.
void NotePace(UpstreamBoard& u, Duration gap);
// Marks the slow engines of each service.
void MarkSlow(absl::Span<UpstreamBoard> boards, const PlacementPolicy& policy);

// Notes how a request at `u` went.
void NoteSuccess(UpstreamBoard& u, TimePoint now);
void NoteFailure(UpstreamBoard& u, TimePoint now, bool connection,
                 const PlacementPolicy& policy);
void NoteReport(UpstreamBoard& u, int running, int waiting, TimePoint now);
// Notes that a long prompt's first event came from `u`, `took` after it was
// sent, where the request's latency target is `target`.
void NoteFirstEvent(UpstreamBoard& u, Duration took, Duration target,
                    const PlacementPolicy& policy);
// Notes that `tokens` of prompt went to `u`.
void NotePrefill(UpstreamBoard& u, double tokens, TimePoint now,
                 const PlacementPolicy& policy);

}  // namespace medlarwalk

#endif  // MEDLARWALK_PLACEMENT_H_
