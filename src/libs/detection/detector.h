#ifndef LIBS_DETECTION_DETECTOR_H_
#define LIBS_DETECTION_DETECTOR_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "libs/base/log_event.h"
#include "libs/base/random.h"
#include "libs/base/strong_types.h"
#include "libs/base/time.h"
#include "libs/declarations/declarations.h"

/// Gray-failure detection and ejection for one service on one instance.
///
/// Evidence is real work, judged against the service's own norm. Events are
/// passed in order of time; nothing here reads a clock or a random device.
namespace ibisladder::detection {

/// How one attempt at a backend server ended.
enum class AttemptEnd : std::uint8_t {
  kOk,             ///< Whole, correct answer; see the latency.
  kError,          ///< Status 5xx that is no definite shed.
  kCorrupt,        ///< Failed the integrity check, or truncated.
  kLost,           ///< Connection lost after dispatch.
  kConnectFailed,  ///< No connection; nothing was sent.
  kTimeout,        ///< Deadline passed without an answer.
  kShed,           ///< Definite "not run": load, not sickness.
  kAbandoned,      ///< Cancelled by the caller: no evidence but its age.
};

enum class ServerState : std::uint8_t {
  kHealthy,
  kEjected,           ///< Gets no work.
  kProbation,         ///< Gets a little idempotent work, or probes only.
  kLastResort,        ///< Sick, but the floor forbids ejection: gets what the
                      ///< others cannot take.
  kLastResortOnTrial  ///< A last resort that gets a little work besides, to
                      ///< see whether it has recovered.
};

/// Whether servers in `state` get a little work to show that they are sound.
constexpr bool IsOnTrial(ServerState state) {
  return state == ServerState::kProbation ||
         state == ServerState::kLastResortOnTrial;
}

/// The log event of a change to `state`.
LogEvent EventOf(ServerState state);

/// A server as declared and listed now.
struct Member {
  BackendServerId id;
  std::uint16_t slots = 4;
  /// Leaving or drained: counts for no capacity and is not judged.
  bool leaving = false;
};

/// One instance's word on one server, as peers exchange it.
struct Digest {
  ServiceId service;
  BackendServerId server;
  /// Log-likelihood score in 1/16 nat, clamped to the type; above 0 is sick.
  std::int16_t score = 0;
  /// Attempts that the score rests on, clamped.
  std::uint8_t samples = 0;
  /// The score rests on failures that the server itself answered: no fault of
  /// the sender's link.
  bool is_answered = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, server, score, samples, is_answered);
  }
};

/// A change of a server's state, with the reason for logs and operators. Equal
/// states: it is a last resort that, as seen now, fails without trying.
struct StateChange {
  BackendServerId server;
  ServerState from;
  ServerState to;
  std::string reason;
  /// Rests on work of this instance, not on peers' words or on time alone.
  bool is_own_evidence = true;
};

/// What operators see of one server.
struct ServerReport {
  BackendServerId server;
  ServerState state;
  double score = 0;
  std::string reason;
  TimePoint since;
};

/// How fast a detector acts. The defaults suit services whose servers stay
/// sick for minutes.
struct DetectorTuning {
  /// Time out of service after an ejection; doubles with each relapse.
  Duration first_interval = Seconds(10);
  Duration max_interval = Seconds(640);
  /// Part by which intervals differ at random, either way.
  double interval_jitter = 0.2;
  /// Good answers in a row on probation that restore a server.
  std::uint8_t passes_to_restore = 3;
  /// Least sum of evidence that ejects, nats.
  double min_threshold = 7;
  /// Share of the threshold that the word of one peer may reach when it rests
  /// on failures that the server answered; other words reach a third.
  float answered_peer_cap = 1.0F / 3;
  /// Whether peers' words send a server back from probation, and keep it out.
  bool peers_affect_probation = false;
  /// Whether any work may be tried on probation, not only idempotent.
  bool trials_allow_any_request = false;
  /// Whether peers' words count in what all servers are taken to share.
  bool service_score_counts_peers = true;
  /// Whether servers that warm up count as capacity that serves.
  bool counts_warming_capacity = false;
  /// Usual latency of a service until it is known; zero: none is assumed.
  Duration expected_latency{};
  /// Whether failures that the server itself answered count by themselves, and
  /// fast ones most.
  bool weighs_answered_failures = false;
  /// Whether the norm learns from work that is cut while it runs: without it
  /// no latency beyond a route's time-out is ever seen.
  bool records_unfinished_latencies = false;
  /// Whether a server that owes an answer for unusually long is probed. Work
  /// that may run once only moves away from it, so that nothing else would tell
  /// a lost answer from a server that is not heard.
  bool probes_suspects = true;
};

/// Detection state of one service; made by MakeDetector.
struct Detector;
struct DetectorDeleter {
  void operator()(Detector* detector) const;
};
using DetectorPtr = std::unique_ptr<Detector, DetectorDeleter>;

/// `has_idempotent_routes`: whether any route of the service is idempotent;
/// without one, probation uses probes only.
DetectorPtr MakeDetector(const declarations::Service& service,
                         bool has_idempotent_routes, TimePoint now);

// Commands.

/// Installs changed settings of the service, keeping all evidence.
void UpdateSettings(Detector& detector, const declarations::Service& service,
                    bool has_idempotent_routes);
void SetTuning(Detector& detector, const DetectorTuning& tuning);
/// Replaces the member list; known servers keep their state.
void SetMembers(Detector& detector, std::span<const Member> members,
                TimePoint now);
void AttemptStarted(Detector& detector, BackendServerId server,
                    AttemptId attempt, TimePoint now);
/// `attempt` must have been started; unknown ones are ignored.
void AttemptEnded(Detector& detector, AttemptId attempt, AttemptEnd end,
                  TimePoint now);
void ProbeEnded(Detector& detector, BackendServerId server, bool ok,
                TimePoint now);
/// A probe got no answer within `waited`. Tells of the path as a request does
/// that timed out.
void ProbeUnanswered(Detector& detector, BackendServerId server,
                     Duration waited, TimePoint now);
/// A peer's latest word, which replaces its previous one. Capped trust.
void MergePeerDigests(Detector& detector, InstanceId peer,
                      std::span<const Digest> digests, TimePoint now);
/// The digest that tells peers that a server has passed probation here.
Digest MakeProbationPassedDigest(ServiceId service, BackendServerId server);
/// The digest of one server, whatever its state; none without evidence.
std::optional<Digest> OwnDigest(const Detector& detector, ServiceId service,
                                BackendServerId server, TimePoint now);
/// Judges all servers; call after each ended attempt and at each tick
/// (at least every 100 ms).
std::vector<StateChange> Evaluate(Detector& detector, TimePoint now,
                                  Random& random);

// Queries.

/// kEjected for a server that is no member.
ServerState StateOf(const Detector& detector, BackendServerId server);
/// Servers that want a probe now: on probation without idempotent work, or
/// suspects (see DetectorTuning).
std::vector<BackendServerId> ProbesDue(const Detector& detector, TimePoint now);
/// The most telling digests of this instance's own evidence, at most `limit`.
std::vector<Digest> OwnDigests(const Detector& detector, ServiceId service,
                               std::size_t limit, TimePoint now);
/// Whether the server answers failures without trying, by this instance's own
/// evidence or a peer's.
bool FailsFast(const Detector& detector, BackendServerId server);
std::vector<ServerReport> Report(const Detector& detector);

}  // namespace ibisladder::detection

#endif  // LIBS_DETECTION_DETECTOR_H_
