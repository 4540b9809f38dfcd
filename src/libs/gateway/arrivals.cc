// Handles requests from their arrival until their first attempt is placed: what
// they must show and await before a server is chosen.
#include <algorithm>
#include <utility>

#include "libs/gateway/admission_calls.h"
#include "libs/gateway/authorisation.h"

namespace ibisladder::gateway::Internal {
namespace {

/// Number of pipelined requests of a service that may wait at this instance.
constexpr std::ptrdiff_t kMaxWaitingPipelined = 8;

/// Whether quotas can be decided on.
bool KnowsKeepers(const Forwarder& forwarder) {
  return forwarder.quota_limits.empty() ||
         !forwarder.quotas.members.names.empty();
}

bool IsStarting(const Forwarder& forwarder, TimePoint now) {
  const bool has_all =
      forwarder.routes && forwarder.has_servers && KnowsKeepers(forwarder);
  return !has_all && now < forwarder.start_deadline;
}

/// Refuses a pipelined request if several of its service wait already, so that
/// pipelines use what is free and leave other callers room to wait. Returns
/// whether it was refused.
bool RefusePipelined(Context& context, CallId id) {
  const Forwarder& forwarder = context.forwarder;
  const Call& call = forwarder.calls.at(id);
  if (!call.request->is_pipelined) return false;
  const auto waiting =
      std::ranges::count_if(forwarder.calls, [&](const auto& it) {
        const Call& other = it.second;
        return it.first != id && other.service == call.service &&
               other.request->is_pipelined && other.in_flight.empty();
      });
  if (waiting < kMaxWaitingPipelined) return false;
  // What else the caller has sent would fare no better.
  AnswerWithCode(context, id, ResultCode::kOverloaded, kDefaultRetryAfter,
                 true);
  return true;
}

/// Places the first attempt of a call that may run, unless it has to wait for
/// its organisation's credit or for room.
void StartCall(Context& context, CallId id) {
  if (AwaitsCredit(context, id)) return;
  AdmitCall(context, id);
}

}  // namespace

void AdmitCall(Context& context, CallId id) {
  const bool was_admitted = context.forwarder.calls.at(id).was_admitted;
  if (!was_admitted && AwaitsAdmission(context, id)) return;
  PlaceAttempt(context, id, false, false);
}

void RouteCall(Context& context, CallId id) {
  Forwarder& forwarder = context.forwarder;
  Call& call = forwarder.calls.at(id);
  if (call.request->relayed) {
    if (call.request->is_body_dropped) {
      AnswerWithCode(context, id, ResultCode::kOverloaded, kDefaultRetryAfter);
    } else {
      RouteRelayed(context, id);
    }
    return;
  }
  if (!forwarder.routes) {
    AnswerWithCode(context, id, ResultCode::kNotReady, kDefaultRetryAfter);
    return;
  }
  const Route* route =
      FindRoute(*forwarder.routes, call.request->host, call.request->target);
  if (route == nullptr) {
    AnswerWithCode(context, id, ResultCode::kNoRoute, Duration::zero());
    return;
  }
  call.route = *route;
  if (call.route.services.empty()) {
    AnswerWithCode(context, id, ResultCode::kRouteUnreadable,
                   kDefaultRetryAfter);
    return;
  }
  call.priority = PriorityOf(call.route.priority);
  if (const auto refused = CheckOrganisation(context, id)) {
    AnswerWithCode(context, id, refused->code, refused->retry_after);
    return;
  }
  CountArrived(context, call);
  if (call.request->is_body_dropped) {
    if (RefuseOverQuota(context, id)) return;
    AnswerWithCode(context, id, ResultCode::kOverloaded, kDefaultRetryAfter);
    return;
  }
  call.service = MakeServiceId(NextService(*forwarder.routes, *route));
  const Duration timeout = call.request->timeout.value_or(call.route.timeout);
  call.deadline = call.arrived_at + std::min(timeout, call.route.timeout);
  if (RefusePipelined(context, id)) return;
  StartCall(context, id);
}

void Accept(Context& context, CallerRequest request) {
  Forwarder& forwarder = context.forwarder;
  ++(request.relayed ? forwarder.counters.relayed_here
                     : forwarder.counters.arrived);
  const CallId id = request.call;
  Call& call = forwarder.calls[id];
  call.request = std::make_shared<const CallerRequest>(std::move(request));
  call.arrived_at = context.now;
  call.deadline = context.now;
  if (forwarder.is_stopping) {
    AnswerWithCode(context, id, ResultCode::kStopping, kStoppingRetryAfter);
    return;
  }
  const bool may_wait =
      !call.request->relayed && !call.request->is_body_dropped;
  if (may_wait && IsStarting(forwarder, context.now)) {
    call.awaits_startup = true;
    call.deadline = forwarder.start_deadline;
    if (const auto& timeout = call.request->timeout) {
      call.deadline = std::min(call.deadline, context.now + *timeout);
    }
    Log(context, LogEvent::kCallQueued,
        {{"request", call.request->request_id},
         {"left_ms", FormatMillis(call.deadline - context.now)}});
    return;
  }
  RouteCall(context, id);
}

void RouteWaitingCalls(Context& context) {
  Forwarder& forwarder = context.forwarder;
  if (!forwarder.routes || !forwarder.has_servers) return;
  if (!KnowsKeepers(forwarder) && context.now < forwarder.start_deadline)
    return;
  std::vector<CallId> waiting;
  for (auto& [id, call] : forwarder.calls) {
    if (std::exchange(call.awaits_startup, false)) waiting.push_back(id);
  }
  std::ranges::sort(waiting);
  for (const CallId it : waiting) RouteCall(context, it);
}

}  // namespace ibisladder::gateway::Internal

namespace ibisladder::gateway {

bool MayRun(const Forwarder& forwarder, const RequestHead& head,
            TimePoint now) {
  if (forwarder.is_stopping) return false;
  if (!forwarder.routes) return true;
  const Route* route = FindRoute(*forwarder.routes, head.host, head.target);
  if (route == nullptr || route->services.empty()) return false;
  // Requests that await the start are decided on after it.
  if (!forwarder.keys.table || Internal::IsStarting(forwarder, now)) {
    return true;
  }
  const Internal::KeyDecision decision =
      Internal::DecideKey(forwarder, *route, head.key, head.received_at);
  if (decision.refused) return false;
  return decision.holder == nullptr ||
         !Internal::IsQuotaExhausted(forwarder, decision.holder->name, now);
}

}  // namespace ibisladder::gateway
