#ifndef LIBS_DETECTION_EJECTION_H_
#define LIBS_DETECTION_EJECTION_H_

#include <vector>

#include "libs/detection/detector_state.h"

/// The states of servers: ejection under the floor, probation, restoration.
namespace ibisladder::detection::Internal {

/// Whether the floor allows to take `server` out of service now.
bool FloorAllowsEjection(const Detector& detector, const Server& server,
                         TimePoint now);

/// Brings the least sick ejected servers back while the floor is broken.
void EnforceFloor(Detector& detector, TimePoint now,
                  std::vector<StateChange>& changes);

/// Moves one server to its next state by its score; `threshold` is what the
/// score must reach for ejection.
void UpdateState(Detector& detector, Server& server, const Score& score,
                 float threshold, TimePoint now, Random& random,
                 std::vector<StateChange>& changes);

/// Text of a cause for logs and operators.
std::string DescribeCause(Cause cause);

}  // namespace ibisladder::detection::Internal

#endif  // LIBS_DETECTION_EJECTION_H_
