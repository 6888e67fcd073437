// Gateway: rate limits announced by upstreams. Records limits from answers and
// from control, and decides which send slots belong to this process.
#include <algorithm>

#include "gateway.h"
#include "gateway_request.h"
#include "log.h"

namespace medlarwalk {
namespace {

// Delay before a lower number of entry processes is adopted. While control
// processes change, some entry processes are not counted for a moment.
constexpr auto kFewerEntriesDelay = std::chrono::seconds(5);

}  // namespace

void Gateway::SetEntryCount(int entry_count, int index) {
  entry_count_ = std::max(1, entry_count);
  TimePoint now = clock_.Now();
  bool fewer = entry_count_ < process_index_.process_count;
  if (!fewer || now - send_slot_share_set_at_ > kFewerEntriesDelay) {
    process_index_.process_count = entry_count_;
    send_slot_share_set_at_ = now;
  }
  if (index < 0) return;
  process_index_.index = index;
  subset_index_ = ProcessIndex{entry_count_, index};
}

// Records the rate limit that an answer announces, or the end of the rate limit
// if the answer announces none. The end is recorded only if the answer has the
// upstream's signature, because an answer damaged in transit may also lack the
// limit header.
void Gateway::RecordAnnouncedLimit(const Request& r, const UpstreamState& u,
                                   const AnswerFacts& f) {
  if (f.other_upstream || (!f.limit_per_s && !f.has_signature)) return;
  if (f.limit_per_s) metrics_.CountStatedLimit();
  std::optional<double> before = u.limit_per_s;
  if (!limits_.RecordLimit(u.info.id, f.limit_per_s, clock_.Now())) return;
  LogEvent("upstream_limit", {{"upstream", u.info.id},
                              {"request", r.facts.id},
                              {"per_s", f.limit_per_s.value_or(-1)},
                              {"before", before.value_or(-1)},
                              {"own", u.in_flight}});
  ApplyLimitsToUpstreams();
}

void Gateway::RecordBackoff(const Request& r, UpstreamState& u,
                            Duration backoff) {
  if (backoff == Duration::zero()) return;
  TimePoint now = clock_.Now();
  metrics_.CountRequestedBackoff();
  LogEvent(
      "upstream_rest",
      {{"upstream", u.info.id},
       {"request", r.facts.id},
       {"rest_ms", ToMs(backoff)},
       {"left_ms", u.backoff_until > now ? ToMs(u.backoff_until - now) : 0},
       {"load", u.reported_load},
       {"own", u.in_flight}});
  u.backoff_until = std::max(u.backoff_until, now + backoff);
}

void Gateway::MergeLimits(absl::Span<const LimitRecord> records) {
  uint64_t before = limits_.changes();
  limits_.MergePublished(records);
  if (limits_.changes() != before) ApplyLimitsToUpstreams();
}

// Copies the known rate limit of each upstream from the table to the upstream's
// state.
void Gateway::ApplyLimitsToUpstreams() {
  limit_changes_applied_ = limits_.changes();
  for (UpstreamState& u : pool_.upstreams()) {
    const LimitRecord* l = limits_.Find(u.info.id);
    std::optional<double> per_s;
    if (l) per_s = l->per_s;
    if (l) u.limit_since = l->since;
    if (u.limit_per_s == per_s) continue;
    LogEvent("limit_in_force",
             {{"upstream", u.info.id},
              {"per_s", per_s.value_or(-1)},
              {"heard_ms", l ? ToMs(clock_.Now() - l->at) : -1},
              {"serving", process_index_.process_count},
              {"place", process_index_.index}});
    u.limit_per_s = per_s;
    if (!per_s) u.no_send_slot = false;
  }
  metrics_.SetLimitedUpstreams(limits_.limits_in_force());
}

void Gateway::ExpireLimits(TimePoint now) {
  limits_.RemoveStaleLimits(
      [this](const std::string& id) { return pool_.Find(id) != nullptr; }, now);
  if (limits_.changes() != limit_changes_applied_) ApplyLimitsToUpstreams();
}

SendSlotQuery Gateway::SendSlotQueryFor(const UpstreamState& u,
                                        TimePoint now) const {
  Millis time =
      options_.group_time
          ? options_.group_time(now)
          : std::chrono::duration_cast<Millis>(now.time_since_epoch());
  return {u.info.id, *u.limit_per_s, process_index_, time};
}

// Returns whether this process may send to `u` now under its rate limit.
// Precondition: `u` has announced a limit.
bool Gateway::HasSendSlot(const UpstreamState& u, TimePoint now) const {
  return InitialHoldElapsed(u.limit_since, now) &&
         FindOpenSendSlot(SendSlotQueryFor(u, now), u.last_send_slot)
             .has_value();
}

void Gateway::UseSendSlot(UpstreamState& u, TimePoint now) {
  std::optional<Millis> slot =
      FindOpenSendSlot(SendSlotQueryFor(u, now), u.last_send_slot);
  if (slot) u.last_send_slot = slot;
}

}  // namespace medlarwalk
