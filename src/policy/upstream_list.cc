#include "upstream_list.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"

namespace medlarwalk {
namespace {

// Prefixes each text with its length, so that different upstreams never yield
// the same hash input.
uint64_t HashOf(const UpstreamInfo& u) {
  std::string text;
  for (const std::string* s :
       {&u.id, &u.service, &u.address.ip, &u.data_centre, &u.build}) {
    absl::StrAppend(&text, s->size(), ":", *s);
  }
  absl::StrAppend(&text, u.address.port, ",", u.draining, ",", u.slots, ",",
                  u.started_unix_ms);
  return StableHash(text);
}

// Returns the version of a list. Never 0, which means that there is no list.
int64_t VersionOf(uint64_t sum, size_t entry_count) {
  std::array<uint64_t, 2> both = {sum, entry_count};
  uint64_t h = StableHash(absl::string_view(
      reinterpret_cast<const char*>(both.data()), sizeof(both)));
  return std::max<int64_t>(1, static_cast<int64_t>(h >> 1));
}

bool SameInfo(const UpstreamInfo& a, const UpstreamInfo& b) {
  return a.id == b.id && a.started_unix_ms == b.started_unix_ms &&
         a.service == b.service && a.address == b.address &&
         a.data_centre == b.data_centre && a.draining == b.draining &&
         a.slots == b.slots && a.build == b.build;
}

}  // namespace

void Append(UnreadEntries later, UnreadEntries* unread) {
  unread->count += later.count;
  unread->rest |= later.rest;
  unread->ids.insert(unread->ids.end(),
                     std::make_move_iterator(later.ids.begin()),
                     std::make_move_iterator(later.ids.end()));
}

std::vector<UpstreamInfo> KeepUnread(std::vector<UpstreamInfo> read,
                                     const UnreadEntries& unread,
                                     const UpstreamList& known) {
  if (!unread.rest && unread.ids.empty()) return read;
  std::set<std::string> named(unread.ids.begin(), unread.ids.end());
  std::set<std::string> present;
  for (const UpstreamInfo& u : read) present.insert(u.id);
  for (UpstreamInfo& u : known.All()) {
    bool may_be_unread = unread.rest || named.count(u.id) > 0;
    if (may_be_unread && present.count(u.id) == 0) read.push_back(std::move(u));
  }
  return read;
}

const UpstreamInfo* UpstreamList::Find(const std::string& id) const {
  auto it = upstreams_.find(id);
  return it == upstreams_.end() ? nullptr : &it->second.info;
}

std::vector<UpstreamInfo> UpstreamList::All() const {
  std::vector<UpstreamInfo> out;
  out.reserve(upstreams_.size());
  for (const auto& [id, e] : upstreams_) out.push_back(e.info);
  return out;
}

UpstreamList::Digest UpstreamList::DigestAfter(const ListChange& c) const {
  // Unsigned sums wrap around, so subtracting a hash reverts its addition
  // exactly.
  Digest t = digest_;
  std::set<absl::string_view> seen;
  auto drop = [&](const std::string& id) {
    auto it = upstreams_.find(id);
    if (it == upstreams_.end()) return;
    t.sum -= it->second.hash;
    --t.entry_count;
  };
  for (const std::string& id : c.removed_ids) {
    if (seen.insert(id).second) drop(id);
  }
  for (const UpstreamInfo& u : c.changed) {
    // A valid change contains no id twice. For an invalid change, returns a
    // digest that matches no version.
    if (!seen.insert(u.id).second) return {~digest_.sum, 0};
    drop(u.id);
    t.sum += HashOf(u);
    ++t.entry_count;
  }
  return t;
}

void UpstreamList::Commit(const ListChange& c, Digest digest) {
  for (const std::string& id : c.removed_ids) upstreams_.erase(id);
  for (const UpstreamInfo& u : c.changed) {
    upstreams_[u.id] = Entry{u, HashOf(u)};
  }
  digest_ = digest;
  version_ = c.to;
}

ListChange UpstreamList::Replace(std::vector<UpstreamInfo> full_list) {
  std::map<std::string, UpstreamInfo> fresh;
  for (UpstreamInfo& u : full_list) {
    auto [it, added] = fresh.try_emplace(u.id, u);
    if (!added && u.started_unix_ms >= it->second.started_unix_ms)
      it->second = std::move(u);
  }
  ListChange c;
  c.from = version_;
  for (const auto& [id, e] : upstreams_) {
    if (!fresh.count(id)) c.removed_ids.push_back(id);
  }
  for (auto& [id, u] : fresh) {
    const UpstreamInfo* known = Find(id);
    if (!known || !SameInfo(*known, u)) c.changed.push_back(std::move(u));
  }
  Digest digest = DigestAfter(c);
  c.to = VersionOf(digest.sum, digest.entry_count);
  Commit(c, digest);
  return c;
}

bool UpstreamList::Apply(const ListChange& change) {
  if (change.from == 0) {
    UpstreamList whole;
    whole.Replace(change.changed);
    if (whole.version() != change.to || !change.removed_ids.empty())
      return false;
    *this = std::move(whole);
    return true;
  }
  if (change.from != version_) return false;
  Digest digest = DigestAfter(change);
  if (VersionOf(digest.sum, digest.entry_count) != change.to) return false;
  Commit(change, digest);
  return true;
}

bool ListHistory::Replace(std::vector<UpstreamInfo> full_list) {
  ListChange c = list_.Replace(std::move(full_list));
  if (c.from == c.to) return false;
  RecordChange(c);
  return true;
}

bool ListHistory::Apply(const ListChange& change) {
  if (!list_.Apply(change)) return false;
  RecordChange(change);
  return true;
}

void ListHistory::RecordChange(const ListChange& change) {
  encoded_.clear();
  if (change.from == 0) {
    // The kept changes do not lead to a list that was received in full, so they
    // are dropped.
    steps_.clear();
    step_entries_ = 0;
    return;
  }
  Step s;
  s.from = change.from;
  s.ids = change.removed_ids;
  for (const UpstreamInfo& u : change.changed) s.ids.push_back(u.id);
  step_entries_ += s.ids.size();
  steps_.push_back(std::move(s));
  size_t max_step_entries = std::max(max_entries_, list_.size() / 2);
  while (!steps_.empty() && step_entries_ > max_step_entries) {
    step_entries_ -= steps_.front().ids.size();
    steps_.pop_front();
  }
}

// Returns the latest kept change that was made to the list of version
// `held_version`, or the end iterator if there is none.
std::deque<ListHistory::Step>::const_iterator ListHistory::FindStepFrom(
    int64_t held_version) const {
  auto it = std::find_if(steps_.rbegin(), steps_.rend(),
                         [&](const Step& s) { return s.from == held_version; });
  return it == steps_.rend() ? steps_.end() : std::prev(it.base());
}

ListChange ListHistory::ChangeSince(int64_t held_version) const {
  ListChange c;
  c.to = version();
  auto step = FindStepFrom(held_version);
  if (step == steps_.end()) {
    c.changed = list_.All();
    return c;
  }
  c.from = held_version;
  std::set<absl::string_view> ids;
  for (; step != steps_.end(); ++step) {
    ids.insert(step->ids.begin(), step->ids.end());
  }
  for (absl::string_view id : ids) {
    const UpstreamInfo* u = list_.Find(std::string(id));
    if (u) {
      c.changed.push_back(*u);
    } else {
      c.removed_ids.emplace_back(id);
    }
  }
  return c;
}

Document ListHistory::EncodedChangeSince(int64_t held_version) {
  if (!HasChangesSince(held_version)) held_version = 0;
  Document& d = encoded_[held_version];
  if (!d) d = encode_(ChangeSince(held_version));
  return d;
}

}  // namespace medlarwalk
