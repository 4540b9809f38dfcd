#ifndef LIBS_DETECTION_SCORING_H_
#define LIBS_DETECTION_SCORING_H_

#include <vector>

#include "libs/detection/detector_state.h"

/// Scores of servers from own and shared evidence, and the guard against
/// conditions that all servers share.
namespace ibisladder::detection::Internal {

/// Current score of a server; its own sums must have faded to `now`.
Score ScoreOf(const Detector& detector, const Server& server, TimePoint now);

/// Time constant with which a server's own sums fade.
Duration DecayTime(const Detector& detector, const Server& server,
                   TimePoint now);

/// Whether the server's own evidence stands out from the service's middle.
bool IsOutlier(const Detector& detector, const Server& server);

/// The least that a server's own sums may fall to: zero, or below it while
/// somebody suspects the server.
float MinSum(const Detector& detector, const Server& server);

/// Latency as it is judged: scaled down by what the whole service is slower
/// than usual at this moment, and leniently while the server warms up.
Duration AdjustedLatency(const Detector& detector, const Server& server,
                         Duration latency, TimePoint now);

/// The middle score of the servers in service; above zero when more than a
/// few of them look sick at once.
float ServiceScore(const Detector& detector, const std::vector<Score>& active);

/// Counts an ended attempt and keeps the threshold up to date.
void CountAttempt(Detector& detector, TimePoint now);
void UpdateThreshold(Detector& detector, TimePoint now);

}  // namespace ibisladder::detection::Internal

#endif  // LIBS_DETECTION_SCORING_H_
