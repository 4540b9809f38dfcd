#include "libs/detection/ejection.h"

#include <algorithm>
#include <cmath>

#include "libs/detection/trial_times.h"

namespace ibisladder::detection::Internal {
namespace {

constexpr std::uint8_t kMaxRelapses = 6;
/// Healthy time that removes one relapse.
constexpr Duration kRelapseDecayTime = Seconds(600);

/// A trial that has neither passed nor failed after this ends with the server
/// restored, if any route of the service is idempotent.
constexpr Duration kProbationTimeout = Seconds(30);
/// Score from which on a trial fails, or a peer's evidence prolongs an
/// ejection.
constexpr float kProbationFailure = 3;
constexpr Duration kMinLastResortTime = Seconds(5);
/// Multiple of the threshold below which a last resort counts as recovered.
constexpr float kRecoveredRatio = 0.25F;

bool IsOutOfService(const Server& server) {
  return server.state == ServerState::kEjected ||
         server.state == ServerState::kProbation;
}

/// Whether servers in `state` get neither a share of the requests nor trials.
bool IsOutOfRegularService(ServerState state) {
  return state == ServerState::kEjected || state == ServerState::kLastResort;
}

struct Capacity {
  std::uint32_t live = 0;
  std::uint32_t serving = 0;
};

Capacity CapacityOf(const Detector& detector, TimePoint now) {
  Capacity capacity;
  for (const auto& it : detector.servers) {
    if (it.member.leaving) continue;
    capacity.live += it.member.slots;
    const bool is_warming =
        !detector.tuning.counts_warming_capacity && now < it.warm_until;
    if (IsOutOfService(it) || is_warming) continue;
    capacity.serving += it.member.slots;
  }
  return capacity;
}

bool HoldsFloor(const Detector& detector, const Capacity& capacity) {
  return capacity.serving * 100 >=
         capacity.live * std::uint32_t{detector.service.floor_percent};
}

void ChangeState(Server& server, ServerState to, Cause cause, float score,
                 TimePoint now, std::vector<StateChange>& changes) {
  const bool is_own_evidence = cause != Cause::kPeers &&
                               cause != Cause::kPeersPassed &&
                               cause != Cause::kIntervalOver;
  const bool is_verdict = IsCoordinated(server) && IsOutOfRegularService(to) &&
                          !IsOutOfRegularService(server.state) &&
                          cause != Cause::kFloor &&
                          server.own.answered_failures > 0;
  changes.push_back({server.member.id, server.state, to, DescribeCause(cause),
                     is_own_evidence, is_verdict});
  server.state = to;
  server.cause = cause;
  server.score_at_change = score;
  server.since = now;
  server.passes = 0;
}

Cause StrongestCause(const Score& score) {
  const float own = std::max({score.failures, score.slowness, score.in_flight,
                              score.answered_failures});
  if (score.peers > score.own) return Cause::kPeers;
  if (score.failures == own || score.answered_failures == own) {
    return Cause::kFailures;
  }
  return score.slowness == own ? Cause::kSlowness : Cause::kInFlight;
}

Duration IntervalOf(const DetectorTuning& tuning, const Server& server,
                    Random& random) {
  const auto interval = std::min(tuning.first_interval * (1 << server.relapses),
                                 tuning.max_interval);
  const double jitter = tuning.interval_jitter * (2 * UniformUnit(random) - 1);
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(interval.count()) * (1 + jitter)));
}

void DecayRelapses(Server& server, TimePoint now) {
  while (server.relapses > 0 &&
         now - server.relapse_decay_from >= kRelapseDecayTime) {
    --server.relapses;
    server.relapse_decay_from += kRelapseDecayTime;
  }
}

void Eject(const DetectorTuning& tuning, Server& server, Cause cause,
           float score, TimePoint now, Random& random,
           std::vector<StateChange>& changes) {
  // What makes a last resort leave service is room above the floor, not a new
  // failure.
  if (IsCoordinated(server) && server.state != ServerState::kLastResort) {
    RecordFailing(server, now, random);
  }
  ChangeState(server, ServerState::kEjected, cause, score, now, changes);
  server.next_action = now + IntervalOf(tuning, server, random);
  server.prolonged_at = now;
  server.relapses = std::min<std::uint8_t>(server.relapses + 1, kMaxRelapses);
  server.relapse_decay_from = now;
}

/// Keeps a server that fails as a last resort.
void KeepInService(const DetectorTuning& tuning, Server& server, Cause cause,
                   float score, TimePoint now, Random& random,
                   std::vector<StateChange>& changes) {
  if (IsCoordinated(server)) RecordFailing(server, now, random);
  ChangeState(server, ServerState::kLastResort, cause, score, now, changes);
  server.next_action = now + IntervalOf(tuning, server, random);
  server.prolonged_at = now;
}

void Restore(Detector& detector, Server& server, Cause cause, TimePoint now,
             std::vector<StateChange>& changes) {
  RecordRecovery(detector, server, now);
  ChangeState(server, ServerState::kHealthy, cause, 0, now, changes);
  server.own = Evidence{.updated = now};
  server.warm_until = now + detector.service.warm_up;
  server.relapse_decay_from = now;
}

/// Prolongs the ejection when a peer reports new evidence, so that this
/// instance does not have to find the same fault again.
void ProlongEjection(const Detector& detector, Server& server, TimePoint now,
                     Random& random) {
  if (!detector.tuning.peers_affect_probation) return;
  if (IsCoordinated(server)) {
    RecordPeersFailures(server, now);
    return;
  }
  for (const PeerEvidence& it : server.peer_evidence) {
    if (it.score < kProbationFailure || it.heard <= server.prolonged_at) {
      continue;
    }
    server.prolonged_at = now;
    server.next_action = std::max(
        server.next_action, now + IntervalOf(detector.tuning, server, random));
  }
}

/// Whether a peer has reported a passed probation since the server left service
/// here.
bool HasPassedElsewhere(const Detector& detector, const Server& server) {
  if (!detector.tuning.peers_affect_probation) return false;
  return std::ranges::any_of(server.peer_evidence, [&](const PeerEvidence& it) {
    return it.is_answered && it.score <= kProbationPassedScore &&
           it.heard > server.since && it.heard > server.prolonged_at;
  });
}

bool IsWaitOver(const Detector& detector, const Server& server, TimePoint now) {
  return IsCoordinated(server) ? IsTrialDue(detector, server, now)
                               : now >= server.next_action;
}

/// Whether a last resort is due for a trial. Its evidence does not decay while
/// it gets no requests.
bool IsDueForTrial(const Detector& detector, const Server& server,
                   TimePoint now) {
  return detector.tuning.trials_allow_any_request &&
         server.state == ServerState::kLastResort &&
         IsWaitOver(detector, server, now);
}

void StartTrial(Server& server, ServerState to, TimePoint now,
                std::vector<StateChange>& changes) {
  ChangeState(server, to, Cause::kIntervalOver, 0, now, changes);
  server.own = Evidence{.updated = now};
  server.peer_evidence.clear();
  server.next_action = now;
}

void UpdateServing(Detector& detector, Server& server, const Score& score,
                   float threshold, TimePoint now, Random& random,
                   std::vector<StateChange>& changes) {
  if (server.state == ServerState::kLastResort) {
    ProlongEjection(detector, server, now, random);
    if (IsDueForTrial(detector, server, now)) {
      StartTrial(server, ServerState::kLastResortOnTrial, now, changes);
      return;
    }
  }
  if (score.total >= threshold) {
    if (FloorAllowsEjection(detector, server, now)) {
      DecayRelapses(server, now);
      Eject(detector.tuning, server, StrongestCause(score), score.total, now,
            random, changes);
    } else if (server.state == ServerState::kHealthy) {
      KeepInService(detector.tuning, server, StrongestCause(score), score.total,
                    now, random, changes);
    }
    return;
  }
  // Where any request may be used for a trial, a trial tells more than decayed
  // evidence.
  if (server.state == ServerState::kLastResort &&
      !detector.tuning.trials_allow_any_request &&
      now - server.since >= kMinLastResortTime &&
      score.total < detector.threshold * kRecoveredRatio) {
    ChangeState(server, ServerState::kHealthy, Cause::kRecovered, score.total,
                now, changes);
  }
}

/// Takes a server that failed its trial out of service, as far as the floor
/// allows.
void FailTrial(const Detector& detector, Server& server, Cause cause,
               float score, TimePoint now, Random& random,
               std::vector<StateChange>& changes) {
  if (server.state == ServerState::kProbation ||
      FloorAllowsEjection(detector, server, now)) {
    Eject(detector.tuning, server, cause, score, now, random, changes);
    return;
  }
  KeepInService(detector.tuning, server, cause, score, now, random, changes);
}

void UpdateTrial(Detector& detector, Server& server, const Score& score,
                 TimePoint now, Random& random,
                 std::vector<StateChange>& changes) {
  const bool peers_report_failing = detector.tuning.peers_affect_probation &&
                                    score.peers >= kProbationFailure;
  if (score.own >= kProbationFailure || peers_report_failing) {
    FailTrial(detector, server,
              peers_report_failing ? Cause::kPeers : Cause::kProbationFailed,
              score.own, now, random, changes);
    return;
  }
  const bool timed_out = !IsCoordinated(server) &&
                         detector.has_idempotent_routes &&
                         now - server.since >= kProbationTimeout;
  if (server.passes >= detector.tuning.passes_to_restore || timed_out) {
    Restore(detector, server, Cause::kProbationPassed, now, changes);
  }
}

}  // namespace

bool FloorAllowsEjection(const Detector& detector, const Server& server,
                         TimePoint now) {
  Capacity capacity = CapacityOf(detector, now);
  const bool is_warming =
      !detector.tuning.counts_warming_capacity && now < server.warm_until;
  if (!IsOutOfService(server) && !is_warming) {
    capacity.serving -= server.member.slots;
  }
  return HoldsFloor(detector, capacity);
}

void EnforceFloor(Detector& detector, TimePoint now,
                  std::vector<StateChange>& changes) {
  while (!HoldsFloor(detector, CapacityOf(detector, now))) {
    Server* candidate = nullptr;
    for (auto& it : detector.servers) {
      if (it.member.leaving || !IsOutOfService(it)) continue;
      if (candidate == nullptr ||
          it.score_at_change < candidate->score_at_change)
        candidate = &it;
    }
    if (candidate == nullptr) return;
    ChangeState(*candidate, ServerState::kLastResort, Cause::kFloor,
                candidate->score_at_change, now, changes);
    candidate->warm_until = now;
    candidate->next_action =
        std::max(candidate->next_action, now + detector.tuning.first_interval);
  }
}

void UpdateState(Detector& detector, Server& server, const Score& score,
                 float threshold, TimePoint now, Random& random,
                 std::vector<StateChange>& changes) {
  if (server.member.leaving) return;
  if (server.state != ServerState::kHealthy &&
      HasPassedElsewhere(detector, server)) {
    server.peer_evidence.clear();
    Restore(detector, server, Cause::kPeersPassed, now, changes);
    return;
  }
  switch (server.state) {
    case ServerState::kHealthy:
    case ServerState::kLastResort:
      UpdateServing(detector, server, score, threshold, now, random, changes);
      break;
    case ServerState::kEjected:
      ProlongEjection(detector, server, now, random);
      if (IsWaitOver(detector, server, now)) {
        StartTrial(server, ServerState::kProbation, now, changes);
      }
      break;
    case ServerState::kProbation:
    case ServerState::kLastResortOnTrial:
      UpdateTrial(detector, server, score, now, random, changes);
      break;
  }
}

std::string DescribeCause(Cause cause) {
  switch (cause) {
    case Cause::kNone:
      return "no evidence against it";
    case Cause::kFailures:
      return "failures";
    case Cause::kSlowness:
      return "slower than usual for the service";
    case Cause::kInFlight:
      return "requests in flight for longer than usual for the service";
    case Cause::kPeers:
      return "evidence of other instances";
    case Cause::kIntervalOver:
      return "waiting time over, trial starts";
    case Cause::kProbationPassed:
      return "passed probation, or did not fail it in time";
    case Cause::kPeersPassed:
      return "passed probation at another instance";
    case Cause::kProbationFailed:
      return "failed probation";
    case Cause::kFloor:
      return "needed to keep the minimum capacity (floor)";
    case Cause::kRecovered:
      return "little evidence left against it";
    case Cause::kFailsFast:
      return "answers requests with errors";
  }
  return "";
}

}  // namespace ibisladder::detection::Internal
