#include "libs/routing/router_state.h"

namespace ibisladder::routing::Internal {

Duration JitterRetryAfter(Duration base, Random& random) {
  const auto bound = static_cast<std::uint64_t>(base.count());
  return base + Micros(static_cast<std::int64_t>(UniformBelow(random, bound)));
}

void EndInFlight(Router& router, ServerLoad& server) {
  if (server.in_flight == 0) return;
  --server.in_flight;
  --router.in_flight;
}

}  // namespace ibisladder::routing::Internal
