#ifndef LIBS_BASE_RANDOM_H_
#define LIBS_BASE_RANDOM_H_

#include <cstdint>
#include <random>

/// Pseudo-random numbers. Each task owns a seeded generator and passes it to
/// the functions that need one, so that tests can repeat a run.
namespace ibisladder {

using Random = std::mt19937_64;

/// Returns a number in [0, bound); `bound` must be positive.
inline std::uint64_t UniformBelow(Random& random, std::uint64_t bound) {
  return random() % bound;
}

/// Returns a number uniformly distributed in [0, 1).
inline double UniformUnit(Random& random) {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(random() >> 11U) * kScale;
}

}  // namespace ibisladder

#endif  // LIBS_BASE_RANDOM_H_
