#include "libs/gateway/stop_plan.h"

namespace ibisladder::gateway {
namespace {

/// Share of the limit during which requests are served: callers hear of the
/// stop with their next list of addresses, requests then have time to end.
constexpr int kLeavingDivisor = 3;
/// Kept in hand below the limit.
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
