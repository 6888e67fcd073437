#include "payload.h"

#include <algorithm>

namespace medlarwalk {
namespace {

// What was taken is let go once it is this much and half of all: an erase at
// each piece would move the rest of a large body each time.
constexpr size_t kLetGoFrom = size_t{64} * 1024;

}  // namespace

void Payload::Append(absl::string_view bytes) {
  if (before_own_.empty() && taken_ >= kLetGoFrom &&
      taken_ >= own_.size() / 2) {
    own_.erase(0, taken_);
    taken_ = 0;
  }
  own_.append(bytes.data(), bytes.size());
}

void Payload::Append(Document shared) {
  if (!shared || shared->empty()) return;
  if (!own_.empty()) {
    size_before_own_ += own_.size();
    before_own_.push_back(std::make_shared<const std::string>(std::move(own_)));
    own_.clear();
  }
  size_before_own_ += shared->size();
  before_own_.push_back(std::move(shared));
}

absl::string_view Payload::Front() const {
  const std::string& first = before_own_.empty() ? own_ : *before_own_.front();
  return absl::string_view(first).substr(taken_);
}

size_t Payload::Take(uint8_t* to, size_t most) {
  size_t n = 0;
  while (n < most && !empty()) {
    absl::string_view piece = Front().substr(0, most - n);
    std::copy(piece.begin(), piece.end(), to + n);
    n += piece.size();
    taken_ += piece.size();
    if (!before_own_.empty() && taken_ == before_own_.front()->size()) {
      size_before_own_ -= taken_;
      taken_ = 0;
      before_own_.pop_front();
    }
  }
  if (empty()) *this = Payload();
  return n;
}

std::string Payload::Rest() const {
  Payload copy = *this;
  std::string out(size(), '\0');
  copy.Take(reinterpret_cast<uint8_t*>(&out[0]), out.size());
  return out;
}

}  // namespace medlarwalk
