#ifndef LIBS_ROUTING_CHOICE_H_
#define LIBS_ROUTING_CHOICE_H_

#include <optional>

#include "libs/routing/router_state.h"

/// Choice of one backend server for one request.
namespace ibisladder::routing::Internal {

/// Sorts open servers into the lists that choices draw from.
void RebuildLists(Router& router);

/// Whether any server can take `demand` sooner or later.
bool HasOpenServer(const Router& router, const RoutingRequest& request);

/// The server for `demand` and why; none when all that may take it are busy.
std::optional<Dispatch> Choose(const Router& router,
                               const RoutingRequest& request, TimePoint now,
                               Random& random);

}  // namespace ibisladder::routing::Internal

#endif  // LIBS_ROUTING_CHOICE_H_
