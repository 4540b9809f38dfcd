#ifndef LIBS_ROUTING_LIMITS_H_
#define LIBS_ROUTING_LIMITS_H_

#include "libs/routing/router_state.h"

/// Refusals of requests to servers that limit the requests of all instances
/// together.
namespace ibisladder::routing::Internal {

/// Returns a server whose limit keeps the request from being sent, if limits
/// are all that does: the one to which the next caller should return first.
ServerLoad* FindLimitingServer(Router& router, const RoutingRequest& request,
                               TimePoint now);

/// Refuses a request because of the servers' limits. Callers are told to return
/// one after the other, at the rate at which the server takes requests; the
/// other instances that use it do the same.
Refused RefuseLimited(const Router& router, const RoutingRequest& request,
                      ServerLoad& server, TimePoint now, Random& random);

}  // namespace ibisladder::routing::Internal

#endif  // LIBS_ROUTING_LIMITS_H_
