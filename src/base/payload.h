// Bodies that wait to be sent: each byte is held once, whoever else sends it.
#ifndef MEDLARWALK_PAYLOAD_H_
#define MEDLARWALK_PAYLOAD_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "absl/strings/string_view.h"

namespace medlarwalk {

// A configuration as its operator sent it, or another body that many are sent.
// Shared by all who hold or send it, never changed: kept by value, a large one
// was held once for each watcher.
using Document = std::shared_ptr<const std::string>;

// Bytes of one's own and bytes that others send as well, in any order; taken
// from the front. Thread safety: none.
class Payload {
 public:
  Payload() = default;
  explicit Payload(std::string own) : own_(std::move(own)) {}
  Payload(std::string own, Document shared) : own_(std::move(own)) {
    Append(std::move(shared));
  }

  size_t size() const { return size_before_own_ + own_.size() - taken_; }
  bool empty() const { return size() == 0; }
  void Append(absl::string_view bytes);
  // Null: nothing.
  void Append(Document shared);
  // Moves up to `most` bytes to `to`; returns how many.
  size_t Take(uint8_t* to, size_t most);
  // What has not been taken, as one string.
  std::string Rest() const;

 private:
  // The next bytes that lie together.
  absl::string_view Front() const;

  std::deque<Document> before_own_;
  size_t size_before_own_ = 0;
  std::string own_;
  size_t taken_ = 0;  // Of the first of these.
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_PAYLOAD_H_
