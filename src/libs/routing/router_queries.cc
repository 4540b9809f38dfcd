// What a router tells about its servers, queue and retry budget.
#include "libs/routing/choice.h"
#include "libs/routing/router_state.h"

namespace ibisladder::routing {
namespace {

/// Older reports say nothing about the service's load.
constexpr Duration kReportHolds = Seconds(2);

}  // namespace

ServerCounts CountServers(const Router& router, TimePoint now) {
  ServerCounts counts;
  for (const Internal::ServerLoad& it : router.servers) {
    if (it.limit_per_second > 0) ++counts.limited;
    if (it.closed || it.draining) {
      ++counts.closed;
    } else if (detection::IsOnTrial(it.state)) {
      ++counts.on_trial;
    } else if (it.state == detection::ServerState::kLastResort) {
      ++counts.last_resort;
    } else if (it.state == detection::ServerState::kEjected) {
      ++counts.ejected;
    } else if (Internal::HasCapacity(it, router.warm_up, now)) {
      ++counts.healthy;
    } else {
      ++counts.without_capacity;
    }
  }
  return counts;
}

bool IsBelowFloor(const Router& router) {
  return Internal::LacksServers(router);
}

bool NeedsServersUrgently(const Router& router, TimePoint now) {
  return Internal::LacksServers(router) || Internal::IsBusy(router, now);
}

std::size_t QueueLength(const Router& router) {
  return router.queue.size + router.decided.size();
}

std::uint32_t InFlight(const Router& router, BackendServerId server) {
  const auto it = router.index.find(server);
  return it == router.index.end() ? 0 : router.servers[it->second].in_flight;
}

bool MayRetry(const Router& router, declarations::Priority priority,
              bool is_hedge, TimePoint now) {
  if (!router.retries_by_priority) {
    return is_hedge ? Internal::MayHedge(router.retries)
                    : Internal::MayRetry(router.retries);
  }
  return Internal::MayRetry(router.priority_retries, router.retries, priority,
                            is_hedge, now);
}

double RetriesPerSecond(const Router& router, TimePoint now) {
  return Internal::EarnedPerSecond(router.priority_retries, router.retries,
                                   now);
}

double ReportedLoad(const Router& router, BackendServerId server) {
  const auto it = router.index.find(server);
  if (it == router.index.end()) return 0;
  const Internal::ServerLoad& load = router.servers[it->second];
  return static_cast<double>(load.reported_in_flight) /
         Internal::EffectiveSlots(load);
}

ServiceRoom RoomOf(const Router& router, TimePoint now) {
  ServiceRoom room;
  const auto& list =
      router.healthy.empty() ? router.last_resort : router.healthy;
  for (const std::uint32_t it : list) {
    const Internal::ServerLoad& server = router.servers[it];
    const bool is_out = server.long_pauses > 0 && server.paused_until > now;
    if (!is_out) room.slots += Internal::EffectiveSlots(server);
  }
  const bool is_recent = now - router.load_reported_at < kReportHolds;
  room.load_per_slot = is_recent ? router.reported_load : 0;
  room.in_flight =
      router.in_flight + static_cast<std::uint32_t>(QueueLength(router));
  return room;
}

}  // namespace ibisladder::routing
