#ifndef LIBS_DETECTION_DETECTOR_STATE_H_
#define LIBS_DETECTION_DETECTOR_STATE_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "libs/detection/detector.h"
#include "libs/detection/evidence.h"
#include "libs/detection/peer_evidence.h"
#include "libs/detection/recent_answers.h"

/// State of one service's detector, shared by the library's modules.
namespace ibisladder::detection {
namespace Internal {

struct InFlight {
  AttemptId attempt;
  TimePoint started;
};

/// What a state rests on, for logs and operators.
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
  /// It answered failures without trying, here or at a peer, since it last was
  /// in regular service. Evidence and words fade sooner.
  bool fails_fast = false;
  /// Ejections in short succession; the interval doubles with each.
  std::uint8_t relapses = 0;
  /// Good answers or probes in a row during probation.
  std::uint8_t passes = 0;
  /// Score when the state last changed.
  float score_at_change = 0;
  Evidence own;
  /// Good answers of this server, and of the others when this instance's own
  /// evidence last was none.
  std::uint32_t ok = 0;
  std::uint32_t others_ok_before = 0;
  TimePoint since;
  /// Until then slowness is judged leniently.
  TimePoint warm_until;
  /// End of the ejection, or time of the next probe on probation.
  TimePoint next;
  /// Before it no probe is due while in service.
  TimePoint suspect_probe_at;
  /// When it was last ejected or restored; relapses fade from there.
  TimePoint relapse_decay_from;
  /// When a peer's word last prolonged the ejection.
  TimePoint prolonged_at;
  std::vector<InFlight> in_flight;
  std::vector<PeerEvidence> peer_evidence;
};

/// Parts of a server's score, in nats.
struct Score {
  float failures = 0;
  float slowness = 0;
  float answered_failures = 0;
  float in_flight = 0;
  /// This instance's own part, before any cap.
  float own = 0;
  float peers = 0;
  /// Without caps on the own part.
  float raw = 0;
  float total = 0;
};

}  // namespace Internal

struct Detector {
  declarations::Service service;
  bool has_idempotent_routes = false;
  DetectorTuning tuning;
  std::vector<Internal::Server> servers;
  std::unordered_map<BackendServerId, std::uint32_t> indexes;
  /// Indexes of servers with evidence, work in flight or a state to watch.
  std::vector<std::uint32_t> active;
  std::unordered_map<AttemptId, BackendServerId> attempts;
  Internal::ServiceBaseline baseline;
  Internal::RecentAnswers recent;
  /// Good answers of all servers.
  std::uint32_t ok = 0;
  /// Middle of the scores in service at the last evaluation.
  float service_score = 0;
  /// Until then the whole service is taken to have changed, and the norm
  /// learns from every server.
  TimePoint shift_until;
  /// Peers that share evidence, and when they were last heard.
  std::unordered_map<InstanceId, TimePoint> peers;
  /// Ended attempts a second of this instance over all servers.
  double rate = 0;
  std::uint32_t rate_attempts = 0;
  TimePoint rate_since;
  float threshold = 0;
  bool has_members = false;
  /// Made outside Evaluate; its next call returns them.
  std::vector<StateChange> pending;
};

}  // namespace ibisladder::detection

#endif  // LIBS_DETECTION_DETECTOR_STATE_H_
