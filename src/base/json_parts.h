// Splits the text of a JSON object or array into its parts without parsing
// them, so that a part that is not valid JSON does not affect the others, and
// in little memory, whatever the text.
// Thread safe.
#ifndef MEDLARWALK_JSON_PARTS_H_
#define MEDLARWALK_JSON_PARTS_H_

#include <functional>

#include "absl/strings/string_view.h"

namespace medlarwalk {

// Calls `f` with the name, without quotes and as written, and the value of each
// part of an object. Its names must be strings; where one is not, the splitting
// ends. Returns whether the text is an object that ends. If not, the last part
// may hold the bytes of all that should follow it.
bool ForEachJsonMember(absl::string_view text,
                       const std::function<void(absl::string_view name,
                                                absl::string_view value)>& f);

// Does the same with the elements of an array.
bool ForEachJsonElement(absl::string_view text,
                        const std::function<void(absl::string_view value)>& f);

}  // namespace medlarwalk

#endif  // MEDLARWALK_JSON_PARTS_H_
