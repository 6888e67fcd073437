#include "build_history.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace medlarwalk {

void BuildHistory::UpdateVersion() {
  std::string text;
  for (const auto& [key, state] : states_)
    absl::StrAppend(&text, key.first, "\n", key.second, "\n");
  version_ = std::max<int64_t>(1, static_cast<int64_t>(StableHash(text) >> 1));
}

void BuildHistory::RecordList(absl::Span<const UpstreamInfo> listed,
                              TimePoint now) {
  for (auto& [key, state] : states_) {
    if (state.listed) state.seen_at = now;
    state.listed = false;
  }
  for (const UpstreamInfo& u : listed) {
    State& state = states_[{u.service, u.build}];
    state.listed = true;
    state.seen_at = now;
  }
  RemoveExpired(now);
  UpdateVersion();
}

void BuildHistory::Merge(absl::Span<const BuildRecord> records, TimePoint now) {
  for (const BuildRecord& r : records) {
    Key key{r.service, r.build};
    if (states_.size() >= kMaxRecords && states_.count(key) == 0) continue;
    State& state = states_[key];
    state.seen_at = std::max(state.seen_at, now - std::max(r.age, Millis(0)));
  }
  RemoveExpired(now);
  UpdateVersion();
}

void BuildHistory::RemoveExpired(TimePoint now) {
  size_t before = states_.size();
  for (auto it = states_.begin(); it != states_.end();) {
    const State& state = it->second;
    bool expired = !state.listed && now - state.seen_at >= kBuildMemory;
    it = expired ? states_.erase(it) : std::next(it);
  }
  if (states_.size() != before) UpdateVersion();
}

std::vector<std::string> BuildHistory::BuildsOf(absl::string_view service,
                                                TimePoint now) const {
  std::vector<std::string> out;
  for (const auto& [key, state] : states_) {
    bool of_late = state.listed || now - state.seen_at < kBuildMemory;
    if (key.first == service && of_late) out.push_back(key.second);
  }
  return out;
}

bool BuildHistory::ListsSeveral(absl::string_view service) const {
  auto n = std::count_if(states_.begin(), states_.end(), [&](const auto& s) {
    return s.first.first == service && s.second.listed;
  });
  return n > 1;
}

std::vector<BuildRecord> BuildHistory::Records(TimePoint now) const {
  std::vector<BuildRecord> out;
  for (const auto& [key, state] : states_) {
    Millis age = state.listed ? Millis(0) : Millis(ToMs(now - state.seen_at));
    out.push_back({key.first, key.second, age});
  }
  return out;
}

}  // namespace medlarwalk
