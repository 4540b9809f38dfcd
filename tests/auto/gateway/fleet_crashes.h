#ifndef TESTS_AUTO_GATEWAY_FLEET_CRASHES_H_
#define TESTS_AUTO_GATEWAY_FLEET_CRASHES_H_

#include "tests/auto/gateway/fleet_simulation.h"

/// Crashes of a simulated fleet's servers.
namespace ibisladder::gateway {

/// Returns whether the request crashes the server that executes it.
bool IsCrashing(const FleetSimulation& fleet, const ServerRequest& request);
/// Ends all requests of a server and its connections.
void EndRequests(FleetSimulation& fleet, SimulatedServer& server);
/// Crashes the server if it has executed a crashing request.
void CrashIfDue(FleetSimulation& fleet, SimulatedServer& server);
/// Starts the crashed servers whose time has come.
void StartCrashedServers(FleetSimulation& fleet);

}  // namespace ibisladder::gateway

#endif  // TESTS_AUTO_GATEWAY_FLEET_CRASHES_H_
