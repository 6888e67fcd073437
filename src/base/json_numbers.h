// Range-checked conversion of integers in JSON or CBOR documents from outside.
// nlohmann-json converts out-of-range values without an error: 1e48 to int is
// undefined behavior, and -1 to unsigned gives 18446744073709551615.
#ifndef MEDLARWALK_JSON_NUMBERS_H_
#define MEDLARWALK_JSON_NUMBERS_H_

#include <cstdint>
#include <limits>

#include "nlohmann/json.hpp"

namespace medlarwalk {

// Returns `j` as an Int; a fraction is truncated. Throws
// nlohmann::json::exception if `j` is not a number or is out of the range of
// Int.
template <typename Int>
Int IntegerFromJson(const nlohmann::json& j) {
  constexpr Int kMin = std::numeric_limits<Int>::min();
  constexpr Int kMax = std::numeric_limits<Int>::max();
  bool fits = false;
  if (j.is_number_unsigned()) {
    fits = j.get<uint64_t>() <= static_cast<uint64_t>(kMax);
  } else if (j.is_number_integer()) {
    int64_t n = j.get<int64_t>();
    fits = n < 0 ? kMin < 0 && n >= static_cast<int64_t>(kMin)
                 : static_cast<uint64_t>(n) <= static_cast<uint64_t>(kMax);
  } else if (j.is_number_float()) {
    // The maximum of Int may round up to a double outside the range of Int, so
    // `d` must be less than that double.
    double d = j.get<double>();
    fits = d >= static_cast<double>(kMin) && d < static_cast<double>(kMax);
  } else {
    // Throws an exception that names the actual type of `j`.
    return j.get<Int>();
  }
  if (!fits) {
    throw nlohmann::json::other_error::create(501, "number out of range",
                                              nullptr);
  }
  return j.get<Int>();
}

// Returns the member `name` of the object `j`, or `default_value` if there is
// none. Throws nlohmann::json::exception if the member is not a number or is
// out of the range of Int.
template <typename Int>
Int IntegerFromJson(const nlohmann::json& j, const char* name,
                    Int default_value) {
  auto it = j.find(name);
  return it == j.end() ? default_value : IntegerFromJson<Int>(*it);
}

}  // namespace medlarwalk

#endif  // MEDLARWALK_JSON_NUMBERS_H_
