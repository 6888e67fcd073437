// Random seeds for pseudo-random generators.
#ifndef MEDLARWALK_RANDOM_SEED_H_
#define MEDLARWALK_RANDOM_SEED_H_

#include <cstdint>
#include <random>

namespace medlarwalk {

// Returns a random seed that differs between processes and between runs.
inline uint64_t RandomSeed() {
  std::random_device rd;
  return (static_cast<uint64_t>(rd()) << 32) | rd();
}

}  // namespace medlarwalk

#endif  // MEDLARWALK_RANDOM_SEED_H_
