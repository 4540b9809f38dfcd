// Handles requests from their arrival until an attempt is sent, and answers and
// removes them.
#include <algorithm>
#include <utility>

#include "libs/gateway/forwarder_state.h"

namespace ibisladder::gateway::Internal {
namespace {

/// Retry-After for refusals without a time from the router: no configuration,
/// no further attempt possible, deadline passed. Startup and a lack of servers
/// usually end within this time.
constexpr Duration kDefaultRetryAfter = Millis(500);
/// Short, since another instance can serve the request immediately.
constexpr Duration kStoppingRetryAfter = Millis(20);
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

/// A server is not blamed for a streamed answer that is incomplete at the
/// deadline if the caller held it up within this time before.
constexpr Duration kHeldUpTime = Seconds(1);

constexpr int kStatusNotFound = 404;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusTimeout = 504;
constexpr int kFirstServerError = 500;
/// Maximum number of combinations of service, route and outcome before new ones
/// are counted under the route "other".
constexpr std::size_t kMaxTrafficKeys = 200;

int StatusOf(ResultCode code) {
  switch (code) {
    case ResultCode::kNoRoute:
      return kStatusNotFound;
    case ResultCode::kDeadlineAfterDispatch:
      return kStatusTimeout;
    case ResultCode::kServerConnectionLost:
    case ResultCode::kAnswerCorrupt:
    case ResultCode::kAnswerTruncated:
      return kStatusBadGateway;
    default:
      return kStatusUnavailable;
  }
}

routing::RoutingRequest MakeRoutingRequest(const Call& call, CallId id,
                                           bool is_retry, bool not_executed) {
  routing::RoutingRequest request;
  request.call = id;
  request.priority = PriorityOf(call.route.priority);
  request.repeat = call.route.repeat;
  request.deadline = call.deadline;
  request.is_retry = is_retry;
  request.after_shed = not_executed;
  request.tried = call.tried;
  return request;
}

bool IsRefusal(const CallerAnswer& answer) {
  return answer.code != ResultCode::kDone &&
         answer.status == kStatusUnavailable;
}

std::string ServiceName(const Context& context, const Call& call) {
  const auto it = context.forwarder.services.find(call.service);
  return it == context.forwarder.services.end() ? "" : it->second.settings.name;
}

/// Tells all services of the call's route how it ended. Callers see the route
/// as a whole: while many of its requests go unserved at one service, the
/// others need all their servers.
void RecordOutcome(Context& context, const Call& call,
                   const CallerAnswer& answer) {
  const bool is_served =
      answer.code == ResultCode::kDone && answer.status < kFirstServerError;
  for (const auto& it : call.route.services) {
    const auto service =
        context.forwarder.services.find(MakeServiceId(it.service));
    if (service == context.forwarder.services.end()) continue;
    routing::RecordCallOutcome(*service->second.router, is_served);
  }
}

/// Answers a call for which no further attempt can be made here.
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
    AnswerWithCode(context, id, refused.code, refused.retry_after);
  }
}

bool IsStarting(const Context& context) {
  const Forwarder& forwarder = context.forwarder;
  const bool has_all = forwarder.routes && forwarder.has_servers;
  return !has_all && context.now < forwarder.start_deadline;
}

void RouteCall(Context& context, CallId id) {
  Forwarder& forwarder = context.forwarder;
  Call& call = forwarder.calls.at(id);
  if (call.request->relayed) {
    RouteRelayed(context, id);
    return;
  }
  if (!forwarder.routes) {
    AnswerWithCode(context, id, ResultCode::kNotReady, kDefaultRetryAfter);
    return;
  }
  const int route =
      FindRoute(*forwarder.routes, call.request->host, call.request->target);
  if (route < 0) {
    AnswerWithCode(context, id, ResultCode::kNoRoute, Duration::zero());
    return;
  }
  call.route = forwarder.routes->configuration->routes[route];
  if (call.route.services.empty()) {
    AnswerWithCode(context, id, ResultCode::kRouteUnreadable,
                   kDefaultRetryAfter);
    return;
  }
  call.service = MakeServiceId(NextService(*forwarder.routes, route));
  const Duration timeout = call.request->timeout.value_or(call.route.timeout);
  call.deadline = call.arrived_at + std::min(timeout, call.route.timeout);
  PlaceAttempt(context, id, false, false);
}

}  // namespace

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
  call.is_queued = false;
  call.denials = 0;
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
                  call.request, call.deadline - context.now, leaves_zone});
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
  if (IsStarting(context) && !call.request->relayed) {
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
  std::vector<CallId> waiting;
  for (auto& [id, call] : forwarder.calls) {
    if (std::exchange(call.awaits_startup, false)) waiting.push_back(id);
  }
  std::ranges::sort(waiting);
  for (const CallId it : waiting) RouteCall(context, it);
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
  if (const auto refused = CrashRefusal(context, id)) {
    GiveUp(context, id, *refused);
    return;
  }
  call.is_retry = is_retry;
  call.after_shed = not_executed;
  service->second.path.is_wanted = true;
  if (service->second.path.lost_since && TryRelay(context, id)) return;
  const auto request = MakeRoutingRequest(call, id, is_retry, not_executed);
  ActOnPlacement(context, id,
                 routing::Place(*service->second.router, request, context.now,
                                forwarder.random));
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
    if (const auto crashes = CrashRefusal(context, id)) {
      call.is_queued = false;
      routing::CancelDispatch(
          *context.forwarder.services.at(call.service).router,
          dispatch->server);
      GiveUp(context, id, *crashes);
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

void TryHedge(Context& context, CallId id) {
  Forwarder& forwarder = context.forwarder;
  Call& call = forwarder.calls.at(id);
  const bool may_hedge = call.route.repeat == RepeatRule::kIdempotent &&
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

void HandleCallerLeft(Context& context, CallId id) {
  Forwarder& forwarder = context.forwarder;
  const auto it = forwarder.calls.find(id);
  if (it == forwarder.calls.end()) return;
  Call& call = it->second;
  ++forwarder.counters.abandoned;
  Log(context, LogEvent::kCallCancelled,
      {{"request", call.request->request_id},
       {"age_ms", FormatMillis(context.now - call.arrived_at)}});
  if (call.is_queued) {
    routing::RemoveQueued(*forwarder.services.at(call.service).router, id);
  }
  ReleasePermit(context, id);
  call.caller_left = true;
  for (const AttemptId attempt : std::vector<AttemptId>(call.in_flight)) {
    // The other instance decides whether an at-most-once request runs on.
    if (call.route.repeat == RepeatRule::kIdempotent ||
        IsRelay(forwarder, attempt)) {
      forwarder.actions.emplace_back(CancelAttempt{attempt});
      EndAttempt(context, attempt, detection::AttemptEnd::kAbandoned);
    }
  }
  if (call.in_flight.empty()) forwarder.calls.erase(id);
}

void HandleDeadline(Context& context, CallId id) {
  Forwarder& forwarder = context.forwarder;
  Call& call = forwarder.calls.at(id);
  if (std::exchange(call.awaits_startup, false)) {
    RouteCall(context, id);
    return;
  }
  if (call.is_queued) {
    routing::RemoveQueued(*forwarder.services.at(call.service).router, id);
  }
  ReleasePermit(context, id);
  const bool is_held_up =
      call.is_held_up || context.now - call.held_up_until < kHeldUpTime;
  const auto end = call.is_streaming && is_held_up
                       ? detection::AttemptEnd::kAbandoned
                       : detection::AttemptEnd::kTimeout;
  for (const AttemptId attempt : std::vector<AttemptId>(call.in_flight)) {
    forwarder.actions.emplace_back(CancelAttempt{attempt});
    const Attempt& open = forwarder.attempts.at(attempt);
    const auto service = forwarder.services.find(open.service);
    const bool is_silent =
        open.peer.empty() && service != forwarder.services.end() &&
        !open.is_streaming && service->second.path.answered_at < open.sent_at;
    if (is_silent) RecordFailureOnPath(context, service->second, open.server);
    call.may_have_run = true;
    EndAttempt(context, attempt, end);
  }
  const ResultCode code = call.may_have_run
                              ? ResultCode::kDeadlineAfterDispatch
                              : ResultCode::kDeadlineBeforeDispatch;
  if (call.is_streaming) {
    FinishStream(context, id, 0, code);
    return;
  }
  AnswerWithCode(context, id, code, kDefaultRetryAfter);
}

void AnswerWithCode(Context& context, CallId id, ResultCode code,
                    Duration retry_after) {
  CallerAnswer answer;
  answer.code = code;
  answer.status = StatusOf(code);
  if (answer.status == kStatusUnavailable) answer.retry_after = retry_after;
  Finish(context, id, std::move(answer));
}

void CountAnswer(Context& context, const Call& call,
                 const CallerAnswer& answer) {
  ForwarderCounters& counters = context.forwarder.counters;
  const bool is_own = answer.code != ResultCode::kDone;
  if (is_own) ++counters.own_answers[static_cast<int>(answer.code)];
  TrafficKey key{ServiceName(context, call), call.route.name, "delivered"};
  if (IsRefusal(answer)) {
    key.outcome = "refused";
  } else if (is_own) {
    key.outcome = "failed";
  } else if (answer.status >= kFirstServerError) {
    key.outcome = "server_failure";
  }
  const bool is_full = counters.answers.size() >= kMaxTrafficKeys;
  if (is_full && !counters.answers.contains(key)) key.route = "other";
  metrics::Observe(counters.answers[key], context.now - call.arrived_at);
}

namespace {

/// Counts and logs the answer of a call, and tells the services of its route.
void RecordAnswer(Context& context, const Call& call,
                  const CallerAnswer& answer) {
  const bool is_refused = IsRefusal(answer);
  // The instance where it arrived first counts it.
  if (!call.request->relayed) CountAnswer(context, call, answer);
  RecordOutcome(context, call, answer);
  Log(context, is_refused ? LogEvent::kCallRefused : LogEvent::kCallAnswered,
      {{"request", call.request->request_id},
       {"route", call.route.name},
       {"status", std::to_string(answer.status)},
       {"result", std::to_string(static_cast<int>(answer.code))},
       {"attempts", std::to_string(call.attempts)},
       {"last_failure", call.last_failure},
       {"took_ms", FormatMillis(context.now - call.arrived_at)}});
}

}  // namespace

void Finish(Context& context, CallId id, CallerAnswer answer) {
  Forwarder& forwarder = context.forwarder;
  const auto it = forwarder.calls.find(id);
  const bool has_left = it->second.caller_left;
  RecordAnswer(context, it->second, answer);
  forwarder.calls.erase(it);
  if (has_left) return;
  forwarder.actions.emplace_back(AnswerCaller{id, std::move(answer)});
}

void FinishStream(Context& context, CallId id, int status, ResultCode code) {
  Forwarder& forwarder = context.forwarder;
  const auto it = forwarder.calls.find(id);
  CallerAnswer answer;
  answer.code = code;
  answer.status = code == ResultCode::kDone ? status : StatusOf(code);
  RecordAnswer(context, it->second, answer);
  forwarder.calls.erase(it);
  if (code == ResultCode::kDone) {
    forwarder.actions.emplace_back(EndAnswer{id});
  } else {
    forwarder.actions.emplace_back(BreakAnswer{id});
  }
}

}  // namespace ibisladder::gateway::Internal
