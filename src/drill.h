// Faults on purpose in one running process: what a fault drill cannot do from
// outside without privileges. Off unless the environment names a file.
#ifndef MEDLARWALK_DRILL_H_
#define MEDLARWALK_DRILL_H_

#include <string>

#include "absl/status/status.h"

namespace medlarwalk {

// The file named by MEDLARWALK_DRILL: a JSON object with any of
//   "peer_listen_port"  where a control process listens while others reach it
//                       through a forwarder at its own address;
//   "disk_ms"           how long each write to disk takes longer;
//   "disk_full"         writes to disk fail half way.
// The disk's faults are read anew for each write, so that they come and go.
// Thread safety: none needed; holds a path only.
class Drill {
 public:
  // From the environment; does nothing where that names no file.
  static Drill FromEnvironment();
  bool active() const { return !path_.empty(); }
  int peer_listen_port() const;
  // Blocks as a slow disk does. Errors: Unavailable as of a full disk.
  absl::Status BeforeWrite() const;

 private:
  std::string path_;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_DRILL_H_
