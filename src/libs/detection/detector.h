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
/// The evidence is the outcome of real requests, compared with the service's
/// own baseline. Callers pass events in order of time; the library reads
/// neither a clock nor a random device.
namespace ibisladder::detection {

/// How one attempt at a backend server ended.
enum class AttemptEnd : std::uint8_t {
  kOk,             ///< Complete, correct answer; its latency counts.
  kError,          ///< Status 5xx other than a definite shed.
  kCorrupt,        ///< Failed the integrity check or was truncated.
  kLost,           ///< Connection lost after dispatch.
  kConnectFailed,  ///< No connection; nothing was sent.
  kTimeout,        ///< Deadline passed without an answer.
  kShed,           ///< Definitely not run: overload, not a fault.
  kAbandoned,      ///< Cancelled by the caller; only its age counts.
};

enum class ServerState : std::uint8_t {
  kHealthy,
  kEjected,           ///< Gets no requests.
  kProbation,         ///< Gets a few requests, or probes where no route of the
                      ///< service is idempotent; see MakeDetector.
  kLastResort,        ///< Unhealthy, but kept in service by the floor, the
                      ///< minimum percentage of slots in service. Gets what
                      ///< healthy servers cannot take; if it fails fast, only
                      ///< when none but such servers are in service.
  kLastResortOnTrial  ///< A last resort that also gets a few requests to
                      ///< find out whether it has recovered.
};

/// Whether servers in `state` get a few requests to show that they have
/// recovered.
constexpr bool IsOnTrial(ServerState state) {
  return state == ServerState::kProbation ||
         state == ServerState::kLastResortOnTrial;
}

/// Returns the log event for a change to `state`.
LogEvent EventOf(ServerState state);

/// Which instances send trial requests to a server that fails.
enum class TrialRole : std::uint8_t {
  kUncoordinated,  ///< Each instance tries it by itself.
  kFirstOwner,     ///< This instance does.
  kSecondOwner,    ///< This instance does if the first owner does not.
  kOther  ///< The owners do. This instance tries only if it hears nothing of
          ///< the server for long, or if no other instance has seen it fail.
};

/// A server of the service, from the declarations and the current list.
struct Member {
  BackendServerId id;
  /// Number of requests that the server processes at once.
  std::uint16_t slots = 4;
  /// Leaving or drained: counts for no capacity and is not evaluated.
  bool leaving = false;
  TrialRole trial_role = TrialRole::kUncoordinated;
};

/// One instance's evidence about one server, as peers, the other instances,
/// exchange it.
struct Digest {
  ServiceId service;
  BackendServerId server;
  /// Log-likelihood score in 1/16 nat, clamped to the type; above 0 means
  /// unhealthy.
  std::int16_t score = 0;
  /// Number of ended attempts and failed probes behind the score, plus requests
  /// in flight; clamped.
  std::uint8_t samples = 0;
  /// The score is based on answers of the server itself, failed or good, so the
  /// sender's link is not at fault.
  bool is_answered = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, server, score, samples, is_answered);
  }
};

/// A change of a server's state, with the reason for logs and operators. `from`
/// equals `to` when a last resort was found to answer failures itself.
struct StateChange {
  BackendServerId server;
  ServerState from;
  ServerState to;
  std::string reason;
  /// False if the reason is peer evidence or the end of an ejection or waiting
  /// time.
  bool is_own_evidence = true;
  /// The server has answered failures to this instance and leaves regular
  /// service; see MakeVerdictDigest.
  bool is_verdict = false;
};

/// Detection state of one server for operators.
struct ServerReport {
  BackendServerId server;
  ServerState state;
  /// Own and peer evidence in nats, without requests in flight; the own part is
  /// not capped.
  double score = 0;
  std::string reason;
  TimePoint since;
};

/// Parameters of a detector. The defaults suit services whose servers stay
/// unhealthy for minutes.
struct DetectorTuning {
  /// Duration of the first ejection; doubles with each relapse. A last resort
  /// waits as long before a trial.
  Duration first_interval = Seconds(10);
  Duration max_interval = Seconds(640);
  /// Fraction by which intervals vary at random in either direction.
  double interval_jitter = 0.2;
  /// Consecutive good answers that restore a server on trial; see IsOnTrial.
  /// Good probes count, too, where probation uses probes.
  std::uint8_t passes_to_restore = 3;
  /// Minimum sum of evidence that ejects, in nats.
  double min_threshold = 7;
  /// Cap on the evidence of one peer, as a multiple of the threshold, if it is
  /// based on failures that the server answered. Other peer evidence is capped
  /// at a third.
  float answered_peer_cap = 1.0F / 3;
  /// Whether peer evidence can fail a trial, prolong an ejection, or
  /// restore a server that has passed probation at the peer.
  bool peers_affect_probation = false;
  /// Whether any request may be sent to a server on trial, not only idempotent
  /// ones. If set, last resorts recover by trials instead of decayed evidence,
  /// and no probes are sent on probation.
  bool trials_allow_any_request = false;
  /// Whether peer evidence counts in the service score, which shows that many
  /// servers look unhealthy at once and raises the threshold for all.
  bool service_score_counts_peers = true;
  /// Whether servers that warm up count as serving capacity for the floor.
  bool counts_warming_capacity = false;
  /// Assumed usual latency until the service's own is known; zero: none is
  /// assumed. Latencies up to it never count as slow, and the baseline ignores
  /// answers faster than an eighth of it.
  Duration expected_latency{};
  /// Whether failures that the server itself answered have a sum of their own.
  /// Fast ones count only there, and for more than slower ones while rare.
  bool weighs_answered_failures = false;
  /// Whether the baseline also records attempts that timed out or were
  /// cancelled. Without them it contains no latency beyond a route's timeout.
  bool records_unfinished_latencies = false;
  /// Whether a server is probed when a request to it has been in flight for
  /// unusually long. At-most-once requests only avoid such a server, so nothing
  /// else would distinguish a lost answer from an unreachable server.
  bool probe_suspects = true;
  /// Whether trials are coordinated, see TrialRole, and peers' evidence is
  /// combined with failures that the server answered here. Peers' evidence
  /// alone then ejects only if one of them has ejected the server, or if links
  /// may be at fault.
  bool coordinates_trials = false;
  /// Number of instances that send most requests, for coordinated trials.
  std::size_t instances = 1;
};

/// Detection state of one service; created by MakeDetector.
struct Detector;
struct DetectorDeleter {
  void operator()(Detector* detector) const;
};
using DetectorPtr = std::unique_ptr<Detector, DetectorDeleter>;

/// `has_idempotent_routes`: whether any route of the service is idempotent. If
/// none is, probation uses probes only, unless
/// DetectorTuning::trials_allow_any_request is set.
DetectorPtr MakeDetector(const declarations::Service& service,
                         bool has_idempotent_routes, TimePoint now);

// Commands.

/// Applies changed settings of the service and keeps all evidence.
void UpdateSettings(Detector& detector, const declarations::Service& service,
                    bool has_idempotent_routes);
void SetTuning(Detector& detector, const DetectorTuning& tuning);
/// Replaces the member list. Known servers keep their state, unless the floor
/// requires that some return to service.
void SetMembers(Detector& detector, std::span<const Member> members,
                TimePoint now);
/// Unknown servers are ignored.
void AttemptStarted(Detector& detector, BackendServerId server,
                    AttemptId attempt, TimePoint now);
/// Unknown attempts are ignored.
void AttemptEnded(Detector& detector, AttemptId attempt, AttemptEnd end,
                  TimePoint now);
/// A failed probe counts little in service and much on probation. Good probes
/// count only on probation, and only where requests cannot be used instead.
void ProbeEnded(Detector& detector, BackendServerId server, bool ok,
                TimePoint now);
/// A probe got no answer within `waited`. Counts on probation like a failed
/// probe, otherwise like a request that timed out. The latter is ignored if the
/// whole service gave no good answers at some time since the probe began.
void ProbeUnanswered(Detector& detector, BackendServerId server,
                     Duration waited, TimePoint now);
/// Replaces the peer's previous evidence on each listed server. How much a peer
/// can contribute is capped.
void MergePeerDigests(Detector& detector, InstanceId peer,
                      std::span<const Digest> digests, TimePoint now);
/// Returns the digest that reports a passed probation to peers.
Digest MakeProbationPassedDigest(ServiceId service, BackendServerId server);
/// Returns the digest that tells peers to take a server out of service, as it
/// has answered failures, or has failed a trial.
Digest MakeVerdictDigest(ServiceId service, BackendServerId server);
/// Returns the digest that tells peers of a single good answer, which takes
/// from the evidence of single failures.
Digest MakeGoodAnswerDigest(ServiceId service, BackendServerId server);
/// Sets whether servers that may have recovered are needed urgently, so that
/// coordinated trials start earlier, and whether fewer servers are in service
/// than the floor demands while many requests go unserved, so that every
/// instance tries them.
void SetUrgency(Detector& detector, bool is_urgent, bool lacks_servers);
/// Returns the digest of one server; none if its score is closer to zero than
/// 0.25 nat.
std::optional<Digest> OwnDigest(const Detector& detector, ServiceId service,
                                BackendServerId server, TimePoint now);
/// Evaluates all servers. To be called after each ended attempt and at least
/// every 100 ms.
std::vector<StateChange> Evaluate(Detector& detector, TimePoint now,
                                  Random& random);

// Queries.

/// Returns kEjected for a server that is no member.
ServerState StateOf(const Detector& detector, BackendServerId server);
/// Returns the servers to probe now: on probation without idempotent requests,
/// or suspects (see DetectorTuning::probe_suspects). While a probe runs, its
/// server may be returned again.
std::vector<BackendServerId> ProbesDue(const Detector& detector, TimePoint now);
/// Returns at most `limit` digests of this instance's own evidence, highest
/// scores first.
std::vector<Digest> OwnDigests(const Detector& detector, ServiceId service,
                               std::size_t limit, TimePoint now);
/// Whether peers are to be told that the server gives a good answer now, as
/// single failures of it count; for coordinated trials.
bool WantGoodAnswer(const Detector& detector, BackendServerId server,
                    TimePoint now);
/// Whether the server itself answers with failures, according to this
/// instance's own evidence or a peer's. One fast failure is enough while
/// failures are rare; several slower ones count as well.
bool FailsFast(const Detector& detector, BackendServerId server);
/// Returns the number of servers out of regular service that are known to have
/// failed within the last `time`, here or at a peer; for coordinated trials.
std::size_t CountFailedWithin(const Detector& detector, Duration time,
                              TimePoint now);
/// Returns one report for each member.
std::vector<ServerReport> Report(const Detector& detector);

}  // namespace ibisladder::detection

#endif  // LIBS_DETECTION_DETECTOR_H_
