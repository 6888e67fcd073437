#include "duty_turn.h"

#include <algorithm>

namespace medlarwalk {

void DutyTurn::NoteLead(bool leads, uint64_t term, TimePoint now) {
  if (leads == leads_ && term == term_) return;
  bool begins = leads && (!leads_ || term != term_);
  leads_ = leads;
  term_ = term;
  if (!begins) return;
  since_ = now;
  confirmed_ = false;
  refused_ = false;
}

void DutyTurn::NoteConfirmed(uint64_t term, TimePoint asked_at) {
  if (!leads_ || term != term_) return;
  confirmed_at_ = confirmed_ ? std::max(confirmed_at_, asked_at) : asked_at;
  confirmed_ = true;
}

void DutyTurn::NoteRefused(uint64_t token) {
  if (token == term_) refused_ = true;
}

bool DutyTurn::Holds(TimePoint now) const {
  return !refused_ && LedFor(policy_.lease + policy_.margin, now);
}

std::optional<uint64_t> DutyTurn::Token(TimePoint now) const {
  bool fresh = confirmed_ && now - confirmed_at_ <= policy_.confirmed_for;
  if (!Holds(now) || !fresh) return std::nullopt;
  return term_;
}

}  // namespace medlarwalk
