#include "libs/gateway/stop_plan.h"

#include <algorithm>

namespace ibisladder::gateway {
namespace {

/// Requests are served for the limit divided by this. Callers learn of the stop
/// when they next fetch addresses; the rest of the limit is for open requests.
constexpr int kLeavingDivisor = 3;
/// The process ends this much before the limit, or a part of a short one.
constexpr Duration kMargin = Millis(300);
constexpr int kMarginDivisor = 12;
/// Callers that send a request within three seconds of the signal may not know
/// of the stop yet. The process may handle the signal late.
constexpr Duration kNoticeTime = Millis(2500);

Duration LongestStop(Duration limit) {
  return limit - std::min(kMargin, limit / kMarginDivisor);
}

}  // namespace

PlannedStop PlanStop(TimePoint began_at, Duration limit) {
  return {began_at, began_at + LongestStop(limit)};
}

bool MayBeCutOff(const PlannedStop& stop, TimePoint arrived_at,
                 TimePoint deadline, Duration usual, TimePoint now) {
  const bool may_know = arrived_at - stop.began_at > kNoticeTime;
  const TimePoint end = may_know ? deadline : std::min(deadline, now + usual);
  return end > stop.ends_at;
}

StopPhase StopPhaseAt(Duration elapsed, Duration limit,
                      const OpenCounts& open) {
  if (elapsed >= LongestStop(limit)) return StopPhase::kEnded;
  if (elapsed < limit / kLeavingDivisor) return StopPhase::kLeaving;
  const bool is_idle = open.calls == 0 && open.connections == 0;
  return is_idle ? StopPhase::kEnded : StopPhase::kFinishing;
}

}  // namespace ibisladder::gateway
