#ifndef LIBS_GATEWAY_ROUTE_TABLE_H_
#define LIBS_GATEWAY_ROUTE_TABLE_H_

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libs/base/random.h"
#include "libs/gateway/configuration.h"

/// Choice of route by host and longest prefix, and of a service by weight.
namespace ibisladder::gateway {

/// Compiled form of a configuration.
struct RouteTable {
  ConfigurationPtr configuration;
  /// Indexes of routes by host, those with the longest prefix first.
  std::unordered_map<std::string, std::vector<std::uint32_t>> by_host;
  /// Point in [0, 1) of each route from which its next service follows; moves
  /// by the golden ratio, so that short runs keep the weights, too.
  std::vector<double> cursors;
};

/// Starts each route at a random point: instances with few requests each keep
/// the weights together.
RouteTable MakeRouteTable(ConfigurationPtr configuration, Random& random);

/// Index of the route of a request; -1 when there is none. `target` may have a
/// query, `host` a port.
int FindRoute(const RouteTable& table, std::string_view host,
              std::string_view target);

/// The service for the next request of a route, counted as sent.
const std::string& NextService(RouteTable& table, int route);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_ROUTE_TABLE_H_
