#include <algorithm>

#include "tests/auto/gateway/fleet_simulation.h"

namespace ibisladder::gateway {

std::set<std::string> ServersUsed(const FleetSimulation& fleet, TimePoint from,
                                  TimePoint to) {
  std::set<std::string> names;
  for (const SentRequest& it : fleet.sent) {
    if (it.at >= from && it.at < to) names.insert(it.server);
  }
  return names;
}

std::size_t MostSentWithin(const FleetSimulation& fleet,
                           const std::string& server, Duration window,
                           TimePoint from, TimePoint to) {
  std::deque<TimePoint> recent;
  std::size_t most = 0;
  for (const SentRequest& it : fleet.sent) {
    if (it.server != server || it.at < from || it.at >= to) continue;
    recent.push_back(it.at);
    while (it.at - recent.front() >= window) recent.pop_front();
    most = std::max(most, recent.size());
  }
  return most;
}

std::size_t CountSent(const FleetSimulation& fleet, const std::string& server,
                      TimePoint from, TimePoint to) {
  return static_cast<std::size_t>(
      std::ranges::count_if(fleet.sent, [&](const SentRequest& it) {
        return it.server == server && it.at >= from && it.at < to;
      }));
}

std::size_t CountSentFor(const FleetSimulation& fleet,
                         const CrashingRequest& request, TimePoint from,
                         TimePoint to) {
  return static_cast<std::size_t>(
      std::ranges::count_if(fleet.sent, [&](const SentRequest& it) {
        return it.target == request.target &&
               it.caller_address == request.caller_address && it.at >= from &&
               it.at < to;
      }));
}

std::size_t CountAnswers(const FleetSimulation& fleet, int status,
                         bool is_low) {
  std::size_t n = 0;
  for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
    for (const auto& [call, answer] : fleet.instances[i].answers) {
      const bool matches = fleet.low_priority.contains({i, call}) == is_low;
      if (answer.status == status && matches) ++n;
    }
  }
  return n;
}

std::size_t CountAnswers(const FleetSimulation& fleet, int status) {
  std::size_t n = 0;
  for (const ForwarderFixture& instance : fleet.instances) {
    for (const auto& [call, answer] : instance.answers) {
      if (answer.status == status) ++n;
    }
  }
  return n;
}

}  // namespace ibisladder::gateway
