// Whole numbers of a JSON or CBOR document from outside. The library converts
// what is no whole number of the type asked for without a word: 1e48 to int is
// undefined, -1 to unsigned is 18446744073709551615.
#ifndef MEDLARWALK_JSON_NUMBERS_H_
#define MEDLARWALK_JSON_NUMBERS_H_

#include <cstdint>
#include <limits>

#include "nlohmann/json.hpp"

namespace medlarwalk {

// `j` as an Int; a fraction is cut off. Throws nlohmann::json::exception where
// it is no number or beyond what an Int holds.
template <typename Int>
Int WholeNumber(const nlohmann::json& j) {
  constexpr Int kLeast = std::numeric_limits<Int>::min();
  constexpr Int kMost = std::numeric_limits<Int>::max();
  bool fits = false;
  if (j.is_number_unsigned()) {
    fits = j.get<uint64_t>() <= static_cast<uint64_t>(kMost);
  } else if (j.is_number_integer()) {
    int64_t n = j.get<int64_t>();
    fits = n < 0 ? kLeast < 0 && n >= static_cast<int64_t>(kLeast)
                 : static_cast<uint64_t>(n) <= static_cast<uint64_t>(kMost);
  } else if (j.is_number_float()) {
    // The greatest Int may round up to a double that is beyond it.
    double d = j.get<double>();
    fits = d >= static_cast<double>(kLeast) && d < static_cast<double>(kMost);
  } else {
    return j.get<Int>();  // Throws, naming the type.
  }
  if (!fits) {
    throw nlohmann::json::other_error::create(501, "number out of range",
                                              nullptr);
  }
  return j.get<Int>();
}

// The member `name` of the object `j`, or `otherwise` where there is none.
template <typename Int>
Int WholeNumber(const nlohmann::json& j, const char* name, Int otherwise) {
  auto it = j.find(name);
  return it == j.end() ? otherwise : WholeNumber<Int>(*it);
}

}  // namespace medlarwalk

#endif  // MEDLARWALK_JSON_NUMBERS_H_
