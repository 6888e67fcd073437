// Limits the bytes of configurations that are being committed. Load pattern:
// operators or a program in a loop submit changes of hundreds of kilobytes
// faster than the links carry them; each change replaces the earlier ones.
#ifndef MEDLARWALK_CONFLATING_SENDER_H_
#define MEDLARWALK_CONFLATING_SENDER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "absl/status/status.h"
#include "payload.h"

namespace medlarwalk {

// Sends changes while fewer than a given number of bytes are in flight. Once
// that many are in flight, only the newest change is kept pending. Each older
// pending change gets the result of the newest, since a change that was
// replaced never takes effect separately. A Done may destroy the sender. Pure
// except for `send`. Thread safety: loop thread only.
class ConflatingSender {
 public:
  using Done = std::function<void(absl::Status)>;
  // Sends one change. An implementation must call the passed Done exactly once,
  // possibly before it returns.
  using Send = std::function<void(int64_t version, Document, Done)>;

  // `max_in_flight_bytes`: a change of any size is sent if fewer bytes than
  // this are in flight.
  ConflatingSender(size_t max_in_flight_bytes, Send send)
      : max_in_flight_bytes_(max_in_flight_bytes), send_(std::move(send)) {}
  ConflatingSender(const ConflatingSender&) = delete;
  ConflatingSender& operator=(const ConflatingSender&) = delete;

  // Sends the change or keeps it pending. Calls `done` with the result of this
  // change or of the change that replaced it. Of several pending changes with
  // the same version, the first is kept.
  void SendOrHold(int64_t version, Document document, Done done);
  // Returns the number of bytes in flight and pending.
  size_t bytes() const {
    return in_flight_bytes_ +
           (pending_.document ? pending_.document->size() : 0);
  }

 private:
  struct Change {
    int64_t version = 0;
    Document document;  // Null: there is no change.
    std::vector<Done> done;
  };
  void SendChange(Change change);
  bool HasCapacity() const { return in_flight_bytes_ < max_in_flight_bytes_; }

  size_t max_in_flight_bytes_;
  Send send_;
  size_t in_flight_bytes_ = 0;
  Change pending_;
  // Detects a result that arrives after the destruction of this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_CONFLATING_SENDER_H_
