#include "top_counter.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "types.h"

namespace medlarwalk {

void TopCounter::Increment(absl::string_view key) {
  auto it = std::find_if(entries_.begin(), entries_.end(),
                         [&](const Entry& e) { return e.key == key; });
  if (it == entries_.end() && entries_.size() < max_keys_) {
    entries_.push_back({std::string(key), 0, 0});
    it = entries_.end() - 1;
  }
  if (it == entries_.end()) {
    it = std::min_element(
        entries_.begin(), entries_.end(),
        [](const Entry& a, const Entry& b) { return a.rank < b.rank; });
    other_ += it->count;
    it->key = std::string(key);
    it->count = 0;
  }
  ++it->count;
  ++it->rank;
}

std::string AccountLabel(absl::string_view name) {
  constexpr size_t kMaxBytes = 64;
  if (name == kOtherAccounts) return "%6Fther";
  std::string out;
  for (unsigned char c : name) {
    bool plain = c >= ' ' && c <= '~' && c != '"' && c != '\\' && c != '%';
    size_t size = plain ? 1 : 3;
    if (out.size() + size > kMaxBytes) {
      uint32_t hash = static_cast<uint32_t>(StableHash(name));
      return absl::StrCat(out, "~", absl::Hex(hash, absl::kZeroPad8));
    }
    if (plain) {
      out.push_back(static_cast<char>(c));
    } else {
      absl::StrAppend(&out, "%", absl::Hex(c, absl::kZeroPad2));
    }
  }
  return out;
}

}  // namespace medlarwalk
