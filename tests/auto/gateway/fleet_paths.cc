#include "tests/auto/gateway/fleet_paths.h"

#include <algorithm>
#include <utility>

namespace ibisladder::gateway {
namespace {

/// Time after which instances give up a connect.
constexpr Duration kConnectTimeout = Millis(300);
/// Calls that were passed on have higher numbers than callers' ones.
constexpr std::uint64_t kFirstRelayedCall = std::uint64_t{1} << 62U;

/// Takes an open connection to the server, if there is one.
bool TakeConnection(FleetSimulation& fleet, std::size_t instance,
                    const std::string& server) {
  auto& idle = fleet.idle[{instance, server}];
  if (idle.empty()) return false;
  idle.pop_back();
  return true;
}

bool AcceptsConnections(const FleetSimulation& fleet, BackendServerId id) {
  return std::ranges::any_of(fleet.servers, [&](const auto& it) {
    return IdOf(it.second.entry) == id &&
           it.second.mode != ServerMode::kRefuses;
  });
}

}  // namespace

void CutPaths(FleetSimulation& fleet, const std::set<std::size_t>& instances,
              PathLoss how) {
  fleet.without_path = instances;
  fleet.path_loss = how;
}

void HealPaths(FleetSimulation& fleet) {
  // Connections from before the partition are of no use any more.
  std::erase_if(fleet.idle, [&](const auto& it) {
    return !GetsAnswers(fleet, it.first.first);
  });
  fleet.without_path.clear();
}

bool HasPath(const FleetSimulation& fleet, std::size_t instance) {
  return !fleet.without_path.contains(instance);
}

bool GetsAnswers(const FleetSimulation& fleet, std::size_t instance) {
  return HasPath(fleet, instance) ||
         fleet.path_loss == PathLoss::kRefusesNewConnections;
}

bool FailWithoutPath(FleetSimulation& fleet, std::size_t instance,
                     const SendAttempt& attempt) {
  ForwarderFixture& fixture = fleet.instances[instance];
  const bool is_open = TakeConnection(fleet, instance, attempt.server_name);
  switch (fleet.path_loss) {
    case PathLoss::kRefusesNewConnections:
      if (is_open) return false;
      Fail(fixture, attempt, AttemptFailure::kConnectFailed);
      break;
    case PathLoss::kResets:
      Fail(fixture, attempt,
           is_open ? AttemptFailure::kConnectionLost
                   : AttemptFailure::kConnectFailed);
      break;
    case PathLoss::kHangs:
      // A request on an open connection is lost without a sign.
      if (!is_open) {
        fleet.hung_connects.push_back(
            {instance, attempt, fleet.now + kConnectTimeout});
      }
      break;
  }
  return true;
}

void FailHungConnects(FleetSimulation& fleet) {
  std::vector<ServerRequest> due;
  std::erase_if(fleet.hung_connects, [&](const ServerRequest& it) {
    if (it.ends_at > fleet.now) return false;
    due.push_back(it);
    return true;
  });
  for (const auto& it : due) {
    Fail(fleet.instances[it.instance], it.attempt,
         AttemptFailure::kConnectFailed);
  }
}

void EndPathTests(FleetSimulation& fleet) {
  for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
    ForwarderFixture& fixture = fleet.instances[i];
    for (const auto& it : std::exchange(fixture.path_tests, {})) {
      const bool hangs =
          !HasPath(fleet, i) && fleet.path_loss == PathLoss::kHangs;
      fleet.path_tests.push_back(
          {i, it.server,
           HasPath(fleet, i) && AcceptsConnections(fleet, it.server),
           fleet.now + (hangs ? kConnectTimeout : Duration::zero())});
    }
    for (const BackendServerId id : std::exchange(fixture.closed_idle, {})) {
      for (const auto& [name, server] : fleet.servers) {
        if (IdOf(server.entry) == id) fleet.idle.erase({i, name});
      }
    }
  }
  std::vector<PathTest> due;
  std::erase_if(fleet.path_tests, [&](const PathTest& it) {
    if (it.ends_at > fleet.now) return false;
    due.push_back(it);
    return true;
  });
  for (const PathTest& it : due) {
    ForwarderFixture& fixture = fleet.instances[it.instance];
    PathTested(*fixture.forwarder, it.server, it.is_open, fleet.now);
    CollectActions(fixture);
  }
}

void ExchangePaths(FleetSimulation& fleet) {
  for (std::size_t from = 0; from < fleet.instances.size(); ++from) {
    for (const auto& it : std::exchange(fleet.instances[from].paths, {})) {
      for (std::size_t to = 0; to < fleet.instances.size(); ++to) {
        if (to == from) continue;
        MergePaths(*fleet.instances[to].forwarder, fleet.members[from].name,
                   it.lost, fleet.now);
      }
    }
  }
}

void DeliverRelay(FleetSimulation& fleet, std::size_t from,
                  const SendAttempt& attempt) {
  const std::size_t to = attempt.endpoint.port - 1U;
  ForwarderFixture& peer = fleet.instances[to];
  CallerRequest request = *attempt.request;
  request.call = CallId(kFirstRelayedCall + ++fleet.relayed);
  request.timeout = attempt.time_left;
  request.relayed = attempt.relay;
  request.caller_address = attempt.relay->caller_address;
  const bool is_lost =
      UniformBelow(fleet.random, 100) <
      static_cast<unsigned>(fleet.settings.lost_relays_percent);
  if (!is_lost) fleet.relays[{to, request.call}] = {from, attempt.attempt};
  RequestArrived(*peer.forwarder, std::move(request), fleet.now);
  CollectActions(peer);
  if (is_lost) {
    Fail(fleet.instances[from], attempt, AttemptFailure::kConnectionLost);
  }
}

bool AnswerRelays(FleetSimulation& fleet) {
  bool answered = false;
  for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
    auto& answers = fleet.instances[i].answers;
    for (auto it = answers.lower_bound(CallId(kFirstRelayedCall));
         it != answers.end();) {
      const auto relay = fleet.relays.find({i, it->first});
      const CallerAnswer answer = std::move(it->second);
      it = answers.erase(it);
      if (relay == fleet.relays.end()) continue;
      const RelayedCall origin = relay->second;
      fleet.relays.erase(relay);
      ServerAnswer result;
      result.status = answer.status;
      result.is_signed = answer.code == ResultCode::kDone;
      result.pause = answer.retry_after;
      if (!result.is_signed) result.relay_result = answer.code;
      ForwarderFixture& fixture = fleet.instances[origin.from];
      AttemptAnswered(*fixture.forwarder, origin.attempt, result, fleet.now);
      CollectActions(fixture);
      answered = true;
    }
  }
  return answered;
}

void CancelRelays(FleetSimulation& fleet, std::size_t from,
                  const std::vector<AttemptId>& cancelled) {
  std::erase_if(fleet.relays, [&](const auto& it) {
    const auto& [key, origin] = it;
    const bool is_cancelled =
        origin.from == from &&
        std::ranges::find(cancelled, origin.attempt) != cancelled.end();
    if (!is_cancelled) return false;
    ForwarderFixture& peer = fleet.instances[key.first];
    CallerLeft(*peer.forwarder, key.second, fleet.now);
    CollectActions(peer);
    return true;
  });
}

std::vector<std::uint64_t> NextCalls(const FleetSimulation& fleet) {
  std::vector<std::uint64_t> result;
  for (const auto& it : fleet.instances) result.push_back(it.last_call + 1);
  return result;
}

ServedCalls CountServed(const FleetSimulation& fleet,
                        const std::set<std::size_t>& instances,
                        const std::vector<std::uint64_t>& from,
                        const std::vector<std::uint64_t>& to) {
  ServedCalls result;
  for (const std::size_t instance : instances) {
    const auto& answers = fleet.instances[instance].answers;
    for (std::uint64_t id = from[instance]; id < to[instance]; ++id) {
      ++result.arrived;
      const auto it = answers.find(CallId(id));
      if (it != answers.end() && it->second.status == 200) ++result.served;
    }
  }
  return result;
}

}  // namespace ibisladder::gateway
