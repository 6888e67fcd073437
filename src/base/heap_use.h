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

// Lets the allocator return large blocks to the kernel as soon as they are
// freed. By default it keeps all blocks up to the largest one that was ever
// freed, so that the memory of bodies would stay with the process in holes.
// Precondition: no other thread runs.
inline void ReturnLargeBlocks() {
  constexpr int kOwnMappingBytes = 128 * 1024;
  // Free memory at the end of the heap that is kept. Returning less each time
  // would cost a system call for many an allocation.
  constexpr int kKeptBytes = 1024 * 1024;
  mallopt(M_MMAP_THRESHOLD, kOwnMappingBytes);
  mallopt(M_TRIM_THRESHOLD, kKeptBytes);
}

}  // namespace medlarwalk

#endif  // MEDLARWALK_HEAP_USE_H_
