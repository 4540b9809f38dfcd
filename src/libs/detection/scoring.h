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

/// Whether single failures of the server count, here or of peers, so that peers
/// want to know of its good answers.
bool IsSuspected(const Detector& detector, const Server& server, TimePoint now);

/// Records that the server has given a good answer, here or at a peer.
void CountGoodAnswer(const Detector& detector, Server& server);

/// Returns the time constant with which a server's own sums decay.
Duration DecayTime(const Detector& detector, const Server& server,
                   TimePoint now);

/// Whether the server's own evidence clearly exceeds the service score.
bool IsOutlier(const Detector& detector, const Server& server);

/// Returns the lower bound of a server's own sums: zero, or a negative value
/// while own or peer evidence against the server exists.
float MinSum(const Detector& detector, const Server& server);

/// Returns the latency to evaluate: scaled down by how much slower than usual
/// the whole service is now, and further while the server warms up.
Duration AdjustedLatency(const Detector& detector, const Server& server,
                         Duration latency, TimePoint now);

/// Returns the score that stands for the whole service: about the 70th
/// percentile of Score::raw over the servers in service, in small pools the
/// median. Above zero when more than a few of them look unhealthy at once.
float ServiceScore(const Detector& detector, const std::vector<Score>& active);

/// Counts an ended attempt; updates the rate and the threshold every few
/// seconds.
void CountAttempt(Detector& detector, TimePoint now);
/// Recomputes the threshold from the rate of attempts per server in the fleet.
void UpdateThreshold(Detector& detector, TimePoint now);

}  // namespace ibisladder::detection::Internal

#endif  // LIBS_DETECTION_SCORING_H_
