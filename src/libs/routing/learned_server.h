#ifndef LIBS_ROUTING_LEARNED_SERVER_H_
#define LIBS_ROUTING_LEARNED_SERVER_H_

#include "libs/routing/router_state.h"

/// What is learned of single servers: whether they decline requests that others
/// take, and whether they are slow.
namespace ibisladder::routing::Internal {

/// Updates the averages of declined requests. A server that declines more than
/// the others pauses for longer than a full one.
void LearnFromEnd(Router& router, ServerLoad& server, detection::AttemptEnd end,
                  TimePoint now);

/// Whether the server declines more requests than the others.
bool IsDeclining(const Router& router, const ServerLoad& server);

/// Returns the load per slot by which the server appears busier than it is,
/// since it is slow, or has declined or failed requests lately; 0 unless
/// servers are learned from.
double Penalty(const Router& router, const ServerLoad& server, TimePoint now);

}  // namespace ibisladder::routing::Internal

#endif  // LIBS_ROUTING_LEARNED_SERVER_H_
