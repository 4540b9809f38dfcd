#ifndef LIBS_STORESYNC_BACKOFF_H_
#define LIBS_STORESYNC_BACKOFF_H_

#include <cstdint>

#include "libs/base/random.h"
#include "libs/base/time.h"

namespace ibisladder::storesync {

/// Bounds of the pause before a failed call is made again.
struct BackoffLimits {
  Duration initial = Millis(200);
  Duration max = Seconds(1);
};

/// Doubles with each of `failures` (1 or more), spread over half to one and a
/// half of it so that instances do not return together.
Duration JitteredBackoff(const BackoffLimits& limits, std::uint32_t failures,
                         Random& random);

}  // namespace ibisladder::storesync

#endif  // LIBS_STORESYNC_BACKOFF_H_
