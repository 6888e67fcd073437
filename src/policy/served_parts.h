// Memory of the prompt parts of served requests. Pure.
#ifndef MEDLARWALK_SERVED_PARTS_H_
#define MEDLARWALK_SERVED_PARTS_H_

#include <cstddef>
#include <unordered_map>

#include "request_fingerprint.h"
#include "types.h"

namespace medlarwalk {

// Remembers when prompt parts were last part of a served request, for
// `policy.part_served_memory` at least while fewer than `max_parts` parts are
// served in that time. Thread safety: loop thread only.
class ServedParts {
 public:
  ServedParts(Duration memory, size_t max_parts)
      : memory_(memory), max_parts_(max_parts) {}
  void Record(RequestFingerprint part, TimePoint began_at);
  // Returns when the last served answer began; kNever if unknown.
  TimePoint LastServedAt(RequestFingerprint part) const;

 private:
  Duration memory_;
  size_t max_parts_;
  TimePoint recent_since_{};
  // Parts are recorded in `recent_`, which becomes `older_` when it is full or
  // has covered `memory_`.
  std::unordered_map<RequestFingerprint, TimePoint> recent_;
  std::unordered_map<RequestFingerprint, TimePoint> older_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_SERVED_PARTS_H_
