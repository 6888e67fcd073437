#include "payload.h"

#include <algorithm>

namespace medlarwalk {
namespace {

// What was taken is let go once it is this much and half of all: an erase at
// each piece would move the rest of a large body each time.
constexpr size_t kLetGoFrom = size_t{64} * 1024;

}  // namespace

void Payload::Append(absl::string_view bytes) {
  if (taken_ >= kLetGoFrom && taken_ >= own_.size() / 2) {
    own_.erase(0, taken_);
    taken_ = 0;
  }
  own_.append(bytes.data(), bytes.size());
}

absl::string_view Payload::Front() const {
  if (taken_ < own_.size()) return absl::string_view(own_).substr(taken_);
  if (!shared_) return {};
  return absl::string_view(*shared_).substr(taken_ - own_.size());
}

size_t Payload::Take(uint8_t* to, size_t most) {
  size_t n = 0;
  while (n < most && !empty()) {
    absl::string_view piece = Front().substr(0, most - n);
    std::copy(piece.begin(), piece.end(), to + n);
    n += piece.size();
    taken_ += piece.size();
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
