// Outcomes of request ids, and answers of relayed calls.
#include <algorithm>

#include "libs/callerpath/path_state.h"
#include "libs/callerpath/replies.h"

namespace ibisladder::callerpath::Internal {
namespace {

/// Timeout for the home's answer about an outcome.
constexpr Duration kOutcomeTimeout = Seconds(2);

void Reply(Context& context, CallId call, ResultCode code) {
  FinishCall(context, call,
             MakeReply(code, RetryAfterOf(code, context.random)));
}

void RelayOutcomeRequest(Context& context, const OutcomeRequested& event,
                         const requests::RequestId& id) {
  CallerPath& path = context.path;
  const FleetMember* home = FindFleetMember(path, id.ticket.instance);
  if (event.relayed_by || home == nullptr) {
    Reply(context, event.call, ResultCode::kHomeUnreachable);
    return;
  }
  Call call;
  call.kind = Call::Kind::kOutcomeRelayed;
  call.deadline = context.now + kOutcomeTimeout;
  call.request_id = event.request_id;
  path.calls.emplace(event.call, std::move(call));
  SetCallTimer(path, event.call, context.now + kOutcomeTimeout);
  ++path.counters.relayed;
  Log(context, LogEvent::kCallRelayed,
      {{"request", event.request_id},
       {"home", std::to_string(home->instance.value())},
       {"reason", event.settle ? "settle" : "outcome"}});
  context.actions.emplace_back(RelayOutcome{event.call, home->instance,
                                            home->peer_endpoint,
                                            event.request_id, event.settle});
}

/// Settles an id: one that has not been dispatched never will be.
void Settle(Context& context, const OutcomeRequested& event,
            const requests::RequestId& id) {
  CallerPath& path = context.path;
  if (requests::FindRecord(path.table, id) == nullptr) {
    const ResultCode code =
        requests::RefuseUnrecorded(path.table, id, ResultCode::kSettledNotRun);
    Log(context, LogEvent::kCallSettled,
        {{"request", event.request_id},
         {"outcome", std::string(OutcomeName(OutcomeOf(code)))}});
    Reply(context, event.call, code);
    return;
  }
  const auto it = path.executions_by_id.find(event.request_id);
  if (it != path.executions_by_id.end() &&
      !path.executions.at(it->second).attempt) {
    GiveUp(context, it->second, ResultCode::kSettledNotRun);
  }
  const CallerAnswer answer =
      AnswerFromRecord(context, *requests::FindRecord(path.table, id));
  Log(context, LogEvent::kCallSettled,
      {{"request", event.request_id},
       {"outcome", std::string(OutcomeName(OutcomeOf(answer.code)))}});
  FinishCall(context, event.call, answer);
}

}  // namespace

const FleetMember* FindFleetMember(const CallerPath& path,
                                   InstanceId instance) {
  const auto it = std::find_if(
      path.fleet.begin(), path.fleet.end(),
      [&](const FleetMember& member) { return member.instance == instance; });
  return it == path.fleet.end() ? nullptr : &*it;
}

CallerAnswer AnswerFromRecord(Context& context,
                              const requests::Record& record) {
  ResultCode code = record.code;
  if (record.state == requests::RecordState::kQueued ||
      record.state == requests::RecordState::kDispatched) {
    code = ResultCode::kStillRunning;
  } else if (code == ResultCode::kDone && !record.answer) {
    code = ResultCode::kAnswerNotKept;
  }
  if (code != ResultCode::kDone) {
    return MakeReply(code, RetryAfterOf(code, context.random));
  }
  CallerAnswer answer;
  answer.code = ResultCode::kDone;
  answer.status = record.answer->status;
  answer.headers = record.answer->headers;
  answer.body = record.answer->body;
  return answer;
}

void HandleOutcomeRequested(Context& context, const OutcomeRequested& event) {
  CallerPath& path = context.path;
  const auto id = requests::ParseRequestId(event.request_id);
  if (!id) {
    Reply(context, event.call, ResultCode::kTicketInvalid);
    return;
  }
  if (id->ticket.instance != path.settings.instance) {
    RelayOutcomeRequest(context, event, *id);
    return;
  }
  if (event.settle) {
    Settle(context, event, *id);
    return;
  }
  if (const auto* record = requests::FindRecord(path.table, *id)) {
    FinishCall(context, event.call, AnswerFromRecord(context, *record));
    return;
  }
  Reply(context, event.call, requests::CodeOfUnrecorded(path.table, *id));
}

void HandleRelayAnswered(Context& context, const RelayAnswered& event) {
  const auto it = context.path.calls.find(event.call);
  if (it == context.path.calls.end() ||
      it->second.kind == Call::Kind::kWaiting) {
    ++context.path.counters.late_answers;
    Log(context, LogEvent::kLateAnswerDropped,
        {{"call", std::to_string(event.call.value())}});
    return;
  }
  FinishCall(context, event.call, event.answer);
}

void HandleRelayFailed(Context& context, const RelayFailed& event) {
  const auto it = context.path.calls.find(event.call);
  if (it == context.path.calls.end() ||
      it->second.kind == Call::Kind::kWaiting) {
    return;
  }
  // The outcome is unknown even when the relay was not sent: the caller may
  // have sent the same id to its home before.
  Reply(context, event.call, ResultCode::kHomeUnreachable);
}

}  // namespace ibisladder::callerpath::Internal
