#include "libs/storesync/backoff.h"

#include <algorithm>

namespace ibisladder::storesync {
namespace {

/// Keeps the base from overflowing before it is limited.
constexpr std::uint32_t kMaxDoublings = 8;

}  // namespace

Duration JitteredBackoff(const BackoffLimits& limits, std::uint32_t failures,
                         Random& random) {
  const std::uint32_t doublings =
      std::min(failures > 0 ? failures - 1 : 0, kMaxDoublings);
  const Duration base =
      std::min(limits.initial * (1U << doublings), limits.max);
  const auto spread = static_cast<std::uint64_t>(base.count());
  return base / 2 +
         Micros(static_cast<std::int64_t>(UniformBelow(random, spread)));
}

}  // namespace ibisladder::storesync
