#include "tools/experiment/emulator.h"

#include "tools/experiment/emulator_state.h"

namespace ibisladder::experiment {

using detection::AttemptEnd;
using Internal::Attempt;
using Internal::Call;
using Internal::Emulator;
using Internal::Event;
using Internal::EventKind;
using Internal::Instance;
using Internal::kFailingServer;
using Internal::kMaxAttempts;
using Internal::kMaxRetryTokens;
using Internal::kNetworkDelay;
using Internal::kSlowStart;

namespace {

constexpr Duration kTickInterval = Millis(100);
constexpr Duration kExchangeInterval = Millis(500);
constexpr Duration kProbeTime = Millis(25);
constexpr Duration kProbeTimeout = Seconds(1);
constexpr double kDatagramLoss = 0.02;
constexpr std::size_t kDigestLimit = 20;
constexpr std::size_t kQueueLimit = 12;
constexpr double kRetryBudget = 0.1;

void StartExecution(Emulator& emulator, std::uint64_t attempt, int server) {
  Backend& backend = emulator.backends[server];
  ++backend.busy;
  const Execution execution =
      DrawExecution(backend, emulator.scenario.service, emulator.noise,
                    ServiceIsSlow(emulator), emulator.now, emulator.random);
  Call* call = FindCall(emulator, attempt);
  const bool is_one_way = call != nullptr &&
                          AnswerIsLost(emulator, call->instance, server) &&
                          backend.failure == Failure::kOneDirectional;
  if (execution.is_faulty || is_one_way) {
    emulator.first_fault = std::min(emulator.first_fault, emulator.now);
  }
  if (!execution.duration) return;
  if (call != nullptr)
    call->attempt[attempt % kMaxAttempts].end = execution.end;
  Schedule(emulator, emulator.now + *execution.duration, EventKind::kFinish,
           attempt, server);
}

void OnCallArrival(Emulator& emulator) {
  const Duration mean(
      static_cast<std::int64_t>(1e6 / emulator.scenario.service.rate));
  Schedule(emulator, emulator.now + DrawExponential(mean, emulator.random),
           EventKind::kCallArrival);
  const std::uint64_t id = emulator.first_call + emulator.calls.size();
  Call& call = emulator.calls.emplace_back();
  call.instance = static_cast<int>(
      UniformBelow(emulator.random, emulator.instances.size()));
  call.arrived = emulator.now;
  Instance& instance = emulator.instances[call.instance];
  instance.retry_tokens =
      std::min(kMaxRetryTokens, instance.retry_tokens + kRetryBudget);
  Schedule(emulator, emulator.now + emulator.scenario.service.deadline,
           EventKind::kDeadline, id);
  if (!Send(emulator, id, call)) FinishCall(emulator, call, false);
}

void OnServerArrival(Emulator& emulator, std::uint64_t attempt) {
  Call* call = FindCall(emulator, attempt);
  if (call == nullptr) return;
  const int server = call->attempt[attempt % kMaxAttempts].server;
  Backend& backend = emulator.backends[server];
  if (!backend.live) {
    call->attempt[attempt % kMaxAttempts].end = AttemptEnd::kConnectFailed;
  } else if (backend.busy < backend.slots ||
             backend.failure == Failure::kStall) {
    StartExecution(emulator, attempt, server);
    return;
  } else if (backend.queue.size() < kQueueLimit) {
    backend.queue.push_back(attempt);
    return;
  } else {
    call->attempt[attempt % kMaxAttempts].end = AttemptEnd::kShed;
  }
  Schedule(emulator, emulator.now + kNetworkDelay, EventKind::kAnswer, attempt);
}

void OnFinish(Emulator& emulator, std::uint64_t attempt, int server) {
  Backend& backend = emulator.backends[server];
  if (emulator.now < backend.pause_until) {
    Schedule(emulator, backend.pause_until, EventKind::kFinish, attempt,
             server);
    return;
  }
  --backend.busy;
  if (!backend.queue.empty()) {
    const std::uint64_t next = backend.queue.front();
    backend.queue.pop_front();
    StartExecution(emulator, next, server);
  }
  Call* call = FindCall(emulator, attempt);
  if (call == nullptr || AnswerIsLost(emulator, call->instance, server)) return;
  Schedule(emulator, emulator.now + kNetworkDelay, EventKind::kAnswer, attempt);
}

bool MayRetry(Emulator& emulator, const Call& call, AttemptEnd end) {
  const bool was_not_run =
      end == AttemptEnd::kShed || end == AttemptEnd::kConnectFailed;
  if (!emulator.scenario.service.idempotent && !was_not_run) return false;
  double& tokens = emulator.instances[call.instance].retry_tokens;
  if (tokens < 1) return false;
  tokens -= 1;
  return true;
}

void OnAnswer(Emulator& emulator, std::uint64_t attempt) {
  Call* call = FindCall(emulator, attempt);
  if (call == nullptr) return;
  const Attempt& it = call->attempt[attempt % kMaxAttempts];
  if (!it.open) return;
  const AttemptEnd end = it.end;
  EndAttempt(emulator, *call, attempt, end);
  if (end == AttemptEnd::kOk) {
    FinishCall(emulator, *call, true);
    return;
  }
  if (MayRetry(emulator, *call, end) &&
      Send(emulator, attempt / kMaxAttempts, *call)) {
    emulator.result.retries += IsMeasured(emulator) ? 1 : 0;
    return;
  }
  FinishCall(emulator, *call, false);
}

void OnDeadline(Emulator& emulator, std::uint64_t id) {
  Call* call = FindCall(emulator, id * kMaxAttempts);
  if (call != nullptr && !call->done) {
    const std::uint64_t attempt = id * kMaxAttempts + call->attempts - 1;
    if (call->attempt[call->attempts - 1].open) {
      EndAttempt(emulator, *call, attempt, AttemptEnd::kTimeout);
    }
    FinishCall(emulator, *call, false);
  }
  while (!emulator.calls.empty() && emulator.calls.front().done) {
    emulator.calls.pop_front();
    ++emulator.first_call;
  }
}

void OnTick(Emulator& emulator) {
  Schedule(emulator, emulator.now + kTickInterval, EventKind::kTick);
  for (std::size_t i = 0; i < emulator.instances.size(); ++i) {
    Instance& instance = emulator.instances[i];
    Apply(emulator, instance, [&] {
      UpdateStates(instance.policy, emulator.now, emulator.random);
    });
    if (!instance.policy.detector) continue;
    for (const auto& id :
         detection::ProbesDue(*instance.policy.detector, emulator.now)) {
      const int server = static_cast<int>(id.value() - 1);
      if (!instance.probed.insert(server).second) continue;
      const bool is_lost = AnswerIsLost(emulator, static_cast<int>(i), server);
      Schedule(emulator, emulator.now + (is_lost ? kProbeTimeout : kProbeTime),
               EventKind::kProbe, i, server);
    }
  }
}

/// Sends evidence of one instance to all others, in datagrams that may be lost.
void OnExchange(Emulator& emulator, std::uint64_t sender) {
  Schedule(emulator, emulator.now + kExchangeInterval, EventKind::kExchange,
           sender);
  const auto& from = emulator.instances[sender].policy.detector;
  if (!from) return;
  const auto digests =
      detection::OwnDigests(*from, ServiceId(1), kDigestLimit, emulator.now);
  if (digests.empty()) return;
  for (std::size_t i = 0; i < emulator.instances.size(); ++i) {
    if (i == sender || UniformUnit(emulator.random) < kDatagramLoss) continue;
    detection::MergePeerDigests(
        *emulator.instances[i].policy.detector,
        InstanceId(static_cast<std::uint32_t>(sender) + 1), digests,
        emulator.now);
  }
}

void OnProbe(Emulator& emulator, std::uint64_t instance, int server) {
  Instance& prober = emulator.instances[instance];
  prober.probed.erase(server);
  detection::Detector& detector = *prober.policy.detector;
  if (AnswerIsLost(emulator, static_cast<int>(instance), server)) {
    detection::ProbeUnanswered(detector, ServerIdOf(server), kProbeTimeout,
                               emulator.now);
  } else {
    detection::ProbeEnded(detector, ServerIdOf(server),
                          emulator.backends[server].live, emulator.now);
  }
}

void OnPause(Emulator& emulator, int server) {
  const auto max_micros =
      static_cast<std::uint64_t>(emulator.noise.max_pause.count());
  emulator.backends[server].pause_until =
      emulator.now + Duration(static_cast<std::int64_t>(
                         UniformBelow(emulator.random, max_micros)));
  Schedule(emulator,
           emulator.now + DrawExponential(emulator.noise.mean_pause_interval,
                                          emulator.random),
           EventKind::kPause, 0, server);
}

void UpdateLiveServers(Emulator& emulator) {
  std::vector<bool> live;
  for (const auto& it : emulator.backends) live.push_back(it.live);
  for (auto& it : emulator.instances) {
    Apply(emulator, it, [&] {
      SetLiveServers(it.policy, live, emulator.scenario.service.slots,
                     emulator.now);
    });
  }
}

void OnReplace(Emulator& emulator) {
  emulator.replaced_server =
      static_cast<int>(UniformBelow(emulator.random, emulator.backends.size()));
  emulator.backends[emulator.replaced_server].live = false;
  UpdateLiveServers(emulator);
  Schedule(emulator, emulator.now + kReplacementGap, EventKind::kReturn);
  Schedule(emulator, emulator.now + kReplacementPeriod, EventKind::kReplace);
}

void OnReturn(Emulator& emulator) {
  Backend& backend = emulator.backends[emulator.replaced_server];
  backend.live = true;
  backend.cold_until = emulator.now + kColdTime;
  for (auto& it : emulator.instances) {
    it.warm_since[emulator.replaced_server] = emulator.now;
  }
  UpdateLiveServers(emulator);
}

void Handle(Emulator& emulator, const Event& event) {
  switch (event.kind) {
    case EventKind::kCallArrival:
      return OnCallArrival(emulator);
    case EventKind::kServerArrival:
      return OnServerArrival(emulator, event.subject);
    case EventKind::kFinish:
      return OnFinish(emulator, event.subject, event.server);
    case EventKind::kAnswer:
      return OnAnswer(emulator, event.subject);
    case EventKind::kDeadline:
      return OnDeadline(emulator, event.subject);
    case EventKind::kTick:
      return OnTick(emulator);
    case EventKind::kExchange:
      return OnExchange(emulator, event.subject);
    case EventKind::kProbe:
      return OnProbe(emulator, event.subject, event.server);
    case EventKind::kPause:
      return OnPause(emulator, event.server);
    case EventKind::kFail:
      emulator.backends[kFailingServer].failure = emulator.scenario.failure;
      emulator.backends[kFailingServer].failing_since = emulator.now;
      return;
    case EventKind::kReplace:
      return OnReplace(emulator);
    case EventKind::kReturn:
      return OnReturn(emulator);
  }
}

void SetUp(Emulator& emulator, const PolicyKind& kind) {
  const ServiceProfile& service = emulator.scenario.service;
  for (int i = 0; i < service.servers; ++i) {
    Backend& it = emulator.backends.emplace_back();
    it.slots = service.slots;
    const double spread = 2 * UniformUnit(emulator.random) - 1;
    it.speed = 1 + emulator.noise.server_spread * spread;
    Schedule(emulator,
             emulator.now + DrawExponential(emulator.noise.mean_pause_interval,
                                            emulator.random),
             EventKind::kPause, 0, i);
  }
  emulator.ejected_by.assign(service.servers, 0);
  for (int i = 0; i < emulator.scenario.instances; ++i) {
    emulator.instances.push_back(
        {MakePolicy(kind, service, emulator.now),
         std::vector<int>(service.servers),
         std::vector<TimePoint>(service.servers, emulator.now - kSlowStart),
         emulator.now});
    Schedule(emulator,
             emulator.now + Duration(static_cast<std::int64_t>(UniformBelow(
                                emulator.random, kExchangeInterval.count()))),
             EventKind::kExchange, i);
  }
  UpdateLiveServers(emulator);
  Schedule(emulator, emulator.now, EventKind::kCallArrival);
  Schedule(emulator, emulator.now, EventKind::kTick);
  if (emulator.scenario.failure != Failure::kNone) {
    Schedule(emulator, emulator.measurement_start, EventKind::kFail);
  }
  if (emulator.scenario.condition == Condition::kColdStarts) {
    Schedule(emulator, emulator.measurement_start, EventKind::kReplace);
  }
}

void FinishResult(Emulator& emulator) {
  RunResult& result = emulator.result;
  constexpr double kSecondsPerDay = 86400;
  result.healthy_server_days = ToSeconds(emulator.scenario.measured_time) *
                               emulator.scenario.service.servers /
                               kSecondsPerDay;
  if (emulator.first_fault == TimePoint::max()) return;
  result.detected_by_all = true;
  for (const auto& it : emulator.instances) {
    if (it.last_request_to_failing < emulator.first_fault) continue;
    result.detection = std::max(
        result.detection, it.last_request_to_failing - emulator.first_fault);
    if (!it.has_ejected_failing) result.detected_by_all = false;
  }
}

}  // namespace

RunResult Run(const Scenario& scenario, const PolicyKind& policy) {
  Emulator emulator{.scenario = scenario, .random = Random(scenario.seed)};
  emulator.measurement_start = emulator.now + scenario.warm_up;
  emulator.end = emulator.measurement_start + scenario.measured_time;
  SetUp(emulator, policy);
  while (!emulator.events.empty()) {
    const Event event = emulator.events.top();
    emulator.events.pop();
    if (event.when > emulator.end) break;
    emulator.now = event.when;
    Handle(emulator, event);
  }
  FinishResult(emulator);
  return std::move(emulator.result);
}

}  // namespace ibisladder::experiment
