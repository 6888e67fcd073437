#include "timed_placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace medlarwalk {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();
// An engine is silent once an awaited first event takes this many times as long
// as predicted.
constexpr double kSilenceFactor = 3;
// An engine with streams in fewer than this share of its slots is no engine for
// packed streams.
constexpr double kMinPackedShare = 0.1;
// The engines of packed streams are the longest beginning of the common order
// of which at least this share holds packed streams.
constexpr double kPackedPrefixShare = 0.7;
// A prompt longer than this share of an idle engine's room is sent to an engine
// that has that much room, if no stream there is delayed too long.
constexpr double kLongPromptShare = 0.8;

enum class Reason { kNone, kSlots, kMemory, kFirstEvent, kOwnGap, kOthersGap };

double TightestGapMs(const TimedEngine& e) {
  return static_cast<double>(e.work.tightest_gap_target.count());
}

double Tighter(double a_ms, double b_ms) {
  if (a_ms <= 0) return b_ms;
  return b_ms <= 0 ? a_ms : std::min(a_ms, b_ms);
}

double SlotsInUse(const EngineWork& work) {
  return work.awaiting_first_event + work.generating;
}

double Draw(std::mt19937_64& random) {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

// One decision about one request.
class Choice {
 public:
  Choice(absl::Span<TimedEngine> engines, const TimedRequest& request,
         const UnseenWork& unseen, std::mt19937_64& random,
         const TimedPolicy& policy);
  TimedDecision Decide();

 private:
  // Returns whether streams are packed at `e`. Single streams that found no
  // other place do not count.
  bool HoldsPackedStreams(const TimedEngine& e) const;
  // Returns whether the engine `i` is left to packed streams where possible.
  bool IsSetApart(size_t i) const { return i < set_apart_; }
  // Returns whether the request must not go to the engine `i`.
  bool IsExcluded(size_t i) const { return keep_apart_ && IsSetApart(i); }
  void ComputeRoom(size_t i);
  Reason ReasonAgainst(const TimedEngine& e) const;
  bool Fits(const TimedEngine& e) const {
    return ReasonAgainst(e) == Reason::kNone;
  }
  double NeededRoom(const TimedEngine& e) const;
  double StreamRoom(const TimedEngine& e) const;
  double GapMs(const TimedEngine& e) const;
  double TokensAheadNow(const TimedEngine& e) const;

  std::optional<size_t> ChoosePacked();
  std::optional<size_t> ChooseForPrompt();
  std::optional<size_t> ChooseByRoom(bool avoided);
  std::optional<size_t> ChooseHome();
  std::optional<size_t> ChooseLeastLate();
  TimedDecision Send(size_t i) const;
  TimedDecision WaitOrReject() const;

  absl::Span<TimedEngine> engines_;
  const TimedRequest& request_;
  const UnseenWork& unseen_;
  std::mt19937_64& random_;
  const TimedPolicy& policy_;
  double allowed_ms_ = kNever;  // Latest first event.
  double gap_share_ = 0;
  size_t set_apart_ = 0;  // First engines of the order.
  double sum_room_ = 0;
  bool keep_apart_ = false;  // Prompts leave engines of packed streams alone.
};

Choice::Choice(absl::Span<TimedEngine> engines, const TimedRequest& request,
               const UnseenWork& unseen, std::mt19937_64& random,
               const TimedPolicy& policy)
    : engines_(engines),
      request_(request),
      unseen_(unseen),
      random_(random),
      policy_(policy) {
  gap_share_ =
      policy_.gap_share * std::pow(policy_.level_factor, request_.level);
  if (request_.target_ms > 0)
    allowed_ms_ = policy_.first_event_share * request_.left_ms;
  size_t packed = 0;
  for (size_t i = 0; i < engines_.size(); ++i) {
    packed += HoldsPackedStreams(engines_[i]);
    if (static_cast<double>(packed) >=
        kPackedPrefixShare * static_cast<double>(i + 1)) {
      set_apart_ = i + 1;
    }
  }
  if (unseen_.packed_gap_ms > 0) set_apart_ += policy_.reserve_engines;
  set_apart_ = std::min(
      set_apart_, static_cast<size_t>(policy_.max_set_apart *
                                      static_cast<double>(engines_.size())));
  keep_apart_ = !request_.packed;
  for (size_t i = 0; i < engines_.size(); ++i) {
    ComputeRoom(i);
    const TimedEngine& e = engines_[i];
    if (Fits(e) && !e.avoided && !IsExcluded(i)) sum_room_ += e.room;
  }
  for (TimedEngine& e : engines_) {
    e.first_ms =
        PredictFirstEventMs(e.forecast, TokensAheadNow(e), e.own_tokens);
    if (e.silent_ms > kSilenceFactor * e.first_ms) e.first_ms = e.silent_ms;
  }
}

bool Choice::HoldsPackedStreams(const TimedEngine& e) const {
  double gap_ms = TightestGapMs(e);
  return gap_ms > 0 && gap_ms <= unseen_.packed_gap_ms &&
         e.work.generating >= kMinPackedShare * e.slots;
}

// Sets the room of the engine `i`: the prompt tokens that may wait there by the
// gap targets and by the request's own first event, less those that wait, plus
// those worked off since they were reported.
void Choice::ComputeRoom(size_t i) {
  TimedEngine& e = engines_[i];
  double floor_ms = IsSetApart(i)
                        ? Tighter(unseen_.packed_gap_ms, unseen_.other_gap_ms)
                        : unseen_.other_gap_ms;
  double gap_ms =
      Tighter(Tighter(TightestGapMs(e), floor_ms), request_.gap_target_ms);
  double worked = unseen_.worked_ms * e.forecast.prefill_rate;
  double gap_share = gap_share_;
  if (request_.packed || IsSetApart(i)) {
    worked *= policy_.packed_work_share;
    gap_share *= policy_.packed_gap_factor;
  } else {
    gap_share *= unseen_.gap_share_factor;
  }
  double gap_room = PendingPrefillLimit(e.forecast, gap_ms, gap_share) + worked;
  double first_room =
      (allowed_ms_ - e.forecast.fixed_ms) * e.forecast.prefill_rate + worked;
  double ahead = TokensAhead(e.work, request_.level);
  e.full_room = std::max(0.0, std::min(gap_room, first_room));
  if (e.full_room == kNever) e.full_room = e.forecast.prefill_rate * 1000;
  e.room = std::min(
      {gap_room - PendingTokens(e.work), first_room - ahead, e.full_room});
  double expected_ms = PredictFirstEventMs(e.forecast, ahead, e.own_tokens);
  if (e.silent_ms > kSilenceFactor * expected_ms) e.room = 0;
  e.room = std::max(0.0, e.room);
}

// Returns the room that the request needs at `e`. A prompt longer than any
// engine's room is no reason to reject it, if the streams there allow it.
double Choice::NeededRoom(const TimedEngine& e) const {
  double most = kLongPromptShare * e.full_room;
  if (e.own_tokens <= most || most <= 0) return e.own_tokens;
  double gap_ms = TightestGapMs(e);
  bool delays_streams =
      gap_ms > 0 && PredictLongestGapMs(e.forecast, e.own_tokens) > gap_ms;
  if (delays_streams) return kNever;
  return most;
}

Reason Choice::ReasonAgainst(const TimedEngine& e) const {
  if (SlotsInUse(e.work) + 1 > policy_.slot_share * e.slots)
    return Reason::kSlots;
  if (e.memory_tokens > 0 &&
      static_cast<double>(e.work.memory_tokens) + e.own_tokens +
              request_.output_tokens >
          policy_.memory_share * static_cast<double>(e.memory_tokens)) {
    return Reason::kMemory;
  }
  if (e.room > 0 && e.room >= NeededRoom(e)) return Reason::kNone;
  double worked = unseen_.worked_ms * e.forecast.prefill_rate;
  double ahead = std::max(0.0, TokensAhead(e.work, request_.level) - worked);
  if (PredictFirstEventMs(e.forecast, ahead, e.own_tokens) > allowed_ms_ ||
      e.silent_ms > allowed_ms_) {
    return Reason::kFirstEvent;
  }
  double own_limit = PendingPrefillLimit(e.forecast, request_.gap_target_ms,
                                         policy_.gap_share);
  return PendingTokens(e.work) - worked > own_limit ? Reason::kOwnGap
                                                    : Reason::kOthersGap;
}

// Returns how many more streams like the request fit at `e`.
double Choice::StreamRoom(const TimedEngine& e) const {
  if (e.avoided || !Fits(e)) return 0;
  double slots = policy_.packed_slot_share * e.slots - SlotsInUse(e.work);
  return std::max(0.0, std::min(slots, e.room / std::max(1.0, e.own_tokens)));
}

// Returns the prompt tokens that are expected to be ahead of the request at
// `e`, with the part of `e` in what is sent unseen.
double Choice::TokensAheadNow(const TimedEngine& e) const {
  double part = sum_room_ > 0 ? std::min(1.0, e.room / sum_room_) : 0;
  return std::max(0.0, TokensAhead(e.work, request_.level) +
                           part * unseen_.prompt_tokens -
                           unseen_.worked_ms * e.forecast.prefill_rate);
}

double Choice::GapMs(const TimedEngine& e) const {
  double worked = unseen_.worked_ms * e.forecast.prefill_rate;
  return PredictLongestGapMs(e.forecast,
                             std::max(0.0, PendingTokens(e.work) - worked));
}

// Chooses among the first engines of the common order that together have room
// for the streams that all entries send before they hear of each other, by
// chance in proportion to their room.
std::optional<size_t> Choice::ChoosePacked() {
  double room = 0;
  size_t end = 0;
  while (end < engines_.size() && room < 1 + unseen_.streams)
    room += StreamRoom(engines_[end++]);
  double left = room * Draw(random_);
  for (size_t i = 0; i < end; ++i) {
    double part = StreamRoom(engines_[i]);
    if (part > 0 && left < part) return i;
    left -= part;
  }
  return std::nullopt;
}

// Chooses by chance in proportion to the room, so that entries with the same
// view fill the engines evenly.
std::optional<size_t> Choice::ChooseByRoom(bool avoided) {
  auto weight = [&](size_t i) {
    const TimedEngine& e = engines_[i];
    if (e.avoided != avoided || IsExcluded(i) || !Fits(e)) return 0.0;
    return e.room;
  };
  double sum = 0;
  for (size_t i = 0; i < engines_.size(); ++i) sum += weight(i);
  double left = sum * Draw(random_);
  std::optional<size_t> chosen;
  for (size_t i = 0; i < engines_.size(); ++i) {
    double w = weight(i);
    if (w <= 0) continue;
    chosen = i;
    if (left < w) break;
    left -= w;
  }
  return chosen;
}

// Returns one of the first engines in the hash order of the shared part, the
// first one that takes the request.
std::optional<size_t> Choice::ChooseHome() {
  uint64_t below = std::numeric_limits<uint64_t>::max();
  for (int n = 0; n < policy_.homes; ++n) {
    std::optional<size_t> home;
    for (size_t i = 0; i < engines_.size(); ++i) {
      const TimedEngine& e = engines_[i];
      if (e.avoided || IsExcluded(i) || e.affinity_hash >= below) continue;
      if (!home || e.affinity_hash > engines_[*home].affinity_hash) home = i;
    }
    if (!home) return std::nullopt;
    const TimedEngine& e = engines_[*home];
    below = e.affinity_hash;
    if (Fits(e) && e.room >= policy_.home_share * e.full_room * Draw(random_))
      return home;
  }
  return std::nullopt;
}

std::optional<size_t> Choice::ChooseForPrompt() {
  // Less room than is needed for what all entries send unseen: each request is
  // sent with the probability at which it suffices.
  if (sum_room_ < unseen_.tried_tokens * Draw(random_)) return std::nullopt;
  if (request_.follows_prefix) {
    if (auto i = ChooseHome()) return i;
  }
  if (auto i = ChooseByRoom(false)) return i;
  return ChooseByRoom(true);
}

// Returns an engine with a free slot and memory that breaks the targets least.
std::optional<size_t> Choice::ChooseLeastLate() {
  std::optional<size_t> best;
  double best_ms = kNever;
  for (size_t i = 0; i < engines_.size(); ++i) {
    const TimedEngine& e = engines_[i];
    Reason reason = ReasonAgainst(e);
    if (reason == Reason::kSlots || reason == Reason::kMemory) continue;
    if (request_.target_ms > 0 &&
        e.first_ms > policy_.max_late_share * request_.target_ms) {
      continue;
    }
    double ms = (e.first_ms + GapMs(e)) * (1 + policy_.spread * Draw(random_));
    if (best && ms >= best_ms) continue;
    best = i;
    best_ms = ms;
  }
  return best;
}

TimedDecision Choice::Send(size_t i) const {
  const TimedEngine& e = engines_[i];
  TimedDecision d;
  d.ruling = TimedRuling::kSend;
  d.engine = i;
  d.first_event_ms = e.first_ms;
  d.gap_ms = GapMs(e);
  d.tokens_ahead = TokensAheadNow(e);
  d.delay = Duration::zero();
  return d;
}

TimedDecision Choice::WaitOrReject() const {
  TimedDecision d;
  double best_ms = kNever;
  for (size_t i = 0; i < engines_.size(); ++i) {
    const TimedEngine& e = engines_[i];
    RuledOutCounts& n = d.ruled_out;
    n.set_apart += IsExcluded(i);
    if (IsExcluded(i)) continue;
    Reason reason = ReasonAgainst(e);
    n.slots += reason == Reason::kSlots;
    n.memory += reason == Reason::kMemory;
    n.first_event += reason == Reason::kFirstEvent;
    n.own_gap += reason == Reason::kOwnGap;
    n.others_gap += reason == Reason::kOthersGap;
    double wait_ms =
        std::max(0.0, NeededRoom(e) - e.room) / e.forecast.prefill_rate;
    if (reason == Reason::kSlots || reason == Reason::kMemory)
      wait_ms = std::max(wait_ms, policy_.slot_wait_ms);
    if (reason == Reason::kNone) wait_ms = policy_.next_try_ms;
    double served_ms = std::max(
        e.first_ms, wait_ms + PredictFirstEventMs(e.forecast, 0, e.own_tokens));
    if (d.first_event_ms >= 0 && served_ms >= best_ms) continue;
    best_ms = served_ms;
    d.first_event_ms = e.first_ms;
    d.gap_ms = GapMs(e);
  }
  if (best_ms == kNever) return d;
  double late_ms = best_ms - policy_.first_event_share * request_.target_ms;
  d.delay = ClampedSeconds(std::max(0.0, late_ms) / 1000);
  if (best_ms <= allowed_ms_) d.ruling = TimedRuling::kWait;
  return d;
}

TimedDecision Choice::Decide() {
  auto i = request_.packed ? ChoosePacked() : ChooseForPrompt();
  if (!i && request_.level == 0) i = ChooseLeastLate();
  return i ? Send(*i) : WaitOrReject();
}

}  // namespace

double TokensAhead(const EngineWork& work, int level) {
  int64_t n = 0;
  for (int i = 0; i <= level && i < kUrgencyLevels; ++i)
    n += work.pending_prefill[static_cast<size_t>(i)];
  return static_cast<double>(std::max<int64_t>(0, n));
}

double PendingTokens(const EngineWork& work) {
  return TokensAhead(work, kUrgencyLevels - 1);
}

TimedDecision ChooseEngine(absl::Span<TimedEngine> engines,
                           const TimedRequest& request,
                           const UnseenWork& unseen, std::mt19937_64& random,
                           const TimedPolicy& policy) {
  return Choice(engines, request, unseen, random, policy).Decide();
}

}  // namespace medlarwalk
