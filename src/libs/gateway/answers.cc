// Handles the ends of attempts: delivers valid answers, and retries or finishes
// calls after failures.
#include <algorithm>
#include <utility>

#include "libs/gateway/admission_calls.h"
#include "libs/gateway/forwarder_state.h"

namespace ibisladder::gateway::Internal {
namespace {

using detection::AttemptEnd;

constexpr int kFirstError = 500;
constexpr int kSuccessClass = 2;
constexpr int kStatusClass = 100;
constexpr int kGatewayTimeout = 504;

/// Returns how an answer ends its attempt, for the detector and for the call.
AttemptEnd ClassifyAnswer(const ServerAnswer& answer) {
  if (answer.not_run) return AttemptEnd::kShed;
  if (answer.is_encoded) return AttemptEnd::kCorrupt;
  const bool is_success = answer.status / kStatusClass == kSuccessClass;
  if (is_success && !answer.is_signed) return AttemptEnd::kCorrupt;
  if (answer.status == kGatewayTimeout) return AttemptEnd::kTimeout;
  const bool is_error =
      answer.status >= kFirstError || PromisesNotRun(answer.status);
  if (is_error) return AttemptEnd::kError;
  return answer.is_signed ? AttemptEnd::kOk : AttemptEnd::kCorrupt;
}

const char* EndName(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kOk:
      return "answered";
    case AttemptEnd::kError:
      return "server_error";
    case AttemptEnd::kCorrupt:
      return "corrupt_answer";
    case AttemptEnd::kLost:
      return "connection_lost";
    case AttemptEnd::kConnectFailed:
      return "connect_failed";
    case AttemptEnd::kTimeout:
      return "timeout";
    case AttemptEnd::kShed:
      return "declined";
    case AttemptEnd::kAbandoned:
      return "cancelled";
  }
  return "unknown";
}

AttemptEnd EndOf(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kConnectFailed:
      return AttemptEnd::kConnectFailed;
    case AttemptFailure::kConnectionLost:
      return AttemptEnd::kLost;
    case AttemptFailure::kTruncated:
      return AttemptEnd::kCorrupt;
    case AttemptFailure::kTimeout:
      return AttemptEnd::kTimeout;
  }
  return AttemptEnd::kLost;
}

CallerAnswer ToCallerAnswer(ServerAnswer answer) {
  CallerAnswer result;
  result.status = answer.status;
  result.headers = std::move(answer.headers);
  result.body = std::move(answer.body);
  return result;
}

/// Cancels the attempts of an answered call that are still in flight.
void CancelOthers(Context& context, const Call& call) {
  for (const AttemptId it : std::vector<AttemptId>(call.in_flight)) {
    context.forwarder.actions.emplace_back(CancelAttempt{it});
    EndAttempt(context, it, AttemptEnd::kAbandoned);
  }
}

/// Tries another server if that is safe; otherwise finishes the call. Does
/// nothing while another attempt is in flight.
void RetryOrFinish(Context& context, CallId id, AttemptEnd end,
                   const std::string& server) {
  Forwarder& forwarder = context.forwarder;
  Call& call = forwarder.calls.at(id);
  call.last_failure = std::string(EndName(end)) + " by " + server;
  if (call.caller_left && call.in_flight.empty()) {
    if (!call.may_have_run) ReleaseCredit(context, id);
    forwarder.calls.erase(id);
    return;
  }
  if (!call.in_flight.empty()) return;
  if (call.is_streaming) {
    FinishStream(context, id, 0, ResultCode::kAnswerTruncated);
    return;
  }
  const bool may_repeat =
      call.route.repeat == RepeatRule::kIdempotent || !call.may_have_run;
  if (!may_repeat) {
    if (call.server_failure) {
      Finish(context, id, std::move(*call.server_failure));
    } else {
      const bool has_answered =
          end == AttemptEnd::kCorrupt || end == AttemptEnd::kError;
      AnswerWithCode(context, id,
                     has_answered ? ResultCode::kAnswerCorrupt
                                  : ResultCode::kServerConnectionLost,
                     Duration::zero());
    }
    return;
  }
  // Counted and logged first; PlaceAttempt may still give the call up.
  ++forwarder.counters.second_attempts[EndName(end)];
  Log(context, LogEvent::kCallRetried,
      {{"request", call.request->request_id},
       {"reason", call.last_failure},
       {"attempts", std::to_string(call.attempts)}});
  const bool not_executed =
      end == AttemptEnd::kShed || end == AttemptEnd::kConnectFailed;
  PlaceAttempt(context, id, true, not_executed);
}

/// Ends an attempt and evaluates its server. Sets `call` and, for listed
/// servers, `server` to its name. Returns whether the call still exists.
bool CloseAttempt(Context& context, AttemptId id, AttemptEnd end, CallId& call,
                  std::string& server) {
  Forwarder& forwarder = context.forwarder;
  const auto it = forwarder.attempts.find(id);
  if (it == forwarder.attempts.end()) return false;
  const Attempt attempt = it->second;
  ServiceState& service = forwarder.services.at(attempt.service);
  if (const auto known = service.servers.find(attempt.server);
      known != service.servers.end()) {
    server = known->second.entry.name;
  }
  call = attempt.call;
  EndAttempt(context, id, end);
  const bool is_bad = end != AttemptEnd::kOk && end != AttemptEnd::kShed &&
                      end != AttemptEnd::kAbandoned;
  // Where trials are coordinated, the evaluation may tell more than the
  // evidence does.
  const bool is_evaluated_first = forwarder.has_competing_callers;
  if (is_evaluated_first) Evaluate(context, service);
  if (is_bad) {
    ShareEvidenceOf(context, attempt.service, service, attempt.server);
  }
  if (!is_evaluated_first) Evaluate(context, service);
  return forwarder.calls.contains(call);
}

/// Reports to the detector a failure after the answer began, when it judged the
/// attempt.
void BlameForBrokenStream(Context& context, const Attempt& attempt,
                          AttemptId id, AttemptEnd end) {
  const bool is_failure = end != AttemptEnd::kOk && end != AttemptEnd::kShed &&
                          end != AttemptEnd::kAbandoned;
  if (!is_failure) return;
  detection::Detector& detector =
      *context.forwarder.services.at(attempt.service).detector;
  detection::AttemptStarted(detector, attempt.server, id, context.now);
  // The detector weighs timeouts by the time that was waited for the answer.
  detection::AttemptEnded(detector, id,
                          end == AttemptEnd::kTimeout ? AttemptEnd::kLost : end,
                          context.now);
}

}  // namespace

void EndAttempt(Context& context, AttemptId id, AttemptEnd end) {
  Forwarder& forwarder = context.forwarder;
  const auto it = forwarder.attempts.find(id);
  if (it == forwarder.attempts.end()) return;
  if (!it->second.peer.empty()) {
    EndRelay(context, id);
    return;
  }
  const Attempt attempt = it->second;
  forwarder.attempts.erase(it);
  if (const auto call = forwarder.calls.find(attempt.call);
      call != forwarder.calls.end()) {
    std::erase(call->second.in_flight, id);
  }
  ServiceState& service = forwarder.services.at(attempt.service);
  detection::AttemptEnded(*service.detector, id, end, context.now);
  if (attempt.is_streaming) BlameForBrokenStream(context, attempt, id, end);
  routing::AttemptEnded(*service.router, attempt.server, end,
                        context.now - attempt.sent_at, context.now);
  RecordAdmissionEnd(context, attempt, end);
}

void HandleAnswerStart(Context& context, AttemptId id, ServerAnswer head) {
  Forwarder& forwarder = context.forwarder;
  const auto it = forwarder.attempts.find(id);
  if (it == forwarder.attempts.end()) return;
  const CallId call_id = it->second.call;
  Call& call = forwarder.calls.at(call_id);
  if (call.is_streaming || ClassifyAnswer(head) != AttemptEnd::kOk) return;
  call.is_streaming = true;
  it->second.is_streaming = true;
  if (it->second.peer.empty()) {
    RecordPathAnswer(forwarder.services.at(it->second.service).path,
                     context.now);
  }
  // Ignores attempts at other instances.
  detection::AttemptEnded(*forwarder.services.at(it->second.service).detector,
                          id, AttemptEnd::kOk, context.now);
  for (const AttemptId other : std::vector<AttemptId>(call.in_flight)) {
    if (other == id) continue;
    forwarder.actions.emplace_back(CancelAttempt{other});
    EndAttempt(context, other, AttemptEnd::kAbandoned);
  }
  forwarder.actions.emplace_back(
      StreamAnswer{call_id, id, ToCallerAnswer(std::move(head))});
}

void HandleAnswer(Context& context, AttemptId id, ServerAnswer answer) {
  Forwarder& forwarder = context.forwarder;
  const auto it = forwarder.attempts.find(id);
  if (it == forwarder.attempts.end()) return;
  const Attempt attempt = it->second;
  if (!attempt.peer.empty()) {
    HandleRelayAnswer(context, id, std::move(answer));
    return;
  }
  ServiceState& service = forwarder.services.at(attempt.service);
  if (answer.load) {
    routing::ReportLoad(*service.router, attempt.server, *answer.load,
                        context.now);
  }
  if (answer.wrong_server) {
    MarkReplaced(context, service, attempt.server);
  } else {
    RecordServerContact(context, attempt.server, attempt.sent_at);
  }
  RecordPathAnswer(service.path, context.now);
  const AttemptEnd end = ClassifyAnswer(answer);
  RecordLimit(context, service, attempt.server, answer, end);
  RecordNotices(context, attempt.server, answer);
  CallId call_id;
  std::string server = "unlisted server";
  if (!CloseAttempt(context, id, end, call_id, server)) return;
  Call& call = forwarder.calls.at(call_id);
  if (end == AttemptEnd::kOk) {
    CancelOthers(context, call);
    RecordServedCall(context, call_id);
    if (call.is_streaming) {
      FinishStream(context, call_id, answer.status, ResultCode::kDone);
    } else {
      Finish(context, call_id, ToCallerAnswer(std::move(answer)));
    }
    return;
  }
  if (end != AttemptEnd::kShed) call.may_have_run = true;
  // A status that promises more than the server states is not passed on.
  const bool is_passed_on =
      (end == AttemptEnd::kError || end == AttemptEnd::kTimeout) &&
      !PromisesNotRun(answer.status);
  if (is_passed_on) call.server_failure = ToCallerAnswer(std::move(answer));
  RetryOrFinish(context, call_id, end, server);
}

void HandleFailure(Context& context, AttemptId id, AttemptFailure failure,
                   std::optional<TimePoint> opened_at) {
  const AttemptEnd end = EndOf(failure);
  const auto it = context.forwarder.attempts.find(id);
  if (it == context.forwarder.attempts.end()) return;
  if (!it->second.peer.empty()) {
    HandleRelayFailure(context, id, failure);
    return;
  }
  const BackendServerId failed_server = it->second.server;
  if (failure != AttemptFailure::kTruncated) {
    RecordFailureOnPath(context,
                        context.forwarder.services.at(it->second.service),
                        failed_server);
  }
  CallId call_id;
  std::string server = "unlisted server";
  if (!CloseAttempt(context, id, end, call_id, server)) return;
  Call& call = context.forwarder.calls.at(call_id);
  if (failure == AttemptFailure::kConnectFailed) {
    --call.attempts;
    ++call.connect_failures;
  } else {
    call.may_have_run = true;
  }
  const bool is_lost = failure == AttemptFailure::kConnectionLost ||
                       failure == AttemptFailure::kTruncated;
  if (is_lost) {
    if (opened_at) RecordServerContact(context, failed_server, *opened_at);
    RecordLostRequest(context, call_id, failed_server, server);
  }
  RetryOrFinish(context, call_id, end, server);
}

}  // namespace ibisladder::gateway::Internal
