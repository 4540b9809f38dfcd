#ifndef LIBS_ROUTING_SHARE_H_
#define LIBS_ROUTING_SHARE_H_

#include <cstdint>
#include <optional>

#include "libs/routing/router_state.h"

/// Divides the servers of a service among the instances that callers use, so
/// that rare requests reach all servers over few connections.
namespace ibisladder::routing::Internal {

/// Rebuilds the order in which this instance prefers the servers: those of its
/// own zone, then the others, each from its place among the instances on.
void RebuildShareOrder(Router& router);

/// Whether so many attempts, or calls of the service's routes, go unserved that
/// users expect requests at most of the servers.
bool ManyGoUnserved(const Router& router);

/// Returns the rate of first attempts per second on this instance. Follows a
/// change within seconds at any rate, other than the mean gap, which takes some
/// tens of requests.
double RequestRate(const Router& router, TimePoint now);

/// Returns the server that is due for a request of this instance: the least
/// loaded of those that it uses in turn, and among equal ones the one that it
/// used least recently. None if requests are frequent enough to reach all
/// servers of the own zone anyway, or too rare to find a connection open, or if
/// no such server is idle.
std::optional<std::uint32_t> PickFromShare(const Router& router,
                                           const RoutingRequest& request,
                                           TimePoint now, Random& random);

}  // namespace ibisladder::routing::Internal

#endif  // LIBS_ROUTING_SHARE_H_
