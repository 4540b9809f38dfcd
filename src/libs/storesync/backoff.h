#ifndef LIBS_STORESYNC_BACKOFF_H_
#define LIBS_STORESYNC_BACKOFF_H_

#include <cstdint>

#include "libs/base/random.h"
#include "libs/base/time.h"

namespace ibisladder::storesync {

/// Bounds of the base of the delay before a failed call is repeated; see
/// JitteredBackoff.
struct BackoffLimits {
  Duration initial = Millis(200);
  Duration max = Seconds(1);
};

/// Returns the delay after `failures` failures in a row (1 or more). The base
/// starts at `limits.initial`, doubles with each failure and stops at
/// `limits.max`; the delay is random between 0.5 and 1.5 times the base, so
/// that instances do not repeat their calls at the same time.
Duration JitteredBackoff(const BackoffLimits& limits, std::uint32_t failures,
                         Random& random);

}  // namespace ibisladder::storesync

#endif  // LIBS_STORESYNC_BACKOFF_H_
