// Duties toward outside systems that one host at a time carries out for the
// whole group: what the group has fixed to be sent, by subject. Part of the
// replicated state: every replica applies the same records in the same order.
//
// Load pattern: a call that was not answered may be carried out seconds later,
// after those of another holder. What is sent again must be what was sent
// before, whoever sends it: so a record is committed before its first sending,
// and the first one committed under a number stands.
#ifndef MEDLARWALK_DUTY_LOG_H_
#define MEDLARWALK_DUTY_LOG_H_

#include <cstdint>
#include <map>
#include <string>

#include "payload.h"

namespace medlarwalk {

// What is to be sent on one subject, fixed by its commit.
struct DutyRecord {
  std::string subject;
  int64_t number = 0;  // Of what is sent; grows within a subject.
  Document content;    // Never null.
  // All up to this number has been accepted, as far as the proposer knew.
  int64_t done_through = 0;
};

// Thread safety: none.
class DutyLog {
 public:
  struct Subject {
    int64_t fixed_through = 0;  // The highest number fixed; 0: none yet.
    int64_t done_through = 0;
    std::map<int64_t, Document> open;  // Fixed and not known to be done.
    size_t Bytes() const;
  };

  // Applies a committed record. False when a record of its number, or of a
  // higher one, was there before it: that one stands.
  bool Apply(const DutyRecord& r);
  // An empty one where nothing is fixed.
  const Subject& Of(const std::string& subject) const;
  const std::map<std::string, Subject>& subjects() const { return subjects_; }
  // From a snapshot.
  void Restore(const std::string& subject, Subject s);
  // Of all contents that are kept.
  size_t Bytes() const;

 private:
  // Open records kept; older ones are given up.
  static constexpr size_t kMostOpen = 64;

  std::map<std::string, Subject> subjects_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_DUTY_LOG_H_
