#ifndef LIBS_DETECTION_TRIAL_TIMES_H_
#define LIBS_DETECTION_TRIAL_TIMES_H_

#include "libs/detection/detector_state.h"

/// When this instance tries a server, where trials are coordinated; see
/// TrialRole.
namespace ibisladder::detection::Internal {

bool IsCoordinated(const Server& server);

/// Records that the server leaves regular service, or fails a trial.
void RecordFailing(Server& server, TimePoint now, Random& random);

/// Records the evidence of peers that the server has failed since the last
/// such call. One peer's own link may be at fault if the server has not
/// answered.
void RecordPeersFailures(Server& server, TimePoint now);

/// Records the end of an outage.
void RecordRecovery(Detector& detector, const Server& server, TimePoint now);

/// Whether this instance may send trial requests now.
bool IsTrialDue(const Detector& detector, const Server& server, TimePoint now);

/// Returns the time within which peers' evidence of a failure counts together
/// with a failure here.
Duration FreshTime(const Detector& detector);

}  // namespace ibisladder::detection::Internal

#endif  // LIBS_DETECTION_TRIAL_TIMES_H_
