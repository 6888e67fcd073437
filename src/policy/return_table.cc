#include "return_table.h"

#include <iterator>

namespace medlarwalk {
namespace {

uint32_t KeyOf(RequestFingerprint fingerprint) {
  return static_cast<uint32_t>(fingerprint);
}

}  // namespace

ReturnTable::Row& ReturnTable::SetRow(uint32_t fingerprint, Tier tier,
                                      TimePoint promised_at) {
  auto old = rows_.find(fingerprint);
  if (old != rows_.end()) Erase(old);
  if (rows_.size() >= kMaxReturnRows) {
    auto first = rows_.find(by_time_.begin()->second);
    dropped_ += first->second.used ? 0 : 1;
    Erase(first);
  }
  by_time_.emplace(promised_at, fingerprint);
  Row& row = rows_[fingerprint];
  row.tier = tier;
  row.promised_at = promised_at;
  return row;
}

void ReturnTable::Erase(Rows::iterator it) {
  by_time_.erase({it->second.promised_at, it->first});
  unsent_.erase(it->second.unsent_seq);
  rows_.erase(it);
}

void ReturnTable::MarkUnsent(uint32_t fingerprint, Row& row) {
  unsent_.erase(row.unsent_seq);
  row.unsent_seq = next_seq_++;
  unsent_.emplace(row.unsent_seq, fingerprint);
}

void ReturnTable::RecordPromise(RequestFingerprint fingerprint, Tier tier,
                                TimePoint promised_at, TimePoint now) {
  RemoveExpired(now);
  uint32_t key = KeyOf(fingerprint);
  MarkUnsent(key, SetRow(key, tier, promised_at));
}

ReturnClaim ReturnTable::Claim(RequestFingerprint fingerprint, Tier tier,
                               TimePoint now) {
  RemoveExpired(now);
  auto it = rows_.find(KeyOf(fingerprint));
  if (it == rows_.end() || it->second.used || it->second.tier != tier)
    return ReturnClaim::kUnknown;
  Row& row = it->second;
  row.used = true;
  MarkUnsent(it->first, row);
  return now + kReturnTolerance < row.promised_at ? ReturnClaim::kEarly
                                                  : ReturnClaim::kKept;
}

std::vector<ReturnRecord> ReturnTable::TakeNew(size_t max, TimePoint now) {
  RemoveExpired(now);
  std::vector<ReturnRecord> out;
  while (out.size() < max && !unsent_.empty()) {
    auto newest = std::prev(unsent_.end());
    Row& row = rows_.at(newest->second);
    out.push_back({newest->second, row.tier,
                   row.used ? -kReturnMemory : row.promised_at - now});
    row.unsent_seq = 0;
    unsent_.erase(newest);
  }
  return out;
}

void ReturnTable::Merge(absl::Span<const ReturnRecord> records, TimePoint now) {
  RemoveExpired(now);
  for (const ReturnRecord& r : records) {
    auto it = rows_.find(r.fingerprint);
    if (r.remaining <= -kReturnMemory) {
      if (it != rows_.end()) it->second.used = true;
      continue;
    }
    if (r.remaining > kMaxReturnDelay) {
      ++dropped_;
      continue;
    }
    // A repetition of the promise that is already known appears to be at most a
    // network delay later.
    TimePoint at = now + r.remaining;
    if (it != rows_.end() && at <= it->second.promised_at + kReturnTolerance)
      continue;
    SetRow(r.fingerprint, r.tier, at);
  }
}

void ReturnTable::RemoveExpired(TimePoint now) {
  while (!by_time_.empty() && by_time_.begin()->first + kReturnMemory < now)
    Erase(rows_.find(by_time_.begin()->second));
}

}  // namespace medlarwalk
