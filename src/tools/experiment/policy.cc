#include "tools/experiment/policy.h"

#include <algorithm>
#include <cstdio>

namespace ibisladder::experiment {
namespace {

using detection::AttemptEnd;
using detection::ServerState;

template <typename... Ts>
struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <typename... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

std::string Format(const char* format, double a, double b) {
  constexpr std::size_t kSize = 96;
  char buf[kSize];
  std::snprintf(buf, sizeof(buf), format, a, b);
  return buf;
}

bool IsFailure(AttemptEnd end) {
  return end == AttemptEnd::kError || end == AttemptEnd::kCorrupt ||
         end == AttemptEnd::kLost || end == AttemptEnd::kConnectFailed ||
         end == AttemptEnd::kTimeout;
}

bool FloorAllows(const Policy& policy) {
  const auto ejected = std::count(policy.states.begin(), policy.states.end(),
                                  ServerState::kEjected);
  const auto total = static_cast<std::ptrdiff_t>(policy.states.size());
  return (total - ejected - 1) * 100 >= total * policy.floor_percent;
}

void EjectFor(Policy& policy, int server, Duration time, TimePoint now) {
  if (!FloorAllows(policy)) return;
  policy.states[server] = ServerState::kEjected;
  policy.records[server] = {};
  policy.records[server].ejected_until = now + time;
}

void CountAttempt(Policy& policy, const ConsecutiveErrors& kind, int server,
                  AttemptEnd end, TimePoint now) {
  ServerRecord& record = policy.records[server];
  if (end == AttemptEnd::kOk) record.failures = 0;
  if (!IsFailure(end)) return;
  if (++record.failures >= kind.limit) {
    EjectFor(policy, server, kind.ejection, now);
  }
}

void CountAttempt(Policy& policy, const SuccessRate& kind, int server,
                  AttemptEnd end, TimePoint now) {
  ServerRecord& record = policy.records[server];
  if (end != AttemptEnd::kOk && !IsFailure(end)) return;
  record.samples.push_back({now, end == AttemptEnd::kOk});
  while (now - record.samples.front().when > kind.window) {
    record.samples.pop_front();
  }
  const auto n = static_cast<int>(record.samples.size());
  if (n < kind.min_requests) return;
  const auto ok = std::count_if(record.samples.begin(), record.samples.end(),
                                [](const auto& it) { return it.ok; });
  if (static_cast<double>(ok) < kind.limit * n) {
    EjectFor(policy, server, kind.ejection, now);
  }
}

void ApplyChanges(Policy& policy, TimePoint now, Random& random) {
  for (const auto& it : Evaluate(*policy.detector, now, random)) {
    policy.states[it.server.value() - 1] = it.to;
  }
}

}  // namespace

std::string NameOf(const PolicyKind& kind) {
  return std::visit(
      Overloaded{[](const NoDetection&) { return std::string("no detection"); },
                 [](const ConsecutiveErrors& it) {
                   return Format("%.0f errors in a row, %.0f s", it.limit,
                                 ToSeconds(it.ejection));
                 },
                 [](const SuccessRate& it) {
                   return Format("success below %.0f%% of %.0f", it.limit * 100,
                                 it.min_requests);
                 },
                 [](const GrayDetector& it) {
                   if (it.tolerated_per_server_day < 0)
                     return std::string("ibisladder");
                   return Format("ibisladder at %g%.0s",
                                 it.tolerated_per_server_day, 0);
                 }},
      kind);
}

BackendServerId ServerIdOf(int server) {
  return BackendServerId(static_cast<std::uint64_t>(server) + 1);
}

Policy MakePolicy(const PolicyKind& kind, const ServiceProfile& service,
                  TimePoint now) {
  Policy policy;
  policy.kind = kind;
  policy.records.resize(service.servers);
  policy.states.resize(service.servers, ServerState::kHealthy);
  if (const auto* gray = std::get_if<GrayDetector>(&kind)) {
    declarations::Service declared;
    declared.name = service.name;
    declared.floor_percent = policy.floor_percent;
    declared.false_ejections_per_server_day =
        gray->tolerated_per_server_day < 0 ? service.tolerated_per_server_day
                                           : gray->tolerated_per_server_day;
    policy.detector =
        detection::MakeDetector(declared, service.idempotent, now);
  }
  return policy;
}

void SetLiveServers(Policy& policy, const std::vector<bool>& live, int slots,
                    TimePoint now) {
  if (!policy.detector) return;
  std::vector<detection::Member> members;
  for (int i = 0; i < static_cast<int>(live.size()); ++i) {
    if (live[i]) {
      members.push_back({ServerIdOf(i), static_cast<std::uint16_t>(slots)});
    }
  }
  detection::SetMembers(*policy.detector, members, now);
  for (int i = 0; i < static_cast<int>(live.size()); ++i) {
    // Routing skips servers that are not live; this is not an ejection.
    policy.states[i] = live[i]
                           ? detection::StateOf(*policy.detector, ServerIdOf(i))
                           : ServerState::kHealthy;
  }
}

void RecordAttemptStart(Policy& policy, int server, AttemptId attempt,
                        TimePoint now) {
  if (!policy.detector) return;
  detection::AttemptStarted(*policy.detector, ServerIdOf(server), attempt, now);
}

void RecordAttemptEnd(Policy& policy, int server, AttemptId attempt,
                      AttemptEnd end, TimePoint now, Random& random) {
  if (const auto* it = std::get_if<ConsecutiveErrors>(&policy.kind)) {
    CountAttempt(policy, *it, server, end, now);
  } else if (const auto* rate = std::get_if<SuccessRate>(&policy.kind)) {
    CountAttempt(policy, *rate, server, end, now);
  } else if (policy.detector) {
    detection::AttemptEnded(*policy.detector, attempt, end, now);
    ApplyChanges(policy, now, random);
  }
}

void UpdateStates(Policy& policy, TimePoint now, Random& random) {
  if (policy.detector) {
    ApplyChanges(policy, now, random);
    return;
  }
  for (std::size_t i = 0; i < policy.states.size(); ++i) {
    if (policy.states[i] != ServerState::kEjected) continue;
    if (now < policy.records[i].ejected_until) continue;
    policy.states[i] = ServerState::kHealthy;
  }
}

}  // namespace ibisladder::experiment
