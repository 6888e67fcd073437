// Log of duties: calls to outside systems that one host at a time makes for the
// whole group. It holds the content that the group has committed to send, by
// subject. The log is part of the replicated state: every replica applies the
// same records in the same order.
//
// Load pattern: an unanswered call may be executed seconds later, after calls
// of another holder. A repeated call must have the same content as the first
// one, whichever host sends it. So a record is committed before it is first
// sent, and the first record committed under a number wins.
#ifndef MEDLARWALK_DUTY_LOG_H_
#define MEDLARWALK_DUTY_LOG_H_

#include <cstdint>
#include <map>
#include <string>

#include "payload.h"

namespace medlarwalk {

// The content of one call on a subject. Its commit makes it final.
struct DutyRecord {
  std::string subject;
  int64_t number = 0;  // Sequence number of the call; grows within a subject.
  Document content;    // Never null.
  // All calls up to this number were accepted, as far as the proposer knew.
  int64_t accepted_through = 0;
};

// The committed records of all subjects. Thread safety: none.
class DutyLog {
 public:
  // The state of one subject.
  struct Subject {
    int64_t committed_through = 0;  // The highest committed number; 0: none.
    int64_t accepted_through = 0;  // All calls up to this number were accepted.
    // Contents by number: committed, but not known to be accepted.
    std::map<int64_t, Document> open;
    // Returns the size of all contents in `open`.
    size_t Bytes() const;
  };

  // Applies a committed record. Returns false, and ignores the content, if a
  // record with the same or a higher number was applied before.
  bool Apply(const DutyRecord& r);
  // Returns the state of `subject`; an empty one if nothing is committed.
  const Subject& FindSubject(const std::string& subject) const;
  const std::map<std::string, Subject>& subjects() const { return subjects_; }
  // Sets the state of `subject` from a snapshot.
  void Restore(const std::string& subject, Subject s);
  // Returns the size of all open contents of all subjects.
  size_t Bytes() const;

 private:
  // Open records per subject; the oldest are dropped above this.
  static constexpr size_t kMaxOpen = 64;

  std::map<std::string, Subject> subjects_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_DUTY_LOG_H_
