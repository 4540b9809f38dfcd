#include "tests/auto/gateway/fleet_paths.h"

#include <algorithm>
#include <utility>

namespace ibisladder::gateway {
namespace {

/// Time after which instances give up a connect.
constexpr Duration kConnectTimeout = Millis(300);

/// Takes an open connection to the server, if there is one.
bool TakeConnection(FleetSimulation& fleet, std::size_t instance,
                    const std::string& server) {
  auto& idle = fleet.idle[{instance, server}];
  if (idle.empty()) return false;
  idle.pop_back();
  return true;
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
