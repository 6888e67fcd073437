#include "rate_limit_table.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"

namespace medlarwalk {
namespace {

// Maximum number of records: far more than the upstreams that announce limits
// at the same time.
constexpr size_t kMaxEntries = 1024;
// How long the record of a lifted limit or of an unlisted upstream is kept.
// Records of unlisted upstreams are kept because the upstream list may lag
// behind the first answers of a new upstream.
constexpr auto kRetention = std::chrono::seconds(30);
// Relative changes of a limit up to this size are ignored, because each change
// is published to every process.
constexpr double kIgnoredRelativeChange = 0.05;

bool IsSignificantChange(std::optional<double> known,
                         std::optional<double> announced) {
  if (!known || !announced) return known != announced;
  return std::abs(*announced - *known) > kIgnoredRelativeChange * *known;
}

}  // namespace

bool RateLimitTable::RecordLimit(const std::string& upstream,
                                 std::optional<double> per_s, TimePoint now) {
  auto it = entries_.find(upstream);
  std::optional<double> before;
  if (it != entries_.end()) before = it->second.record.per_s;
  if (!IsSignificantChange(before, per_s)) return false;
  TimePoint since = before ? it->second.record.since : now;
  MergeRecord({upstream, per_s, now, since}, true);
  return true;
}

void RateLimitTable::MergeRecord(const LimitRecord& r, bool forward) {
  auto it = entries_.find(r.upstream);
  if (it == entries_.end()) {
    if (entries_.size() >= kMaxEntries) return;
    it = entries_.try_emplace(r.upstream).first;
  } else if (it->second.record.per_s == r.per_s) {
    // The same rate limit, received through another process, is not a change.
    // Only the earlier start of the limit is kept.
    it->second.record.since = std::min(it->second.record.since, r.since);
    return;
  } else if (it->second.record.at >= r.at) {
    return;
  }
  it->second.record = r;
  it->second.seq = forward ? ++seq_ : 0;
  RecordChange();
}

void RateLimitTable::MergeReported(absl::Span<const LimitRecord> records) {
  for (const LimitRecord& r : records) MergeRecord(r, true);
}

void RateLimitTable::MergePublished(absl::Span<const LimitRecord> records) {
  for (const LimitRecord& r : records) MergeRecord(r, false);
}

void RateLimitTable::RemoveStaleLimits(
    const std::function<bool(const std::string&)>& listed, TimePoint now) {
  bool any_removed = false;
  for (auto it = entries_.begin(); it != entries_.end();) {
    const LimitRecord& r = it->second.record;
    bool keep = r.per_s && listed(r.upstream);
    if (keep || now - r.at < kRetention) {
      ++it;
      continue;
    }
    it = entries_.erase(it);
    any_removed = true;
  }
  if (any_removed) RecordChange();
}

const LimitRecord* RateLimitTable::Find(const std::string& upstream) const {
  auto it = entries_.find(upstream);
  if (it == entries_.end() || !it->second.record.per_s) return nullptr;
  return &it->second.record;
}

std::vector<LimitRecord> RateLimitTable::All() const {
  std::vector<LimitRecord> out;
  for (const auto& [upstream, e] : entries_) out.push_back(e.record);
  return out;
}

size_t RateLimitTable::limits_in_force() const {
  return static_cast<size_t>(std::count_if(
      entries_.begin(), entries_.end(),
      [](const auto& e) { return e.second.record.per_s.has_value(); }));
}

std::vector<LimitRecord> RateLimitTable::ChangedSince(uint64_t seq,
                                                      size_t max_records,
                                                      uint64_t* through) const {
  std::vector<const Entry*> changed;
  for (const auto& [upstream, e] : entries_) {
    if (e.seq > seq) changed.push_back(&e);
  }
  std::sort(changed.begin(), changed.end(),
            [](const Entry* a, const Entry* b) { return a->seq < b->seq; });
  if (changed.size() > max_records) changed.resize(max_records);
  std::vector<LimitRecord> out;
  for (const Entry* e : changed) out.push_back(e->record);
  if (through) *through = changed.empty() ? seq : changed.back()->seq;
  return out;
}

void RateLimitTable::RecordChange() {
  ++changes_;
  std::string text;
  for (const auto& [upstream, e] : entries_) {
    absl::StrAppend(&text, upstream, " ", e.record.per_s.value_or(-1), "\n");
  }
  version_ = text.empty() ? 0
                          : std::max<int64_t>(
                                1, static_cast<int64_t>(StableHash(text) >> 1));
}

}  // namespace medlarwalk
