#include "libs/routing/share.h"

#include <algorithm>
#include <cmath>
#include <span>

namespace ibisladder::routing::Internal {
namespace {

/// An instance uses as many servers in turn as it reaches within this time,
/// even if they are more than its share: others may have no callers.
constexpr Duration kTurn = Seconds(1);
/// Users expect each server to get a request within this time while a tenth of
/// the requests go unserved.
constexpr Duration kServedWithin = Seconds(2);
/// Shorter, so that each server gets a request in any such time.
constexpr Duration kRevisit = Millis(1500);
/// How long a report of other instances' requests shows that they use a server.
constexpr Duration kReportHolds = Seconds(20);
/// How long a server is not preferred after a failed request.
constexpr Duration kAvoidFailed = Seconds(2);
/// Loads are compared in steps of this load per slot, so that the age of
/// reports does not decide.
constexpr double kLoadStep = 0.05;

using Indexes = std::vector<std::uint32_t>;

/// Appends the servers of the own zone, or the others, ordered by id from the
/// instance's place on. Ids are hashes; a change of one server moves each place
/// by at most one.
void AppendOrdered(Router& router, bool own_zone) {
  Indexes list;
  for (std::uint32_t it = 0; it < router.servers.size(); ++it) {
    if (router.servers[it].own_zone == own_zone) list.push_back(it);
  }
  std::ranges::sort(list, {},
                    [&](std::uint32_t it) { return router.servers[it].id; });
  const std::size_t first =
      list.size() * router.share.place / router.share.instances;
  std::rotate(list.begin(), list.begin() + static_cast<std::ptrdiff_t>(first),
              list.end());
  router.share_order.insert(router.share_order.end(), list.begin(), list.end());
}

bool IsInService(const ServerLoad& server) {
  return server.state == detection::ServerState::kHealthy && !server.closed &&
         !server.draining;
}

/// Returns the number of requests that arrive here within `time`.
double RequestsWithin(const Router& router, Duration time, TimePoint now) {
  return ToSeconds(time) * RequestRate(router, now);
}

/// Returns how many of `servers` to use in turn: this instance's share, but as
/// many as it reaches within kTurn, and no more than it can keep
/// connections open to.
std::size_t PreferredCount(const Router& router, std::size_t servers,
                           TimePoint now) {
  const double share = static_cast<double>(servers) /
                       static_cast<double>(router.share.instances);
  const double count =
      std::clamp(share, RequestsWithin(router, kTurn, now),
                 RequestsWithin(router, kMaxIdleConnectionAge, now));
  return static_cast<std::size_t>(std::lround(count));
}

/// Returns the healthy servers of the own zone that this instance uses in turn.
Indexes PreferredServers(const Router& router, TimePoint now) {
  const std::size_t servers = router.own_healthy.size();
  const std::size_t count = PreferredCount(router, servers, now);
  Indexes preferred;
  if (count >= servers) return preferred;
  for (const std::uint32_t it : router.share_order) {
    const ServerLoad& server = router.servers[it];
    if (preferred.size() >= count || !server.own_zone) break;
    if (IsInService(server)) preferred.push_back(it);
  }
  return preferred;
}

/// Returns the healthy servers of other zones that should get a request: not
/// used lately, and without requests of other instances in the last report.
/// None if the requests suffice only for the own zone.
Indexes NeglectedServers(const Router& router, TimePoint now) {
  const double spare = RequestsWithin(router, kServedWithin, now) -
                       static_cast<double>(router.own_healthy.size());
  const std::size_t others = router.healthy.size() - router.own_healthy.size();
  const std::size_t share = others / router.share.instances + 1;
  std::size_t seen = 0;
  Indexes neglected;
  for (const std::uint32_t it : router.share_order) {
    const ServerLoad& server = router.servers[it];
    if (server.own_zone || !IsInService(server)) continue;
    if (seen >= share || static_cast<double>(seen) >= spare) break;
    ++seen;
    const bool used_by_others =
        server.reported_others > 0 && now - server.reported_at < kReportHolds;
    const bool used_here = now - server.last_sent_at < kRevisit;
    if (!used_here && !used_by_others) neglected.push_back(it);
  }
  return neglected;
}

/// Returns requests in flight per slot as far as they are known. Servers
/// without recent reports count as idle, as they are to be used in turn.
double KnownLoadPerSlot(const Router& router, const ServerLoad& server,
                        TimePoint now) {
  return EstimateLoad(server, 0, router.choice.report_half_life, now) /
         EffectiveSlots(server);
}

/// Whether the latest request failed, not long ago. Requests to other servers
/// then show whether it is this one that is unhealthy.
bool FailedLately(const ServerLoad& server, TimePoint now) {
  return server.failures_in_row > 0 && now - server.last_sent_at < kAvoidFailed;
}

bool MayTake(const Router& router, const RoutingRequest& request,
             const ServerLoad& server, TimePoint now, Random& random) {
  if (std::ranges::find(request.tried, server.id) != request.tried.end()) {
    return false;
  }
  if (IsHeldByLimit(server, request, now)) return false;
  if (!HasCapacity(server, router.warm_up, now)) return false;
  if (FailedLately(server, now)) return false;
  // As in other choices, warming servers take part with their fraction.
  const double fraction = WarmUpFraction(server, router.warm_up, now);
  return fraction >= 1 || UniformUnit(random) < fraction;
}

std::optional<std::uint32_t> PickInTurn(const Router& router,
                                        const RoutingRequest& request,
                                        std::span<const std::uint32_t> list,
                                        TimePoint now, Random& random) {
  std::optional<std::uint32_t> best;
  // Others may have an idle server or an open connection beyond this load.
  double best_load = router.choice.open_connection_bonus;
  for (const std::uint32_t it : list) {
    const ServerLoad& server = router.servers[it];
    if (!MayTake(router, request, server, now, random)) continue;
    const double load =
        std::round(KnownLoadPerSlot(router, server, now) / kLoadStep) *
        kLoadStep;
    const bool is_due =
        best && load == best_load &&
        server.last_sent_at < router.servers[*best].last_sent_at;
    const bool is_first = !best && load <= best_load;
    if (load < best_load || is_due || is_first) {
      best = it;
      best_load = load;
    }
  }
  return best;
}

}  // namespace

void RebuildShareOrder(Router& router) {
  router.share_order.clear();
  if (router.share.instances == 0) return;
  AppendOrdered(router, true);
  AppendOrdered(router, false);
}

bool ManyGoUnserved(const Router& router) {
  return std::max(router.unserved_ratio, router.unserved_calls) >=
         kHighUnservedRatio;
}

double RequestRate(const Router& router, TimePoint now) {
  const Duration age = now - router.last_first_attempt;
  return router.request_rate *
         std::exp(-ToSeconds(age) / ToSeconds(kRateMemory));
}

std::optional<std::uint32_t> PickFromShare(const Router& router,
                                           const RoutingRequest& request,
                                           TimePoint now, Random& random) {
  if (router.share.instances == 0) return std::nullopt;
  if (ManyGoUnserved(router)) {
    const auto list = NeglectedServers(router, now);
    if (const auto it = PickInTurn(router, request, list, now, random)) {
      return it;
    }
  }
  return PickInTurn(router, request, PreferredServers(router, now), now,
                    random);
}

}  // namespace ibisladder::routing::Internal
