#include "libs/routing/limits.h"

#include <algorithm>

namespace ibisladder::routing {
namespace Internal {
namespace {

/// Added to the time until a server with a limit may take a request.
constexpr Duration kMinLimitedWait = Millis(50);
constexpr Duration kMaxRetryAfter = Seconds(10);

}  // namespace

ServerLoad* FindLimitingServer(Router& router, const RoutingRequest& request,
                               TimePoint now) {
  const auto& list = !router.healthy.empty() ? router.healthy
                     : !router.last_resort.empty()
                         ? router.last_resort
                         : router.fails_fast_last_resort;
  ServerLoad* result = nullptr;
  for (const std::uint32_t it : list) {
    ServerLoad& server = router.servers[it];
    if (!IsHeldByLimit(server, request, now)) return nullptr;
    if (result == nullptr || server.next_return < result->next_return) {
      result = &server;
    }
  }
  return result;
}

Refused RefuseLimited(const Router& router, const RoutingRequest& request,
                      ServerLoad& server, TimePoint now, Random& random) {
  constexpr double kMicrosPerSecond = 1e6;
  const auto priority = static_cast<std::size_t>(request.priority);
  const TimePoint latest = now + kMaxRetryAfter;
  const TimePoint earliest = std::clamp(
      std::max(server.next_permits[priority], server.next_return), now, latest);
  const double turn = kMicrosPerSecond *
                      static_cast<double>(router.users_per_server) /
                      server.limit_per_second;
  server.next_return =
      earliest +
      std::min(Micros(static_cast<std::int64_t>(turn)), kMaxRetryAfter);
  return {ResultCode::kServersLimited,
          earliest - now + JitterRetryAfter(kMinLimitedWait, random)};
}

}  // namespace Internal

void SetLimited(Router& router, BackendServerId server,
                std::optional<RequestsPerSecond> limit) {
  const auto it = router.index.find(server);
  if (it == router.index.end()) return;
  Internal::ServerLoad& load = router.servers[it->second];
  load.limit_per_second = limit ? std::max(limit->value(), kMinServerLimit) : 0;
  // The waits were those of another limit.
  load.next_permits = {};
  load.next_return = {};
}

void PermitDenied(Router& router, BackendServerId server,
                  const std::array<TimePoint, kPriorities>& next_permits) {
  const auto it = router.index.find(server);
  if (it == router.index.end()) return;
  Internal::ServerLoad& load = router.servers[it->second];
  load.next_permits = next_permits;
  Internal::EndInFlight(router, load);
}

void CancelDispatch(Router& router, BackendServerId server) {
  const auto it = router.index.find(server);
  if (it == router.index.end()) return;
  Internal::EndInFlight(router, router.servers[it->second]);
}

}  // namespace ibisladder::routing
