#ifndef LIBS_GATEWAY_STOP_PLAN_H_
#define LIBS_GATEWAY_STOP_PLAN_H_

#include <cstddef>
#include <cstdint>

#include "libs/base/time.h"

/// Phases of a planned stop that cuts no request.
namespace ibisladder::gateway {

enum class StopPhase : std::uint8_t {
  /// Out of the directory; serves what still comes, and every answer is the
  /// last one of its connection.
  kLeaving,
  /// Refuses new requests, closes connections without one.
  kFinishing,
  kEnded,
};

/// What is still open.
struct OpenCounts {
  std::size_t calls = 0;
  std::size_t connections = 0;
};

/// `passed`: since the stop began; `limit`: when the process is killed.
StopPhase StopPhaseAt(Duration elapsed, Duration limit, const OpenCounts& open);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_STOP_PLAN_H_
