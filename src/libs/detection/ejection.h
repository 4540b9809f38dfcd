#ifndef LIBS_DETECTION_EJECTION_H_
#define LIBS_DETECTION_EJECTION_H_

#include <vector>

#include "libs/detection/detector_state.h"

/// State transitions of servers: ejection, probation, restoration. The capacity
/// floor is the minimum percentage of the members' slots that stays in service
/// (Service::floor_percent).
namespace ibisladder::detection::Internal {

/// Whether the capacity floor allows taking `server` out of service now.
bool FloorAllowsEjection(const Detector& detector, const Server& server,
                         TimePoint now);

/// Returns servers that are ejected or on probation to service as last resorts,
/// lowest score first, until the capacity floor is met.
void EnforceFloor(Detector& detector, TimePoint now,
                  std::vector<StateChange>& changes);

/// Moves one server to its next state by its score. `threshold` is the score
/// that leads to ejection.
void UpdateState(Detector& detector, Server& server, const Score& score,
                 float threshold, TimePoint now, Random& random,
                 std::vector<StateChange>& changes);

/// Returns the text of a cause for logs and operators.
std::string DescribeCause(Cause cause);

}  // namespace ibisladder::detection::Internal

#endif  // LIBS_DETECTION_EJECTION_H_
