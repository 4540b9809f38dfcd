// Exchanges evidence about servers with the other instances, and coordinates
// trials of servers that fail.
#include <algorithm>

#include "libs/gateway/forwarder_state.h"

namespace ibisladder::gateway::Internal {
namespace {

/// Receivers discard peers' digests after 2.5 s, so one datagram may be lost.
constexpr Duration kShareInterval = Seconds(1);
/// Maximum number of digests of one service that are sent at a time.
constexpr std::size_t kMaxDigests = 16;
/// Minimum score of digests that are sent, in 1/16 nat (log-likelihood ratio).
/// Lower scores often arise by chance. Since scores are sent only when they
/// count against a server, the random deviations of many instances would add
/// up.
constexpr std::int16_t kMinSharedScore = 64;

/// The same for a single failure where trials are coordinated, since receivers
/// count it only together with a failure of their own.
constexpr std::int16_t kMinSharedScoreOfFailure = 32;
/// When a passed trial is reported again.
constexpr Duration kRepeatInterval = Millis(700);
/// A server that was seen to fail so recently has not recovered.
constexpr Duration kKnownFailingTime = Seconds(2);

/// Whether the evidence may come from this instance's own link, which says
/// nothing about the server.
bool IsOwnPathBlamed(const ServiceState& service,
                     const detection::Digest& digest) {
  return !digest.is_answered && IsPathDoubtful(service.path);
}

/// Returns which instances try the server.
Keepers OwnersOf(const Forwarder& forwarder, BackendServerId server) {
  return KeepersOf(server, forwarder.directory_state.advertised);
}

}  // namespace

detection::TrialRole TrialRoleOf(const Forwarder& forwarder,
                                 BackendServerId server) {
  if (!forwarder.has_competing_callers) {
    return detection::TrialRole::kUncoordinated;
  }
  const DirectoryState& directory = forwarder.directory_state;
  // Before the instances are known, this one counts as the only one.
  if (directory.advertised.empty()) return detection::TrialRole::kFirstOwner;
  const Keepers owners = OwnersOf(forwarder, server);
  switch (RankOf(owners, directory.self)) {
    case KeeperRank::kFirst:
      return detection::TrialRole::kFirstOwner;
    case KeeperRank::kFallback:
      return detection::TrialRole::kSecondOwner;
    case KeeperRank::kNone:
      break;
  }
  return detection::TrialRole::kOther;
}

std::vector<LogField> TrialFields(const Forwarder& forwarder,
                                  BackendServerId server) {
  const DirectoryState& directory = forwarder.directory_state;
  if (!forwarder.has_competing_callers || directory.advertised.empty())
    return {};
  const Keepers owners = OwnersOf(forwarder, server);
  return {{"owner", owners.first}, {"second_owner", owners.fallback}};
}

void ReportChange(Context& context, ServiceState& service,
                  const detection::StateChange& change) {
  const ServiceId id = MakeServiceId(service.settings.name);
  const bool has_passed = detection::IsOnTrial(change.from) &&
                          change.to == detection::ServerState::kHealthy;
  if (has_passed && change.is_own_evidence) {
    context.forwarder.actions.emplace_back(ShareEvidence{
        {detection::MakeProbationPassedDigest(id, change.server)}});
    if (context.forwarder.has_competing_callers) {
      service.passed.emplace_back(context.now + kRepeatInterval, change.server);
    }
  }
  if (change.is_verdict) {
    context.forwarder.actions.emplace_back(
        ShareEvidence{{detection::MakeVerdictDigest(id, change.server)}});
  }
}

void ShareDueEvidence(Context& context, ServiceId id, ServiceState& service) {
  if (context.now - service.evidence_shared_at < kShareInterval) return;
  auto digests =
      detection::OwnDigests(*service.detector, id, kMaxDigests, context.now);
  // Evidence against servers that are out of regular service here has been sent
  // before. Sending it again would delay the other instances' trials, and
  // theirs would delay the trials here.
  std::erase_if(digests, [&](const auto& it) {
    return it.score < kMinSharedScore ||
           detection::StateOf(*service.detector, it.server) !=
               detection::ServerState::kHealthy ||
           IsOwnPathBlamed(service, it);
  });
  if (digests.empty()) return;
  service.evidence_shared_at = context.now;
  context.forwarder.actions.emplace_back(ShareEvidence{std::move(digests)});
}

void ShareEvidenceOf(Context& context, ServiceId id, ServiceState& service,
                     BackendServerId server) {
  const auto digest =
      detection::OwnDigest(*service.detector, id, server, context.now);
  const bool is_coordinated = context.forwarder.has_competing_callers;
  const std::int16_t min_score =
      is_coordinated ? kMinSharedScoreOfFailure : kMinSharedScore;
  if (!digest || digest->score < min_score ||
      IsOwnPathBlamed(service, *digest)) {
    return;
  }
  // The verdict has told it.
  const bool is_told = is_coordinated && digest->is_answered &&
                       detection::StateOf(*service.detector, server) !=
                           detection::ServerState::kHealthy;
  if (is_told) return;
  context.forwarder.actions.emplace_back(ShareEvidence{{*digest}});
}

void UpdateTrials(Context& context, ServiceId id, ServiceState& service) {
  if (!context.forwarder.has_competing_callers) {
    routing::SetKnownFailing(*service.router, 0);
    return;
  }
  routing::SetKnownFailing(
      *service.router, detection::CountFailedWithin(
                           *service.detector, kKnownFailingTime, context.now));
  detection::SetUrgency(
      *service.detector,
      routing::NeedsServersUrgently(*service.router, context.now),
      routing::IsBelowFloor(*service.router));
  std::erase_if(service.passed, [&](const auto& it) {
    const auto& [due, server] = it;
    if (context.now < due) return false;
    const bool is_sound =
        detection::StateOf(*service.detector, server) ==
            detection::ServerState::kHealthy &&
        !detection::OwnDigest(*service.detector, id, server, context.now);
    if (is_sound) {
      context.forwarder.actions.emplace_back(
          ShareEvidence{{detection::MakeProbationPassedDigest(id, server)}});
    }
    return true;
  });
}

}  // namespace ibisladder::gateway::Internal
