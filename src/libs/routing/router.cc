#include "libs/routing/router.h"

#include <algorithm>
#include <array>
#include <utility>

#include "libs/routing/choice.h"
#include "libs/routing/learned_server.h"
#include "libs/routing/limits.h"
#include "libs/routing/router_state.h"
#include "libs/routing/share.h"

namespace ibisladder::routing {

using Internal::Waiting;

namespace Internal {
namespace {

/// Divisor for the weight of a new latency in the mean.
constexpr int kLatencyWeightDivisor = 16;
/// Weight of the newest attempt in the ratio of unserved attempts.
constexpr double kUnservedWeight = 1.0 / 64;
/// Divisor for the weight of a new gap between first attempts in the mean.
constexpr int kGapWeightDivisor = 16;
/// Weight of a new report in the mean of other instances' load.
constexpr double kOtherLoadWeight = 0.05;
/// Retries after definite sheds per 100 first attempts.
constexpr std::uint8_t kShedPercent = 100;
constexpr std::uint8_t kRetryBurst = 5;
constexpr std::uint8_t kShedBurst = 50;
/// A queued call must have at least this much time left, since Pump is called
/// only every 10 ms.
constexpr Duration kMinTimeLeft = Millis(20);
/// Maximum number of calls of one class that are tried in a row without
/// success.
constexpr std::size_t kMaxBlockedTries = 4;
constexpr Duration kMinRetryAfter = Millis(500);
constexpr Duration kNoServerRetryAfter = Seconds(1);

/// Returns the expected time until the requests in flight here have let `ahead`
/// calls and one more through.
Duration ExpectedWait(const Router& router, double ahead) {
  const double running = std::max<double>(router.in_flight, 1);
  const auto latency = static_cast<double>(router.mean_latency.count());
  return Micros(static_cast<std::int64_t>((ahead + 1) * latency / running));
}

Refused RefuseOverload(const Router& router, Random& random) {
  const auto queued = static_cast<double>(router.queue.size);
  const Duration drain = ExpectedWait(router, queued);
  return {ResultCode::kOverloaded,
          JitterRetryAfter(std::max(drain, kMinRetryAfter), random)};
}

Refused RefuseNoServer(Random& random) {
  return {ResultCode::kNoServerAvailable,
          JitterRetryAfter(kNoServerRetryAfter, random)};
}

/// Returns the time that a queued call must have left: about one answer, unless
/// its caller gave it less from the start.
Duration MinTimeLeft(const Router& router, const Waiting& waiting) {
  const Duration given = waiting.request.deadline - waiting.since;
  return std::max(std::min(router.mean_latency, given / 2), kMinTimeLeft);
}

void CountDispatch(Router& router, const RoutingRequest& request,
                   BackendServerId id, TimePoint now) {
  ServerLoad& server = router.servers[router.index.at(id)];
  server.last_sent_at = now;
  ++server.in_flight;
  ++router.in_flight;
  if (detection::IsOnTrial(server.state)) {
    server.last_trial = now;
    router.since_trial = 0;
  } else if (router.choice.trials_allow_any_request ||
             request.repeat == declarations::RepeatRule::kIdempotent) {
    ++router.since_trial;
  }
}

std::optional<Dispatch> TryDispatch(Router& router,
                                    const RoutingRequest& request,
                                    TimePoint now, Random& random) {
  auto dispatch = Choose(router, request, now, random);
  if (dispatch) CountDispatch(router, request, dispatch->server, now);
  return dispatch;
}

/// Refuses queued calls that no server can take at all or in time.
void RefuseUnplaceable(Router& router, TimePoint now, Random& random) {
  for (std::size_t class_index = 0; class_index < kPriorities; ++class_index) {
    std::size_t index = 0;
    while (index < router.queue.classes[class_index].size()) {
      const Waiting& waiting = router.queue.classes[class_index][index];
      const bool open = HasOpenServer(router, waiting.request);
      const Duration left = waiting.request.deadline - now;
      if (auto* limiting =
              open ? FindLimitingServer(router, waiting.request, now)
                   : nullptr) {
        const Waiting taken = Take(router.queue, class_index, index, false);
        router.decided.push_back(
            {taken.request.call,
             RefuseLimited(router, taken.request, *limiting, now, random)});
        continue;
      }
      if (open && left > MinTimeLeft(router, waiting)) {
        ++index;
        continue;
      }
      const CallId call = waiting.request.call;
      Take(router.queue, class_index, index, false);
      router.decided.push_back({call, open ? RefuseOverload(router, random)
                                           : RefuseNoServer(random)});
    }
  }
}

/// Dispatches the first call of the class for which a server has capacity.
bool DispatchFrom(Router& router, std::size_t class_index, TimePoint now,
                  Random& random) {
  const auto& waiting = router.queue.classes[class_index];
  const std::size_t tries = std::min(waiting.size(), kMaxBlockedTries);
  for (std::size_t index = 0; index < tries; ++index) {
    auto dispatch = TryDispatch(router, waiting[index].request, now, random);
    if (!dispatch) continue;
    const Waiting taken = Take(router.queue, class_index, index, true);
    router.decided.push_back({taken.request.call, std::move(*dispatch)});
    return true;
  }
  return false;
}

void ServeQueue(Router& router, TimePoint now, Random& random) {
  RefuseUnplaceable(router, now, random);
  std::array<bool, kPriorities> blocked{};
  while (const auto class_index = NextClass(router.queue, blocked)) {
    if (!DispatchFrom(router, *class_index, now, random))
      blocked[*class_index] = true;
  }
}

/// Removes and returns the decision on `call`, if Pump has not yet returned it.
std::optional<Placement> TakeDecision(Router& router, CallId call) {
  const auto it = std::ranges::find(router.decided, call, &Placed::call);
  if (it == router.decided.end()) return std::nullopt;
  Placement placement = std::move(it->placement);
  router.decided.erase(it);
  return placement;
}

Placement Enqueue(Router& router, const RoutingRequest& request, TimePoint now,
                  Random& random) {
  const double ahead = ExpectedAhead(router.queue, request.priority);
  const Duration left = request.deadline - now;
  if (ExpectedWait(router, ahead) + kMinTimeLeft > left) {
    return RefuseOverload(router, random);
  }
  if (router.queue.size >= router.queue_limit) {
    const auto out =
        Displace(router.queue, request.priority, router.queue_limit);
    if (!out) return RefuseOverload(router, random);
    router.decided.push_back(
        {out->request.call, RefuseOverload(router, random)});
  }
  Push(router.queue, request, now);
  return Queued{};
}

Placement PlaceOrQueue(Router& router, const RoutingRequest& request,
                       TimePoint now, Random& random) {
  if (!HasOpenServer(router, request)) return RefuseNoServer(random);
  if (router.queue.size == 0) {
    auto dispatch = TryDispatch(router, request, now, random);
    if (dispatch) return std::move(*dispatch);
    if (auto* limiting = FindLimitingServer(router, request, now)) {
      // The call goes on, so that no caller is told to return.
      if (request.is_hedge) return RefuseOverload(router, random);
      return RefuseLimited(router, request, *limiting, now, random);
    }
    return Enqueue(router, request, now, random);
  }
  // Other calls wait: the weighted queue decides which goes first.
  Placement placement = Enqueue(router, request, now, random);
  if (!std::holds_alternative<Queued>(placement)) return placement;
  ServeQueue(router, now, random);
  if (auto decision = TakeDecision(router, request.call)) {
    return std::move(*decision);
  }
  return placement;
}

void RecordGap(Router& router, TimePoint now) {
  router.request_rate = RequestRate(router, now) + 1 / ToSeconds(kRateMemory);
  const Duration gap = std::min(now - router.last_first_attempt, kMaxGap);
  router.last_first_attempt = now;
  ++router.first_attempts;
  router.mean_gap += (gap - router.mean_gap) / kGapWeightDivisor;
}

/// Adds an outcome to a moving average of what was not served.
void CountOutcome(double& ratio, bool is_served) {
  const double unserved = is_served ? 0 : 1;
  ratio += kUnservedWeight * (unserved - ratio);
}

void CountAttempt(Router& router, const ServerLoad& server,
                  detection::AttemptEnd end) {
  if (end == detection::AttemptEnd::kAbandoned) return;
  if (detection::IsOnTrial(server.state)) return;
  CountOutcome(router.unserved_ratio, end == detection::AttemptEnd::kOk);
}

}  // namespace

}  // namespace Internal

void RouterDeleter::operator()(Router* router) const { delete router; }

RouterPtr MakeRouter(const declarations::Service& service, ZoneName own_zone,
                     TimePoint /*now*/) {
  RouterPtr router(new Router);
  router->own_zone = std::move(own_zone);
  router->retries = Internal::MakeRetryBudget(service.retry_budget_percent,
                                              Internal::kRetryBurst);
  router->shed_retries =
      Internal::MakeRetryBudget(Internal::kShedPercent, Internal::kShedBurst);
  UpdateSettings(*router, service);
  return router;
}

void SetChoiceSettings(Router& router, const ChoiceSettings& settings) {
  router.choice = settings;
}

void SetShare(Router& router, const Share& share) {
  if (router.share == share) return;
  router.share = share;
  Internal::RebuildShareOrder(router);
}

void UpdateSettings(Router& router, const declarations::Service& service) {
  router.warm_up = service.warm_up;
  router.queue_limit = service.queue_limit;
  router.floor_percent = service.floor_percent;
  Internal::SetPercent(router.retries, service.retry_budget_percent);
}

void SetRetryAllowance(Router& router, const RetryAllowance& allowance) {
  router.shares_retry_budget = true;
  if (allowance.by_priority && !router.retries_by_priority) {
    router.priority_retries.balance = allowance.burst;
  }
  router.retries_by_priority = allowance.by_priority;
  router.retries.burst = allowance.burst;
  Internal::SetPercent(router.retries, allowance.percent);
}

void SetCandidates(Router& router, std::span<const Candidate> candidates,
                   std::size_t users_per_server, TimePoint now) {
  std::vector<Internal::ServerLoad> servers;
  std::unordered_map<BackendServerId, std::uint32_t> index;
  servers.reserve(candidates.size());
  std::uint32_t in_flight = 0;
  for (const Candidate& it : candidates) {
    Internal::ServerLoad server;
    if (const auto known = router.index.find(it.id);
        known != router.index.end()) {
      server = router.servers[known->second];
    } else {
      server.id = it.id;
      server.limit = it.slots;
    }
    const bool starts_trial =
        detection::IsOnTrial(it.state) && !detection::IsOnTrial(server.state);
    if (starts_trial) server.trial_since = now;
    Internal::UpdateFrom(server, it, it.zone == router.own_zone,
                         users_per_server);
    in_flight += server.in_flight;
    index.emplace(it.id, static_cast<std::uint32_t>(servers.size()));
    servers.push_back(server);
  }
  router.servers = std::move(servers);
  router.index = std::move(index);
  router.in_flight = in_flight;
  router.users_per_server = std::max<std::size_t>(users_per_server, 1);
  Internal::RebuildLists(router);
  Internal::RebuildShareOrder(router);
}

Placement Place(Router& router, const RoutingRequest& request, TimePoint now,
                Random& random) {
  if (request.deadline <= now) {
    return Refused{ResultCode::kDeadlineBeforeDispatch, Duration{}};
  }
  const bool has_own_budget = request.after_shed && !router.shares_retry_budget;
  Internal::RetryBudget& budget =
      has_own_budget ? router.shed_retries : router.retries;
  const bool may_retry =
      router.retries_by_priority
          ? MayRetry(router, request.priority, request.is_hedge, now)
      : request.is_hedge ? Internal::MayHedge(budget)
                         : Internal::MayRetry(budget);
  if (request.is_replacement) {
    return Internal::PlaceOrQueue(router, request, now, random);
  }
  if (request.is_retry && !may_retry) {
    return Internal::RefuseOverload(router, random);
  }
  Placement placement = Internal::PlaceOrQueue(router, request, now, random);
  if (!request.is_retry) {
    router.last_arrivals[static_cast<std::size_t>(request.priority)] = now;
    Internal::RecordGap(router, now);
    Internal::CountFirstAttempt(router.retries);
    Internal::CountFirstAttempt(router.shed_retries);
    Internal::CountFirstAttempt(router.priority_retries, router.retries,
                                request.priority, now);
  } else if (!std::holds_alternative<Refused>(placement)) {
    if (router.retries_by_priority) {
      router.priority_retries.balance -= 1;
    } else {
      Internal::SpendRetry(budget);
    }
  }
  return placement;
}

void RemoveQueued(Router& router, CallId call) {
  if (Internal::Remove(router.queue, call)) return;
  const auto decision = Internal::TakeDecision(router, call);
  if (!decision) return;
  const auto* dispatch = std::get_if<Dispatch>(&*decision);
  if (dispatch == nullptr) return;
  if (const auto it = router.index.find(dispatch->server);
      it != router.index.end()) {
    Internal::EndInFlight(router, router.servers[it->second]);
  }
}

void AttemptEnded(Router& router, BackendServerId server,
                  detection::AttemptEnd end, Duration latency, TimePoint now) {
  if (end == detection::AttemptEnd::kOk) {
    const bool first = router.mean_latency == Duration{};
    const Duration change = latency - router.mean_latency;
    router.mean_latency +=
        first ? change : change / Internal::kLatencyWeightDivisor;
  }
  const auto it = router.index.find(server);
  if (it == router.index.end()) return;
  Internal::ServerLoad& load = router.servers[it->second];
  Internal::CountAttempt(router, load, end);
  Internal::EndInFlight(router, load);
  Internal::UpdateAfterAttempt(load, end, router.mean_latency, now);
  if (router.choice.learns_from_servers) {
    Internal::LearnFromEnd(router, load, end, now);
  }
}

void RecordCallOutcome(Router& router, bool is_served) {
  Internal::CountOutcome(router.unserved_calls, is_served);
}

void SetKnownFailing(Router& router, std::size_t servers) {
  router.known_failing = servers;
}

void ReportLoad(Router& router, BackendServerId server,
                const LoadReport& report, TimePoint now) {
  const auto it = router.index.find(server);
  if (it == router.index.end()) return;
  Internal::ServerLoad& load = router.servers[it->second];
  const int others = report.in_flight - load.in_flight;
  load.reported_others = static_cast<std::uint16_t>(std::max(others, 0));
  load.reported_slots = report.slots;
  load.reported_in_flight = report.in_flight;
  load.reported_at = now;
  load.warming = report.warming;
  const double change = load.reported_others - router.mean_other_load;
  router.mean_other_load += Internal::kOtherLoadWeight * change;
  // The step is bounded, since a server may report any load.
  const double per_slot =
      static_cast<double>(report.in_flight) / Internal::EffectiveSlots(load);
  router.reported_load += Internal::kOtherLoadWeight *
                          std::min(per_slot - router.reported_load, 2.0);
  router.load_reported_at = now;
  if (load.draining != report.draining) {
    load.draining = report.draining;
    Internal::RebuildLists(router);
  }
}

void ForgetFailures(Router& router) {
  for (Internal::ServerLoad& it : router.servers) {
    it.paused_until = {};
    it.pauses_in_row = 0;
    it.failures_in_row = 0;
    it.declines_in_row = 0;
    it.long_pauses = 0;
  }
}

std::vector<Placed> Pump(Router& router, TimePoint now, Random& random) {
  if (router.queue.size > 0) Internal::ServeQueue(router, now, random);
  return std::exchange(router.decided, {});
}

}  // namespace ibisladder::routing
