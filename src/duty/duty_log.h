// Log of duties: calls to outside systems that one host at a time makes for the
// whole group. The log holds the content that the group has committed to send,
// by subject. The log is part of the replicated state: every replica applies
// the same records in the same order.
//
// Load pattern: an unanswered call may be executed seconds later, after calls
// of another holder. A repeated call must have the same content as the first
// one, whichever host sends it. Therefore a record is committed before it is
// first sent, and of several records with the same sequence number the first
// committed one is used.
#ifndef MEDLARWALK_DUTY_LOG_H_
#define MEDLARWALK_DUTY_LOG_H_

#include <cstdint>
#include <map>
#include <string>

#include "payload.h"

namespace medlarwalk {

// The content of one call on a subject. Once committed, it never changes.
struct DutyRecord {
  std::string subject;
  // Sequence number of the call; increases within a subject.
  int64_t number = 0;
  Document content;  // Never null.
  // The outside system accepted all calls on the subject up to this sequence
  // number, as far as the proposer of the record knew.
  int64_t accepted_through = 0;
};

// The committed records of all subjects. Thread safety: none.
class DutyLog {
 public:
  // The state of one subject.
  struct Subject {
    // The highest committed sequence number; 0: none yet.
    int64_t committed_through = 0;
    // The outside system accepted all calls on the subject up to this sequence
    // number.
    int64_t accepted_through = 0;
    // Committed contents that are not known to be accepted, by sequence number.
    std::map<int64_t, Document> open;
    // Returns the size of all contents in `open`, in bytes.
    size_t OpenBytes() const;
  };

  // Applies a committed record. If a record of the same subject with the same
  // or a higher sequence number was applied before, ignores the content and
  // returns false.
  bool Apply(const DutyRecord& r);
  // Returns the state of `subject`; an empty one if nothing is committed.
  const Subject& FindSubject(const std::string& subject) const;
  const std::map<std::string, Subject>& subjects() const { return subjects_; }
  // Sets the state of `subject` from a snapshot.
  void Restore(const std::string& subject, Subject s);
  // Returns the size of all open contents of all subjects, in bytes.
  size_t OpenBytes() const;

 private:
  // Maximum number of open contents per subject; beyond it the oldest contents
  // are dropped.
  static constexpr size_t kMaxOpen = 64;

  std::map<std::string, Subject> subjects_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_DUTY_LOG_H_
