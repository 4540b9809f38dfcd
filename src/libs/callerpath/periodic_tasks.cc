// Timers and periodic tasks: deadlines, evaluation, probes, updates to peers
// and the planned stop. Also the handlers and logging helpers that these need.
#include <algorithm>
#include <cmath>

#include "libs/callerpath/path_state.h"
#include "libs/callerpath/replies.h"

namespace ibisladder::callerpath::Internal {
namespace {

constexpr Duration kEvaluationInterval = Millis(100);
constexpr Duration kUpdateInterval = Millis(500);
/// Digests in one update; they fit a datagram.
constexpr std::size_t kMaxUpdateDigests = 24;
/// Servers in one update that report themselves draining.
constexpr std::size_t kMaxUpdateLeaving = 16;
/// Time after which a probe without a reported end no longer prevents the next
/// one.
constexpr Duration kProbeExpiry = Seconds(3);
/// Time after the last report at which a draining server is probed again.
constexpr Duration kDrainProbeInterval = Seconds(5);
/// Time after the last report at which a server stops counting as draining, for
/// example because its service has no health path to probe.
constexpr Duration kDrainExpiry = Seconds(60);

void AnswerExpiredCall(Context& context, CallId id) {
  CallerPath& path = context.path;
  const Call call = path.calls.at(id);
  ResultCode code = ResultCode::kHomeUnreachable;
  if (call.kind == Call::Kind::kWaiting) {
    Execution& execution = path.executions.at(call.execution);
    std::erase(execution.waiters, id);
    code = execution.attempt ? ResultCode::kDeadlineAfterDispatch
                             : ResultCode::kStillRunning;
  }
  LogAnswer(context, call.request_id, code);
  FinishCall(context, id, MakeReply(code, RetryAfterOf(code, context.random)));
}

void RunTimers(Context& context) {
  auto& timers = context.path.timers;
  while (!timers.empty() && timers.begin()->at <= context.now) {
    const Timer timer = *timers.begin();
    timers.erase(timers.begin());
    if (timer.kind == Timer::Kind::kExecution) {
      ExpireExecution(context, timer.id);
    } else {
      AnswerExpiredCall(context, timer.id);
    }
  }
}

void Probe(Context& context, const ServiceState& service, BackendServerId id) {
  CallerPath& path = context.path;
  const auto server = service.servers.find(id);
  if (server == service.servers.end()) return;
  if (service.declared->health_path.empty()) return;
  if (const auto it = path.probes.find(id);
      it != path.probes.end() && context.now - it->second < kProbeExpiry) {
    return;
  }
  path.probes[id] = context.now;
  context.actions.emplace_back(SendProbe{id, server->second.declared->endpoint,
                                         service.declared->health_path});
}

/// Probes servers that reported themselves draining, to find out whether they
/// still are.
void ProbeDrainingServers(Context& context) {
  CallerPath& path = context.path;
  std::vector<BackendServerId> forgotten;
  for (const auto& [id, last_seen] : path.seen_draining) {
    if (context.now - last_seen < kDrainProbeInterval) continue;
    const auto service = path.service_of_server.find(id);
    if (service == path.service_of_server.end() ||
        context.now - last_seen >= kDrainExpiry) {
      forgotten.push_back(id);
      continue;
    }
    Probe(context, path.services.at(service->second), id);
  }
  for (const BackendServerId it : forgotten) SetDraining(context, it, false);
}

void EvaluateAll(Context& context) {
  CallerPath& path = context.path;
  if (context.now < path.next_evaluation) return;
  path.next_evaluation = context.now + kEvaluationInterval;
  for (auto& [id, service] : path.services) {
    EvaluateService(context, service);
    for (const BackendServerId it :
         detection::ProbesDue(*service.detector, context.now)) {
      Probe(context, service, it);
    }
  }
  ProbeDrainingServers(context);
}

/// Returns the digests with the highest scores across all services.
std::vector<detection::Digest> ChooseDigests(const CallerPath& path,
                                             TimePoint now) {
  std::vector<detection::Digest> digests;
  for (const auto& [id, service] : path.services) {
    const auto own =
        detection::OwnDigests(*service.detector, id, kMaxUpdateDigests, now);
    digests.insert(digests.end(), own.begin(), own.end());
  }
  std::stable_sort(digests.begin(), digests.end(),
                   [](const auto& left, const auto& right) {
                     if (left.score != right.score) {
                       return left.score > right.score;
                     }
                     return left.server < right.server;
                   });
  if (digests.size() > kMaxUpdateDigests) digests.resize(kMaxUpdateDigests);
  return digests;
}

void SendServerUpdate(Context& context) {
  CallerPath& path = context.path;
  if (context.now < path.next_update) return;
  path.next_update = context.now + kUpdateInterval;
  PublishServerUpdate update;
  update.digests = ChooseDigests(path, context.now);
  for (const auto& [id, last_seen] : path.seen_draining) {
    if (update.leaving.size() < kMaxUpdateLeaving) update.leaving.push_back(id);
  }
  context.actions.emplace_back(std::move(update));
}

void ReportStopCompleted(Context& context) {
  CallerPath& path = context.path;
  if (path.has_reported_stop_completed || !IsStopped(path, context.now)) return;
  if (!path.executions.empty() || !path.calls.empty()) return;
  path.has_reported_stop_completed = true;
  context.actions.emplace_back(StopCompleted{});
}

}  // namespace

void SetExecutionTimer(CallerPath& path, ExecutionId id, TimePoint at) {
  path.executions.at(id).expires = at;
  path.timers.insert({at, Timer::Kind::kExecution, id});
}

void SetCallTimer(CallerPath& path, CallId id, TimePoint at) {
  path.timers.insert({at, Timer::Kind::kCall, id});
}

void ForgetCall(CallerPath& path, CallId id) {
  const auto it = path.calls.find(id);
  if (it == path.calls.end()) return;
  path.timers.erase({it->second.deadline, Timer::Kind::kCall, id});
  path.calls.erase(it);
}

bool IsStopped(const CallerPath& path, TimePoint now) {
  return path.stop_at && now >= *path.stop_at;
}

void Log(Context& context, LogEvent event, std::vector<LogField> fields) {
  context.actions.emplace_back(WriteLog{{event, std::move(fields)}});
}

void LogAnswer(Context& context, const std::string& request_id,
               ResultCode code) {
  const Outcome outcome = OutcomeOf(code);
  Log(context,
      outcome == Outcome::kNotRun ? LogEvent::kCallRefused
                                  : LogEvent::kCallAnswered,
      {{"request", request_id},
       {"code", std::to_string(static_cast<int>(code))},
       {"outcome", std::string(OutcomeName(outcome))}});
}

void HandleProbeEnded(Context& context, const ProbeEnded& event) {
  CallerPath& path = context.path;
  path.probes.erase(event.server);
  const auto it = path.service_of_server.find(event.server);
  if (it == path.service_of_server.end()) return;
  ServiceState& service = path.services.at(it->second);
  if (event.unanswered_for) {
    detection::ProbeUnanswered(*service.detector, event.server,
                               *event.unanswered_for, context.now);
  } else {
    detection::ProbeEnded(*service.detector, event.server, event.ok,
                          context.now);
  }
  if (event.draining || event.ok) {
    SetDraining(context, event.server, event.draining);
  }
  EvaluateService(context, service);
}

void HandleStopRequested(Context& context, const StopRequested& /*event*/) {
  CallerPath& path = context.path;
  if (path.stop_at) return;
  Duration served = Duration::zero();
  if (path.configuration) {
    served =
        path.configuration->declarations.keep_addresses + path.longest_deadline;
  }
  path.stop_at = context.now + served;
  Log(context, LogEvent::kInstanceLeaving,
      {{"reason", "stop"}, {"serves_ms", std::to_string(ToMillis(served))}});
}

void HandleDrainChanged(Context& context, const DrainChanged& event) {
  context.path.is_drained = event.drained;
  Log(context, LogEvent::kInstanceLeaving,
      {{"reason", event.drained ? "drained" : "undrained"}});
}

void HandleTick(Context& context) {
  RunTimers(context);
  UpdateQuotas(context);
  for (auto& [id, service] : context.path.services) {
    PlaceQueued(context, service);
  }
  EvaluateAll(context);
  SendServerUpdate(context);
  ReportStopCompleted(context);
}

}  // namespace ibisladder::callerpath::Internal
