// Decides which control process reads the next pages of the upstream list, and
// when a reader counts as lost. Sends and reads nothing itself; callers pass
// the current time.
//
// A read passes from reader to reader: each one reads some pages and returns
// the token of the page after them. Thus a read makes the same calls in the
// same order as a read by one process, and no host carries all of its bytes.
// The process that began the read gives each part to a reader only after the
// part before it has arrived, so every part is newer than the begin of the
// read. If a reader does not answer, the parts before its own grow old while it
// is waited for, and the pages may have shifted. They are dropped, and the
// process that began the read reads the list again by itself.
#ifndef MEDLARWALK_LIST_PARTS_H_
#define MEDLARWALK_LIST_PARTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "types.h"

namespace medlarwalk {

// Tracks the parts of one read at a time, and the readers that failed. Thread
// safety: loop thread only.
class ListParts {
 public:
  struct Part {
    uint64_t number = 0;  // Distinguishes the part from all earlier ones.
    // Address of the reader; "" for the process that began the read.
    std::string reader;
    int max_pages = 0;
    // Time after which the reader counts as lost. Not used for the process that
    // began the read.
    TimePoint deadline{};
  };

  // `max_pages`: maximum number of pages of a read.
  explicit ListParts(int max_pages) : max_pages_(max_pages) {}

  // Begins a read and returns its first part. `readers` are the other processes
  // that can read now; `pages` is the size of the list at the last complete
  // read, 0 if unknown.
  const Part& Begin(const std::vector<std::string>& readers, int pages,
                    TimePoint now);
  // Returns the part after the open one, which was read whole.
  const Part& Next(TimePoint now);
  // The reader of the open part returned less than its pages. Returns the part
  // with all remaining pages, for the process that began the read.
  const Part& ContinueAlone();
  // The reader of the open part refused it. Returns the same as ContinueAlone.
  const Part& OnRefused(TimePoint now);
  // The reader of the open part was lost. Begins the read again, without other
  // readers, and returns its only part.
  const Part& OnLost(TimePoint now);
  // Ends the read. Late answers are no longer accepted.
  void End() { open_ = false; }

  // Returns whether the part with this number is awaited. Any other answer is
  // late and must be dropped.
  bool Awaits(uint64_t number) const { return open_ && number == part_.number; }
  // Returns whether the reader of the open part counts as lost.
  bool IsOverdue(TimePoint now) const {
    return open_ && !part_.reader.empty() && now >= part_.deadline;
  }
  const Part& part() const { return part_; }
  // Returns the time since which all parts of this read were read.
  TimePoint began_at() const { return began_at_; }

 private:
  // A reader that was lost or has refused.
  struct Failure {
    Duration pause{};
    TimePoint until{};
  };

  const Part& OpenPart(std::string reader, int pages, TimePoint now);
  void PauseReader(const std::string& reader, TimePoint now);

  int max_pages_;
  bool open_ = false;
  Part part_;
  TimePoint began_at_{};
  // Readers of this read, "" for the process that began it.
  std::vector<std::string> readers_;
  int pages_per_part_ = 0;
  // Number of parts given to readers so far. It continues over reads, so that
  // all readers take their turns.
  size_t turn_ = 0;
  std::map<std::string, Failure> failures_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_LIST_PARTS_H_
