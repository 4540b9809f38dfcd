#ifndef LIBS_GATEWAY_ROUTE_TABLE_H_
#define LIBS_GATEWAY_ROUTE_TABLE_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libs/base/random.h"
#include "libs/gateway/configuration.h"
#include "libs/gateway/route_summary.h"

/// Finds routes by host and longest prefix, and chooses services by weight.
namespace ibisladder::gateway {

/// The routes of one host.
struct HostRoutes {
  /// The keys refer to the routes.
  std::unordered_map<std::string_view, const Route*> by_prefix;
  /// Numbers of routes by length of their prefix, longest first.
  std::map<std::size_t, std::size_t, std::greater<>> lengths;
  /// Several routes have the same prefix. The configuration's first one counts.
  bool has_duplicates = false;
};

/// Compiled form of a configuration.
struct RouteTable {
  ConfigurationPtr configuration;
  /// The configuration's routes in order of their addresses.
  std::vector<const Route*> sorted;
  /// By lower-case host without port.
  std::unordered_map<std::string, HostRoutes> by_host;
  RouteSummary summary;
  /// Position of each route in [0, 1), which selects its next service. Advances
  /// by the golden ratio, so that even a few requests in a row follow the
  /// weights closely.
  std::unordered_map<const Route*, double> cursors;
};

/// Sets each route's cursor to a random position, so that the weights also hold
/// across instances that get few requests each.
RouteTable MakeRouteTable(ConfigurationPtr configuration, Random& random);

/// Replaces the configuration. Routes that both configurations share keep their
/// state, and cost no more than a few comparisons.
void ReplaceConfiguration(RouteTable& table, ConfigurationPtr configuration,
                          Random& random);

std::string_view WithoutPort(std::string_view host);

/// Returns a request's route, or null if none matches. `target` may have a
/// query and `host` a port.
const Route* FindRoute(const RouteTable& table, std::string_view host,
                       std::string_view target);

/// Returns the service for the next request of a route, which must have one,
/// and advances the route's cursor.
const std::string& NextService(RouteTable& table, const Route& route);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_ROUTE_TABLE_H_
