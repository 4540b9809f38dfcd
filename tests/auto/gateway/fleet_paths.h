#ifndef TESTS_AUTO_GATEWAY_FLEET_PATHS_H_
#define TESTS_AUTO_GATEWAY_FLEET_PATHS_H_

#include "tests/auto/gateway/fleet_simulation.h"

/// Partitions between instances and all servers of the simulation.
namespace ibisladder::gateway {

/// Cuts the instances off from all servers; answers of running requests are
/// lost unless open connections live on.
void CutPaths(FleetSimulation& fleet, const std::set<std::size_t>& instances,
              PathLoss how);
void HealPaths(FleetSimulation& fleet);

bool HasPath(const FleetSimulation& fleet, std::size_t instance);
/// Whether the server's answers reach the instance.
bool GetsAnswers(const FleetSimulation& fleet, std::size_t instance);
/// Ends an attempt of an instance without a path as the partition does. Returns
/// false if it uses a connection that lives on.
bool FailWithoutPath(FleetSimulation& fleet, std::size_t instance,
                     const SendAttempt& attempt);
/// Fails the connects whose time is over.
void FailHungConnects(FleetSimulation& fleet);

/// Ends the connections for path tests that are due, and begins new ones.
void EndPathTests(FleetSimulation& fleet);
/// Tells all instances which paths others have lost.
void ExchangePaths(FleetSimulation& fleet);

/// Delivers a request to the instance to which it is passed on.
void DeliverRelay(FleetSimulation& fleet, std::size_t from,
                  const SendAttempt& attempt);
/// Returns the answers of requests that were passed on. Returns whether there
/// were any.
bool AnswerRelays(FleetSimulation& fleet);
void CancelRelays(FleetSimulation& fleet, std::size_t from,
                  const std::vector<AttemptId>& cancelled);

/// Calls that arrived since `first_calls` was taken, and those answered 200.
struct ServedCalls {
  std::size_t arrived = 0;
  std::size_t served = 0;
};
/// Numbers of the next calls of all instances.
std::vector<std::uint64_t> NextCalls(const FleetSimulation& fleet);
/// Counts the calls between two results of NextCalls at these instances.
ServedCalls CountServed(const FleetSimulation& fleet,
                        const std::set<std::size_t>& instances,
                        const std::vector<std::uint64_t>& from,
                        const std::vector<std::uint64_t>& to);

}  // namespace ibisladder::gateway

#endif  // TESTS_AUTO_GATEWAY_FLEET_PATHS_H_
