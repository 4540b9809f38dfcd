#ifndef LIBS_GATEWAY_ROUTE_TABLE_H_
#define LIBS_GATEWAY_ROUTE_TABLE_H_

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libs/base/random.h"
#include "libs/gateway/configuration.h"

/// Finds routes by host and longest prefix, and chooses services by weight.
namespace ibisladder::gateway {

/// Compiled form of a configuration.
struct RouteTable {
  ConfigurationPtr configuration;
  /// Indexes of routes by lower-case host, longest prefix first.
  std::unordered_map<std::string, std::vector<std::uint32_t>> by_host;
  /// Position of each route in [0, 1), which selects its next service. Advances
  /// by the golden ratio, so that even a few requests in a row follow the
  /// weights closely.
  std::vector<double> cursors;
};

/// Sets each route's cursor to a random position, so that the weights also hold
/// across instances that get few requests each.
RouteTable MakeRouteTable(ConfigurationPtr configuration, Random& random);

std::string_view WithoutPort(std::string_view host);

/// Returns the index of a request's route, or -1 if none matches. `target` may
/// have a query and `host` a port.
int FindRoute(const RouteTable& table, std::string_view host,
              std::string_view target);

/// Returns the service for the next request of a route, which must have one,
/// and advances the route's cursor.
const std::string& NextService(RouteTable& table, int route);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_ROUTE_TABLE_H_
