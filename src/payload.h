// Bodies that wait to be sent: each byte is held once, whoever else sends it.
#ifndef MEDLARWALK_PAYLOAD_H_
#define MEDLARWALK_PAYLOAD_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "absl/strings/string_view.h"

namespace medlarwalk {

// A configuration as its operator sent it. Shared by all who hold or send it,
// never changed: kept by value, a large one was held once for each watcher.
using Document = std::shared_ptr<const std::string>;

// Bytes of one's own, then perhaps some that others send as well; taken from
// the front. Thread safety: none.
class Payload {
 public:
  Payload() = default;
  explicit Payload(std::string own) : own_(std::move(own)) {}
  Payload(std::string own, Document shared)
      : own_(std::move(own)), shared_(std::move(shared)) {}

  size_t size() const { return own_size() + shared_size() - taken_; }
  bool empty() const { return size() == 0; }
  // Precondition: there are no shared bytes.
  void Append(absl::string_view bytes);
  // Moves up to `most` bytes to `to`; returns how many.
  size_t Take(uint8_t* to, size_t most);
  // What has not been taken, as one string.
  std::string Rest() const;

 private:
  size_t own_size() const { return own_.size(); }
  size_t shared_size() const { return shared_ ? shared_->size() : 0; }
  // The next bytes that lie together.
  absl::string_view Front() const;

  std::string own_;
  Document shared_;
  size_t taken_ = 0;
};

}  // namespace medlarwalk

#endif  // MEDLARWALK_PAYLOAD_H_
