#include "libs/gateway/stop_plan.h"

namespace ibisladder::gateway {
namespace {

/// Requests are served for the limit divided by this. Callers learn of the stop
/// when they next fetch addresses; the rest of the limit is for open requests.
constexpr int kLeavingDivisor = 3;
/// The process ends this much before the limit.
constexpr Duration kMargin = Millis(300);

}  // namespace

StopPhase StopPhaseAt(Duration elapsed, Duration limit,
                      const OpenCounts& open) {
  if (elapsed >= limit - kMargin) return StopPhase::kEnded;
  if (elapsed < limit / kLeavingDivisor) return StopPhase::kLeaving;
  const bool is_idle = open.calls == 0 && open.connections == 0;
  return is_idle ? StopPhase::kEnded : StopPhase::kFinishing;
}

}  // namespace ibisladder::gateway
