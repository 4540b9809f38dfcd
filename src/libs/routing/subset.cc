#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <utility>

#include "libs/routing/router.h"

namespace ibisladder::routing {
namespace Internal {
namespace {

/// Number of instances with consecutive ids that share one order of the servers
/// and divide it evenly among themselves.
constexpr std::uint32_t kGroupSize = 48;
/// Multiples of it modulo 1 are evenly distributed, whichever ids are in use.
constexpr double kGoldenRatio = 0.6180339887498949;

/// A server and its position on the group's ring.
using RingEntry = std::pair<double, BackendServerId>;

double RingPosition(std::uint32_t group, BackendServerId server) {
  const std::array<std::uint64_t, 2> key = {group, server.value()};
  constexpr double kScale = 1.0 / 18446744073709551616.0;  // 2^-64
  return static_cast<double>(XXH3_64bits(key.data(), sizeof(key))) * kScale;
}

/// Returns the servers of one zone in the order in which `instance` uses them:
/// the group's hashed order, rotated to the instance's own start. Adding or
/// removing a server shifts the others by at most one place.
std::vector<BackendServerId> OrderFor(InstanceId instance,
                                      std::span<const BackendServerId> zone) {
  std::vector<RingEntry> ring;
  for (const BackendServerId it : zone) {
    ring.emplace_back(RingPosition(instance.value() / kGroupSize, it), it);
  }
  std::ranges::sort(ring);
  const double phase = instance.value() * kGoldenRatio;
  const double start =
      (phase - std::floor(phase)) * static_cast<double>(ring.size());
  const auto first = static_cast<std::ptrdiff_t>(start);
  std::rotate(ring.begin(), ring.begin() + first, ring.end());
  std::vector<BackendServerId> order;
  for (const RingEntry& it : ring) order.push_back(it.second);
  return order;
}

/// The servers of one zone, and how many of them have been taken.
struct ZoneServers {
  std::vector<BackendServerId> order;
  std::size_t taken = 0;
};

/// Takes one server of each zone in turn until `size` are chosen.
void TakeRoundRobin(std::vector<ZoneServers>& zones, std::size_t first,
                    std::size_t size, std::vector<BackendServerId>& chosen) {
  bool took = true;
  for (std::size_t n = first; took && chosen.size() < size;) {
    took = false;
    for (std::size_t i = 0; i < zones.size() && chosen.size() < size;
         ++i, ++n) {
      ZoneServers& zone = zones[n % zones.size()];
      if (zone.taken == zone.order.size()) continue;
      chosen.push_back(zone.order[zone.taken++]);
      took = true;
    }
  }
}

}  // namespace
}  // namespace Internal

std::vector<BackendServerId> ChooseSubset(std::span<const Candidate> servers,
                                          InstanceId instance,
                                          const ZoneName& zone,
                                          std::size_t size) {
  std::vector<BackendServerId> chosen;
  if (size == 0 || size >= servers.size()) {
    for (const Candidate& it : servers) chosen.push_back(it.id);
    return chosen;
  }
  std::map<ZoneName, std::vector<BackendServerId>> by_zone;
  for (const Candidate& it : servers) by_zone[it.zone].push_back(it.id);
  std::vector<Internal::ZoneServers> own;
  std::vector<Internal::ZoneServers> others;
  for (const auto& [name, ids] : by_zone) {
    auto& list = name == zone ? own : others;
    list.push_back({Internal::OrderFor(instance, ids), 0});
  }
  const std::size_t from_own = others.empty() ? size : (size + 1) / 2;
  Internal::TakeRoundRobin(own, 0, from_own, chosen);
  Internal::TakeRoundRobin(others, instance.value(), size, chosen);
  Internal::TakeRoundRobin(own, 0, size, chosen);
  return chosen;
}

std::size_t InstancesPerServer(std::size_t fleet_size, std::size_t servers,
                               std::size_t subset_size) {
  if (subset_size == 0 || subset_size >= servers) return fleet_size;
  // Percentage of the mean number of users, as subsets are only nearly even;
  // see docs/design/routing.md.
  constexpr std::size_t kMargin = 125;
  constexpr std::size_t kPercent = 100;
  const std::size_t users =
      fleet_size * subset_size * kMargin / (servers * kPercent) + 1;
  return std::min(users, fleet_size);
}

}  // namespace ibisladder::routing
