#include "libs/gateway/forwarder.h"

#include <algorithm>
#include <utility>

#include "libs/gateway/admission_calls.h"
#include "libs/gateway/forwarder_state.h"

namespace ibisladder::gateway {

using Internal::Context;

namespace {

constexpr Duration kEvaluateInterval = Millis(100);

void PumpQueues(Context& context) {
  for (auto& [id, service] : context.forwarder.services) {
    const auto placed =
        routing::Pump(*service.router, context.now, context.forwarder.random);
    for (const auto& it : placed) {
      if (!context.forwarder.calls.contains(it.call)) continue;
      Internal::ActOnPlacement(context, it.call, it.placement);
    }
    Internal::PlaceAdmitted(context, service);
  }
}

void EvaluateAll(Context& context) {
  if (context.now - context.forwarder.evaluated_at < kEvaluateInterval) return;
  Internal::UpdateNotices(context, context.forwarder.evaluated_at);
  context.forwarder.evaluated_at = context.now;
  ForgetOld(context.forwarder.crashes, context.now);
  for (auto& [id, service] : context.forwarder.services) {
    Internal::UpdateTrials(context, id, service);
    Internal::Evaluate(context, service);
    Internal::ShareDueEvidence(context, id, service);
    Internal::SendDueProbes(context, service);
  }
  Internal::SharePressureIfDue(context);
}

void CheckCalls(Context& context) {
  std::vector<CallId> due;
  std::vector<CallId> running;
  for (const auto& [id, call] : context.forwarder.calls) {
    (context.now >= call.deadline ? due : running).push_back(id);
  }
  for (const CallId it : due) {
    // The end of one call may have ended another one.
    if (!context.forwarder.calls.contains(it)) continue;
    Internal::HandleDeadline(context, it);
  }
  for (const CallId it : running) {
    if (!context.forwarder.calls.contains(it)) continue;
    if (Internal::RefuseBeforeStop(context, it)) continue;
    Internal::TryHedge(context, it);
  }
}

}  // namespace

const char* FailureName(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kConnectFailed:
      return "connect_failed";
    case AttemptFailure::kConnectionLost:
      return "connection_lost";
    case AttemptFailure::kTruncated:
      return "truncated";
    case AttemptFailure::kTimeout:
      return "timeout";
  }
  return "unknown";
}

namespace Internal {

void Log(Context& context, LogEvent event, std::vector<LogField> fields) {
  context.forwarder.actions.emplace_back(LogLine{event, std::move(fields)});
}

std::string FormatMillis(Duration duration) {
  return std::to_string(ToMillis(duration));
}

}  // namespace Internal

void ForwarderDeleter::operator()(Forwarder* it) const { delete it; }

ForwarderPtr MakeForwarder(const ForwarderSettings& settings, TimePoint now) {
  ForwarderPtr forwarder(new Forwarder);
  forwarder->settings = settings;
  forwarder->random.seed(settings.seed);
  forwarder->evaluated_at = now;
  forwarder->start_deadline = now + settings.start_timeout;
  forwarder->quotas.settings = settings.quota;
  // So that replies to questions of an earlier process are not taken for its
  // own.
  Random numbers(settings.seed + 1);
  forwarder->quotas.last_number = numbers() >> 2U;
  forwarder->quotas.keeper.last_check = numbers() >> 2U;
  forwarder->quotas.keeper.starts.incarnation = settings.incarnation;
  forwarder->quotas.keeper.starts.started_at = now;
  return forwarder;
}

void InstallConfiguration(Forwarder& forwarder, ConfigurationPtr configuration,
                          TimePoint now) {
  const bool is_newer =
      !forwarder.routes ||
      configuration->version > forwarder.routes->configuration->version;
  if (!is_newer) return;
  const ConfigurationPtr before = CurrentConfiguration(forwarder);
  if (forwarder.routes) {
    ReplaceConfiguration(*forwarder.routes, std::move(configuration),
                         forwarder.random);
  } else {
    forwarder.routes =
        MakeRouteTable(std::move(configuration), forwarder.random);
  }
  InstallOrganisations(forwarder.keys, forwarder.routes->configuration,
                       forwarder.settings.seed);
  Context context{forwarder, now};
  Internal::ApplyConfiguration(context, before.get());
  Internal::ApplyQuotas(context);
  Internal::RouteWaitingCalls(context);
  PumpQueues(context);
}

void SetServers(Forwarder& forwarder, std::span<const ServerEntry> entries,
                TimePoint now) {
  forwarder.entries.assign(entries.begin(), entries.end());
  forwarder.has_servers = true;
  Context context{forwarder, now};
  Internal::ApplyServers(context);
  Internal::RouteWaitingCalls(context);
  PumpQueues(context);
}

void SetDirectoryState(Forwarder& forwarder, const DirectoryState& state,
                       TimePoint now) {
  if (forwarder.directory_state == state) return;
  limits::SetMembers(forwarder.quotas, state.self, state.members, now);
  std::erase_if(forwarder.peer_states, [&](const auto& it) {
    return it.second.in_flight == 0 &&
           std::ranges::find(state.peers, it.first, &Peer::name) ==
               state.peers.end();
  });
  DirectoryState before = std::exchange(forwarder.directory_state, state);
  before.members = state.members;
  before.peers = state.peers;
  if (!forwarder.has_competing_callers) before.advertised = state.advertised;
  Context context{forwarder, now};
  // Calls of organisations with a quota wait for the list after a start.
  Internal::RouteWaitingCalls(context);
  // Routers do not use the lists of instances.
  if (!forwarder.routes || before == state) return;
  for (auto& [id, service] : forwarder.services) {
    // The owners of trials may have changed.
    if (forwarder.has_competing_callers) {
      Internal::SetDetectorServers(context, service);
    }
    Internal::RefreshRouter(context, service);
  }
}

void SetKeyStanding(Forwarder& forwarder, const KeyStanding& standing) {
  forwarder.keys.standing = standing;
}

void PrepareToStop(Forwarder& forwarder, const PlannedStop& stop) {
  forwarder.stop = stop;
}

void StopAccepting(Forwarder& forwarder) { forwarder.is_stopping = true; }

void RequestArrived(Forwarder& forwarder, CallerRequest request,
                    TimePoint now) {
  Context context{forwarder, now};
  Internal::Accept(context, std::move(request));
  PumpQueues(context);
}

void CallersLeft(Forwarder& forwarder, std::span<const CallId> calls,
                 TimePoint now) {
  Context context{forwarder, now};
  for (const CallId it : calls) Internal::HandleCallerLeft(context, it);
  PumpQueues(context);
}

void CallerLeft(Forwarder& forwarder, CallId call, TimePoint now) {
  CallersLeft(forwarder, {&call, 1}, now);
}

void AnswerStarted(Forwarder& forwarder, AttemptId attempt, ServerAnswer head,
                   TimePoint now) {
  Context context{forwarder, now};
  Internal::HandleAnswerStart(context, attempt, std::move(head));
  PumpQueues(context);
}

void HoldUpStream(Forwarder& forwarder, CallId call, bool is_held_up,
                  TimePoint now) {
  const auto it = forwarder.calls.find(call);
  if (it == forwarder.calls.end()) return;
  const bool was_held_up = std::exchange(it->second.is_held_up, is_held_up);
  if (was_held_up) it->second.held_up_until = now;
}

void AttemptAnswered(Forwarder& forwarder, AttemptId attempt,
                     ServerAnswer answer, TimePoint now) {
  Context context{forwarder, now};
  Internal::HandleAnswer(context, attempt, std::move(answer));
  PumpQueues(context);
}

void AttemptFailed(Forwarder& forwarder, AttemptId attempt,
                   AttemptFailure failure, std::optional<TimePoint> opened_at,
                   TimePoint now) {
  Context context{forwarder, now};
  Internal::HandleFailure(context, attempt, failure, opened_at);
  PumpQueues(context);
}

void ProbeEnded(Forwarder& forwarder, BackendServerId server, bool ok,
                TimePoint now) {
  Context context{forwarder, now};
  for (auto& [id, service] : forwarder.services) {
    if (!service.servers.contains(server)) continue;
    detection::ProbeEnded(*service.detector, server, ok, now);
    Internal::Evaluate(context, service);
  }
}

void MergeEvidence(Forwarder& forwarder, InstanceId peer,
                   std::span<const detection::Digest> digests, TimePoint now) {
  Context context{forwarder, now};
  for (auto& [id, service] : forwarder.services) {
    std::vector<detection::Digest> of_service;
    for (const auto& it : digests) {
      if (it.service == id) of_service.push_back(it);
    }
    if (of_service.empty()) continue;
    detection::MergePeerDigests(*service.detector, peer, of_service, now);
    Internal::Evaluate(context, service);
  }
}

void PermitRequested(Forwarder& forwarder, const Endpoint& peer,
                     const PermitRequest& request, TimePoint now) {
  Context context{forwarder, now};
  Internal::HandlePermitRequest(context, peer, request);
}

void PermitReplied(Forwarder& forwarder, const PermitReply& reply,
                   TimePoint now) {
  Context context{forwarder, now};
  Internal::HandlePermitReply(context, reply);
  PumpQueues(context);
}

void CreditRequested(Forwarder& forwarder, const Endpoint& peer,
                     const limits::CreditRequest& request, TimePoint now) {
  Context context{forwarder, now};
  Internal::HandleCreditRequest(context, peer, request);
}

void CreditReplied(Forwarder& forwarder, const limits::CreditReply& reply,
                   TimePoint now) {
  Context context{forwarder, now};
  Internal::HandleCreditReply(context, reply);
  PumpQueues(context);
}

void ProcessStarted(Forwarder& forwarder, const limits::ProcessStart& start,
                    TimePoint now) {
  Context context{forwarder, now};
  Internal::HandleProcessStart(context, start);
}

void MergeLimits(Forwarder& forwarder, std::span<const LimitNews> news,
                 TimePoint now) {
  Context context{forwarder, now};
  Internal::MergeNews(context, news);
  PumpQueues(context);
}

std::vector<LimitNews> KnownLimits(const Forwarder& forwarder, TimePoint now) {
  return Internal::CollectNews(forwarder, now);
}

void MergeCrashes(Forwarder& forwarder, const CrashMessage& message,
                  TimePoint now) {
  Context context{forwarder, now};
  Internal::MergeCrashMessage(context, message);
}

std::size_t CountLimitedOrganisations(const Forwarder& forwarder) {
  return static_cast<std::size_t>(std::ranges::count_if(
      forwarder.quotas.credits,
      [](const auto& it) { return it.second.limited_at.has_value(); }));
}

CrashMessage KnownCrashes(const Forwarder& forwarder, TimePoint now) {
  return {RepeatedLosses(forwarder.crashes, now), {}, {}};
}

void MergePressure(Forwarder& forwarder,
                   const admission::PressureMessage& message, TimePoint now) {
  Context context{forwarder, now};
  Internal::MergePressureMessage(context, message);
  PumpQueues(context);
}

void MergeLeaving(Forwarder& forwarder,
                  std::span<const BackendServerId> servers, TimePoint now) {
  Context context{forwarder, now};
  Internal::MergeLeavingServers(context, servers);
  PumpQueues(context);
}

void PathTested(Forwarder& forwarder, BackendServerId server, bool is_open,
                TimePoint now) {
  Context context{forwarder, now};
  Internal::HandlePathTest(context, server, is_open);
  PumpQueues(context);
}

void MergePaths(Forwarder& forwarder, const std::string& peer,
                std::span<const ServiceId> lost, TimePoint now) {
  /// Longer than two of the intervals at which it is told.
  constexpr Duration kLostTime = Seconds(25);
  const auto& peers = forwarder.directory_state.peers;
  if (std::ranges::find(peers, peer, &Peer::name) == peers.end()) return;
  Internal::PeerState& state = forwarder.peer_states[peer];
  state.lost = {lost.begin(), lost.end()};
  state.lost_until = now + kLostTime;
}

std::vector<BackendServerId> KnownLeaving(const Forwarder& forwarder) {
  return Internal::CollectLeaving(forwarder);
}

std::size_t CountSuspected(const Forwarder& forwarder) {
  return forwarder.crashes.requests.size();
}

std::size_t CountRefused(const Forwarder& forwarder, TimePoint now) {
  return CountRefused(forwarder.crashes, now);
}

void Tick(Forwarder& forwarder, TimePoint now) {
  Context context{forwarder, now};
  CheckCalls(context);
  Internal::CheckPermits(context);
  Internal::UpdateQuotas(context);
  Internal::CheckPaths(context);
  EvaluateAll(context);
  PumpQueues(context);
}

std::vector<Action> TakeActions(Forwarder& forwarder) {
  return std::exchange(forwarder.actions, {});
}

bool HasConfiguration(const Forwarder& forwarder) {
  return forwarder.routes.has_value();
}

ConfigurationPtr CurrentConfiguration(const Forwarder& forwarder) {
  return forwarder.routes ? forwarder.routes->configuration : nullptr;
}

std::optional<CallId> CallOf(const Forwarder& forwarder, AttemptId attempt) {
  const auto it = forwarder.attempts.find(attempt);
  return it == forwarder.attempts.end() ? std::nullopt
                                        : std::optional(it->second.call);
}

bool IsRelay(const Forwarder& forwarder, AttemptId attempt) {
  const auto it = forwarder.attempts.find(attempt);
  return it != forwarder.attempts.end() && !it->second.peer.empty();
}

std::vector<std::string> LostPaths(const Forwarder& forwarder) {
  std::vector<std::string> names;
  for (const auto& [id, service] : forwarder.services) {
    if (service.path.lost_since) names.push_back(service.settings.name);
  }
  return names;
}

bool LeavesZone(const Forwarder& forwarder, AttemptId attempt) {
  const auto it = forwarder.attempts.find(attempt);
  return it != forwarder.attempts.end() && it->second.leaves_zone;
}

std::size_t OpenCalls(const Forwarder& forwarder) {
  return forwarder.calls.size();
}

const ForwarderCounters& CountersOf(const Forwarder& forwarder) {
  return forwarder.counters;
}

std::map<std::string, routing::ServerCounts> CountServers(
    const Forwarder& forwarder, TimePoint now) {
  std::map<std::string, routing::ServerCounts> counts;
  for (const auto& [id, service] : forwarder.services) {
    if (!service.is_configured) continue;
    counts[service.settings.name] = routing::CountServers(*service.router, now);
  }
  return counts;
}

}  // namespace ibisladder::gateway
