#include "tests/auto/gateway/fleet_crashes.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace ibisladder::gateway {
namespace {

/// Time from a server's crash to its next start.
constexpr Duration kRestartTime = Seconds(3);

}  // namespace

bool IsCrashing(const FleetSimulation& fleet, const ServerRequest& request) {
  const CallerRequest& it = *request.attempt.request;
  const CrashingRequest& crashing = fleet.settings.crashing;
  return !crashing.target.empty() && it.target.starts_with(crashing.target) &&
         (crashing.caller_address.empty() ||
          it.caller_address == crashing.caller_address);
}

void EndRequests(FleetSimulation& fleet, SimulatedServer& server) {
  const auto running = std::exchange(server.running, {});
  const auto waiting = std::exchange(server.waiting, {});
  for (auto& [key, idle] : fleet.idle) {
    if (key.second == server.entry.name) idle.clear();
  }
  for (const auto& it : running)
    Fail(fleet.instances[it.instance], it.attempt,
         AttemptFailure::kConnectionLost);
  for (const auto& it : waiting)
    Fail(fleet.instances[it.instance], it.attempt,
         AttemptFailure::kConnectionLost);
}

void CrashIfDue(FleetSimulation& fleet, SimulatedServer& server) {
  const bool is_due = std::ranges::any_of(server.running, [&](const auto& it) {
    return it.ends_at <= fleet.now && IsCrashing(fleet, it);
  });
  if (!is_due) return;
  fleet.crashes.push_back(fleet.now);
  server.mode = ServerMode::kRefuses;
  server.starts_at = fleet.now + kRestartTime;
  EndRequests(fleet, server);
}

void StartCrashedServers(FleetSimulation& fleet) {
  std::vector<std::string> due;
  for (const auto& [name, server] : fleet.servers) {
    if (server.starts_at && *server.starts_at <= fleet.now) due.push_back(name);
  }
  for (const auto& it : due) RestartServer(fleet, it);
}

}  // namespace ibisladder::gateway
