#include "tools/experiment/emulator_state.h"

namespace ibisladder::experiment::Internal {

using detection::AttemptEnd;
using detection::ServerState;

namespace {

/// The instance that receives no answers while the link is broken.
constexpr int kDisconnectedInstance = 0;
/// Fraction of idempotent calls that go to a server on probation.
constexpr double kProbationFraction = 0.1;

}  // namespace

void Schedule(Emulator& emulator, TimePoint when, EventKind kind,
              std::uint64_t subject, int server) {
  emulator.events.push({when, emulator.next_order++, kind, subject, server});
}

Call* FindCall(Emulator& emulator, std::uint64_t attempt) {
  const std::uint64_t call = attempt / kMaxAttempts;
  if (call < emulator.first_call) return nullptr;
  return &emulator.calls[call - emulator.first_call];
}

bool IsMeasured(const Emulator& emulator) {
  return emulator.now >= emulator.measurement_start;
}

namespace {

bool IsConditionActive(const Emulator& emulator) {
  if (!IsMeasured(emulator)) return false;
  return (emulator.now - emulator.measurement_start) % kConditionPeriod <
         kConditionLength;
}

}  // namespace

bool ServiceIsSlow(const Emulator& emulator) {
  return emulator.scenario.condition == Condition::kSlowService &&
         IsConditionActive(emulator);
}

bool IsAffected(const Emulator& emulator, int instance, int server) {
  const Failure failure = emulator.backends[server].failure;
  if (failure == Failure::kOneDirectional) return instance % kZones != 0;
  return failure != Failure::kNone;
}

bool AnswerIsLost(const Emulator& emulator, int instance, int server) {
  if (emulator.scenario.condition == Condition::kBrokenLink &&
      instance == kDisconnectedInstance && IsConditionActive(emulator)) {
    return true;
  }
  return emulator.backends[server].failure == Failure::kOneDirectional &&
         IsAffected(emulator, instance, server);
}

void CountEjections(Emulator& emulator, Instance& instance,
                    const std::vector<ServerState>& before) {
  const auto& after = instance.policy.states;
  for (std::size_t i = 0; i < after.size(); ++i) {
    const bool was_ejected = before[i] == ServerState::kEjected;
    const bool is_ejected = after[i] == ServerState::kEjected;
    if (was_ejected == is_ejected) continue;
    if (was_ejected) instance.warm_since[i] = emulator.now;
    const bool is_failing = emulator.backends[i].failure != Failure::kNone;
    if (is_failing && is_ejected) instance.has_ejected_failing = true;
    emulator.ejected_by[i] += is_ejected ? 1 : -1;
    if (!is_ejected || is_failing || !IsMeasured(emulator)) continue;
    // An ejection out of probation belongs to the ejection before it.
    if (before[i] == ServerState::kProbation) continue;
    ++emulator.result.false_instance_ejections;
    if (emulator.ejected_by[i] == 1) ++emulator.result.false_ejections;
  }
}

namespace {

bool WasTried(const Call& call, int server) {
  for (int i = 0; i < call.attempts; ++i) {
    if (call.attempt[i].server == server) return true;
  }
  return false;
}

std::vector<int> ServersInState(const Emulator& emulator, const Call& call,
                                ServerState state) {
  std::vector<int> servers;
  const auto& states = emulator.instances[call.instance].policy.states;
  for (int i = 0; i < static_cast<int>(states.size()); ++i) {
    if (states[i] == state && emulator.backends[i].live && !WasTried(call, i)) {
      servers.push_back(i);
    }
  }
  return servers;
}

/// Returns a random server; one in its slow start is drawn less often.
int Draw(Emulator& emulator, int instance, const std::vector<int>& servers) {
  constexpr int kDraws = 4;
  int server = 0;
  for (int i = 0; i < kDraws; ++i) {
    server = servers[UniformBelow(emulator.random, servers.size())];
    const Duration warm =
        emulator.now - emulator.instances[instance].warm_since[server];
    if (UniformUnit(emulator.random) * ToSeconds(kSlowStart) <=
        ToSeconds(warm)) {
      break;
    }
  }
  return server;
}

/// Returns the server with fewer attempts in flight of two random ones, or -1
/// when there is none. Some idempotent calls go to a server on probation.
int Choose(Emulator& emulator, const Call& call) {
  Random& random = emulator.random;
  if (emulator.scenario.service.idempotent &&
      UniformUnit(random) < kProbationFraction) {
    const auto probation =
        ServersInState(emulator, call, ServerState::kProbation);
    if (!probation.empty()) return probation[0];
  }
  auto servers = ServersInState(emulator, call, ServerState::kHealthy);
  if (servers.empty()) {
    servers = ServersInState(emulator, call, ServerState::kLastResort);
  }
  if (servers.empty()) return -1;
  const int a = Draw(emulator, call.instance, servers);
  const int b = Draw(emulator, call.instance, servers);
  const auto& in_flight = emulator.instances[call.instance].in_flight;
  return in_flight[b] < in_flight[a] ? b : a;
}

void CountRequest(Emulator& emulator, int sender, int server) {
  if (!IsAffected(emulator, sender, server)) return;
  Instance& instance = emulator.instances[sender];
  if (instance.policy.states[server] == ServerState::kProbation) {
    ++emulator.result.failing_server_probation_requests;
    return;
  }
  ++emulator.result.failing_server_requests;
  if (!instance.has_ejected_failing)
    instance.last_request_to_failing = emulator.now;
}

}  // namespace

void FinishCall(Emulator& emulator, Call& call, bool good) {
  call.done = true;
  if (call.arrived < emulator.measurement_start) return;
  ++emulator.result.calls;
  emulator.result.good_calls += good ? 1 : 0;
  constexpr float kMicrosPerMilli = 1000;
  emulator.result.latencies.push_back(
      static_cast<float>((emulator.now - call.arrived).count()) /
      kMicrosPerMilli);
}

bool Send(Emulator& emulator, std::uint64_t id, Call& call) {
  if (call.attempts >= static_cast<int>(kMaxAttempts)) return false;
  const int server = Choose(emulator, call);
  if (server < 0) return false;
  Instance& instance = emulator.instances[call.instance];
  const std::uint64_t attempt = id * kMaxAttempts + call.attempts;
  call.attempt[call.attempts++] = {server, emulator.now, AttemptEnd::kOk, true};
  CountRequest(emulator, call.instance, server);
  ++instance.in_flight[server];
  RecordAttemptStart(instance.policy, server, AttemptId(attempt), emulator.now);
  Schedule(emulator, emulator.now + kNetworkDelay, EventKind::kServerArrival,
           attempt);
  return true;
}

void EndAttempt(Emulator& emulator, Call& call, std::uint64_t attempt,
                AttemptEnd end) {
  Attempt& it = call.attempt[attempt % kMaxAttempts];
  it.open = false;
  Instance& instance = emulator.instances[call.instance];
  --instance.in_flight[it.server];
  Apply(emulator, instance, [&] {
    RecordAttemptEnd(instance.policy, it.server, AttemptId(attempt), end,
                     emulator.now, emulator.random);
  });
}

}  // namespace ibisladder::experiment::Internal
