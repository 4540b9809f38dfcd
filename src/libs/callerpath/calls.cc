// Arriving and abandoned calls: checks, admission and relay to the home
// instance.
#include <algorithm>

#include "libs/callerpath/path_state.h"
#include "libs/callerpath/replies.h"

namespace ibisladder::callerpath::Internal {
namespace {

/// Subtracted from the timeout of a relayed call, so that the home's answer
/// that the deadline has passed arrives before the caller's deadline.
constexpr Duration kRelayMargin = Millis(20);
/// For relayed calls: zero would select the route's default.
constexpr Duration kMinTimeout = Millis(1);

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

const declarations::Route* RouteOf(const CallerPath& path,
                                   const CallRequest& request) {
  if (!path.configuration) return nullptr;
  return declarations::FindRoute(*path.configuration, request.method,
                                 PathOf(request.target));
}

const declarations::Service* ServiceOf(const CallerPath& path,
                                       const declarations::Route& route) {
  return declarations::FindService(*path.configuration,
                                   MakeServiceId(route.service));
}

Duration TimeoutOf(const CallRequest& request, const declarations::Route& route,
                   const declarations::Service& service) {
  const Duration asked =
      request.timeout > Duration::zero() ? request.timeout : route.deadline;
  return std::min(asked, service.max_deadline);
}

void AddWaiter(Context& context, ExecutionId execution, CallId id,
               TimePoint deadline) {
  Call call;
  call.kind = Call::Kind::kWaiting;
  call.execution = execution;
  call.deadline = deadline;
  call.request_id = context.path.executions.at(execution).request.request_id;
  context.path.calls.emplace(id, std::move(call));
  context.path.executions.at(execution).waiters.push_back(id);
  SetCallTimer(context.path, id, deadline);
}

/// Reason to refuse a request before it is placed; kDone when there is none.
struct Refusal {
  ResultCode code = ResultCode::kDone;
  std::optional<Duration> retry_after;
};

Refusal CheckOrganisation(Context& context, Execution& execution) {
  CallerPath& path = context.path;
  const auto* declared = declarations::FindOrganisation(*path.configuration,
                                                        execution.organisation);
  if (declared == nullptr) return {};
  if (const auto refused = routing::TakeRequest(
          *path.limits, *declared, execution.organisation, context.random)) {
    return {refused->code, refused->retry_after};
  }
  execution.is_counted = declared->max_in_flight > 0;
  return {};
}

Refusal CheckExecution(Context& context, Execution& execution,
                       const declarations::Route* route,
                       const declarations::Service* service) {
  const CallerPath& path = context.path;
  if (!path.configuration) return {ResultCode::kNotReady, {}};
  if (IsStopped(path, context.now)) return {ResultCode::kStopping, {}};
  if (route == nullptr || service == nullptr) return {ResultCode::kNoRoute, {}};
  if (execution.request.body.size() > service->max_request_bytes) {
    return {ResultCode::kRequestTooLarge, {}};
  }
  return CheckOrganisation(context, execution);
}

/// Makes an id for a request whose caller sent none.
std::string GenerateRequestId(const CallerPath& path, CallId call) {
  return "i" + std::to_string(path.settings.instance.value()) + "-" +
         std::to_string(path.settings.incarnation.value()) + "-" +
         std::to_string(call.value());
}

/// Executes a request that this instance may run. `id` is set for an
/// at-most-once request, which must have a record by then.
void StartExecution(Context& context, CallId call, const CallRequest& request,
                    std::optional<requests::RequestId> id) {
  CallerPath& path = context.path;
  const declarations::Route* route = RouteOf(path, request);
  const declarations::Service* service =
      route != nullptr ? ServiceOf(path, *route) : nullptr;
  Execution execution;
  execution.request = request;
  if (request.request_id.empty())
    execution.request.request_id = GenerateRequestId(path, call);
  execution.id = std::move(id);
  execution.organisation = MakeOrganisationId(request.organisation);
  execution.deadline = context.now;
  if (route != nullptr && service != nullptr) {
    execution.service = MakeServiceId(service->name);
    execution.priority = route->priority;
    execution.max_answer_bytes = service->max_answer_bytes;
    execution.deadline = context.now + TimeoutOf(request, *route, *service);
  }
  if (execution.id) path.executions_by_id[request.request_id] = call;
  const TimePoint deadline = execution.deadline;
  path.executions.emplace(call, std::move(execution));
  SetExecutionTimer(path, call, deadline);
  AddWaiter(context, call, call, deadline);
  const Refusal refusal =
      CheckExecution(context, path.executions.at(call), route, service);
  if (refusal.code != ResultCode::kDone) {
    GiveUp(context, call, refusal.code, refusal.retry_after);
    return;
  }
  if (TakeCredit(context, call)) {
    PlaceExecution(context, call, /*is_retry=*/false);
  }
}

/// Attaches a repeated id to its unfinished execution, or answers it from its
/// record.
void JoinOrRepeat(Context& context, const CallArrived& event,
                  const requests::Record& record) {
  CallerPath& path = context.path;
  const std::string& id = event.request.request_id;
  Log(context, LogEvent::kCallJoined, {{"request", id}});
  ++path.counters.joined;
  const auto it = path.executions_by_id.find(id);
  if (it == path.executions_by_id.end()) {
    FinishCall(context, event.call, AnswerFromRecord(context, record));
    return;
  }
  const Duration longest = path.longest_deadline;
  const Duration timeout = event.request.timeout > Duration::zero()
                               ? std::min(event.request.timeout, longest)
                               : longest;
  AddWaiter(context, it->second, event.call, context.now + timeout);
}

void HandleLocalId(Context& context, const CallArrived& event,
                   const requests::RequestId& id) {
  const CallRequest& request = event.request;
  const auto fingerprint = requests::MakeFingerprint(
      request.method, request.target, request.organisation, request.body);
  const auto admission = requests::Admit(context.path.table, id, fingerprint);
  if (const auto* it = std::get_if<requests::Repeated>(&admission)) {
    JoinOrRepeat(context, event, *it->record);
    return;
  }
  if (const auto* it = std::get_if<requests::Rejected>(&admission)) {
    LogAnswer(context, request.request_id, it->code);
    FinishCall(context, event.call,
               MakeReply(it->code, RetryAfterOf(it->code, context.random)));
    return;
  }
  StartExecution(context, event.call, request, id);
}

/// Relays a call to its home instance: no other instance may run or refuse the
/// id.
void RelayToHome(Context& context, const CallArrived& event,
                 const requests::RequestId& id) {
  CallerPath& path = context.path;
  const FleetMember* home = FindFleetMember(path, id.ticket.instance);
  if (event.relayed_by || home == nullptr) {
    LogAnswer(context, event.request.request_id, ResultCode::kHomeUnreachable);
    FinishCall(
        context, event.call,
        MakeReply(ResultCode::kHomeUnreachable,
                  RetryAfterOf(ResultCode::kHomeUnreachable, context.random)));
    return;
  }
  const Duration longest = path.longest_deadline;
  const Duration timeout = event.request.timeout > Duration::zero()
                               ? std::min(event.request.timeout, longest)
                               : longest;
  CallRequest request = event.request;
  // The home applies the route's default deadline to a call without its own.
  if (request.timeout > Duration::zero()) {
    request.timeout = std::max(timeout - kRelayMargin, kMinTimeout);
  }
  Call call;
  call.kind = Call::Kind::kRelayed;
  call.deadline = context.now + timeout;
  call.request_id = request.request_id;
  path.calls.emplace(event.call, std::move(call));
  SetCallTimer(path, event.call, context.now + timeout);
  ++path.counters.relayed;
  Log(context, LogEvent::kCallRelayed,
      {{"request", request.request_id},
       {"home", std::to_string(home->instance.value())}});
  context.actions.emplace_back(RelayCall{
      event.call, home->instance, home->peer_endpoint, std::move(request)});
}

/// Returns why a request that is idempotent or has no valid request id cannot
/// run; kDone when it can.
ResultCode CheckWithoutTicket(const CallerPath& path,
                              const CallRequest& request,
                              const declarations::Route* route) {
  if (!path.configuration) return ResultCode::kNotReady;
  if (route == nullptr) return ResultCode::kNoRoute;
  if (route->repeat == declarations::RepeatRule::kIdempotent) {
    return ResultCode::kDone;
  }
  return request.request_id.empty() ? ResultCode::kTicketMissing
                                    : ResultCode::kTicketInvalid;
}

}  // namespace

void HandleCallArrived(Context& context, const CallArrived& event) {
  CallerPath& path = context.path;
  ++path.counters.calls;
  const declarations::Route* route = RouteOf(path, event.request);
  const bool is_idempotent =
      route != nullptr &&
      route->repeat == declarations::RepeatRule::kIdempotent;
  const auto id = requests::ParseRequestId(event.request.request_id);
  if (id && !is_idempotent) {
    // Relayed even when no route is known here: only the home may answer *not
    // run*.
    if (id->ticket.instance == path.settings.instance) {
      HandleLocalId(context, event, *id);
    } else {
      RelayToHome(context, event, *id);
    }
    return;
  }
  if (const ResultCode code = CheckWithoutTicket(path, event.request, route);
      code != ResultCode::kDone) {
    LogAnswer(context, event.request.request_id, code);
    FinishCall(context, event.call,
               MakeReply(code, RetryAfterOf(code, context.random)));
    return;
  }
  StartExecution(context, event.call, event.request, std::nullopt);
}

void HandleCallAbandoned(Context& context, const CallAbandoned& event) {
  CallerPath& path = context.path;
  const auto it = path.calls.find(event.call);
  if (it == path.calls.end()) return;
  const Call call = it->second;
  Log(context, LogEvent::kCallCancelled, {{"request", call.request_id}});
  ForgetCall(path, event.call);
  if (call.kind != Call::Kind::kWaiting) return;
  Execution& execution = path.executions.at(call.execution);
  std::erase(execution.waiters, event.call);
  if (!execution.waiters.empty()) return;
  if (!execution.id) {
    GiveUp(context, call.execution,
           execution.attempt ? ResultCode::kCancelledAfterDispatch
                             : ResultCode::kCancelledBeforeDispatch);
    return;
  }
  // A dispatched at-most-once request continues: the caller may return with its
  // id and ask for the outcome, which cancelling would leave unknown.
  if (!execution.attempt) {
    GiveUp(context, call.execution, ResultCode::kCancelledBeforeDispatch);
  }
}

}  // namespace ibisladder::callerpath::Internal
