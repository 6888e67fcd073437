// Placement: chooses the upstream for each request. Pure functions over plain
// structs; callers pass the current time.
//
// Load pattern: several entry processes receive the same delayed load reports,
// each entry knows exactly only its own requests, and prompts share long
// prefixes that only some upstreams hold in their cache. After a start nearly
// every prefix is new: its preferred engines follow from hashes alone, and some
// engines get several times the prompts of others. An entry sends an engine too
// few prompts to see this from its own requests, but it sees how long their
// first events take.
#ifndef MEDLARWALK_PLACEMENT_H_
#define MEDLARWALK_PLACEMENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "engine_forecast.h"
#include "engine_load.h"
#include "tier_counts.h"
#include "types.h"
#include "upstream_list.h"
#include "upstream_subset.h"

namespace medlarwalk {

// Number of streams of this process at one engine by their event gap target.
struct GapTargetCount {
  Millis target{};
  int streams = 0;
};

// State of one upstream as seen by one entry process.
struct UpstreamState {
  UpstreamInfo info;
  // Whether the upstream is in the newest upstream list. An unlisted upstream
  // only finishes its running requests.
  bool listed = true;
  // The upstream has announced that it is draining, whether or not the list
  // shows it.
  bool announced_draining = false;
  // Another incarnation answers at the address of this upstream, so this
  // incarnation has terminated, even if it is still listed.
  bool terminated = false;
  int in_flight = 0;     // Number of requests of this process at the upstream.
  TierCounts own_tiers;  // These requests by tier.
  // Last load report of the upstream: the number of requests that it states,
  // the number of requests of this process in flight at its arrival, and the
  // time of its arrival.
  int reported_load = 0;
  int in_flight_at_report = 0;
  TimePoint reported_at{};
  // Rate limit announced by the upstream, in requests per second summed over
  // all processes; the time since which it applies; and the last send slot
  // that this process used.
  std::optional<double> limit_per_s;
  TimePoint limit_since{};
  std::optional<Millis> last_send_slot;
  // End of the backoff that the upstream requested from this process.
  TimePoint backoff_until{};
  // The rate limit currently gives this process no send slot.
  bool no_send_slot = false;
  // Number of refused connections and broken answers in a row. A sufficient
  // number ejects the upstream until `ejected_until`.
  int consecutive_failures = 0;
  TimePoint ejected_until{};
  // Smoothed share of the upstream's answers that were failures, and number of
  // its answers.
  double failure_share = 0;
  int answer_count = 0;
  TimePoint last_failure_at{};
  // Time of the last data from the upstream, or of the first request in flight
  // if that is later. Unset while the upstream has no request of this process.
  TimePoint last_activity_at{};
  // This process may send no further request to the upstream: its connections
  // or its share of the engine's slots are used up.
  bool at_own_limit = false;
  // No link on the path to the upstream is known to be down.
  bool reachable = true;
  // Smoothed gap between events of streams, in seconds, and number of gaps
  // measured.
  double mean_event_gap_s = 0;
  int event_gap_samples = 0;
  TimePoint event_gap_at{};  // When the last gap was measured.
  bool straggler = false;    // Far slower than other upstreams of its service.
  // Decode pace: seconds between events of a long generation on an engine with
  // little other work. 0: unknown.
  double decode_pace_s = 0;
  TimePoint decode_pace_at{};  // When the pace was last measured.
  // The decode pace is slow compared with other engines of the service.
  bool slow_decode = false;
  // Number of long prompts of this process in prefill at the engine, and the
  // limit of that number.
  int prefills_in_flight = 0;
  TierCounts own_prefill_tiers;  // These prompts by tier.
  double prefill_limit = 2;
  // Position of the upstream in the order of its service's upstreams. The order
  // is the same in every entry process.
  int rank = 0;
  // Estimated number of prompt tokens still to prefill, as of
  // `pending_prefill_at`.
  double pending_prefill_tokens = 0;
  TimePoint pending_prefill_at{};
  // Time that the last first event from the engine took, in seconds, and its
  // arrival.
  double first_event_s = 0;
  TimePoint first_event_at{};
  // Number of streams of this process that wait for their first event from the
  // engine, and the time since which the engine has sent none of these events.
  int awaiting_first_event = 0;
  TimePoint awaiting_since{};
  // Number of this process's idle connections to the upstream, and the time for
  // which the upstream keeps an idle connection (zero: not known or forever).
  int idle_links = 0;
  Duration link_idle_time{};
  // Key of this incarnation; the unfinished work of this process there, with
  // its streams by event gap target; and the pace that this process observed.
  // Only kept for engines of services with shared load.
  EngineKey engine_key = 0;
  EngineWork own_work;
  std::vector<GapTargetCount> own_gap_targets;
  EnginePace own_pace;
  // The observations behind `own_pace`; the unfinished work of all other
  // processes and the pace to predict with, both as of the last refresh.
  ObservedPace observed_pace;
  EngineWork others_work;
  // Whether the other processes have reported `others_work`; otherwise it is an
  // estimate.
  bool others_known = false;
  EngineForecast forecast;
};

// Urgency of a request at its service.
struct Urgency {
  Tier tier = 0;
  int level = 0;  // Urgency level (engine_load.h).
};

// The kind of engine work that dominates a request.
enum class WorkShape {
  kPlain,    // Any request to an upstream that is not an engine.
  kPrefill,  // Long prompt, short output.
  kDecode,   // Long generation; concurrent prefills widen its event gaps.
};

// Parameters of placement.
struct PlacementPolicy {
  // Maximum age of a load report; older reports are ignored. The weight of a
  // report falls to 0 at this age; the remaining weight is given to the number
  // of this process's own requests.
  Duration report_lifetime = std::chrono::seconds(2);
  // An upstream that holds the prompt's prefix is chosen while its load exceeds
  // that of the least loaded upstream by at most this share of slots. A
  // repeated prefill costs more than a few slots in the batch.
  double affinity_slack = 0.25;
  // A shared prefix with fewer tokens than this is prefilled again instead of
  // waiting for an engine that holds it.
  int64_t min_affinity_tokens = 2000;
  // Number of preferred engines of one prefix. The second engine serves
  // requests while the first is saturated.
  int preferred_engines = 2;
  // While less than hot_busy_share of the engines is saturated, a prefix has
  // this many preferred engines instead. A prefix in high demand may then
  // spread to more engines, because the service as a whole is not overloaded.
  int hot_preferred_engines = 4;
  double hot_busy_share = 0.34;
  // A request is a long generation if its expected output is at least this
  // share of its prompt.
  double decode_share = 0.1;
  // Target fill, in shares of slots, of the engines reserved for long
  // generations. The minimum is used normally, because prompts of long
  // generations arrive in bursts and delay each other's prefill. The maximum
  // applies when long prompts have to wait and every engine is needed.
  double min_decode_fill = 0.25;
  double max_decode_fill = 0.6;
  // At least a third of the engines is reserved for long generations once the
  // longest recent event gap exceeds gap_high_share of its target, and until it
  // falls below gap_low_share. The recent gap decays with the time constant
  // gap_decay_s. Every entry with a generation at an engine observes the same
  // gaps, so entries agree without communication.
  double gap_high_share = 0.85;
  double gap_low_share = 0.4;
  double gap_decay_s = 8;
  // The number of reserved engines changes only when the newly computed number
  // differs from it by more than this.
  double decode_hysteresis = 0.5;
  // Limit of concurrent prefills per engine. An engine prefills its prompts one
  // after another, so more than a few prompts only queue at the engine, where
  // they can be neither reordered nor rejected. The limit is multiplied by
  // prefill_backoff when a first event took longer than prefill_late_share of
  // its latency target, and raised by prefill_limit_step for each faster first
  // event.
  double prefill_late_share = 0.5;
  double prefill_backoff = 0.85;
  double prefill_limit_step = 0.1;
  double max_prefill_limit = 12;
  // Cost, in shares of slots, of an engine reserved for the other kind of
  // engine work (prefill or decode). Such an engine is used once the engines
  // for the request's own kind are busier by this much.
  double shape_mismatch_cost = 0.4;
  // Weight of the amount by which the failure share exceeds the average of the
  // service.
  double failure_weight = 2.0;
  // An excess of the failure share over the average up to this has no weight.
  double min_failure_excess = 0.05;
  // The weight of an upstream's failure share halves with each such time since
  // its last failure. Requests that may be retried elsewhere return to the
  // upstream first, because a failure costs their callers little; answers to
  // them then lower the share for all.
  double retryable_failure_half_life_s = 0.5;
  double final_failure_half_life_s = 30;
  // An upstream with requests in flight that sends nothing for this long is
  // avoided.
  Duration max_silence = Millis(1500);
  // Cost, in shares of slots, of an upstream in another data centre. It only
  // breaks ties.
  double remote_cost = 0.01;
  // Costs, in shares of slots, of an upstream outside of this process's subset
  // (less within it, by its distance from home) and of an upstream to which a
  // connection would have to be opened. Both apply only to requests whose
  // upstream is not chosen by their prompt prefix, and only if the subset is
  // not whole: where an entry meets all upstreams often, one without an open
  // connection is one that has got too little.
  double outside_subset_cost = 0.1;
  double new_link_cost = 0.01;
  // Duration of the first ejection and maximum duration; each further failure
  // in a row doubles the duration. failures_to_eject: number of failures in a
  // row that cause the first ejection.
  Duration first_ejection = Millis(500);
  Duration max_ejection = Millis(4000);
  int failures_to_eject = 2;
  // A process sends an engine no further long generation once the process uses
  // this share of its part of the engine's slots; 0: no limit. After a loss of
  // engines, the requests of all processes move to the few remaining engines
  // before any load report shows it, and an engine preempts requests beyond its
  // slots.
  double own_generations_share = 0.75;
  // Like own_generations_share, but for an engine with room: its last load
  // report is no older than max_spare_report_age and shows a load below
  // spare_load_share. Entries receive uneven traffic: an entry that has used up
  // its part must not reject the most urgent requests while others leave their
  // part unused.
  double max_own_generations_share = 2;
  double spare_load_share = 0.75;
  Duration max_spare_report_age = Millis(500);
  // Where the work of all processes is known: share of an engine's slots from
  // which it gets no further long generation. The rest is for those that other
  // processes have sent since their last report.
  double max_known_generations_share = 0.8;
  // Services with fewer engines than this reserve none for long generations.
  int min_engines_to_split = 2;
  // Load, in shares of slots, at which an upstream gets no more requests. Above
  // this load the upstream queues requests in its own order.
  double max_engine_load = 1.0;
  double max_plain_load = 2.0;
  // Part of this process's concurrency limit at an upstream that is reserved
  // for the top tier. Without it, long requests of lower tiers can occupy every
  // slot for seconds.
  double reserved_top_tier_share = 0;
  // If true, placement takes the first upstream below its load limit and
  // compares no scores. Used as the baseline of comparisons.
  bool first_available = false;
  // An upstream is a straggler if its event gap exceeds the median event gap of
  // its service by this factor. A straggler gets requests only when no other
  // upstream can take them. 0: detection is off.
  double straggler_factor = 0;
  int min_straggler_samples = 8;
  // A straggler without a new event gap for this long is used like the others
  // until its next gap is measured. An avoided engine has no gaps that could
  // show its recovery.
  Duration straggler_memory = std::chrono::seconds(5);
  // An engine decodes slowly if its decode pace exceeds that of a fast engine
  // by this factor; 0: detection is off. A concurrent prefill makes a long
  // generation on a slow engine miss its event gap target. A slow engine gets
  // long generations once the other engines are busier by slow_decode_cost, in
  // shares of slots.
  double slow_decode_factor = 1.15;
  double slow_decode_cost = 0.3;
  // Like straggler_memory, for the decode pace. Longer, because the pace is
  // mostly a property of the hardware.
  Duration decode_pace_memory = std::chrono::seconds(20);
  // Assumed prefill rate of an engine, in tokens per millisecond.
  double prefill_rate = 30;
  // Cost of queued prefill work, in shares of slots per second of prefill.
  double prefill_weight = 1.0;
  // Cost of the time that first events of an engine take, in shares of slots
  // per second, and time constant in seconds with which a past time decays.
  double first_event_weight = 1.0;
  double first_event_decay_s = 2.0;
};

// Placement input for one request.
struct PlacementRequest {
  absl::string_view service;
  uint64_t affinity = 0;      // Hash of the shared prompt prefix; 0: none.
  int64_t shared_tokens = 0;  // Number of tokens of the shared prompt prefix.
  absl::string_view data_centre;
  Urgency urgency;
  absl::Span<const std::string> tried_ids;  // Ids of upstreams already tried.
  double max_load = 1.0;  // Load per slot from which an upstream is busy.
  // Not 0: only the upstream selected by this hash may take the request,
  // because that upstream holds the state of earlier attempts.
  uint64_t pinned = 0;
  // Set for a stream that goes on: only upstreams of the software version that
  // began it may take it. The events of two versions do not fit together.
  std::optional<absl::string_view> build;
  WorkShape shape = WorkShape::kPlain;
  // If the attempt fails, the request may be sent to another upstream.
  bool retryable = false;
  // Number of engines reserved for long generations: the first ones in the
  // order of the service's upstreams.
  int decode_engines = 0;
  // The upstreams, by rank, that this process uses first. By default all.
  UpstreamSubset subset;
  // Not 0: that many engines for the request's kind of work are drawn at random
  // and the least loaded of them is chosen. Processes that see the same loads
  // would otherwise all choose the same engine until their next reports.
  size_t drawn_engines = 0;
};

// Smoothed demand for the engines of one service.
struct DecodeDemand {
  double generations_in_flight = 0;  // Number of long generations in flight.
  // Share of time in which long prompts had to wait.
  double prefill_wait_share = 0;
  // Longest recent event gap, in shares of its target, at the time
  // `recent_gap_at`.
  double recent_gap_share = 0;
  TimePoint recent_gap_at{};
  bool gaps_near_target = false;  // Recent event gaps are close to the target.
};

// Returns the load of the `decode_engines` engines of `service` reserved for
// long generations, mostly from the engines' own load reports. All entries
// receive about the same reports. An estimate from an entry's own requests
// times the number of entries is off by a third, and entries that disagree on
// the number of reserved engines undo each other's placement.
double DecodeLoad(absl::Span<const UpstreamState> upstreams,
                  absl::string_view service, int decode_engines, TimePoint now,
                  const PlacementPolicy& policy);

// Records an event gap of a long generation; `gap_share`: in shares of its
// target.
void RecordEventGapShare(double gap_share, TimePoint now,
                         const PlacementPolicy& policy, DecodeDemand* demand);

// Returns how many of `engines` engines to reserve for long generations: a
// sixth to a half of them, and at least a third while event gaps are near their
// target. Returns 0 if there are fewer than min_engines_to_split engines.
// `current`: the number reserved so far.
int ComputeDecodeEngines(const DecodeDemand& demand, int current, int slots,
                         int engines, const PlacementPolicy& policy);

// Returns the number of this process's requests at which an engine of `slots`
// slots gets no more long generations from this process. `serving`: number of
// processes that share the engine.
int OwnGenerationLimit(int slots, int serving, const PlacementPolicy& policy);
// Returns whether `u` may get another long generation, judged by
// OwnGenerationLimit and the last load report of `u`. Less urgent requests at
// `u` do not count: the engine admits the more urgent first.
bool AcceptsGeneration(const UpstreamState& u, const Urgency& urgency,
                       int slots, int serving, TimePoint now,
                       const PlacementPolicy& policy);

// Returns whether the prompt prefix of `request` decides which engine it goes
// to.
bool FollowsPrefix(const PlacementRequest& request);

// Returns the kind of engine work of a request with these token counts (0:
// unknown).
WorkShape ClassifyWork(int64_t prompt_tokens, int64_t output_tokens,
                       const PlacementPolicy& policy);

// Number of upstreams in the order of each service.
using RankedCounts = std::map<std::string, int, std::less<>>;

// Sets the position of each upstream in the order of its service's upstreams,
// and returns their number. Every process computes the same order.
RankedCounts RankUpstreams(absl::Span<UpstreamState> upstreams);

// Returns the estimated number of requests running or waiting at `u`.
double EstimatedLoad(const UpstreamState& u, TimePoint now,
                     const PlacementPolicy& policy);

// Returns whether `u` may get new requests, regardless of its load and of the
// request.
bool MayReceiveRequests(const UpstreamState& u, TimePoint now,
                        const PlacementPolicy& policy);

// Returns the index of the upstream for `request`, or nullopt when no upstream
// may take it. Ejected or silent upstreams are used only when no other upstream
// is left; the one whose ejection ends first is used first. `draw`: a random
// number in [0, 1).
std::optional<size_t> ChooseUpstream(absl::Span<const UpstreamState> upstreams,
                                     const PlacementRequest& request,
                                     TimePoint now, double draw,
                                     const PlacementPolicy& policy);

// Number of upstreams of a service by the reason why they cannot take a request
// now. Each upstream is counted under one reason.
struct AvailabilityCounts {
  int upstreams = 0;     // All upstreams that are listed and not draining.
  int unusable = 0;      // Tried, ejected, silent, terminated or unreachable.
  int at_own_limit = 0;  // This process used up its slots or connections there.
  int in_backoff = 0;    // The upstream requested a backoff.
  int rate_limited = 0;  // This process has no open send slot now.
  int loaded = 0;        // The estimated load is at the load limit.
  int prefill_limited =
      0;         // Prefills of this process are at the prefill limit.
  int free = 0;  // Has room, but is not a preferred engine of the prefix.
  // Those of at_own_limit, loaded and prefill_limited that have less urgent
  // requests, as far as this process knows.
  int full_of_less_urgent = 0;
  int less_urgent = 0;  // Less urgent requests at all of them.
};
AvailabilityCounts CountAvailability(absl::Span<const UpstreamState> upstreams,
                                     const PlacementRequest& request,
                                     TimePoint now,
                                     const PlacementPolicy& policy);

// Returns the mean failure share of the upstreams of `request.service`.
double MeanFailureShare(absl::Span<const UpstreamState> upstreams,
                        const PlacementRequest& request, TimePoint now,
                        const PlacementPolicy& policy);
// Returns whether `u` fails so much more than `mean_failure_share` that
// `request` should go elsewhere.
bool FailsMoreThanOthers(const UpstreamState& u,
                         const PlacementRequest& request,
                         double mean_failure_share, TimePoint now,
                         const PlacementPolicy& policy);

// Number of upstreams that placement avoids because of what this process
// observed of them, by reason. An upstream may count under several.
struct AvoidanceCounts {
  int failing = 0;  // The failure share exceeds the average of the service.
  int ejected = 0;
  int stragglers = 0;
  int slow_decoders = 0;
};
AvoidanceCounts CountAvoided(absl::Span<const UpstreamState> upstreams,
                             TimePoint now, const PlacementPolicy& policy);

// Returns the shortest time until a requested backoff of an upstream of
// `service` ends. Returns zero if any listed upstream that is not draining has
// no backoff in force.
Duration RemainingBackoff(absl::Span<const UpstreamState> upstreams,
                          absl::string_view service, TimePoint now);

// Returns the first preferred engine of a prefix at `service`, not counting the
// engine `excluded_id`, or nullopt.
std::optional<size_t> PreferredEngine(absl::Span<const UpstreamState> upstreams,
                                      absl::string_view service,
                                      uint64_t prefix_hash, int decode_engines,
                                      absl::string_view excluded_id,
                                      TimePoint now,
                                      const PlacementPolicy& policy);

// Returns whether `u` is an upstream of the service and of the software version
// that `request` needs.
bool Fits(const UpstreamState& u, const PlacementRequest& request);

// Returns whether `request` has a fitting upstream that is not draining and was
// not tried for this request.
bool HasUntriedUpstream(absl::Span<const UpstreamState> upstreams,
                        const PlacementRequest& request);

// Records the gap between two events of a stream at `u`.
void RecordEventGap(UpstreamState& u, Duration gap, TimePoint now);
// Marks the stragglers of each service.
void MarkStragglers(absl::Span<UpstreamState> upstreams,
                    const PlacementPolicy& policy);

// Records the mean gap of a few consecutive events of a long generation at `u`.
void RecordDecodePace(UpstreamState& u, Duration gap, TimePoint now);
// Marks the engines of each service that decode slowly.
void MarkSlowDecoders(absl::Span<UpstreamState> upstreams,
                      const PlacementPolicy& policy);

// Records a request at `u` that succeeded.
void RecordSuccess(UpstreamState& u, TimePoint now);
// Records a request at `u` that failed. `connection`: the connection was
// refused or the answer broke off. Only such failures eject the upstream.
void RecordFailure(UpstreamState& u, TimePoint now, bool connection,
                   const PlacementPolicy& policy);
// Records a load report of `u`.
void RecordLoadReport(UpstreamState& u, int running, int waiting,
                      TimePoint now);
// Records that the first event of a long prompt came from `u` after `took`.
// `target`: latency target of the request.
void RecordFirstEvent(UpstreamState& u, Duration took, Duration target,
                      const PlacementPolicy& policy);
// Records that a stream was sent to the engine `u`.
void RecordStreamSent(UpstreamState& u, TimePoint now);
// Records that a stream sent to `u` got its first event after `took`.
void RecordFirstEventTime(UpstreamState& u, Duration took, TimePoint now);
// Returns the estimated number of prompt tokens that `u` still has to prefill.
double RemainingPrefillTokens(const UpstreamState& u, TimePoint now,
                              const PlacementPolicy& policy);
// Records that a prompt of `tokens` tokens was sent to `u`.
void RecordPrefillSent(UpstreamState& u, double tokens, TimePoint now,
                       const PlacementPolicy& policy);

}  // namespace medlarwalk

#endif  // MEDLARWALK_PLACEMENT_H_
