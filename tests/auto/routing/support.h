#ifndef TESTS_AUTO_ROUTING_SUPPORT_H_
#define TESTS_AUTO_ROUTING_SUPPORT_H_

#include <string>
#include <utility>
#include <vector>

#include "libs/routing/router.h"

/// Helpers of the routing tests.
namespace ibisladder::routing {

inline ZoneName Here() { return ZoneName("here"); }
inline ZoneName There() { return ZoneName("there"); }

/// Creates `own` servers in the instance's zone, then `other` ones in another.
inline std::vector<Candidate> MakeServers(int own, int other) {
  std::vector<Candidate> servers;
  for (int n = 0; n < own + other; ++n) {
    Candidate server;
    server.id = MakeBackendServerId("service", std::to_string(n));
    server.zone = n < own ? Here() : There();
    server.warm_since = TimePoint(Seconds(-1000));
    servers.push_back(server);
  }
  return servers;
}

inline RoutingRequest MakeRequest(
    std::uint64_t call, TimePoint deadline,
    declarations::Priority priority = declarations::Priority::kNormal) {
  RoutingRequest request;
  request.call = CallId(call);
  request.deadline = deadline;
  request.priority = priority;
  return request;
}

}  // namespace ibisladder::routing

#endif  // TESTS_AUTO_ROUTING_SUPPORT_H_
