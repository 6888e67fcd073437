#include "limit_book.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"

namespace medlarwalk {
namespace {

// Upstreams told of; more than are in need at once.
constexpr size_t kMostEntries = 1024;
// An ended limit is told for so long, and an upstream that is not listed is
// remembered: a list may lag behind the first answers of a new upstream.
constexpr auto kEndedMemory = std::chrono::seconds(30);
// A value this near to the one held, as a share of it, is no news: each change
// is told to every process.
constexpr double kNoNews = 0.05;

bool IsNews(std::optional<double> held, std::optional<double> heard) {
  if (!held || !heard) return held != heard;
  return std::abs(*heard - *held) > kNoNews * *held;
}

}  // namespace

bool LimitBook::Note(const std::string& upstream, std::optional<double> per_s,
                     TimePoint now) {
  auto it = entries_.find(upstream);
  std::optional<double> before;
  if (it != entries_.end()) before = it->second.record.per_s;
  if (!IsNews(before, per_s)) return false;
  TimePoint since = before ? it->second.record.since : now;
  Join({upstream, per_s, now, since}, true);
  return true;
}

void LimitBook::Join(const LimitRecord& r, bool tell_on) {
  auto it = entries_.find(r.upstream);
  if (it == entries_.end()) {
    if (entries_.size() >= kMostEntries) return;
    it = entries_.try_emplace(r.upstream).first;
  } else if (it->second.record.per_s == r.per_s) {
    // The same, by another way.
    it->second.record.since = std::min(it->second.record.since, r.since);
    return;
  } else if (it->second.record.at >= r.at) {
    return;
  }
  it->second.record = r;
  it->second.seq = tell_on ? ++seq_ : 0;
  Changed();
}

void LimitBook::TakeReported(absl::Span<const LimitRecord> records) {
  for (const LimitRecord& r : records) Join(r, true);
}

void LimitBook::TakeTold(absl::Span<const LimitRecord> records) {
  for (const LimitRecord& r : records) Join(r, false);
}

void LimitBook::Keep(const std::function<bool(const std::string&)>& listed,
                     TimePoint now) {
  bool gone = false;
  for (auto it = entries_.begin(); it != entries_.end();) {
    const LimitRecord& r = it->second.record;
    bool stays = r.per_s && listed(r.upstream);
    if (stays || now - r.at < kEndedMemory) {
      ++it;
      continue;
    }
    it = entries_.erase(it);
    gone = true;
  }
  if (gone) Changed();
}

const LimitRecord* LimitBook::Find(const std::string& upstream) const {
  auto it = entries_.find(upstream);
  if (it == entries_.end() || !it->second.record.per_s) return nullptr;
  return &it->second.record;
}

std::vector<LimitRecord> LimitBook::All() const {
  std::vector<LimitRecord> out;
  for (const auto& [upstream, e] : entries_) out.push_back(e.record);
  return out;
}

size_t LimitBook::in_force() const {
  return static_cast<size_t>(std::count_if(
      entries_.begin(), entries_.end(),
      [](const auto& e) { return e.second.record.per_s.has_value(); }));
}

std::vector<LimitRecord> LimitBook::ChangedSince(uint64_t seq,
                                                 size_t most) const {
  std::vector<LimitRecord> out;
  for (const auto& [upstream, e] : entries_) {
    if (e.seq > seq && out.size() < most) out.push_back(e.record);
  }
  return out;
}

void LimitBook::Changed() {
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
