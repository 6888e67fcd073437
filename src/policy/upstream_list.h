// The list of upstreams (which exist, where, and whether they are draining) and
// the differences by which it is distributed.
//
// Load pattern: thousands of upstreams, of which a few change every second, and
// hundreds of processes that need the list. Sending the full list of 3,000
// upstreams at each change costs the busiest sender 2.7 MB/s; the cost of
// differences grows only with the number of changes. A process that applies a
// difference to the wrong base list would route by a list that never existed,
// permanently and unnoticed. Therefore the version is a hash of the contents,
// and the result of every applied difference is checked against it.
#ifndef MEDLARWALK_UPSTREAM_LIST_H_
#define MEDLARWALK_UPSTREAM_LIST_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/types/span.h"
#include "endpoint.h"
#include "payload.h"
#include "types.h"

namespace medlarwalk {

// One running incarnation of an upstream.
struct UpstreamInfo {
  std::string id;  // Id of the incarnation, usually new at each start.
  int64_t started_unix_ms = 0;  // Start time in Unix milliseconds; 0: unknown.
  std::string service;
  Endpoint address;
  std::string data_centre;
  bool draining = false;  // The upstream is draining and takes no new requests.
  int slots = 1;          // Number of requests that it runs at once.
  // Version of the upstream's software; "" if unknown. Upstreams of one service
  // may run several versions at once.
  std::string build;
};

// Returns whether `fresh` is a later start of the upstream that was known as
// `known`. A restarted upstream has lost the cache and the requests of `known`.
inline bool HasRestarted(const UpstreamInfo& known, const UpstreamInfo& fresh) {
  if (!known.build.empty() && !fresh.build.empty() &&
      known.build != fresh.build) {
    return true;
  }
  if (known.started_unix_ms && fresh.started_unix_ms)
    return fresh.started_unix_ms > known.started_unix_ms;
  return !(known.address == fresh.address);
}

// Entries of a list that could not be read. An upstream that they may name is
// kept as it is known.
struct UnreadEntries {
  int count = 0;  // Entries that could not be read.
  // Upstream ids that occur in their bytes.
  std::vector<std::string> ids;
  // The end of an entry could not be told: others may follow it unread.
  bool rest = false;
};

// Adds what a later page of the same list left unread.
void Append(UnreadEntries later, UnreadEntries* unread);

// Consecutive pages of the list, as read from its source.
struct ListPart {
  std::vector<UpstreamInfo> upstreams;
  // Token of the first page after this part.
  std::string next_token;
  int pages = 0;
  bool complete = false;     // Whether the list ends with this part.
  int unusable_entries = 0;  // Entries that do not describe an upstream.
  UnreadEntries unread;
};

// A difference between two versions of the list.
struct ListChange {
  // Version of the base list. 0: there is no base list, and `changed` contains
  // the full list.
  int64_t from = 0;
  int64_t to = 0;                        // Version of the resulting list.
  std::vector<UpstreamInfo> changed;     // Changed and added upstreams.
  std::vector<std::string> removed_ids;  // Ids of removed upstreams.
};

// A list of upstreams with unique ids and a version that is a hash of its
// contents: two processes with the same upstreams have the same version,
// whatever the order of updates. Thread safety: none.
class UpstreamList {
 public:
  // Returns the version of the list; 0 before the first update.
  int64_t version() const { return version_; }
  size_t size() const { return upstreams_.size(); }
  // Returns the upstream with this id, or nullptr.
  const UpstreamInfo* Find(const std::string& id) const;
  // Returns all upstreams, sorted by id.
  std::vector<UpstreamInfo> All() const;

  // Replaces the contents and returns the difference. Of two upstreams with the
  // same id the one that started later is kept, and if they started at the same
  // time the last one in `full_list`.
  ListChange Replace(std::vector<UpstreamInfo> full_list);
  // Applies a difference made by another process. Returns false and changes
  // nothing if the difference is for another base list or if its result does
  // not have the stated version.
  bool Apply(const ListChange& change);

 private:
  struct Entry {
    UpstreamInfo info;
    uint64_t hash = 0;
  };
  // Sum of the hashes of all entries, and number of entries.
  struct Digest {
    uint64_t sum = 0;
    size_t entry_count = 0;
  };
  // Returns the digest that the list will have after `c`.
  Digest DigestAfter(const ListChange& c) const;
  void Commit(const ListChange& c, Digest digest);

  std::map<std::string, Entry> upstreams_;
  Digest digest_;
  int64_t version_ = 0;
};

// Returns `read` with those upstreams of `known` that it lacks and that
// `unread` may name: a source that cannot be read says nothing against them.
std::vector<UpstreamInfo> KeepUnread(std::vector<UpstreamInfo> read,
                                     const UnreadEntries& unread,
                                     const UpstreamList& known);

// The newest list and the recent changes that led to it. Processes that hold an
// earlier version get a difference made from these changes. Thread safety:
// none.
class ListHistory {
 public:
  using Encode = std::function<Document(const ListChange&)>;

  // `max_entries`: the most recent changes are kept as long as they contain at
  // most this number of upstreams in total, or half of the list if that is
  // more. `encode`: encodes a change for sending.
  ListHistory(size_t max_entries, Encode encode)
      : max_entries_(max_entries), encode_(std::move(encode)) {}

  const UpstreamList& list() const { return list_; }
  int64_t version() const { return list_.version(); }
  // Replaces the list. Returns whether anything changed.
  bool Replace(std::vector<UpstreamInfo> full_list);
  // Applies a difference made by another process. Returns false if the
  // difference does not apply to the list held.
  bool Apply(const ListChange& change);

  // Returns whether the changes since the version `held_version` are still
  // kept.
  bool HasChangesSince(int64_t held_version) const {
    return FindStepFrom(held_version) != steps_.end();
  }
  // Returns the difference from the version `held_version` to the newest list,
  // or the full list if the changes since that version are not kept.
  ListChange ChangeSince(int64_t held_version) const;
  // Returns ChangeSince(held_version) in encoded form, cached for all processes
  // that hold this version. Precondition: held_version != version().
  Document EncodedChangeSince(int64_t held_version);

 private:
  struct Step {
    int64_t from = 0;
    std::vector<std::string> ids;  // Ids of changed or removed upstreams.
  };
  void RecordChange(const ListChange& change);
  std::deque<Step>::const_iterator FindStepFrom(int64_t held_version) const;

  size_t max_entries_;
  Encode encode_;
  UpstreamList list_;
  std::deque<Step> steps_;   // Oldest first; the last step results in list_.
  size_t step_entries_ = 0;  // Total number of ids in steps_.
  // Encoded differences by the version of their base list; 0: the full list.
  std::unordered_map<int64_t, Document> encoded_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_UPSTREAM_LIST_H_
