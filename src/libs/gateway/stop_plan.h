#ifndef LIBS_GATEWAY_STOP_PLAN_H_
#define LIBS_GATEWAY_STOP_PLAN_H_

#include <cstddef>
#include <cstdint>

#include "libs/base/time.h"

/// Phases of a graceful shutdown, which lets open requests finish.
namespace ibisladder::gateway {

enum class StopPhase : std::uint8_t {
  /// Leaves the directory, but still serves requests. Each answer closes its
  /// connection.
  kLeaving,
  /// Refuses new requests and closes idle connections.
  kFinishing,
  kEnded,
};

/// Numbers of open calls and callers' connections.
struct OpenCounts {
  std::size_t calls = 0;
  std::size_t connections = 0;
};

/// A shutdown, from its signal to the end of the process at the latest.
struct PlannedStop {
  TimePoint began_at;
  TimePoint ends_at;
};

/// `limit` is the time after which the process is killed.
PlannedStop PlanStop(TimePoint began_at, Duration limit);

/// Returns whether the end of the process may cut off a request that is sent to
/// a server at `now`. It is answered by its deadline at the latest, and usually
/// within `usual`. Work of callers who could not know of the stop yet is begun
/// if it usually ends in time; that of later ones only if it surely does.
bool MayBeCutOff(const PlannedStop& stop, TimePoint arrived_at,
                 TimePoint deadline, Duration usual, TimePoint now);

/// Returns the phase at `elapsed` after the start of the shutdown. `limit` is
/// the time after which the process is killed. The first third is kLeaving;
/// kEnded starts as soon as nothing is open after it, at the latest shortly
/// before the limit.
StopPhase StopPhaseAt(Duration elapsed, Duration limit, const OpenCounts& open);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_STOP_PLAN_H_
