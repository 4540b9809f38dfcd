#ifndef LIBS_GATEWAY_ROUTE_SUMMARY_H_
#define LIBS_GATEWAY_ROUTE_SUMMARY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "libs/gateway/configuration.h"

/// What the routes of a configuration say together, kept up to date route by
/// route, so that a change of one route does not cost the time of all.
namespace ibisladder::gateway {

/// What the routes that send requests to one service say about it.
struct ServiceRoutes {
  std::size_t idempotent = 0;
  /// Numbers of routes by target latency.
  std::map<Duration, std::size_t> target_latencies;
};

struct RouteSummary {
  std::unordered_map<std::string, ServiceRoutes> services;
  /// By host and main service: numbers of routes by priority.
  std::map<std::pair<std::string, std::string>,
           std::map<std::uint32_t, std::size_t>>
      priorities;
  /// Number of entries of `priorities` that have several priorities.
  std::size_t competing = 0;
};

void AddRoute(RouteSummary& summary, const Route& route);
/// Undoes AddRoute for an equal route.
void RemoveRoute(RouteSummary& summary, const Route& route);

/// Returns whether routes of one host and of different priority send most of
/// their requests to one service.
bool HasCompetingRoutes(const RouteSummary& summary);
bool HasIdempotentRoute(const RouteSummary& summary,
                        const std::string& service);
/// Returns the shortest target latency of the service's routes, at most 1 s.
Duration TargetLatency(const RouteSummary& summary, const std::string& service);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_ROUTE_SUMMARY_H_
