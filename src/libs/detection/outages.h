#ifndef LIBS_DETECTION_OUTAGES_H_
#define LIBS_DETECTION_OUTAGES_H_

#include <array>
#include <cstddef>

#include "libs/base/time.h"

/// How long outages of a service's servers last, learned from those that have
/// ended, and when a server that fails is worth a trial.
namespace ibisladder::detection::Internal {

/// Estimated lengths of the last outages. Until enough have ended, the others
/// are those of a prior that spreads evenly over orders of magnitude.
struct OutageLengths {
  static constexpr std::size_t kSize = 32;

  OutageLengths();

  std::array<float, kSize> seconds{};
  std::size_t count = 0;
};

/// Records an outage whose last failure was seen `failing_for` after its begin,
/// and whose end was seen `restored_after` its begin.
void RecordOutage(OutageLengths& lengths, Duration failing_for,
                  Duration restored_after);

/// Returns the time after the last failure, seen `failing_for` after the begin
/// of the outage, at which it has ended with the probability `chance`. Bounded,
/// so that a server is out of use for a bounded time if outages become shorter.
Duration WaitBeforeTrial(const OutageLengths& lengths, Duration failing_for,
                         double chance);

}  // namespace ibisladder::detection::Internal

#endif  // LIBS_DETECTION_OUTAGES_H_
