// Ends calls: answers, deadlines and callers that leave.
#include <algorithm>
#include <utility>

#include "libs/gateway/admission_calls.h"
#include "libs/gateway/forwarder_state.h"

namespace ibisladder::gateway::Internal {
namespace {

/// A server is not blamed for a streamed answer that is incomplete at the
/// deadline if the caller held it up within this time before.
constexpr Duration kHeldUpTime = Seconds(1);

constexpr int kStatusUnauthorised = 401;
constexpr int kStatusNotFound = 404;
constexpr int kStatusRequestTimeout = 408;
constexpr int kStatusMisdirected = 421;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusTimeout = 504;
constexpr int kFirstServerError = 500;
/// Maximum number of combinations of service, route and outcome before new ones
/// are counted under the route "other".
constexpr std::size_t kMaxTrafficKeys = 200;

int StatusOf(ResultCode code) {
  switch (code) {
    case ResultCode::kKeyUnknown:
      return kStatusUnauthorised;
    case ResultCode::kOrganisationLimit:
      return kStatusTooManyRequests;
    case ResultCode::kNoRoute:
      return kStatusNotFound;
    case ResultCode::kDeadlineAfterDispatch:
      return kStatusTimeout;
    default:
      // Instances of another build may have codes that are not known here.
      return OutcomeOf(code) == Outcome::kNotRun ? kStatusUnavailable
                                                 : kStatusBadGateway;
  }
}

bool IsRefusal(const CallerAnswer& answer) {
  return answer.code != ResultCode::kDone &&
         (answer.status == kStatusUnavailable ||
          answer.status == kStatusTooManyRequests);
}

/// Whether the answer says something about the call's organisation only, and
/// nothing about the service. Otherwise one caller without a key would make the
/// service look as if it failed, and send others' requests to bad servers.
bool ConcernsOrganisation(ResultCode code) {
  return code == ResultCode::kKeyUnknown ||
         code == ResultCode::kKeyUnverified ||
         code == ResultCode::kOrganisationLimit;
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
  // A failed trial is no lack of servers, and would cause further trials.
  const bool is_harm_of_trial = context.forwarder.has_competing_callers &&
                                call.is_trial && !is_served &&
                                !IsRefusal(answer);
  if (is_harm_of_trial) return;
  for (const auto& it : call.route.services) {
    const auto service =
        context.forwarder.services.find(MakeServiceId(it.service));
    if (service == context.forwarder.services.end()) continue;
    routing::RecordCallOutcome(*service->second.router, is_served);
  }
}

/// Counts and logs the answer of a call, and tells the services of its route.
void RecordAnswer(Context& context, const Call& call,
                  const CallerAnswer& answer) {
  const bool is_refused = IsRefusal(answer);
  // The instance where it arrived first counts it.
  if (!call.request->relayed) CountAnswer(context, call, answer);
  if (!ConcernsOrganisation(answer.code)) RecordOutcome(context, call, answer);
  std::vector<LogField> fields = {
      {"request", call.request->request_id},
      {"route", call.route.name},
      {"status", std::to_string(answer.status)},
      {"result", std::to_string(static_cast<int>(answer.code))},
      {"attempts", std::to_string(call.attempts)},
      {"last_failure", call.last_failure},
      {"took_ms", FormatMillis(context.now - call.arrived_at)}};
  if (is_refused && !call.refusal.empty()) {
    fields.push_back({"reason", call.refusal});
  }
  Log(context, is_refused ? LogEvent::kCallRefused : LogEvent::kCallAnswered,
      std::move(fields));
}

}  // namespace

bool PromisesNotRun(int status) {
  return status == kStatusRequestTimeout || status == kStatusMisdirected ||
         status == kStatusTooManyRequests || status == kStatusUnavailable;
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
  ReleaseAdmission(context, id);
  if (!call.may_have_run && call.in_flight.empty()) ReleaseCredit(context, id);
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
  ReleaseAdmission(context, id);
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
                    Duration retry_after, bool closes_connection) {
  CallerAnswer answer;
  answer.close = closes_connection;
  answer.code = code;
  answer.status = StatusOf(code);
  if (IsRefusal(answer)) answer.retry_after = retry_after;
  CountRefused(context, context.forwarder.calls.at(id));
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

void Finish(Context& context, CallId id, CallerAnswer answer) {
  Forwarder& forwarder = context.forwarder;
  const auto it = forwarder.calls.find(id);
  const bool has_left = it->second.caller_left;
  // Holds for all reasons for which an answer is given.
  if (it->second.may_have_run && PromisesNotRun(answer.status)) {
    answer = {};
    answer.code = ResultCode::kServerConnectionLost;
    answer.status = kStatusBadGateway;
  }
  if (IsRefusal(answer)) ReleaseCredit(context, id);
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
