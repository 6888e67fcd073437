// Message bodies that wait to be sent. Bodies sent to several receivers are
// held in memory only once.
#ifndef MEDLARWALK_PAYLOAD_H_
#define MEDLARWALK_PAYLOAD_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "absl/strings/string_view.h"

namespace medlarwalk {

// An immutable body that is sent to many receivers, such as a configuration. It
// is shared between all holders, because a copy for each watcher of a large
// configuration would cost too much memory.
using Document = std::shared_ptr<const std::string>;

// A byte queue of owned bytes and shared documents, in any order. Bytes are
// removed at the front. Thread safety: none.
class Payload {
 public:
  Payload() = default;
  explicit Payload(std::string owned) : tail_(std::move(owned)) {}
  Payload(std::string owned, Document shared) : tail_(std::move(owned)) {
    Append(std::move(shared));
  }

  size_t size() const { return pieces_size_ + tail_.size() - front_offset_; }
  bool empty() const { return size() == 0; }
  void Append(absl::string_view bytes);
  // Appends a shared document; null appends nothing.
  void Append(Document shared);
  // Returns the contiguous bytes at the front of the queue.
  absl::string_view Front() const;
  // Removes `n` bytes at the front. Precondition: `n` <= Front().size().
  void RemovePrefix(size_t n);
  // Moves up to `max_bytes` bytes from the front of the queue to `to`. Returns
  // the number of bytes moved.
  size_t Dequeue(uint8_t* to, size_t max_bytes);
  // Returns a copy of the remaining bytes.
  std::string CopyRemaining() const;

 private:
  std::deque<Document> pieces_;  // Pieces that precede the bytes in `tail_`.
  size_t pieces_size_ = 0;       // Total size of `pieces_` in bytes.
  std::string tail_;             // Owned bytes at the end of the queue.
  // Bytes already removed from the first piece, or from `tail_` if there is no
  // piece.
  size_t front_offset_ = 0;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_PAYLOAD_H_
