// What the fuzz targets share. Each target is one executable; what it finds
// becomes a test beside the others.
#ifndef MEDLARWALK_FUZZ_FUZZ_H_
#define MEDLARWALK_FUZZ_FUZZ_H_

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>

#include "absl/strings/string_view.h"

// Ends the run with the input kept when `condition` does not hold.
#define MEDLARWALK_EXPECT(condition)                                  \
  do {                                                                \
    if (!(condition)) {                                               \
      std::fprintf(stderr, "%s:%d: not so: %s\n", __FILE__, __LINE__, \
                   #condition);                                       \
      std::abort();                                                   \
    }                                                                 \
  } while (false)

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size);

namespace medlarwalk::fuzzing {

inline absl::string_view Text(const uint8_t* data, size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

}  // namespace medlarwalk::fuzzing

#endif  // MEDLARWALK_FUZZ_FUZZ_H_
