#include "conflating_sender.h"

#include <utility>

namespace medlarwalk {

void ConflatingSender::SendOrHold(int64_t version, Document document,
                                  Done done) {
  if (HasCapacity()) {
    Change change{version, std::move(document), {}};
    change.done.push_back(std::move(done));
    SendChange(std::move(change));
    return;
  }
  if (!pending_.document || version > pending_.version) {
    pending_.version = version;
    pending_.document = std::move(document);
  }
  pending_.done.push_back(std::move(done));
}

void ConflatingSender::SendChange(Change change) {
  size_t bytes_sent = change.document->size();
  in_flight_bytes_ += bytes_sent;
  send_(change.version, change.document,
        [this, alive = std::weak_ptr<bool>(alive_), bytes_sent,
         done = std::move(change.done)](const absl::Status& s) {
          if (alive.expired()) return;
          in_flight_bytes_ -= bytes_sent;
          for (const Done& d : done) d(s);
          // One of the callbacks may have destroyed this object.
          if (alive.expired()) return;
          if (pending_.document && HasCapacity()) {
            SendChange(std::exchange(pending_, Change{}));
          }
        });
}

}  // namespace medlarwalk
