#ifndef LIBS_ROUTING_CHOICE_H_
#define LIBS_ROUTING_CHOICE_H_

#include <optional>

#include "libs/routing/router_state.h"

/// Selects one backend server for one request.
namespace ibisladder::routing::Internal {

/// Whether the service needs every server that may have recovered: many
/// requests go unserved, and fewer servers are healthy than the floor demands.
bool LacksServers(const Router& router);

/// Whether the healthy servers are so busy that capacity is scarce.
bool IsBusy(const Router& router, TimePoint now);

/// Rebuilds the lists of open servers that choices draw from.
void RebuildLists(Router& router);

/// Whether any server can take `request` now or later.
bool HasOpenServer(const Router& router, const RoutingRequest& request);

/// Returns the server for `request` and the reason; none if no server may take
/// it now. Trials aside, a last resort that fails fast is chosen only if there
/// is no healthy server and no last resort that does not.
std::optional<Dispatch> Choose(const Router& router,
                               const RoutingRequest& request, TimePoint now,
                               Random& random);

}  // namespace ibisladder::routing::Internal

#endif  // LIBS_ROUTING_CHOICE_H_
