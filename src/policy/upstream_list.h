// The list of upstreams: which exist, where, and whether they are leaving; and
// the differences by which it spreads.
//
// Load pattern: thousands of upstreams, of which a few change every second, and
// hundreds of processes that all must know. Sent whole at each change the list
// of 3,000 took 2.7 MB a second at its busiest sender; what is sent now grows
// with what has changed. A process that joined a difference to another list
// than it was made from would route by a list that never was, unnoticed for
// good: so a version tells the contents, and what comes of each join is checked
// against it.
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
  std::string id;    // New for most starts.
  int64_t born = 0;  // When it started, Unix milliseconds; 0 where not said.
  std::string service;
  Endpoint address;
  std::string data_centre;
  bool leaving = false;  // Takes no new work.
  int slots = 1;
};

// Whether `fresh` is another start of the upstream that `known` was: it then
// knows nothing of what `known` held or ran.
inline bool StartedAgain(const UpstreamInfo& known, const UpstreamInfo& fresh) {
  if (known.born && fresh.born) return fresh.born > known.born;
  return !(known.address == fresh.address);
}

// What leads from one list to another.
struct ListChange {
  int64_t from = 0;  // Version of the list it is for; 0: any, it is whole.
  int64_t to = 0;    // Version of the list it leads to.
  std::vector<UpstreamInfo> changed;  // New ones too.
  std::vector<std::string> gone;
};

// A list of upstreams, each id once, with a version that tells its contents:
// two processes that hold the same upstreams hold the same version, whoever
// read them and in whatever order. Thread safety: none.
class UpstreamList {
 public:
  // 0 until anything was taken over.
  int64_t version() const { return version_; }
  size_t size() const { return upstreams_.size(); }
  // nullptr where there is none of that id.
  const UpstreamInfo* Find(const std::string& id) const;
  // By id.
  std::vector<UpstreamInfo> All() const;

  // Takes over a whole reading, and returns what differs. Of two entries of
  // one id the later born stands, else the last.
  ListChange Replace(std::vector<UpstreamInfo> reading);
  // Takes over a change made elsewhere. False, and nothing is changed, when it
  // is for another list than this or does not lead to the version it names.
  bool Apply(const ListChange& change);

 private:
  struct Entry {
    UpstreamInfo info;
    uint64_t hash = 0;
  };
  // Sum of the entries' hashes, and their number, once `c` is applied.
  struct Total {
    uint64_t sum = 0;
    size_t n = 0;
  };
  Total After(const ListChange& c) const;
  void Commit(const ListChange& c, Total after);

  std::map<std::string, Entry> upstreams_;
  Total total_;
  int64_t version_ = 0;
};

// The newest list, and the changes of late that led to it: what those who hold
// an earlier one are told. Thread safety: none.
class ListHistory {
 public:
  using Encode = std::function<Document(const ListChange&)>;

  // Keeps changes of up to `most_entries` upstreams together, or of a half of
  // the list where that is more.
  ListHistory(size_t most_entries, Encode encode)
      : most_entries_(most_entries), encode_(std::move(encode)) {}

  const UpstreamList& list() const { return list_; }
  int64_t version() const { return list_.version(); }
  // Takes over a whole reading; whether anything differs.
  bool Replace(std::vector<UpstreamInfo> reading);
  // Takes over a change made elsewhere; false when it does not fit.
  bool Apply(const ListChange& change);

  // Whether the way from the version `held` is known.
  bool Knows(int64_t held) const { return StepFrom(held) != steps_.end(); }
  // What one who holds the version `held` lacks: the whole list where the
  // way from there is not known any more.
  ListChange Since(int64_t held) const;
  // The same, encoded once for all who hold it. Precondition: held !=
  // version().
  Document EncodedSince(int64_t held);

 private:
  struct Step {
    int64_t from = 0;
    std::vector<std::string> ids;  // Changed or gone.
  };
  void Note(const ListChange& change);
  std::deque<Step>::const_iterator StepFrom(int64_t held) const;

  size_t most_entries_;
  Encode encode_;
  UpstreamList list_;
  std::deque<Step> steps_;  // Oldest first; the last leads to list_.
  size_t step_entries_ = 0;
  // By the version held; 0: the whole list.
  std::unordered_map<int64_t, Document> encoded_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_UPSTREAM_LIST_H_
