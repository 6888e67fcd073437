// A seed that differs in every run of every process.
#ifndef MEDLARWALK_RANDOM_SEED_H_
#define MEDLARWALK_RANDOM_SEED_H_

#include <cstdint>
#include <random>

namespace medlarwalk {

inline uint64_t RandomSeed() {
  std::random_device rd;
  return (static_cast<uint64_t>(rd()) << 32) | rd();
}

}  // namespace medlarwalk

#endif  // MEDLARWALK_RANDOM_SEED_H_
