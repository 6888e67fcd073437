#include "newest_gate.h"

#include <utility>

namespace medlarwalk {

void NewestGate::Offer(int64_t version, Document document, Done done) {
  if (open()) {
    Change change{version, std::move(document), {}};
    change.done.push_back(std::move(done));
    Go(std::move(change));
    return;
  }
  if (!waiting_.document || version > waiting_.version) {
    waiting_.version = version;
    waiting_.document = std::move(document);
  }
  waiting_.done.push_back(std::move(done));
}

void NewestGate::Go(Change change) {
  size_t n = change.document->size();
  under_way_ += n;
  send_(change.version, change.document,
        [this, alive = std::weak_ptr<bool>(alive_), n,
         done = std::move(change.done)](const absl::Status& s) {
          if (alive.expired()) return;
          under_way_ -= n;
          for (const Done& d : done) d(s);
          if (waiting_.document && open()) {
            Go(std::exchange(waiting_, Change{}));
          }
        });
}

}  // namespace medlarwalk
