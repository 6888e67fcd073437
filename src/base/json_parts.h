// Splits the text of a JSON object or array into its parts without parsing
// them, so that a part that is not valid JSON does not affect the others.
// Thread safe.
#ifndef MEDLARWALK_JSON_PARTS_H_
#define MEDLARWALK_JSON_PARTS_H_

#include <vector>

#include "absl/strings/string_view.h"

namespace medlarwalk {

// The parts of an object or array, as views of its text.
struct JsonParts {
  struct Part {
    absl::string_view name;  // Without quotes and as written; objects only.
    absl::string_view value;
  };
  std::vector<Part> parts;
  // Whether the text is an object or array that ends. If not, the last part may
  // hold the bytes of all that should follow it.
  bool complete = false;
};

// Splits an object. Its names must be strings; where one is not, the splitting
// ends and the parts are not complete.
JsonParts SplitJsonObject(absl::string_view text);

// Splits an array.
JsonParts SplitJsonArray(absl::string_view text);

}  // namespace medlarwalk

#endif  // MEDLARWALK_JSON_PARTS_H_
