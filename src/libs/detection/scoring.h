#ifndef LIBS_DETECTION_SCORING_H_
#define LIBS_DETECTION_SCORING_H_

#include <vector>

#include "libs/detection/detector_state.h"

/// Scores of servers from own and peer evidence, and protection against
/// ejections for conditions that all servers share.
namespace ibisladder::detection::Internal {

/// Returns the current score of a server; its own sums must have been decayed
/// to `now`.
Score ScoreOf(const Detector& detector, const Server& server, TimePoint now);

/// Returns the time constant with which a server's own sums decay.
Duration DecayTime(const Detector& detector, const Server& server,
                   TimePoint now);

/// Whether the server's own evidence clearly exceeds the service score.
bool IsOutlier(const Detector& detector, const Server& server);

/// Returns the minimum of a server's own sums: zero, or below it while there is
/// evidence against the server.
float MinSum(const Detector& detector, const Server& server);

/// Returns the latency to evaluate: scaled down by how much slower than usual
/// the whole service is now, and further while the server warms up.
Duration AdjustedLatency(const Detector& detector, const Server& server,
                         Duration latency, TimePoint now);

/// Returns the score that stands for the whole service: a high rank among the
/// scores of the servers in service, above zero when more than a few of them
/// look unhealthy at once.
float ServiceScore(const Detector& detector, const std::vector<Score>& active);

/// Counts an ended attempt and keeps the threshold up to date.
void CountAttempt(Detector& detector, TimePoint now);
void UpdateThreshold(Detector& detector, TimePoint now);

}  // namespace ibisladder::detection::Internal

#endif  // LIBS_DETECTION_SCORING_H_
