// Bounds the configurations that are on their way to being committed. Load
// pattern: operators, or one that repeats itself, send changes of hundreds of
// kilobytes faster than the links carry them; each replaces the ones before.
#ifndef MEDLARWALK_NEWEST_GATE_H_
#define MEDLARWALK_NEWEST_GATE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "absl/status/status.h"
#include "payload.h"

namespace medlarwalk {

// Lets changes through while fewer than a number of bytes are under way. Past
// it the newest waits, and those it overtakes are answered with it: a version
// that a higher one has replaced is in force as far as it ever will be. Pure
// but for `send`. Thread safety: loop thread only.
class NewestGate {
 public:
  using Done = std::function<void(absl::Status)>;
  // Sends one change on; must call its Done once, perhaps at once.
  using Send = std::function<void(int64_t version, Document, Done)>;

  // One change is let through whatever its size.
  NewestGate(size_t most_bytes, Send send)
      : most_bytes_(most_bytes), send_(std::move(send)) {}
  NewestGate(const NewestGate&) = delete;
  NewestGate& operator=(const NewestGate&) = delete;

  // `done` is called with what became of this change or of one that replaced
  // it. Of changes with one version, the first to wait stands.
  void Offer(int64_t version, Document document, Done done);
  // Bytes under way and waiting.
  size_t bytes() const {
    return under_way_ + (waiting_.document ? waiting_.document->size() : 0);
  }

 private:
  struct Change {
    int64_t version = 0;
    Document document;  // Null: none.
    std::vector<Done> done;
  };
  void Go(Change change);
  bool open() const { return under_way_ < most_bytes_; }

  size_t most_bytes_;
  Send send_;
  size_t under_way_ = 0;
  Change waiting_;
  // An outcome may come when the gate is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_NEWEST_GATE_H_
