#include "duty_leadership.h"

#include <algorithm>

namespace medlarwalk {

void DutyLeadership::UpdateLeadership(bool leads, uint64_t term,
                                      TimePoint now) {
  if (leads == leads_ && term == term_) return;
  bool begins_leading = leads && (!leads_ || term != term_);
  leads_ = leads;
  term_ = term;
  if (!begins_leading) return;
  since_ = now;
  confirmed_ = false;
  refused_ = false;
}

void DutyLeadership::RecordConfirmation(uint64_t term, TimePoint requested_at) {
  if (!leads_ || term != term_) return;
  confirmed_at_ =
      confirmed_ ? std::max(confirmed_at_, requested_at) : requested_at;
  confirmed_ = true;
}

void DutyLeadership::RecordRefusal(uint64_t token) {
  if (token == term_) refused_ = true;
}

bool DutyLeadership::IsHolder(TimePoint now) const {
  return leads_ && !refused_ && LedFor(now) >= policy_.lease + policy_.margin;
}

std::optional<uint64_t> DutyLeadership::UsableToken(TimePoint now) const {
  bool recently_confirmed =
      confirmed_ && now - confirmed_at_ <= policy_.max_confirmation_age;
  if (!IsHolder(now) || !recently_confirmed) return std::nullopt;
  return term_;
}

}  // namespace medlarwalk
