// Executions: placement, dispatch, retries and completion.
#include <algorithm>

#include "libs/callerpath/path_state.h"
#include "libs/callerpath/replies.h"

namespace ibisladder::callerpath::Internal {
namespace {

constexpr std::size_t kMinConnections = 1;

Headers ServerHeaders(const Context& context, const Execution& execution,
                      const std::string& request_id) {
  Headers headers = execution.request.headers;
  std::erase_if(headers, [](const auto& it) {
    return it.first == "Idempotency-Key" || it.first == "idempotency-key";
  });
  const Duration left = execution.deadline - context.now;
  headers.emplace_back("Idempotency-Key", request_id);
  headers.emplace_back("Ibisladder-Timeout-Ms", std::to_string(ToMillis(left)));
  if (!execution.request.organisation.empty()) {
    headers.emplace_back("Ibisladder-Organisation",
                         execution.request.organisation);
  }
  return headers;
}

/// Returns this instance's quota of the connections that a server accepts.
std::uint16_t ConnectionQuota(const CallerPath& path,
                              const ServiceState& service,
                              const declarations::BackendServer& server) {
  return static_cast<std::uint16_t>(std::max(
      server.max_connections / UsersOfServer(path, service), kMinConnections));
}

void SendToServer(Context& context, ExecutionId id, ServiceState& service,
                  const routing::Dispatch& dispatch) {
  CallerPath& path = context.path;
  Execution& execution = path.executions.at(id);
  const declarations::BackendServer& server =
      *service.servers.at(dispatch.server).declared;
  const AttemptId attempt(++path.last_attempt);
  if (execution.id) requests::MarkDispatched(path.table, *execution.id);
  execution.attempt = attempt;
  execution.tried.push_back(dispatch.server);
  ++execution.attempts;
  ++path.counters.attempts;
  path.attempts[attempt] = {id, execution.service, dispatch.server, context.now,
                            false};
  detection::AttemptStarted(*service.detector, dispatch.server, attempt,
                            context.now);
  const std::string& request_id = execution.request.request_id;
  Log(context, LogEvent::kCallDispatched,
      {{"request", request_id},
       {"service", service.declared->name},
       {"server", server.name},
       {"attempt", std::to_string(execution.attempts)},
       {"reason", dispatch.reason}});
  SendAttempt send;
  send.attempt = attempt;
  send.server = dispatch.server;
  send.endpoint = server.endpoint;
  send.method = execution.request.method;
  send.target = execution.request.target;
  send.headers = ServerHeaders(context, execution, request_id);
  send.body = execution.request.body;
  send.timeout = execution.deadline - context.now;
  if (execution.id) send.timeout += kOutcomeGrace;
  send.max_answer_bytes = execution.max_answer_bytes;
  send.max_connections = ConnectionQuota(path, service, server);
  context.actions.emplace_back(std::move(send));
}

/// Returns `code`, or an *unknown* code when an earlier attempt may have run
/// the request.
ResultCode FinalCode(const Execution& execution, ResultCode code) {
  if (!execution.may_have_run || OutcomeOf(code) == Outcome::kUnknown)
    return code;
  return OutcomeOf(execution.last_failure) == Outcome::kUnknown
             ? execution.last_failure
             : ResultCode::kServerConnectionLost;
}

void CountAnswer(Counters& counters, ResultCode code) {
  switch (OutcomeOf(code)) {
    case Outcome::kDone:
      ++counters.done;
      return;
    case Outcome::kNotRun:
      ++counters.not_run;
      return;
    case Outcome::kUnknown:
      ++counters.unknown;
      return;
  }
}

}  // namespace

void DispatchExecution(Context& context, ExecutionId id,
                       const routing::Dispatch& dispatch) {
  CallerPath& path = context.path;
  Execution& execution = path.executions.at(id);
  ServiceState& service = path.services.at(execution.service);
  const bool is_known = service.servers.contains(dispatch.server);
  if (is_known && context.now < execution.deadline) {
    if (RenewCredit(context, id, dispatch)) {
      SendToServer(context, id, service, dispatch);
    }
    return;
  }
  // The router has counted the attempt as started.
  routing::AttemptEnded(*service.router, dispatch.server,
                        detection::AttemptEnd::kAbandoned, Duration::zero(),
                        context.now);
  GiveUp(context, id,
         is_known ? ResultCode::kDeadlineBeforeDispatch
                  : ResultCode::kNoServerAvailable);
}

void PlaceExecution(Context& context, ExecutionId id, bool is_retry) {
  CallerPath& path = context.path;
  Execution& execution = path.executions.at(id);
  const auto service = path.services.find(execution.service);
  if (service == path.services.end()) {
    GiveUp(context, id, ResultCode::kNoServerAvailable);
    return;
  }
  if (context.now >= execution.deadline) {
    GiveUp(context, id, ResultCode::kDeadlineBeforeDispatch);
    return;
  }
  if (execution.attempts >= kMaxAttempts) {
    GiveUp(context, id, execution.last_failure);
    return;
  }
  routing::RoutingRequest demand;
  demand.call = id;
  demand.priority = execution.priority;
  demand.repeat = execution.id ? declarations::RepeatRule::kAtMostOnce
                               : declarations::RepeatRule::kIdempotent;
  demand.organisation = execution.organisation;
  demand.deadline = execution.deadline;
  demand.is_retry = is_retry;
  demand.after_shed =
      is_retry && execution.last_failure == ResultCode::kShedByServers;
  demand.tried = execution.tried;
  ApplyPlacement(context, id,
                 routing::Place(*service->second.router, demand, context.now,
                                context.random));
}

void ApplyPlacement(Context& context, ExecutionId id,
                    const routing::Placement& placement) {
  const Execution& execution = context.path.executions.at(id);
  if (const auto* it = std::get_if<routing::Dispatch>(&placement)) {
    DispatchExecution(context, id, *it);
    return;
  }
  if (const auto* it = std::get_if<routing::Refused>(&placement)) {
    // A retry that cannot be placed ends with the result of the previous
    // attempt.
    const ResultCode code =
        execution.attempts > 0 ? execution.last_failure : it->code;
    GiveUp(context, id, code, it->retry_after);
    return;
  }
  Log(context, LogEvent::kCallQueued,
      {{"request", execution.request.request_id}});
}

void PlaceQueued(Context& context, ServiceState& service) {
  if (routing::QueueLength(*service.router) == 0) return;
  const auto placed =
      routing::Pump(*service.router, context.now, context.random);
  for (const auto& [id, placement] : placed) {
    if (context.path.executions.contains(id)) {
      ApplyPlacement(context, id, placement);
      continue;
    }
    if (const auto* it = std::get_if<routing::Dispatch>(&placement)) {
      routing::AttemptEnded(*service.router, it->server,
                            detection::AttemptEnd::kAbandoned, Duration::zero(),
                            context.now);
    }
  }
}

void GiveUp(Context& context, ExecutionId id, ResultCode code,
            std::optional<Duration> retry_after) {
  CallerPath& path = context.path;
  Execution& execution = path.executions.at(id);
  if (execution.error_answer) {
    const CallerAnswer answer = *execution.error_answer;
    FinishExecution(context, id, answer);
    return;
  }
  code = FinalCode(execution, code);
  CallerAnswer answer = MakeReply(code, {});
  if (execution.id) {
    if (OutcomeOf(code) == Outcome::kNotRun) {
      requests::MarkNotRun(path.table, *execution.id, code);
    } else {
      requests::MarkUnknown(path.table, *execution.id, code);
    }
    // The record decides: it may hold another code than `code`.
    if (const auto* it = requests::FindRecord(path.table, *execution.id)) {
      answer = AnswerFromRecord(context, *it);
    }
  }
  answer.retry_after =
      retry_after ? retry_after : RetryAfterOf(answer.code, context.random);
  LogAnswer(context, execution.request.request_id, answer.code);
  FinishExecution(context, id, answer);
}

void FinishExecution(Context& context, ExecutionId id,
                     const CallerAnswer& answer) {
  CallerPath& path = context.path;
  const auto node = path.executions.extract(id);
  Execution& execution = node.mapped();
  const bool did_run = execution.attempt || execution.may_have_run ||
                       OutcomeOf(answer.code) != Outcome::kNotRun;
  ReleaseCredit(context, id, execution, did_run);
  if (execution.attempt) {
    context.actions.emplace_back(CancelAttempt{*execution.attempt});
    EndAttempt(context, *execution.attempt, detection::AttemptEnd::kAbandoned);
  } else if (const auto it = path.services.find(execution.service);
             it != path.services.end()) {
    routing::RemoveQueued(*it->second.router, id);
  }
  if (execution.is_counted) {
    routing::ReleaseRequest(*path.limits, execution.organisation);
  }
  path.timers.erase({execution.expires, Timer::Kind::kExecution, id});
  if (execution.id) path.executions_by_id.erase(execution.request.request_id);
  for (const CallId it : execution.waiters) FinishCall(context, it, answer);
}

void FinishCall(Context& context, CallId call, const CallerAnswer& answer) {
  ForgetCall(context.path, call);
  CountAnswer(context.path.counters, answer.code);
  context.actions.emplace_back(AnswerCall{call, answer});
}

void RetryOrGiveUp(Context& context, ExecutionId id, ResultCode code,
                   bool is_certainly_not_run) {
  CallerPath& path = context.path;
  Execution& execution = path.executions.at(id);
  execution.last_failure = code;
  if (execution.id && !is_certainly_not_run) {
    GiveUp(context, id, code);
    return;
  }
  if (execution.id) requests::MarkUndispatched(path.table, *execution.id);
  if (!is_certainly_not_run) execution.may_have_run = true;
  if (execution.waiters.empty()) {
    GiveUp(context, id, ResultCode::kCancelledBeforeDispatch);
    return;
  }
  ++path.counters.retries;
  Log(context, LogEvent::kCallRetried,
      {{"request", execution.request.request_id},
       {"code", std::to_string(static_cast<int>(code))}});
  PlaceExecution(context, id, /*is_retry=*/true);
}

std::optional<Attempt> EndAttempt(Context& context, AttemptId id,
                                  detection::AttemptEnd end) {
  CallerPath& path = context.path;
  const auto node = path.attempts.extract(id);
  if (node.empty()) return std::nullopt;
  const Attempt attempt = node.mapped();
  if (const auto it = path.executions.find(attempt.execution);
      it != path.executions.end()) {
    it->second.attempt.reset();
  }
  const auto it = path.services.find(attempt.service);
  if (it == path.services.end()) return attempt;
  routing::AttemptEnded(*it->second.router, attempt.server, end,
                        context.now - attempt.started, context.now);
  if (!attempt.is_timed_out) {
    detection::AttemptEnded(*it->second.detector, id, end, context.now);
  }
  return attempt;
}

void ExpireExecution(Context& context, ExecutionId id) {
  CallerPath& path = context.path;
  Execution& execution = path.executions.at(id);
  if (!execution.attempt) {
    GiveUp(context, id, ResultCode::kDeadlineBeforeDispatch);
    return;
  }
  Attempt& attempt = path.attempts.at(*execution.attempt);
  if (!attempt.is_timed_out) {
    attempt.is_timed_out = true;
    if (const auto it = path.services.find(execution.service);
        it != path.services.end()) {
      detection::AttemptEnded(*it->second.detector, *execution.attempt,
                              detection::AttemptEnd::kTimeout, context.now);
    }
  }
  const TimePoint grace_end = execution.deadline + kOutcomeGrace;
  if (execution.id && context.now < grace_end) {
    SetExecutionTimer(path, id, grace_end);
    return;
  }
  execution.last_failure = ResultCode::kDeadlineAfterDispatch;
  GiveUp(context, id, ResultCode::kDeadlineAfterDispatch);
}

}  // namespace ibisladder::callerpath::Internal
