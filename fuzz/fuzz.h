// Helpers of the fuzz targets. Each target is one executable. A failure that a
// target finds becomes a regular test.
#ifndef MEDLARWALK_FUZZ_FUZZ_H_
#define MEDLARWALK_FUZZ_FUZZ_H_

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>

#include "absl/strings/string_view.h"

// Aborts if `condition` is false; the fuzzer then saves the input.
#define MEDLARWALK_EXPECT(condition)                                        \
  do {                                                                      \
    if (!(condition)) {                                                     \
      std::fprintf(stderr, "%s:%d: check failed: %s\n", __FILE__, __LINE__, \
                   #condition);                                             \
      std::abort();                                                         \
    }                                                                       \
  } while (false)

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size);

namespace medlarwalk::fuzzing {

// Returns the fuzz input as text.
inline absl::string_view Text(const uint8_t* data, size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

}  // namespace medlarwalk::fuzzing

#endif  // MEDLARWALK_FUZZ_FUZZ_H_
