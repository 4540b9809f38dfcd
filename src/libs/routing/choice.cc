#include "libs/routing/choice.h"

#include <algorithm>
#include <cmath>
#include <span>
#include <string>

#include "libs/routing/learned_server.h"
#include "libs/routing/share.h"

namespace ibisladder::routing::Internal {
namespace {

using detection::ServerState;

/// Attempts to draw one sample, as drawn servers may warm up or have been
/// tried.
constexpr int kDrawsPerSample = 4;
/// Time between two requests of the whole fleet to a server on trial.
constexpr Duration kTrialInterval = Millis(25);

/// Requests of a priority that have not arrived for so long are not waited for.
constexpr Duration kArrivalMemory = Seconds(1);
/// Time on trial after which at-most-once requests try a server of a service
/// with idempotent routes: obviously these get too few requests.
constexpr Duration kMaxTrialWait = Seconds(12);

/// Mean load per slot from which on capacity is scarce; the same as the default
/// of ChoiceSettings::own_zone_max_load.
constexpr double kBusyLoad = 0.75;
/// Maximum number of servers compared for one request, if one of them has
/// capacity.
constexpr std::size_t kMaxCompared = 32;

/// Costs are compared in steps of this load per slot. Smaller differences come
/// from the age of reports and would favour the same server again and again.
constexpr double kLoadStep = 0.05;

/// Multiples of it modulo 1 are evenly distributed.
constexpr double kGoldenRatio = 0.6180339887498949;

/// A healthy server that this instance has not used for so long is used again
/// while many requests go unserved, whatever was learned of it: users expect
/// requests at most of the servers then, within 2 s.
constexpr Duration kMaxUnusedTime = Millis(800);

struct Pick {
  std::uint32_t index = 0;
  /// Estimated, per slot, plus the penalty for what was learned of the server.
  double load = 0;
  /// The load minus the bonus for an open connection.
  double cost = 0;
};

bool IsTried(const RoutingRequest& request, BackendServerId server) {
  return std::find(request.tried.begin(), request.tried.end(), server) !=
         request.tried.end();
}

double LoadPerSlot(const Router& router, const ServerLoad& server,
                   TimePoint now) {
  const double slots =
      EffectiveSlots(server) * WarmUpFraction(server, router.warm_up, now);
  if (!router.choice.use_reports) return server.in_flight / slots;
  const double load = EstimateLoad(server, router.mean_other_load,
                                   router.choice.report_half_life, now);
  return load / slots;
}

/// Whether every healthy server, or without any every last resort, has been
/// tried, so that any of them may be tried again. A retry alone is no reason to
/// use a last resort. Servers whose limits leave no room count as tried, except
/// for hedges, which gain nothing from the same server.
bool AllTried(const Router& router, const RoutingRequest& request,
              TimePoint now) {
  if (request.tried.empty()) return false;
  const auto tried = [&](std::uint32_t it) {
    const ServerLoad& server = router.servers[it];
    return IsTried(request, server.id) ||
           (!request.is_hedge && IsHeldByLimit(server, request, now));
  };
  const auto& first =
      router.healthy.empty() ? router.last_resort : router.healthy;
  return std::ranges::all_of(first, tried);
}

struct ChoiceContext {
  const Router& router;
  const RoutingRequest& request;
  TimePoint now;
  bool allow_tried = false;
  double open_connection_bonus = 0;
  /// Whether a warming server may be chosen when no other can; not within the
  /// own zone.
  bool allow_warming = true;
};

/// Returns the bonus for a server with an open connection. Frequent requests
/// keep connections to all servers open by themselves. The bonus applies only
/// to the fraction of choices for which connections would be closed, so that
/// other servers are used, too.
double OpenConnectionBonus(const Router& router) {
  const auto servers = static_cast<double>(router.healthy.size());
  const double gap = ToSeconds(router.mean_gap) * servers;
  const double closed = std::exp(-ToSeconds(kMaxIdleConnectionAge) / gap);
  const double phase = router.first_attempts * kGoldenRatio;
  const bool counts = phase - std::floor(phase) < closed;
  return counts ? router.choice.open_connection_bonus : 0;
}

bool IsOverdue(const Router& router, const ServerLoad& server, TimePoint now) {
  return router.choice.learns_from_servers && ManyGoUnserved(router) &&
         server.state == ServerState::kHealthy && server.in_flight == 0 &&
         now - server.last_sent_at >= kMaxUnusedTime;
}

Pick RateServer(const ChoiceContext& context, std::uint32_t index) {
  const ServerLoad& server = context.router.servers[index];
  const double load = LoadPerSlot(context.router, server, context.now);
  const double bonus =
      IsConnected(server, context.now) ? context.open_connection_bonus : 0;
  const double penalty = IsOverdue(context.router, server, context.now)
                             ? 0
                             : Penalty(context.router, server, context.now);
  return {index, load + penalty,
          std::round((load + penalty - bonus) / kLoadStep) * kLoadStep};
}

bool MayTake(const ChoiceContext& context, const ServerLoad& server) {
  if (!context.allow_tried && IsTried(context.request, server.id)) return false;
  if (IsHeldByLimit(server, context.request, context.now)) return false;
  return HasCapacity(server, context.router.warm_up, context.now) ||
         IsOverdue(context.router, server, context.now);
}

/// Whether the server takes part in this choice. A warming server does so with
/// the probability of its warm-up fraction, since idle servers look alike.
bool IsDrawn(const ChoiceContext& context, const ServerLoad& server,
             Random& random) {
  const double fraction =
      WarmUpFraction(server, context.router.warm_up, context.now);
  return fraction >= 1 || UniformUnit(random) < fraction;
}

/// Returns one random server that may take the request.
std::optional<std::uint32_t> Draw(const ChoiceContext& context,
                                  std::span<const std::uint32_t> list,
                                  Random& random) {
  for (int n = 0; n < kDrawsPerSample; ++n) {
    const std::uint32_t it = list[UniformBelow(random, list.size())];
    const ServerLoad& server = context.router.servers[it];
    if (MayTake(context, server) && IsDrawn(context, server, random)) return it;
  }
  return std::nullopt;
}

std::optional<Pick> PickSampled(const ChoiceContext& context,
                                std::span<const std::uint32_t> list,
                                Random& random) {
  std::optional<Pick> best;
  for (int n = 0; n < context.router.choice.samples; ++n) {
    const auto it = Draw(context, list, random);
    if (!it) continue;
    const Pick pick = RateServer(context, *it);
    if (!best || pick.cost < best->cost) best = pick;
  }
  return best;
}

/// Returns the server with the lowest cost that may take the request, starting
/// at a random place. Stops after kMaxCompared servers once it has one.
std::optional<Pick> PickLeastLoaded(const ChoiceContext& context,
                                    std::span<const std::uint32_t> list,
                                    Random& random) {
  if (list.empty()) return std::nullopt;
  std::optional<Pick> best;
  std::optional<Pick> warming;
  const std::size_t start = UniformBelow(random, list.size());
  for (std::size_t n = 0; n < list.size(); ++n) {
    const std::uint32_t it = list[(start + n) % list.size()];
    const ServerLoad& server = context.router.servers[it];
    if (!MayTake(context, server)) continue;
    const Pick pick = RateServer(context, it);
    auto& place = IsDrawn(context, server, random) ? best : warming;
    if (!place || pick.cost < place->cost) place = pick;
    if (best && n + 1 >= kMaxCompared) break;
  }
  return best || !context.allow_warming ? best : warming;
}

std::optional<Pick> PickFrom(const ChoiceContext& context,
                             std::span<const std::uint32_t> list,
                             Random& random) {
  if (list.empty()) return std::nullopt;
  if (context.router.choice.samples > 0) {
    if (const auto pick = PickSampled(context, list, random)) return pick;
  }
  return PickLeastLoaded(context, list, random);
}

/// Whether some server of the own zone does not fail every request. If all
/// fail, nothing would show that servers of other zones answer. If one answers,
/// the comparison shows that the failing ones are unhealthy, and they are
/// ejected.
bool OwnZoneAnswers(const Router& router) {
  return std::ranges::any_of(router.own_healthy, [&](std::uint32_t it) {
    return !FailsRepeatedly(router.servers[it]);
  });
}

/// Whether the request's repeat rule allows a server on trial.
bool MayGoToTrial(const Router& router, const RoutingRequest& request) {
  return router.choice.trials_allow_any_request ||
         request.repeat == declarations::RepeatRule::kIdempotent;
}

/// Returns the mean estimated load per slot of up to kMaxCompared healthy
/// servers.
double MeanLoad(const Router& router, TimePoint now) {
  const std::size_t n = std::min(router.healthy.size(), kMaxCompared);
  if (n == 0) return kBusyLoad;
  double sum = 0;
  for (std::size_t i = 0; i < n; ++i) {
    sum += LoadPerSlot(router, router.servers[router.healthy[i]], now);
  }
  return sum / static_cast<double>(n);
}

/// Whether requests of a lower priority arrive that may be used for trials.
bool HasLowerPriority(const ChoiceContext& context) {
  const auto& arrivals = context.router.last_arrivals;
  for (auto i = static_cast<std::size_t>(context.request.priority) + 1;
       i < arrivals.size(); ++i) {
    if (context.now - arrivals[i] < kArrivalMemory) return true;
  }
  return false;
}

/// The same as IsWorthTrial where trials are coordinated.
bool IsWorthCoordinatedTrial(const ChoiceContext& context,
                             const ServerLoad& server) {
  if (LacksServers(context.router)) return true;
  if (context.router.choice.has_idempotent_route) {
    return context.now - server.trial_since >= kMaxTrialWait;
  }
  return !HasLowerPriority(context);
}

/// Whether to risk the request on a server on trial. If it cannot be repeated,
/// a failure costs the caller the request, which only a lack of capacity or a
/// long enough trial justifies.
bool IsWorthTrial(const ChoiceContext& context, const ServerLoad& server) {
  if (context.request.repeat == declarations::RepeatRule::kIdempotent) {
    return true;
  }
  if (context.router.choice.coordinates_trials) {
    return IsWorthCoordinatedTrial(context, server);
  }
  const Duration waited = context.now - server.trial_since;
  return waited >= context.router.choice.at_most_once_trial_delay ||
         LacksServers(context.router) || IsBusy(context.router, context.now);
}

/// Whether the server has given a good answer on its current trial.
bool HasAnsweredOnTrial(const ServerLoad& server) {
  return server.answered_at >= server.trial_since;
}

/// Returns a server on trial that is due for a request. One that has answered
/// on its trial comes first, since few further answers restore it at all
/// instances. The others are tried in random order: else the first ones, which
/// may fail again and again, would keep the last ones waiting at all instances.
std::optional<std::uint32_t> PickTrial(const ChoiceContext& context,
                                       Random& random) {
  const Router& router = context.router;
  const RoutingRequest& request = context.request;
  if (router.on_trial.empty() || request.is_retry) return std::nullopt;
  if (!MayGoToTrial(router, request)) return std::nullopt;
  const bool is_spaced = router.since_trial >= router.choice.trial_spacing;
  const std::size_t users =
      router.choice.coordinates_trials ? 1 : router.users_per_server;
  const Duration interval = kTrialInterval * static_cast<std::int64_t>(users);
  const std::size_t n = router.on_trial.size();
  const std::size_t start = UniformBelow(random, n);
  std::optional<std::uint32_t> pick;
  for (std::size_t i = 0; i < n; ++i) {
    const std::uint32_t it = router.on_trial[(start + i) % n];
    const ServerLoad& server = router.servers[it];
    if (server.in_flight > 0 || !MayTake(context, server)) continue;
    if (context.now - server.last_trial < interval) continue;
    const bool has_answered = HasAnsweredOnTrial(server);
    if ((pick || !is_spaced) && !has_answered) continue;
    if (!IsWorthTrial(context, server)) continue;
    if (has_answered) return it;
    pick = it;
  }
  return pick;
}

Dispatch MakeDispatch(const Router& router, const Pick& pick,
                      const char* reason) {
  const int percent = static_cast<int>(pick.load * 100);
  const ServerLoad& server = router.servers[pick.index];
  return {server.id,
          std::string(reason) + ", load " + std::to_string(percent) + "%",
          server.limit_per_second > 0};
}

}  // namespace

bool LacksServers(const Router& router) {
  if (!ManyGoUnserved(router)) return false;
  const auto open = static_cast<std::size_t>(std::ranges::count_if(
      router.servers,
      [](const auto& it) { return !it.closed && !it.draining; }));
  // More than the floor allows to be out cannot be known to fail.
  constexpr std::size_t kPercent = 100;
  const std::size_t max_failing =
      open * (kPercent - router.floor_percent) / kPercent;
  const std::size_t failing = std::min(max_failing, router.known_failing);
  return router.healthy.size() * 100 < (open - failing) * router.floor_percent;
}

bool IsBusy(const Router& router, TimePoint now) {
  return MeanLoad(router, now) >= kBusyLoad;
}

void RebuildLists(Router& router) {
  router.own_healthy.clear();
  router.healthy.clear();
  router.last_resort.clear();
  router.fails_fast_last_resort.clear();
  router.on_trial.clear();
  for (std::uint32_t it = 0; it < router.servers.size(); ++it) {
    const ServerLoad& server = router.servers[it];
    if (server.closed || server.draining) continue;
    switch (server.state) {
      case ServerState::kHealthy:
        router.healthy.push_back(it);
        if (server.own_zone) router.own_healthy.push_back(it);
        break;
      case ServerState::kLastResortOnTrial:
        router.on_trial.push_back(it);
        [[fallthrough]];
      case ServerState::kLastResort:
        (server.fails_fast ? router.fails_fast_last_resort : router.last_resort)
            .push_back(it);
        break;
      case ServerState::kProbation:
        router.on_trial.push_back(it);
        break;
      case ServerState::kEjected:
        break;
    }
  }
}

bool HasOpenServer(const Router& router, const RoutingRequest& request) {
  const bool has_some = !router.healthy.empty() ||
                        !router.last_resort.empty() ||
                        !router.fails_fast_last_resort.empty();
  if (has_some) return true;
  return MayGoToTrial(router, request) && !request.is_retry &&
         !router.on_trial.empty();
}

std::optional<Dispatch> Choose(const Router& router,
                               const RoutingRequest& request, TimePoint now,
                               Random& random) {
  const ChoiceContext context{router, request, now,
                              AllTried(router, request, now),
                              OpenConnectionBonus(router)};
  if (const auto trial = PickTrial(context, random)) {
    const ServerLoad& server = router.servers[*trial];
    return Dispatch{server.id, "trial request", server.limit_per_second > 0,
                    true};
  }
  const bool prefer_own =
      router.choice.own_zone_max_load > 0 && OwnZoneAnswers(router);
  if (prefer_own) {
    if (const auto it = PickFromShare(router, request, now, random)) {
      const ServerLoad& server = router.servers[*it];
      return Dispatch{server.id, "own share", server.limit_per_second > 0};
    }
  }
  ChoiceContext near_context = context;
  near_context.allow_warming = false;
  const auto near = prefer_own
                        ? PickFrom(near_context, router.own_healthy, random)
                        : std::nullopt;
  if (near && near->load < router.choice.own_zone_max_load) {
    return MakeDispatch(router, *near, "own zone");
  }
  const auto any = PickFrom(context, router.healthy, random);
  if (near && (!any || near->cost <= any->cost)) {
    return MakeDispatch(router, *near, "own zone");
  }
  if (any) return MakeDispatch(router, *any, "least loaded");
  if (const auto last = PickFrom(context, router.last_resort, random)) {
    return MakeDispatch(router, *last, "last resort");
  }
  // Waiting for others is better than a certain failure.
  if (!router.healthy.empty() || !router.last_resort.empty()) {
    return std::nullopt;
  }
  if (const auto last =
          PickFrom(context, router.fails_fast_last_resort, random)) {
    return MakeDispatch(router, *last,
                        "only servers that answer errors are left");
  }
  return std::nullopt;
}

}  // namespace ibisladder::routing::Internal
