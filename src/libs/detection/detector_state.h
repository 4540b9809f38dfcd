#ifndef LIBS_DETECTION_DETECTOR_STATE_H_
#define LIBS_DETECTION_DETECTOR_STATE_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "libs/detection/detector.h"
#include "libs/detection/evidence.h"
#include "libs/detection/outages.h"
#include "libs/detection/peer_evidence.h"
#include "libs/detection/recent_attempts.h"

/// State of one service's detector, shared by the files of the library.
namespace ibisladder::detection {
namespace Internal {

struct InFlight {
  AttemptId attempt;
  TimePoint started;
};

/// Why a server is in its state, for logs and operators.
enum class Cause : std::uint8_t {
  kNone,
  kFailures,
  kSlowness,
  kInFlight,
  kPeers,
  kIntervalOver,
  kProbationPassed,
  kPeersPassed,
  kProbationFailed,
  kFloor,
  kRecovered,
  kFailsFast,
};

struct Server {
  Member member;
  ServerState state = ServerState::kHealthy;
  Cause cause = Cause::kNone;
  bool active = false;
  /// Answered failures itself, as seen here or by a peer, since it was last
  /// healthy; see FailsFast. A flag, because the evidence for it decays or
  /// expires sooner.
  bool fails_fast = false;
  /// Number of recent ejections; the interval doubles with each.
  std::uint8_t relapses = 0;
  /// Consecutive good answers or probes on trial.
  std::uint8_t passes = 0;
  /// Score when the state last changed.
  float score_at_change = 0;
  Evidence own;
  /// Number of good answers of this server.
  std::uint32_t ok = 0;
  /// Number of good answers of all other servers when this instance last had no
  /// evidence against this one.
  std::uint32_t others_ok_before = 0;
  TimePoint since;
  /// Until then higher latencies are tolerated.
  TimePoint warm_until;
  /// End of the ejection or of the wait before a trial, or time of the next
  /// probe on probation.
  TimePoint next_action;
  /// No probe is due before this time while the server is in service.
  TimePoint suspect_probe_at;
  /// When it was last ejected or restored, or a relapse was last removed; the
  /// healthy time that removes the next relapse starts here.
  TimePoint relapse_decay_from;
  /// When the ejection or the wait before a trial began, or peer evidence last
  /// prolonged it.
  TimePoint prolonged_at;
  /// For coordinated trials: when the server left regular service, and when it
  /// was last known to fail, here or at a peer.
  TimePoint failing_since;
  TimePoint failed_at;
  /// When an attempt of this instance was last answered with a failure.
  TimePoint answered_failure_at;
  /// Evidence, in nats, that good answers here and at peers have taken since
  /// then.
  float lost_since_failure = 0;
  /// Whether other instances hold the server for failing, too.
  bool is_shared_view = false;
  /// Random, in [0, 1); spreads the trials of instances that are no owners.
  float spread = 0;
  std::vector<InFlight> in_flight;
  std::vector<PeerEvidence> peer_evidence;
};

/// Parts of a server's score, in nats.
struct Score {
  float failures = 0;
  float slowness = 0;
  float answered_failures = 0;
  float in_flight = 0;
  /// This instance's own evidence, before any cap.
  float own = 0;
  float peers = 0;
  /// Own evidence without `answered_failures` and caps, plus `peers` if
  /// DetectorTuning::service_score_counts_peers. Input of the service score.
  float raw = 0;
  /// Own and peer evidence, capped except for `answered_failures`; compared
  /// with the threshold.
  float total = 0;
};

}  // namespace Internal

struct Detector {
  declarations::Service service;
  bool has_idempotent_routes = false;
  DetectorTuning tuning;
  std::vector<Internal::Server> servers;
  std::unordered_map<BackendServerId, std::uint32_t> indexes;
  /// Indexes of servers with evidence, requests in flight or a state that can
  /// change.
  std::vector<std::uint32_t> active;
  std::unordered_map<AttemptId, BackendServerId> attempts;
  Internal::ServiceBaseline baseline;
  Internal::RecentAttempts recent;
  /// Good answers of all servers.
  std::uint32_t ok = 0;
  /// Service score at the last evaluation; see ServiceScore.
  float service_score = 0;
  /// Until then the whole service is assumed to have changed: the baseline
  /// adapts faster and also records servers that are not healthy, unless they
  /// are outliers.
  TimePoint shift_end;
  /// Peers that send evidence, and when they were last heard.
  std::unordered_map<InstanceId, TimePoint> peers;
  /// Ended attempts per second of this instance over all servers.
  double rate = 0;
  /// Attempts ended since `rate_since`.
  std::uint32_t rate_attempts = 0;
  TimePoint rate_since;
  /// Score that leads to ejection, before the service score raises it; nats.
  float threshold = 0;
  /// Whether a non-empty member list has been set. Servers that join later warm
  /// up.
  bool has_members = false;
  Internal::OutageLengths outages;
  /// See SetUrgency.
  bool is_urgent = false;
  bool lacks_servers = false;
  /// State changes made outside Evaluate; its next call returns them.
  std::vector<StateChange> pending;
};

namespace Internal {

/// Returns the server; null if it is no member.
Server* FindServer(Detector& detector, BackendServerId id);
const Server* FindServer(const Detector& detector, BackendServerId id);

/// Adds the server to those that are evaluated.
void Activate(Detector& detector, Server& server);

}  // namespace Internal

}  // namespace ibisladder::detection

#endif  // LIBS_DETECTION_DETECTOR_STATE_H_
