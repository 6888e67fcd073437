// Fault injection inside a running process, for faults that a fault drill
// cannot cause from outside without privileges. Off unless the environment
// variable MEDLARWALK_DRILL names a file.
#ifndef MEDLARWALK_DRILL_H_
#define MEDLARWALK_DRILL_H_

#include <string>

#include "absl/status/status.h"

namespace medlarwalk {

// The faults to inject. The file is a JSON object with any of these keys:
//   "peer_listen_port"  Port on which a control process listens, while others
//                       reach it through a forwarder at its configured address.
//   "disk_ms"           Extra duration of each write to disk, in milliseconds.
//   "disk_full"         Writes to disk fail after half of the data.
// The file is read again before each write, so that disk faults can be switched
// on and off. Thread safety: thread safe; holds only a path.
class Drill {
 public:
  // Returns the drill with the file that MEDLARWALK_DRILL names, or an inactive
  // drill if the variable is not set.
  static Drill FromEnvironment();
  bool active() const { return !path_.empty(); }
  int peer_listen_port() const;
  // Call before each write to disk. Blocks for the injected delay, like a slow
  // disk. Errors: Unavailable, as on a full disk.
  absl::Status ApplyDiskFaults() const;

 private:
  std::string path_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_DRILL_H_
