// What of a source of records is not yet known to the process it is reported
// to. The source numbers its changes: seq() is the last one's number,
// ChangedSince(seq, most) the newest records changed after it.
#ifndef MEDLARWALK_CHANGE_REPORTS_H_
#define MEDLARWALK_CHANGE_REPORTS_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace medlarwalk {

// Thread safety: loop thread only.
template <typename Source>
class ChangeReports {
 public:
  // Precondition: `source` outlives this.
  explicit ChangeReports(const Source& source) : source_(source) {}

  // What to tell `target` next: all that it has not confirmed.
  auto For(const std::string& target) {
    if (target != target_) confirmed_ = 0;
    target_ = target;
    sent_ = source_.seq();
    return source_.ChangedSince(confirmed_, kMostTold);
  }
  // The target has taken what For returned last.
  void Confirmed() { confirmed_ = sent_; }
  // The target failed: it may come back with nothing.
  void Lost() { confirmed_ = 0; }
  // There is more than For returned last.
  bool waiting() const { return source_.seq() > sent_; }

 private:
  // Records told at once: what a rack of engines leaves behind.
  static constexpr size_t kMostTold = 512;

  const Source& source_;
  std::string target_;
  uint64_t sent_ = 0;
  uint64_t confirmed_ = 0;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_CHANGE_REPORTS_H_
