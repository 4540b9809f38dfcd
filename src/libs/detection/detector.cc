#include "libs/detection/detector.h"

#include <algorithm>
#include <cmath>

#include "libs/detection/detector_state.h"
#include "libs/detection/ejection.h"
#include "libs/detection/scoring.h"

namespace ibisladder::detection {

using Internal::Activate;
using Internal::Evidence;
using Internal::FindServer;
using Internal::Score;
using Internal::Server;

namespace {

/// Weight of samples while the service as a whole has changed.
constexpr float kShiftWeight = 8;
constexpr Duration kShiftTime = Seconds(3);
/// A service score from here on means that the service as a whole changed.
constexpr float kShifted = 2;
/// How much the service score raises the threshold of all servers.
constexpr float kServiceScoreWeight = 3;
/// A good answer on trial with this much evidence of slowness does not count as
/// a pass.
constexpr float kSlowScoreOnProbation = 1;

/// While failures are rare in the service, one fast failure or two slower ones
/// exceed this sum of answered failures; one slower failure does not.
constexpr float kAnsweredFailureScore = 5;
constexpr Duration kProbeInterval = Seconds(1);
/// Evidence of a failed probe in nats. Low, because health endpoints are
/// unreliable indicators.
constexpr float kFailedProbeScore = 0.5F;
constexpr float kFailedProbeScoreOnProbation = 4;
/// Evidence of requests in flight that makes a server a suspect, in nats: about
/// one in 300 healthy requests takes as long.
constexpr float kSuspectInFlightScore = 4;

/// Whether evidence of this instance or of a peer shows failures that the
/// server itself answered.
bool ShowsAnsweredFailures(const Server& server) {
  return server.own.answered_failures > kAnsweredFailureScore ||
         std::ranges::any_of(server.peer_evidence, [](const auto& entry) {
           return entry.is_answered && entry.score > kAnsweredFailureScore;
         });
}

bool IsIdle(const Server& server, const Score& score) {
  return server.state == ServerState::kHealthy && server.in_flight.empty() &&
         server.peer_evidence.empty() && score.failures == 0 &&
         score.slowness == 0 && score.answered_failures == 0;
}

void RebuildIndexes(Detector& detector) {
  detector.indexes.clear();
  detector.active.clear();
  for (std::uint32_t i = 0; i < detector.servers.size(); ++i) {
    Server& server = detector.servers[i];
    detector.indexes.emplace(server.member.id, i);
    server.active = false;
    Activate(detector, server);
  }
}

/// Counts consecutive good answers, which restore a server on trial.
void CountPass(Server& server, AttemptEnd end,
               const Internal::Increment& increment) {
  if (end == AttemptEnd::kShed || end == AttemptEnd::kAbandoned) return;
  const bool is_good =
      end == AttemptEnd::kOk && increment.slowness < kSlowScoreOnProbation;
  server.passes = is_good ? server.passes + 1 : 0;
}

void UpdateBaseline(Detector& detector, const Server& server, AttemptEnd end,
                    Duration latency, TimePoint now) {
  const bool is_shift = now < detector.shift_end;
  if (server.state != ServerState::kHealthy && !is_shift) return;
  if (IsOutlier(detector, server)) return;
  Internal::RecordAttempt(detector.baseline, end, latency,
                          is_shift ? kShiftWeight : 1);
}

void RecordRecentAttempt(Detector& detector, const Server& server,
                         AttemptEnd end, Duration latency, TimePoint now) {
  if (end == AttemptEnd::kShed || end == AttemptEnd::kAbandoned) return;
  Internal::RecordEndedAttempt(detector.recent, server.member.id,
                               end != AttemptEnd::kOk, latency, now);
}

void Observe(Detector& detector, Server& server, AttemptEnd end,
             Duration latency, TimePoint now) {
  Internal::Decay(server.own, now, DecayTime(detector, server, now));
  const Duration adjusted =
      Internal::AdjustedLatency(detector, server, latency, now);
  const auto increment = Internal::ScoreAttempt(
      detector.baseline, end, adjusted, latency,
      Internal::FailureRatioOfOthers(detector.recent, server.member.id));
  RecordRecentAttempt(detector, server, end, latency, now);
  if (now >= server.warm_until) {
    UpdateBaseline(detector, server, end, latency, now);
  }
  if (end == AttemptEnd::kShed) return;
  // Failures while the whole service was silent are not evidence against one
  // server.
  const bool is_shared = end != AttemptEnd::kOk &&
                         increment.answered_failures <= 0 &&
                         now - latency <= detector.recent.silent_at;
  if (is_shared) return;
  Internal::Add(server.own, increment, MinSum(detector, server));
  CountPass(server, end, increment);
  if (increment.answered_failures > 0) {
    server.answered_failure_at = now;
    server.lost_since_failure = 0;
  }
  if (end != AttemptEnd::kOk) return;
  if (detector.tuning.coordinates_trials) {
    Internal::CountGoodAnswer(detector, server);
  }
  ++server.ok;
  ++detector.ok;
}

/// Returns the scores of the active servers after decaying their own sums to
/// `now`.
std::vector<Score> ScoreActive(Detector& detector, TimePoint now) {
  std::vector<Score> scores;
  scores.reserve(detector.active.size());
  for (const auto index : detector.active) {
    Server& server = detector.servers[index];
    Internal::Decay(server.own, now, DecayTime(detector, server, now));
    Internal::ExpirePeerEvidence(server.peer_evidence, now);
    const Score score = ScoreOf(detector, server, now);
    if (score.own <= 0) server.others_ok_before = detector.ok - server.ok;
    scores.push_back(score);
  }
  return scores;
}

void DropIdle(Detector& detector, const std::vector<Score>& scores) {
  std::size_t kept = 0;
  for (std::size_t i = 0; i < scores.size(); ++i) {
    Server& server = detector.servers[detector.active[i]];
    server.active = !IsIdle(server, scores[i]);
    if (server.active) detector.active[kept++] = detector.active[i];
  }
  detector.active.resize(kept);
}

/// Order of evaluation: highest score first, since the floor may not allow
/// ejecting all.
std::vector<std::size_t> HighestScoreFirst(const std::vector<Score>& scores) {
  std::vector<std::size_t> order(scores.size());
  for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
  std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) {
    return scores[a].total > scores[b].total;
  });
  return order;
}

/// Returns the threshold that applies now, given what all servers have in
/// common.
float CurrentThreshold(Detector& detector, const std::vector<Score>& scores,
                       TimePoint now) {
  const bool any =
      std::any_of(scores.begin(), scores.end(),
                  [](const Score& it) { return it.raw >= kShifted; });
  detector.service_score = any ? ServiceScore(detector, scores) : 0;
  if (detector.service_score >= kShifted) detector.shift_end = now + kShiftTime;
  return detector.threshold + kServiceScoreWeight * detector.service_score;
}

/// Whether a request to the server has been in flight for unusually long, so
/// that a probe is worthwhile.
bool IsSuspect(const Detector& detector, const Server& server, TimePoint now) {
  if (!detector.tuning.probe_suspects || server.in_flight.empty()) return false;
  const bool is_serving = server.state == ServerState::kHealthy ||
                          server.state == ServerState::kLastResort;
  return is_serving && now >= server.suspect_probe_at &&
         ScoreOf(detector, server, now).in_flight >= kSuspectInFlightScore;
}

bool NeedsProbe(const Detector& detector, const Server& server, TimePoint now) {
  if (server.member.leaving) return false;
  if (server.state != ServerState::kProbation) {
    return IsSuspect(detector, server, now);
  }
  return !detector.has_idempotent_routes &&
         !detector.tuning.trials_allow_any_request && now >= server.next_action;
}

}  // namespace

LogEvent EventOf(ServerState state) {
  switch (state) {
    case ServerState::kHealthy:
      return LogEvent::kServerRestored;
    case ServerState::kEjected:
      return LogEvent::kServerEjected;
    case ServerState::kProbation:
    case ServerState::kLastResortOnTrial:
      return LogEvent::kServerProbation;
    case ServerState::kLastResort:
      break;
  }
  return LogEvent::kEjectionRefusedByFloor;
}

void DetectorDeleter::operator()(Detector* detector) const { delete detector; }

DetectorPtr MakeDetector(const declarations::Service& service,
                         bool has_idempotent_routes, TimePoint now) {
  DetectorPtr detector(new Detector);
  detector->rate_since = now;
  UpdateSettings(*detector, service, has_idempotent_routes);
  return detector;
}

void UpdateSettings(Detector& detector, const declarations::Service& service,
                    bool has_idempotent_routes) {
  detector.service = service;
  detector.service.servers.clear();
  detector.has_idempotent_routes = has_idempotent_routes;
  Internal::UpdateThreshold(detector, detector.rate_since);
}

void SetTuning(Detector& detector, const DetectorTuning& tuning) {
  detector.tuning = tuning;
  detector.baseline.expected_latency = tuning.expected_latency;
  detector.baseline.weighs_answered_failures = tuning.weighs_answered_failures;
  detector.baseline.records_unfinished_latencies =
      tuning.records_unfinished_latencies;
  Internal::UpdateThreshold(detector, detector.rate_since);
}

void SetMembers(Detector& detector, std::span<const Member> members,
                TimePoint now) {
  std::vector<Server> servers;
  servers.reserve(members.size());
  for (const auto& it : members) {
    Server server;
    server.since = now;
    server.own.updated = now;
    server.others_ok_before = detector.ok;
    // Servers of the first list were running before this instance started.
    if (detector.has_members) {
      server.warm_until = now + detector.service.warm_up;
    }
    if (Server* known = FindServer(detector, it.id); known != nullptr) {
      server = std::move(*known);
    }
    server.member = it;
    servers.push_back(std::move(server));
  }
  detector.servers = std::move(servers);
  detector.has_members = detector.has_members || !members.empty();
  RebuildIndexes(detector);
  Internal::UpdateThreshold(detector, now);
  Internal::EnforceFloor(detector, now, detector.pending);
}

void AttemptStarted(Detector& detector, BackendServerId server,
                    AttemptId attempt, TimePoint now) {
  Server* it = FindServer(detector, server);
  if (it == nullptr) return;
  if (!detector.attempts.emplace(attempt, server).second) return;
  it->in_flight.push_back({attempt, now});
  if (!detector.recent.waiting_since) detector.recent.waiting_since = now;
  Activate(detector, *it);
}

void AttemptEnded(Detector& detector, AttemptId attempt, AttemptEnd end,
                  TimePoint now) {
  const auto known = detector.attempts.find(attempt);
  if (known == detector.attempts.end()) return;
  Server* server = FindServer(detector, known->second);
  detector.attempts.erase(known);
  if (detector.attempts.empty()) detector.recent.waiting_since.reset();
  if (server == nullptr) return;
  const auto it = std::find_if(
      server->in_flight.begin(), server->in_flight.end(),
      [&](const auto& flight) { return flight.attempt == attempt; });
  if (it == server->in_flight.end()) return;
  const Duration latency = now - it->started;
  server->in_flight.erase(it);
  Internal::CountAttempt(detector, now);
  if (!server->member.leaving) Observe(detector, *server, end, latency, now);
}

void ProbeEnded(Detector& detector, BackendServerId server, bool ok,
                TimePoint now) {
  Server* it = FindServer(detector, server);
  if (it == nullptr || it->member.leaving) return;
  const bool is_probation = it->state == ServerState::kProbation;
  it->next_action = is_probation ? now + kProbeInterval : it->next_action;
  it->suspect_probe_at = now + kProbeInterval;
  if (!ok) {
    Internal::Decay(it->own, now, DecayTime(detector, *it, now));
    const float weight =
        is_probation ? kFailedProbeScoreOnProbation : kFailedProbeScore;
    Internal::Add(it->own, {weight, 0}, MinSum(detector, *it));
    Activate(detector, *it);
  }
  // A good probe does not restore a server where real requests tell more.
  if (is_probation && !detector.has_idempotent_routes &&
      !detector.tuning.trials_allow_any_request) {
    it->passes = ok ? it->passes + 1 : 0;
  }
}

void ProbeUnanswered(Detector& detector, BackendServerId server,
                     Duration waited, TimePoint now) {
  Server* it = FindServer(detector, server);
  if (it == nullptr || it->member.leaving) return;
  if (it->state == ServerState::kProbation) {
    ProbeEnded(detector, server, false, now);
    return;
  }
  it->suspect_probe_at = now + kProbeInterval;
  // While no server gives good answers, this instance's own link may be at
  // fault.
  if (now - waited <= detector.recent.silent_at) return;
  Internal::Decay(it->own, now, DecayTime(detector, *it, now));
  Internal::Add(it->own,
                Internal::ScoreAttempt(detector.baseline, AttemptEnd::kTimeout,
                                       waited, waited, 0),
                MinSum(detector, *it));
  Activate(detector, *it);
}

std::vector<StateChange> Evaluate(Detector& detector, TimePoint now,
                                  Random& random) {
  std::vector<StateChange> changes;
  changes.swap(detector.pending);
  if (!Internal::IsAnswering(detector.recent, now)) {
    detector.recent.silent_at = now;
  }
  if (detector.active.empty()) return changes;
  const std::vector<Score> scores = ScoreActive(detector, now);
  const float threshold = CurrentThreshold(detector, scores, now);
  for (const auto i : HighestScoreFirst(scores)) {
    Server& server = detector.servers[detector.active[i]];
    const ServerState before = server.state;
    const bool is_new = !server.fails_fast && ShowsAnsweredFailures(server);
    server.fails_fast = server.fails_fast || is_new;
    UpdateState(detector, server, scores[i], threshold, now, random, changes);
    if (server.state == ServerState::kHealthy) server.fails_fast = false;
    const bool is_reported = server.state != before;
    if (is_new && !is_reported && server.state == ServerState::kLastResort) {
      changes.push_back({server.member.id, before, before,
                         Internal::DescribeCause(Internal::Cause::kFailsFast)});
    }
  }
  Internal::EnforceFloor(detector, now, changes);
  DropIdle(detector, scores);
  return changes;
}

ServerState StateOf(const Detector& detector, BackendServerId server) {
  const Server* it = FindServer(detector, server);
  return it == nullptr ? ServerState::kEjected : it->state;
}

std::vector<BackendServerId> ProbesDue(const Detector& detector,
                                       TimePoint now) {
  std::vector<BackendServerId> due;
  for (const auto index : detector.active) {
    const Server& it = detector.servers[index];
    if (NeedsProbe(detector, it, now)) due.push_back(it.member.id);
  }
  return due;
}

void SetUrgency(Detector& detector, bool is_urgent, bool lacks_servers) {
  detector.is_urgent = is_urgent;
  detector.lacks_servers = lacks_servers;
}

std::size_t CountFailedWithin(const Detector& detector, Duration time,
                              TimePoint now) {
  return static_cast<std::size_t>(
      std::ranges::count_if(detector.active, [&](std::uint32_t it) {
        const Server& server = detector.servers[it];
        return server.state != ServerState::kHealthy &&
               !server.member.leaving && now - server.failed_at <= time;
      }));
}

bool FailsFast(const Detector& detector, BackendServerId server) {
  const Server* it = FindServer(detector, server);
  return it != nullptr && (it->fails_fast || ShowsAnsweredFailures(*it));
}

std::vector<ServerReport> Report(const Detector& detector) {
  std::vector<ServerReport> reports;
  reports.reserve(detector.servers.size());
  for (const auto& it : detector.servers) {
    const float own =
        std::max({it.own.failures, it.own.slowness, it.own.answered_failures});
    const float peers = SumOfPeerEvidence(it.peer_evidence, detector.threshold,
                                          detector.tuning.answered_peer_cap);
    reports.push_back({it.member.id, it.state, double{own + peers},
                       Internal::DescribeCause(it.cause), it.since});
  }
  return reports;
}

}  // namespace ibisladder::detection
