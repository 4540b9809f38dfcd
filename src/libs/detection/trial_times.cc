#include "libs/detection/trial_times.h"

#include <algorithm>

namespace ibisladder::detection::Internal {
namespace {

/// Probability that an outage has ended at which a server is tried; lower if
/// servers are needed urgently.
constexpr double kEndedChance = 0.35;
constexpr double kEndedChanceUrgent = 0.2;
/// Longest wait if servers are needed urgently.
constexpr Duration kMaxUrgentWait = Seconds(1);
/// How much later than the first owner the second one tries. Failed and passed
/// trials are reported within one answer and one way.
constexpr Duration kSecondOwnerDelay = Millis(1500);
/// Time without news of a server after which its owners count as lost, and the
/// part of it by which it varies between instances.
constexpr Duration kOwnersLostTime = Seconds(12);
constexpr double kOwnersLostSpread = 0.5;
/// Evidence of failures, in nats, that counts as news of a server.
constexpr float kNewsScore = 3;
/// Number of peers whose links are not all at fault.
constexpr int kMinUnansweredPeers = 2;
/// Requests a second to a server, before any have been counted and at least.
constexpr double kFirstRate = 1;
constexpr double kMinRate = 1;

Duration Scaled(Duration duration, double factor) {
  return Micros(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

Duration OwnersWait(const Detector& detector, const Server& server) {
  const Duration failing_for = server.failed_at - server.failing_since;
  if (!detector.is_urgent) {
    return WaitBeforeTrial(detector.outages, failing_for, kEndedChance);
  }
  return std::min(
      WaitBeforeTrial(detector.outages, failing_for, kEndedChanceUrgent),
      kMaxUrgentWait);
}

}  // namespace

bool IsCoordinated(const Server& server) {
  return server.member.trial_role != TrialRole::kUncoordinated;
}

void RecordFailing(Server& server, TimePoint now, Random& random) {
  if (server.state == ServerState::kHealthy) {
    server.failing_since = now;
    server.is_shared_view = false;
    server.spread = static_cast<float>(UniformUnit(random));
  }
  server.failed_at = now;
  server.prolonged_at = now;
  const bool is_reported = std::ranges::any_of(
      server.peer_evidence,
      [](const PeerEvidence& it) { return it.score >= kNewsScore; });
  server.is_shared_view =
      server.is_shared_view || is_reported || server.own.answered_failures > 0;
}

void RecordPeersFailures(Server& server, TimePoint now) {
  int unanswered = 0;
  bool is_answered = false;
  for (const PeerEvidence& it : server.peer_evidence) {
    if (it.score < kNewsScore || it.heard <= server.prolonged_at) continue;
    is_answered = is_answered || it.is_answered;
    if (!it.is_answered) ++unanswered;
  }
  if (!is_answered && unanswered < kMinUnansweredPeers) return;
  server.failed_at = now;
  server.prolonged_at = now;
  server.is_shared_view = true;
}

void RecordRecovery(Detector& detector, const Server& server, TimePoint now) {
  const bool is_begin_known = server.failing_since != TimePoint();
  if (!IsCoordinated(server) || !is_begin_known) return;
  RecordOutage(detector.outages, server.failed_at - server.failing_since,
               now - server.failing_since);
}

bool IsTrialDue(const Detector& detector, const Server& server, TimePoint now) {
  if (detector.lacks_servers && now >= server.next_action) return true;
  const Duration wait = OwnersWait(detector, server);
  TrialRole role = server.member.trial_role;
  if (!server.is_shared_view) role = TrialRole::kFirstOwner;
  switch (role) {
    case TrialRole::kUncoordinated:
    case TrialRole::kFirstOwner:
      return now >= server.failed_at + wait;
    case TrialRole::kSecondOwner:
      return now >= server.failed_at + wait + kSecondOwnerDelay;
    case TrialRole::kOther:
      break;
  }
  const double factor = 1 + kOwnersLostSpread * server.spread;
  return now >= server.failed_at + Scaled(kOwnersLostTime, factor);
}

double RequestsPerServerSecond(const Detector& detector) {
  if (detector.rate <= 0) return kFirstRate;
  const auto instances = static_cast<double>(detector.tuning.instances);
  const auto servers = static_cast<double>(detector.servers.size());
  return std::max(kMinRate, detector.rate * instances / std::max(servers, 1.0));
}

}  // namespace ibisladder::detection::Internal
