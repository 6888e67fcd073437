#include "timed_placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace medlarwalk {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();
// An engine is silent once an awaited first event takes this many times as long
// as predicted.
constexpr double kSilenceFactor = 3;
// Share of its target that a packed stream's engine may have come to in the
// last second; above it the engine is used only where no other fits.
constexpr double kMaxRecentGapShare = 0.9;
// Share of the unseen prompt tokens that wait at least.
constexpr double kMinUnseenShare = 0.25;
// An engine with streams in fewer than this share of its slots is no engine for
// packed streams.
constexpr double kMinPackedShare = 0.08;
// At most this many engines are drawn for a prompt without a shared part.
constexpr size_t kMaxDrawn = 8;

enum class Reason { kNone, kSlots, kMemory, kFirstEvent, kOwnGap, kOthersGap };

// What sending a request to one engine is predicted to do.
struct Assessment {
  Reason reason = Reason::kNone;
  double first_ms = 0;
  double gap_ms = 0;
  // Earliest first event, if the request is sent as soon as it breaks no gap
  // target; infinite: no prediction.
  double served_ms = 0;
  // The worst of first event and gaps, each in shares of what is allowed.
  double excess = 0;
};

double SlotsInUse(const EngineWork& work) {
  return work.awaiting_first_event + work.generating;
}

double Tighter(double a_ms, double b_ms) {
  if (a_ms <= 0) return b_ms;
  return b_ms <= 0 ? a_ms : std::min(a_ms, b_ms);
}

double TightestGapMs(const TimedEngine& e) {
  return static_cast<double>(e.work.tightest_gap_target.count());
}

// Returns the tokens by which a prompt of `own` tokens, beside `pending` ones,
// exceeds what an engine may hold under the gap target `gap_ms`; 0 or less if
// it fits. In tokens of `pending`.
double GapExcess(const TimedEngine& e, double gap_ms, double pending,
                 double own, const TimedPolicy& policy) {
  double limit = PendingPrefillLimit(e.forecast, gap_ms, policy.gap_share);
  return pending - (limit - own) / policy.pending_factor;
}

// Returns the share of the gap target `gap_ms` that is used.
double GapShare(const TimedEngine& e, double gap_ms, double pending, double own,
                const TimedPolicy& policy) {
  if (gap_ms <= 0) return 0;
  return PredictLongestGapMs(e.forecast,
                             pending * policy.pending_factor + own) /
         (gap_ms * policy.gap_share);
}

// `floor_gap_ms`: gap target that the engine keeps free for; 0: none.
Assessment Assess(const TimedEngine& e, const TimedRequest& r,
                  const UnseenWork& unseen, double floor_gap_ms,
                  const TimedPolicy& policy) {
  Assessment a;
  double pending = ExpectedTokensAhead(e, kUrgencyLevels - 1, unseen);
  double ahead = ExpectedTokensAhead(e, r.level, unseen);
  a.first_ms = PredictFirstEventMs(e.forecast, ahead, e.own_tokens);
  if (e.silent_ms > kSilenceFactor * a.first_ms) a.first_ms = e.silent_ms;
  a.gap_ms = PredictLongestGapMs(e.forecast, pending);
  double others_gap_ms = Tighter(TightestGapMs(e), floor_gap_ms);
  double own_excess = GapExcess(e, r.gap_target_ms, pending, 0, policy);
  double others_excess =
      GapExcess(e, others_gap_ms, pending, e.own_tokens, policy);

  double wait_ms =
      std::max({0.0, own_excess, others_excess}) / e.forecast.prefill_rate;
  if (std::max(own_excess, others_excess) > pending) wait_ms = kNever;
  double allowed_ms =
      r.target_ms > 0 ? policy.first_event_share * r.left_ms : kNever;
  if (SlotsInUse(e.work) + 1 > policy.slot_share * e.slots) {
    a.reason = Reason::kSlots;
    wait_ms = std::max(wait_ms, policy.slot_wait_ms);
  } else if (e.memory_tokens > 0 &&
             static_cast<double>(e.work.memory_tokens) + e.own_tokens +
                     r.output_tokens >
                 policy.memory_share * static_cast<double>(e.memory_tokens)) {
    a.reason = Reason::kMemory;
    wait_ms = std::max(wait_ms, policy.slot_wait_ms);
  } else if (a.first_ms > allowed_ms) {
    a.reason = Reason::kFirstEvent;
  } else if (own_excess > 0) {
    a.reason = Reason::kOwnGap;
  } else if (others_excess > 0) {
    a.reason = Reason::kOthersGap;
  }
  a.served_ms = std::max(
      a.first_ms, wait_ms + PredictFirstEventMs(e.forecast, 0, e.own_tokens));
  a.excess = std::max(
      {allowed_ms < kNever ? a.first_ms / std::max(1.0, allowed_ms) : 0,
       GapShare(e, r.gap_target_ms, pending, 0, policy),
       GapShare(e, others_gap_ms, pending, e.own_tokens, policy)});
  return a;
}

double Draw(std::mt19937_64& random) {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

// Engines that are considered: those with ample room that are neither avoided
// nor in use for tight streams; all with ample room that are not avoided; all
// that are not avoided; all.
enum class Pass { kApart, kAmple, kInTime, kAll };
constexpr Pass kPasses[] = {Pass::kApart, Pass::kAmple, Pass::kInTime,
                            Pass::kAll};

// One decision about one request.
class Choice {
 public:
  Choice(absl::Span<TimedEngine> engines, const TimedRequest& request,
         const UnseenWork& unseen, std::mt19937_64& random,
         const TimedPolicy& policy)
      : engines_(engines),
        request_(request),
        unseen_(unseen),
        random_(random),
        policy_(policy) {
    int tight = 0;
    for (const TimedEngine& e : engines_) tight += HoldsPackedStreams(e);
    reserved_ = static_cast<size_t>(tight + policy_.reserve_engines);
  }

  TimedDecision Decide();

 private:
  // Returns the gap target that prompts at the engine `i` keep for streams
  // still to come.
  double FloorGap(size_t i) const {
    return !request_.packed && i < reserved_ ? unseen_.tightest_gap_ms : 0;
  }
  Assessment AssessAt(size_t i) const {
    return Assess(engines_[i], request_, unseen_, FloorGap(i), policy_);
  }
  // Returns whether streams are packed at `e`. Single streams that found no
  // other place do not count.
  bool HoldsPackedStreams(const TimedEngine& e) const {
    double gap_ms = TightestGapMs(e);
    return gap_ms > 0 && gap_ms <= unseen_.tightest_gap_ms &&
           e.work.generating >= kMinPackedShare * e.slots;
  }
  double StreamRoom(const TimedEngine& e, bool recent_gaps_count) const;
  std::optional<size_t> ChoosePacked(bool recent_gaps_count);
  // Returns whether `engine` is considered in this pass over the engines.
  bool InPass(size_t i, Pass pass) const;
  bool Fits(size_t i, Pass pass) const;
  std::optional<size_t> ChooseRoomiest();
  std::optional<size_t> ChooseHome(Pass pass) const;
  std::optional<size_t> ChooseDrawn(Pass pass);
  std::optional<size_t> ChooseInTime();
  std::optional<size_t> ChooseLeastLate();
  TimedDecision Send(size_t i) const;
  TimedDecision WaitOrReject() const;

  absl::Span<TimedEngine> engines_;
  const TimedRequest& request_;
  const UnseenWork& unseen_;
  std::mt19937_64& random_;
  const TimedPolicy& policy_;
  size_t reserved_ = 0;
};

// Returns how many more streams like the request fit at `e`.
double Choice::StreamRoom(const TimedEngine& e, bool recent_gaps_count) const {
  if (e.avoided || AssessAt(static_cast<size_t>(&e - engines_.data())).reason !=
                       Reason::kNone) {
    return 0;
  }
  if (recent_gaps_count && request_.gap_target_ms > 0 &&
      e.forecast.longest_gap_ms > kMaxRecentGapShare * request_.gap_target_ms) {
    return 0;
  }
  double own = std::max(1.0, e.own_tokens);
  double pending = ExpectedTokensAhead(e, kUrgencyLevels - 1, unseen_);
  double gap_ms = Tighter(TightestGapMs(e), request_.gap_target_ms);
  double tokens = -GapExcess(e, gap_ms, pending, 0, policy_);
  if (request_.target_ms > 0) {
    double spare_ms =
        policy_.first_event_share * request_.left_ms -
        PredictFirstEventMs(e.forecast,
                            ExpectedTokensAhead(e, request_.level, unseen_), 0);
    tokens = std::min(tokens, spare_ms * e.forecast.prefill_rate);
  }
  double slots = policy_.packed_slot_share * e.slots - SlotsInUse(e.work);
  return std::max(0.0, std::min(slots, tokens / own));
}

// Chooses among the first k engines of the common order that have room for
// their part of the streams that all entries send before they hear of each
// other; k is the smallest number for which there are k such engines.
std::optional<size_t> Choice::ChoosePacked(bool recent_gaps_count) {
  for (TimedEngine& e : engines_) e.room = StreamRoom(e, recent_gaps_count);
  for (size_t k = 1; k <= engines_.size(); ++k) {
    double needed = 1 + unseen_.streams / static_cast<double>(k);
    size_t fitting = 0;
    auto wanted = static_cast<size_t>(Draw(random_) * static_cast<double>(k));
    std::optional<size_t> chosen;
    for (size_t i = 0; i < engines_.size() && fitting < k; ++i) {
      if (engines_[i].room < needed) continue;
      if (fitting++ == wanted) chosen = i;
    }
    if (fitting == k) return chosen;
  }
  return std::nullopt;
}

// Returns the engine with room for most streams, if it has room for one. Random
// factors keep entries with the same view apart.
std::optional<size_t> Choice::ChooseRoomiest() {
  std::optional<size_t> best;
  double best_room = 0;
  for (size_t i = 0; i < engines_.size(); ++i) {
    if (engines_[i].room < 1) continue;
    double room = engines_[i].room * (1 - policy_.spread * Draw(random_));
    if (room <= best_room) continue;
    best = i;
    best_room = room;
  }
  return best;
}

bool Choice::InPass(size_t i, Pass pass) const {
  const TimedEngine& e = engines_[i];
  if (pass == Pass::kAll) return true;
  if (e.avoided) return false;
  if (pass == Pass::kInTime) return true;
  if (pass == Pass::kAmple || request_.packed) return true;
  return i >= reserved_ && !HoldsPackedStreams(e);
}

// Returns whether the request is in time at the engine `i`, with ample room
// where the pass calls for it.
bool Choice::Fits(size_t i, Pass pass) const {
  if (!InPass(i, pass)) return false;
  bool ample = pass == Pass::kApart || pass == Pass::kAmple;
  Assessment a = ample && !request_.packed
                     ? Assess(engines_[i], request_, unseen_,
                              unseen_.tightest_gap_ms, policy_)
                     : AssessAt(i);
  return a.reason == Reason::kNone &&
         (!ample || a.excess <= policy_.ample_share);
}

// Returns the first engine in the hash order of the shared part where the
// request is in time.
std::optional<size_t> Choice::ChooseHome(Pass pass) const {
  std::optional<size_t> best;
  for (size_t i = 0; i < engines_.size(); ++i) {
    const TimedEngine& e = engines_[i];
    if (best && e.affinity_hash <= engines_[*best].affinity_hash) continue;
    if (Fits(i, pass)) best = i;
  }
  return best;
}

// Returns the engine with the earliest predicted first event among a few random
// ones where the request is in time.
std::optional<size_t> Choice::ChooseDrawn(Pass pass) {
  // Reservoir of the engines in time.
  std::array<size_t, kMaxDrawn> drawn{};
  size_t size = std::min(policy_.drawn_engines, kMaxDrawn);
  size_t seen = 0;
  for (size_t i = 0; i < engines_.size(); ++i) {
    if (!Fits(i, pass)) continue;
    size_t place = seen < size
                       ? seen
                       : static_cast<size_t>(Draw(random_) *
                                             static_cast<double>(seen + 1));
    if (place < size) drawn[place] = i;
    ++seen;
  }
  std::optional<size_t> best;
  double best_ms = kNever;
  for (size_t k = 0; k < std::min(seen, size); ++k) {
    double ms = AssessAt(drawn[k]).first_ms;
    if (best && ms >= best_ms) continue;
    best = drawn[k];
    best_ms = ms;
  }
  return best;
}

std::optional<size_t> Choice::ChooseInTime() {
  if (request_.packed) {
    if (auto i = ChoosePacked(true)) return i;
    if (auto i = ChoosePacked(false)) return i;
    if (auto i = ChooseRoomiest()) return i;
  }
  for (Pass pass : kPasses) {
    auto i = request_.follows_prefix ? ChooseHome(pass) : ChooseDrawn(pass);
    if (i) return i;
  }
  return std::nullopt;
}

// Returns an engine with a free slot and memory that breaks the targets least.
std::optional<size_t> Choice::ChooseLeastLate() {
  std::optional<size_t> best;
  double best_excess = kNever;
  for (size_t i = 0; i < engines_.size(); ++i) {
    Assessment a = AssessAt(i);
    if (a.reason == Reason::kSlots || a.reason == Reason::kMemory) continue;
    if (request_.target_ms > 0 &&
        a.first_ms > policy_.max_late_share * request_.target_ms) {
      continue;
    }
    double excess = a.excess * (1 + policy_.spread * Draw(random_));
    if (best && excess >= best_excess) continue;
    best = i;
    best_excess = excess;
  }
  return best;
}

TimedDecision Choice::Send(size_t i) const {
  Assessment a = AssessAt(i);
  TimedDecision d;
  d.ruling = TimedRuling::kSend;
  d.engine = i;
  d.first_event_ms = a.first_ms;
  d.gap_ms = a.gap_ms;
  d.delay = Duration::zero();
  return d;
}

TimedDecision Choice::WaitOrReject() const {
  TimedDecision d;
  double served_ms = kNever;
  for (size_t i = 0; i < engines_.size(); ++i) {
    Assessment a = AssessAt(i);
    RuledOutCounts& n = d.ruled_out;
    n.slots += a.reason == Reason::kSlots;
    n.memory += a.reason == Reason::kMemory;
    n.first_event += a.reason == Reason::kFirstEvent;
    n.own_gap += a.reason == Reason::kOwnGap;
    n.others_gap += a.reason == Reason::kOthersGap;
    if (d.first_event_ms >= 0 && a.served_ms >= served_ms) continue;
    served_ms = a.served_ms;
    d.first_event_ms = a.first_ms;
    d.gap_ms = a.gap_ms;
  }
  if (served_ms == kNever) return d;
  double late_ms = served_ms - policy_.first_event_share * request_.target_ms;
  d.delay = ClampedSeconds(std::max(0.0, late_ms) / 1000);
  if (request_.target_ms <= 0 ||
      served_ms <= policy_.first_event_share * request_.left_ms) {
    d.ruling = TimedRuling::kWait;
  }
  return d;
}

TimedDecision Choice::Decide() {
  if (auto i = ChooseInTime()) return Send(*i);
  if (request_.level == 0) {
    if (auto i = ChooseLeastLate()) return Send(*i);
  }
  return WaitOrReject();
}

}  // namespace

double ExpectedTokensAhead(const TimedEngine& e, int level,
                           const UnseenWork& unseen) {
  double now = TokensAhead(e.work, level) + unseen.prompt_tokens +
               unseen.prompt_variation -
               unseen.worked_ms * e.forecast.prefill_rate;
  return std::max(now, kMinUnseenShare * unseen.prompt_tokens);
}

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
