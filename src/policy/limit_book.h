// The limits that upstreams name on what they take from all processes together.
//
// Load pattern: an upstream in need names a limit in its answers, and the next
// answer at another entry comes seconds later, or minutes in a large fleet. An
// entry that waited for its own would send on meanwhile, and send too little
// for as long once the limit has ended. So whoever hears a change tells it at
// once, and every process holds the newest that anyone has heard.
#ifndef MEDLARWALK_LIMIT_BOOK_H_
#define MEDLARWALK_LIMIT_BOOK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/types/span.h"
#include "change_reports.h"
#include "types.h"

namespace medlarwalk {

// What an upstream said of its limit.
struct LimitRecord {
  std::string upstream;
  std::optional<double> per_s;  // nullopt: there is none any more.
  TimePoint at{};               // When an answer said so for the first time.
  TimePoint since{};            // When the first of its limits was named.
};

// Thread safety: loop thread only.
class LimitBook {
 public:
  // An answer of `upstream` names `per_s`, or no limit. Returns whether that is
  // another than before.
  bool Note(const std::string& upstream, std::optional<double> per_s,
            TimePoint now);
  // Joins what others tell: of each upstream the newest counts, in whatever
  // order and however often it is told. ChangedSince tells on what was
  // reported, not what was told by the process reported to.
  void TakeReported(absl::Span<const LimitRecord> records);
  void TakeTold(absl::Span<const LimitRecord> records);
  // Forgets upstreams that are not listed, and limits that ended long ago.
  void Keep(const std::function<bool(const std::string&)>& listed,
            TimePoint now);

  // The limit in force, or nullptr.
  const LimitRecord* Find(const std::string& upstream) const;
  // Those in force, and those that ended of late. By upstream.
  std::vector<LimitRecord> All() const;
  size_t in_force() const;
  // Tells the contents of All(); 0 where there are none.
  int64_t version() const { return version_; }
  // Grows with every change, whoever told it.
  uint64_t changes() const { return changes_; }

  // Number of the last change noted or reported here.
  uint64_t seq() const { return seq_; }
  // Those noted or reported after `seq`, `most` at most.
  std::vector<LimitRecord> ChangedSince(uint64_t seq, size_t most) const;

 private:
  struct Entry {
    LimitRecord record;
    uint64_t seq = 0;  // 0: told by the process that this one reports to.
  };
  void Join(const LimitRecord& r, bool tell_on);
  void Changed();

  std::map<std::string, Entry> entries_;
  int64_t version_ = 0;
  uint64_t changes_ = 0;
  uint64_t seq_ = 0;
};

using LimitReports = ChangeReports<LimitBook>;

}  // namespace medlarwalk

#endif  // MEDLARWALK_LIMIT_BOOK_H_
