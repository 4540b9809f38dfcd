#ifndef TESTS_AUTO_GATEWAY_FLEET_EXCHANGE_H_
#define TESTS_AUTO_GATEWAY_FLEET_EXCHANGE_H_

#include "tests/auto/gateway/fleet_simulation.h"

/// Messages between the instances of a simulated fleet. They take no time.
namespace ibisladder::gateway {

bool AreConnected(const FleetSimulation& fleet, std::size_t a, std::size_t b);

/// Carries requests for permits to the keepers, and their replies back.
/// Instances are addressed by their numbers as ports. Returns whether there was
/// any.
bool ExchangePermits(FleetSimulation& fleet);
void ExchangeEvidence(FleetSimulation& fleet);
void ExchangeLimits(FleetSimulation& fleet);
void ExchangeCrashes(FleetSimulation& fleet);

}  // namespace ibisladder::gateway

#endif  // TESTS_AUTO_GATEWAY_FLEET_EXCHANGE_H_
