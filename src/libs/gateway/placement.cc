// Places the attempts of calls on servers, and gives calls up that no server
// can take.
#include <algorithm>
#include <utility>

#include "libs/gateway/admission_calls.h"
#include "libs/gateway/authorisation.h"

namespace ibisladder::gateway::Internal {
namespace {

/// Minimum time until the deadline for which an attempt is made.
constexpr Duration kMinAttemptTime = Millis(30);
/// A request with more failed connects than this is given up. They don't count
/// against the route's attempts.
constexpr std::uint32_t kMaxConnectFailures = 3;
/// A request that got no permit of so many servers with limits is sent to one
/// without a limit, or refused.
constexpr std::uint32_t kMaxDenials = 4;
/// A hedge is sent after the target latency divided by this.
constexpr int kHedgeDivisor = 2;
/// Minimum time between searches for a hedge's server; free capacity changes
/// about that fast.
constexpr Duration kHedgeRetryInterval = Millis(100);

routing::RoutingRequest MakeRoutingRequest(const Call& call, CallId id,
                                           bool is_retry, bool not_executed) {
  routing::RoutingRequest request;
  request.call = id;
  request.priority = call.priority;
  request.repeat = call.route.repeat;
  request.deadline = call.deadline;
  request.is_retry = is_retry;
  request.after_shed = not_executed;
  request.tried = call.tried;
  return request;
}

}  // namespace

bool MayOutlastStop(const Context& context, const Call& call) {
  const auto& stop = context.forwarder.stop;
  return stop && MayBeCutOff(*stop, call.arrived_at, call.deadline,
                             call.route.target_latency, context.now);
}

void GiveUp(Context& context, CallId id, const routing::Refused& refused) {
  const bool is_hopeless = refused.code == ResultCode::kRequestCrashesServers;
  if (!is_hopeless && TryRelay(context, id)) return;
  Call& call = context.forwarder.calls.at(id);
  if (call.server_failure) {
    Finish(context, id, std::move(*call.server_failure));
  } else if (call.may_have_run) {
    AnswerWithCode(context, id, ResultCode::kServerConnectionLost,
                   Duration::zero());
  } else {
    AnswerWithCode(context, id, refused.code,
                   SpreadRetryAfter(context, call, refused));
  }
}

declarations::Priority PriorityOf(std::uint32_t priority) {
  if (priority == 0) return declarations::Priority::kHigh;
  return priority == 1 ? declarations::Priority::kNormal
                       : declarations::Priority::kLow;
}

void Send(Context& context, CallId id, const routing::Dispatch& dispatch) {
  Forwarder& forwarder = context.forwarder;
  Call& call = forwarder.calls.at(id);
  ServiceState& service = forwarder.services.at(call.service);
  const auto it = service.servers.find(dispatch.server);
  const AttemptId attempt(++forwarder.last_attempt);
  RecordTrialOf(context, id);
  CountAdmitted(context, call);
  call.is_queued = false;
  call.denials = 0;
  call.is_trial = dispatch.is_trial;
  call.tried.push_back(dispatch.server);
  call.in_flight.push_back(attempt);
  ++call.attempts;
  const bool leaves_zone = it->second.entry.zone != forwarder.settings.zone;
  forwarder.attempts[attempt] = {
      id, call.service, dispatch.server, context.now, false, leaves_zone, ""};
  detection::AttemptStarted(*service.detector, dispatch.server, attempt,
                            context.now);
  const ServerEntry& entry = it->second.entry;
  Log(context, LogEvent::kCallDispatched,
      {{"request", call.request->request_id},
       {"server", entry.name},
       {"attempt", std::to_string(call.attempts)},
       {"reason", dispatch.reason},
       {"waited_ms", FormatMillis(context.now - call.arrived_at)},
       {"left_ms", FormatMillis(call.deadline - context.now)}});
  forwarder.actions.emplace_back(
      SendAttempt{attempt, dispatch.server, entry.endpoint, entry.name,
                  call.request, call.deadline - context.now, leaves_zone,
                  std::nullopt, OrganisationFieldOf(forwarder, call)});
}

void PlaceAttempt(Context& context, CallId id, bool is_retry,
                  bool not_executed) {
  Forwarder& forwarder = context.forwarder;
  Call& call = forwarder.calls.at(id);
  const bool has_attempts = call.attempts < call.route.max_attempts &&
                            call.connect_failures <= kMaxConnectFailures;
  const bool has_time = call.deadline - context.now > kMinAttemptTime;
  const auto service = forwarder.services.find(call.service);
  if (!has_attempts || !has_time || service == forwarder.services.end()) {
    const ResultCode code = has_time ? ResultCode::kShedByServers
                                     : ResultCode::kDeadlineBeforeDispatch;
    GiveUp(context, id, {code, kDefaultRetryAfter});
    return;
  }
  if (MayOutlastStop(context, call)) {
    GiveUp(context, id, {ResultCode::kStopping, kStoppingRetryAfter});
    return;
  }
  if (const auto refused = CrashRefusal(context, id)) {
    GiveUp(context, id, *refused);
    return;
  }
  call.is_retry = is_retry;
  call.after_shed = not_executed;
  service->second.path.is_wanted = true;
  const bool is_admitted = std::exchange(call.is_admitted, false);
  if (service->second.path.lost_since && TryRelay(context, id)) return;
  if (is_retry && !is_admitted && AwaitsRetry(context, id)) return;
  const auto request = MakeRoutingRequest(call, id, is_retry, not_executed);
  ActOnPlacement(context, id,
                 routing::Place(*service->second.router, request, context.now,
                                forwarder.random));
}

void PlaceReleased(Context& context, CallId id) {
  Call& call = context.forwarder.calls.at(id);
  call.is_admitted = true;
  PlaceAttempt(context, id, call.is_retry, call.after_shed);
}

void PlaceAgain(Context& context, CallId id) {
  Forwarder& forwarder = context.forwarder;
  Call& call = forwarder.calls.at(id);
  if (call.deadline - context.now <= kMinAttemptTime) {
    GiveUp(context, id, {ResultCode::kServersLimited, kDefaultRetryAfter});
    return;
  }
  routing::RoutingRequest request =
      MakeRoutingRequest(call, id, call.is_retry, call.after_shed);
  request.is_replacement = true;
  request.avoids_limits = call.denials >= kMaxDenials;
  ActOnPlacement(context, id,
                 routing::Place(*forwarder.services.at(call.service).router,
                                request, context.now, forwarder.random));
}

void ActOnPlacement(Context& context, CallId id,
                    const routing::Placement& placement) {
  Call& call = context.forwarder.calls.at(id);
  if (const auto* dispatch = std::get_if<routing::Dispatch>(&placement)) {
    // It may have been known only since the call was queued.
    auto refused = CrashRefusal(context, id);
    if (!refused && MayOutlastStop(context, call))
      refused = {ResultCode::kStopping, kStoppingRetryAfter};
    if (refused) {
      call.is_queued = false;
      routing::CancelDispatch(
          *context.forwarder.services.at(call.service).router,
          dispatch->server);
      GiveUp(context, id, *refused);
      return;
    }
    if (dispatch->needs_permit) {
      AwaitPermit(context, id, *dispatch);
    } else {
      Send(context, id, *dispatch);
    }
  } else if (const auto* refused = std::get_if<routing::Refused>(&placement)) {
    call.is_queued = false;
    GiveUp(context, id, *refused);
  } else {
    call.is_queued = true;
    Log(context, LogEvent::kCallQueued,
        {{"request", call.request->request_id},
         {"left_ms", FormatMillis(call.deadline - context.now)}});
  }
}

bool RefuseBeforeStop(Context& context, CallId id) {
  Forwarder& forwarder = context.forwarder;
  Call& call = forwarder.calls.at(id);
  const bool waits = call.in_flight.empty() && !call.awaits_startup;
  if (!waits || !MayOutlastStop(context, call)) return false;
  if (std::exchange(call.is_queued, false)) {
    routing::RemoveQueued(*forwarder.services.at(call.service).router, id);
  }
  ReleasePermit(context, id);
  ReleaseAdmission(context, id);
  GiveUp(context, id, {ResultCode::kStopping, kStoppingRetryAfter});
  return true;
}

void TryHedge(Context& context, CallId id) {
  Forwarder& forwarder = context.forwarder;
  Call& call = forwarder.calls.at(id);
  const bool may_hedge = !MayOutlastStop(context, call) &&
                         call.route.repeat == RepeatRule::kIdempotent &&
                         !call.caller_left && !call.is_streaming &&
                         call.in_flight.size() == 1 &&
                         call.attempts < call.route.max_attempts;
  if (!may_hedge || MayHaveCrashed(context, id)) return;
  const Attempt& first = forwarder.attempts.at(call.in_flight.front());
  if (!first.peer.empty()) return;
  ServiceState& service = forwarder.services.at(call.service);
  const bool is_ejected = detection::StateOf(*service.detector, first.server) ==
                          detection::ServerState::kEjected;
  const Duration age = context.now - first.sent_at;
  if (!is_ejected && age < call.route.target_latency / kHedgeDivisor) return;
  if (context.now - call.hedge_tried_at < kHedgeRetryInterval) return;
  call.hedge_tried_at = context.now;
  routing::RoutingRequest request = MakeRoutingRequest(call, id, true, false);
  request.is_hedge = true;
  request.avoids_limits = true;
  const auto placement =
      routing::Place(*service.router, request, context.now, forwarder.random);
  if (const auto* dispatch = std::get_if<routing::Dispatch>(&placement)) {
    ++forwarder.counters.second_attempts["slow"];
    Send(context, id, *dispatch);
  } else if (std::holds_alternative<routing::Queued>(placement)) {
    // The first attempt continues, so a queued hedge would gain nothing.
    routing::RemoveQueued(*service.router, id);
  }
}

}  // namespace ibisladder::gateway::Internal
