// Ends of attempts at backend servers.
#include "libs/callerpath/integrity.h"
#include "libs/callerpath/path_state.h"
#include "libs/callerpath/replies.h"

namespace ibisladder::callerpath::Internal {
namespace {

using detection::AttemptEnd;

constexpr int kFirstServerError = 500;
constexpr int kInternalServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

/// Whether `status` may come from a proxy or server that has not run the
/// request.
bool IsAmbiguous(int status) {
  return status >= kBadGateway && status <= kGatewayTimeout;
}

void DropLateAnswer(Context& context, AttemptId attempt) {
  ++context.path.counters.late_answers;
  Log(context, LogEvent::kLateAnswerDropped,
      {{"attempt", std::to_string(attempt.value())}});
}

void AcceptAnswer(Context& context, ExecutionId id,
                  const ServerAnswered& event) {
  CallerPath& path = context.path;
  const Execution& execution = path.executions.at(id);
  CallerAnswer answer;
  answer.code = ResultCode::kDone;
  answer.status = event.status;
  answer.headers = CallerHeaders(event.headers);
  answer.body = event.body;
  if (execution.id) {
    requests::MarkDone(path.table, *execution.id,
                       {answer.status, answer.headers, answer.body});
  }
  Log(context, LogEvent::kCallAnswered,
      {{"request", execution.request.request_id},
       {"status", std::to_string(event.status)}});
  FinishExecution(context, id, answer);
}

/// Handles a valid answer with a 5xx status.
void HandleErrorAnswer(Context& context, ExecutionId id,
                       const ServerAnswered& event) {
  Execution& execution = context.path.executions.at(id);
  const bool is_ambiguous = IsAmbiguous(event.status);
  if (execution.id) {
    if (is_ambiguous) {
      RetryOrGiveUp(context, id, ResultCode::kOutcomeUncertain, false);
    } else {
      AcceptAnswer(context, id, event);
    }
    return;
  }
  if (!is_ambiguous && event.status != kInternalServerError) {
    AcceptAnswer(context, id, event);
    return;
  }
  CallerAnswer answer;
  answer.code = ResultCode::kDone;
  answer.status = event.status;
  answer.headers = CallerHeaders(event.headers);
  answer.body = event.body;
  execution.error_answer = std::move(answer);
  RetryOrGiveUp(context, id, ResultCode::kOutcomeUncertain, false);
}

void HandleCheckedAnswer(Context& context, ExecutionId id,
                         const ServerAnswered& event,
                         const AnswerCheck& check) {
  switch (check.kind) {
    case AnswerKind::kCorrupt:
      ++context.path.counters.rejected_answers;
      Log(context, LogEvent::kAnswerRejected,
          {{"request", context.path.executions.at(id).request.request_id},
           {"reason", check.reason}});
      RetryOrGiveUp(context, id, ResultCode::kAnswerCorrupt, false);
      return;
    case AnswerKind::kNotRun:
      RetryOrGiveUp(context, id, ResultCode::kShedByServers, true);
      return;
    case AnswerKind::kValid:
      break;
  }
  if (event.status >= kFirstServerError) {
    HandleErrorAnswer(context, id, event);
  } else {
    AcceptAnswer(context, id, event);
  }
}

AttemptEnd AttemptEndOf(const AnswerCheck& check, int status) {
  switch (check.kind) {
    case AnswerKind::kCorrupt:
      return AttemptEnd::kCorrupt;
    case AnswerKind::kNotRun:
      return AttemptEnd::kShed;
    case AnswerKind::kValid:
      break;
  }
  return status >= kFirstServerError ? AttemptEnd::kError : AttemptEnd::kOk;
}

void UpdateAfterAttempt(Context& context, ServiceId id) {
  const auto it = context.path.services.find(id);
  if (it == context.path.services.end()) return;
  EvaluateService(context, it->second);
  PlaceQueued(context, it->second);
}

void RecordLoad(Context& context, const Attempt& attempt,
                const Headers& headers) {
  const auto load = ParseLoad(headers);
  if (!load) return;
  if (const auto it = context.path.services.find(attempt.service);
      it != context.path.services.end()) {
    routing::ReportLoad(*it->second.router, attempt.server, *load, context.now);
  }
  SetDraining(context, attempt.server, load->draining);
}

}  // namespace

void HandleServerAnswered(Context& context, const ServerAnswered& event) {
  CallerPath& path = context.path;
  const auto it = path.attempts.find(event.attempt);
  if (it == path.attempts.end()) {
    DropLateAnswer(context, event.attempt);
    return;
  }
  const Attempt attempt = it->second;
  const Execution& execution = path.executions.at(attempt.execution);
  const AnswerCheck check = CheckAnswer(event, execution.request.request_id,
                                        execution.request.method);
  EndAttempt(context, event.attempt, AttemptEndOf(check, event.status));
  if (check.kind != AnswerKind::kCorrupt) {
    RecordLoad(context, attempt, event.headers);
  }
  HandleCheckedAnswer(context, attempt.execution, event, check);
  UpdateAfterAttempt(context, attempt.service);
}

void HandleAttemptFailed(Context& context, const AttemptFailed& event) {
  CallerPath& path = context.path;
  const auto it = path.attempts.find(event.attempt);
  if (it == path.attempts.end()) return;
  const Attempt attempt = it->second;
  switch (event.failure) {
    case AttemptFailure::kConnectFailed:
      EndAttempt(context, event.attempt, AttemptEnd::kConnectFailed);
      RetryOrGiveUp(context, attempt.execution, ResultCode::kServerUnreachable,
                    true);
      break;
    case AttemptFailure::kConnectionLost:
      EndAttempt(context, event.attempt, AttemptEnd::kLost);
      RetryOrGiveUp(context, attempt.execution,
                    ResultCode::kServerConnectionLost, false);
      break;
    case AttemptFailure::kTruncated:
      EndAttempt(context, event.attempt, AttemptEnd::kCorrupt);
      ++path.counters.rejected_answers;
      RetryOrGiveUp(context, attempt.execution, ResultCode::kAnswerTruncated,
                    false);
      break;
    case AttemptFailure::kTooLarge:
      // The operator sets the limit, so this is no evidence against the server,
      // and another server would answer no better.
      EndAttempt(context, event.attempt, AttemptEnd::kAbandoned);
      ++path.counters.rejected_answers;
      GiveUp(context, attempt.execution, ResultCode::kAnswerTooLarge);
      break;
  }
  UpdateAfterAttempt(context, attempt.service);
}

}  // namespace ibisladder::callerpath::Internal
