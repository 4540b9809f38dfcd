// Works: placement, dispatch, giving up and finishing.
#include <algorithm>

#include "libs/callerpath/path_state.h"
#include "libs/callerpath/replies.h"

namespace ibisladder::callerpath::Internal {
namespace {

constexpr std::size_t kLeastConnections = 1;

Headers ServerHeaders(const Context& context, const Work& work,
                      const std::string& request_id) {
  Headers headers = work.request.headers;
  std::erase_if(headers, [](const auto& it) {
    return it.first == "Idempotency-Key" || it.first == "idempotency-key";
  });
  const Duration left = work.deadline - context.now;
  headers.emplace_back("Idempotency-Key", request_id);
  headers.emplace_back("Ibisladder-Timeout-Ms", std::to_string(ToMillis(left)));
  if (!work.request.organisation.empty()) {
    headers.emplace_back("Ibisladder-Organisation", work.request.organisation);
  }
  return headers;
}

/// This instance's part of the connections that a server accepts.
std::uint16_t ConnectionShare(const CallerPath& path,
                              const ServiceState& service,
                              const declarations::BackendServer& server) {
  return static_cast<std::uint16_t>(
      std::max(server.max_connections / UsersOfServer(path, service),
               kLeastConnections));
}

void SendToServer(Context& context, WorkId id, ServiceState& service,
                  const routing::Dispatch& dispatch) {
  CallerPath& path = context.path;
  Work& work = path.works.at(id);
  const declarations::BackendServer& server =
      *service.servers.at(dispatch.server).declared;
  const AttemptId attempt(++path.last_attempt);
  if (work.id) requests::MarkDispatched(path.table, *work.id);
  work.attempt = attempt;
  work.tried.push_back(dispatch.server);
  ++work.attempts;
  ++path.counters.attempts;
  path.attempts[attempt] = {id, work.service, dispatch.server, context.now,
                            false};
  detection::AttemptStarted(*service.detector, dispatch.server, attempt,
                            context.now);
  const std::string& request_id = work.request.request_id;
  Log(context, LogEvent::kCallDispatched,
      {{"request", request_id},
       {"service", service.declared->name},
       {"server", server.name},
       {"attempt", std::to_string(work.attempts)},
       {"reason", dispatch.reason}});
  SendAttempt send;
  send.attempt = attempt;
  send.server = dispatch.server;
  send.endpoint = server.endpoint;
  send.method = work.request.method;
  send.target = work.request.target;
  send.headers = ServerHeaders(context, work, request_id);
  send.body = work.request.body;
  send.timeout = work.deadline - context.now;
  if (work.id) send.timeout += kOutcomeGrace;
  send.max_answer_bytes = work.max_answer_bytes;
  send.max_connections = ConnectionShare(path, service, server);
  context.actions.emplace_back(std::move(send));
}

void DispatchWork(Context& context, WorkId id,
                  const routing::Dispatch& dispatch) {
  CallerPath& path = context.path;
  Work& work = path.works.at(id);
  ServiceState& service = path.services.at(work.service);
  const bool is_known = service.servers.contains(dispatch.server);
  if (is_known && context.now < work.deadline) {
    SendToServer(context, id, service, dispatch);
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

/// The code that is true of the work.
ResultCode TrueCode(const Work& work, ResultCode code) {
  if (!work.may_have_run || OutcomeOf(code) == Outcome::kUnknown) return code;
  return OutcomeOf(work.last_failure) == Outcome::kUnknown
             ? work.last_failure
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

void PlaceWork(Context& context, WorkId id, bool is_retry) {
  CallerPath& path = context.path;
  Work& work = path.works.at(id);
  const auto service = path.services.find(work.service);
  if (service == path.services.end()) {
    GiveUp(context, id, ResultCode::kNoServerAvailable);
    return;
  }
  if (context.now >= work.deadline) {
    GiveUp(context, id, ResultCode::kDeadlineBeforeDispatch);
    return;
  }
  if (work.attempts >= kMaxAttempts) {
    GiveUp(context, id, work.last_failure);
    return;
  }
  routing::RoutingRequest demand;
  demand.call = id;
  demand.priority = work.priority;
  demand.repeat = work.id ? declarations::RepeatRule::kAtMostOnce
                          : declarations::RepeatRule::kIdempotent;
  demand.organisation = work.organisation;
  demand.deadline = work.deadline;
  demand.is_retry = is_retry;
  demand.after_shed =
      is_retry && work.last_failure == ResultCode::kShedByServers;
  demand.tried = work.tried;
  ApplyPlacement(context, id,
                 routing::Place(*service->second.router, demand, context.now,
                                context.random));
}

void ApplyPlacement(Context& context, WorkId id,
                    const routing::Placement& placement) {
  const Work& work = context.path.works.at(id);
  if (const auto* it = std::get_if<routing::Dispatch>(&placement)) {
    DispatchWork(context, id, *it);
    return;
  }
  if (const auto* it = std::get_if<routing::Refused>(&placement)) {
    // A retry that finds no place ends as the attempt before it did.
    const ResultCode code = work.attempts > 0 ? work.last_failure : it->code;
    GiveUp(context, id, code, it->retry_after);
    return;
  }
  Log(context, LogEvent::kCallQueued, {{"request", work.request.request_id}});
}

void PumpService(Context& context, ServiceState& service) {
  if (routing::QueueLength(*service.router) == 0) return;
  const auto placed =
      routing::Pump(*service.router, context.now, context.random);
  for (const auto& [id, placement] : placed) {
    if (context.path.works.contains(id)) {
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

void GiveUp(Context& context, WorkId id, ResultCode code,
            std::optional<Duration> retry_after) {
  CallerPath& path = context.path;
  Work& work = path.works.at(id);
  if (work.error_answer) {
    const CallerAnswer answer = *work.error_answer;
    FinishWork(context, id, answer);
    return;
  }
  code = TrueCode(work, code);
  CallerAnswer answer = MakeReply(code, {});
  if (work.id) {
    if (OutcomeOf(code) == Outcome::kNotRun) {
      requests::MarkNotRun(path.table, *work.id, code);
    } else {
      requests::MarkUnknown(path.table, *work.id, code);
    }
    // The record has the last word.
    if (const auto* it = requests::FindRecord(path.table, *work.id)) {
      answer = AnswerOfRecord(context, *it);
    }
  }
  answer.retry_after =
      retry_after ? retry_after : RetryAfterOf(answer.code, context.random);
  LogAnswer(context, work.request.request_id, answer.code);
  FinishWork(context, id, answer);
}

void FinishWork(Context& context, WorkId id, const CallerAnswer& answer) {
  CallerPath& path = context.path;
  const auto node = path.works.extract(id);
  const Work& work = node.mapped();
  if (work.attempt) {
    context.actions.emplace_back(CancelAttempt{*work.attempt});
    EndAttempt(context, *work.attempt, detection::AttemptEnd::kAbandoned);
  } else if (const auto it = path.services.find(work.service);
             it != path.services.end()) {
    routing::RemoveQueued(*it->second.router, id);
  }
  if (work.is_counted) {
    routing::ReleaseRequest(*path.limits, work.organisation);
  }
  path.timers.erase({work.expires, Timer::Kind::kWork, id});
  if (work.id) path.works_by_id.erase(work.request.request_id);
  for (const CallId it : work.waiters) AnswerOne(context, it, answer);
}

void AnswerOne(Context& context, CallId call, const CallerAnswer& answer) {
  ForgetCall(context.path, call);
  CountAnswer(context.path.counters, answer.code);
  context.actions.emplace_back(AnswerCall{call, answer});
}

void HandleFailure(Context& context, WorkId id, ResultCode code,
                   bool is_certainly_not_run) {
  CallerPath& path = context.path;
  Work& work = path.works.at(id);
  work.last_failure = code;
  if (work.id && !is_certainly_not_run) {
    GiveUp(context, id, code);
    return;
  }
  if (work.id) requests::MarkUndispatched(path.table, *work.id);
  if (!is_certainly_not_run) work.may_have_run = true;
  if (work.waiters.empty()) {
    GiveUp(context, id, ResultCode::kCancelledBeforeDispatch);
    return;
  }
  ++path.counters.retries;
  Log(context, LogEvent::kCallRetried,
      {{"request", work.request.request_id},
       {"code", std::to_string(static_cast<int>(code))}});
  PlaceWork(context, id, /*is_retry=*/true);
}

std::optional<Attempt> EndAttempt(Context& context, AttemptId id,
                                  detection::AttemptEnd end) {
  CallerPath& path = context.path;
  const auto node = path.attempts.extract(id);
  if (node.empty()) return std::nullopt;
  const Attempt attempt = node.mapped();
  if (const auto it = path.works.find(attempt.work); it != path.works.end()) {
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

void ExpireWork(Context& context, WorkId id) {
  CallerPath& path = context.path;
  Work& work = path.works.at(id);
  if (!work.attempt) {
    GiveUp(context, id, ResultCode::kDeadlineBeforeDispatch);
    return;
  }
  Attempt& attempt = path.attempts.at(*work.attempt);
  if (!attempt.is_timed_out) {
    attempt.is_timed_out = true;
    if (const auto it = path.services.find(work.service);
        it != path.services.end()) {
      detection::AttemptEnded(*it->second.detector, *work.attempt,
                              detection::AttemptEnd::kTimeout, context.now);
    }
  }
  const TimePoint grace_end = work.deadline + kOutcomeGrace;
  if (work.id && context.now < grace_end) {
    SetWorkTimer(path, id, grace_end);
    return;
  }
  work.last_failure = ResultCode::kDeadlineAfterDispatch;
  GiveUp(context, id, ResultCode::kDeadlineAfterDispatch);
}

}  // namespace ibisladder::callerpath::Internal
