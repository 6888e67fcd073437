// Memory usage of this process's heap allocator.
#ifndef MEDLARWALK_HEAP_USE_H_
#define MEDLARWALK_HEAP_USE_H_

#include <malloc.h>

#include <cstddef>

namespace medlarwalk {

// Heap usage in bytes.
struct HeapUse {
  size_t in_use = 0;  // Bytes allocated by the program.
  size_t held = 0;    // Bytes obtained from the kernel, including free memory.
};

// Returns the allocator's own counters. Takes about a microsecond and makes no
// system call.
inline HeapUse ReadHeapUse() {
  struct mallinfo2 m = mallinfo2();
  return {m.uordblks + m.hblkhd, m.arena + m.hblkhd};
}

}  // namespace medlarwalk

#endif  // MEDLARWALK_HEAP_USE_H_
