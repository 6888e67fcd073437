#include "payload.h"

#include <algorithm>

namespace medlarwalk {
namespace {

// Bytes removed from the front are erased from the string only when there are
// at least this many and they make up at least half of the string. An erase
// after each read would move the remaining bytes of a large body each time.
constexpr size_t kMinErasedBytes = size_t{64} * 1024;

}  // namespace

void Payload::Append(absl::string_view bytes) {
  if (pieces_.empty() && front_offset_ >= kMinErasedBytes &&
      front_offset_ >= tail_.size() / 2) {
    tail_.erase(0, front_offset_);
    front_offset_ = 0;
  }
  tail_.append(bytes.data(), bytes.size());
}

void Payload::Append(Document shared) {
  if (!shared || shared->empty()) return;
  if (!tail_.empty()) {
    pieces_size_ += tail_.size();
    pieces_.push_back(std::make_shared<const std::string>(std::move(tail_)));
    tail_.clear();
  }
  pieces_size_ += shared->size();
  pieces_.push_back(std::move(shared));
}

absl::string_view Payload::Front() const {
  const std::string& first = pieces_.empty() ? tail_ : *pieces_.front();
  return absl::string_view(first).substr(front_offset_);
}

size_t Payload::Dequeue(uint8_t* to, size_t max_bytes) {
  size_t count = 0;
  while (count < max_bytes && !empty()) {
    absl::string_view piece = Front().substr(0, max_bytes - count);
    std::copy(piece.begin(), piece.end(), to + count);
    count += piece.size();
    RemovePrefix(piece.size());
  }
  return count;
}

void Payload::RemovePrefix(size_t n) {
  front_offset_ += n;
  if (!pieces_.empty() && front_offset_ == pieces_.front()->size()) {
    pieces_size_ -= front_offset_;
    front_offset_ = 0;
    pieces_.pop_front();
  }
  if (empty()) *this = Payload();
}

std::string Payload::CopyRemaining() const {
  Payload copy = *this;
  std::string bytes(size(), '\0');
  copy.Dequeue(reinterpret_cast<uint8_t*>(&bytes[0]), bytes.size());
  return bytes;
}

}  // namespace medlarwalk
