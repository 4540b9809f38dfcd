#include "tests/auto/routing/schedule.h"

#include <algorithm>
#include <set>

#include "tests/auto/routing/support.h"

namespace ibisladder::routing {
namespace {

using declarations::Priority;
using declarations::RepeatRule;
using detection::AttemptEnd;
using detection::ServerState;

constexpr Duration kPumpInterval = Millis(10);
constexpr Duration kMaxPause = Seconds(1);
/// Bursts that the budgets allow beyond their percentages.
constexpr int kRetryBurst = 5;
constexpr int kShedBurst = 50;

struct Attempt {
  BackendServerId server;
  TimePoint since;
};

struct Schedule {
  const ScheduleSettings& settings;
  Random random;
  declarations::Service service;
  RouterPtr router;
  std::vector<Candidate> candidates;
  std::set<BackendServerId> draining;
  /// When an attempt last ended in a way that pauses its server.
  std::map<BackendServerId, TimePoint> paused;
  std::map<std::uint64_t, RoutingRequest> queued;
  std::vector<Attempt> running;
  TimePoint now = TimePoint(Seconds(100));
  std::uint64_t next_call = 1;
  int first_attempts = 0;
  int retries = 0;
  int shed_retries = 0;
  ScheduleResult result;

  explicit Schedule(const ScheduleSettings& it)
      : settings(it), random(it.seed) {}
};

void Fail(Schedule& it, const std::string& rule) {
  if (it.result.broken.empty()) it.result.broken = rule;
}

std::uint64_t Draw(Schedule& it, std::uint64_t bound) {
  return UniformBelow(it.random, bound);
}

const Candidate& Find(const Schedule& it, BackendServerId id) {
  return *std::ranges::find(it.candidates, id, &Candidate::id);
}

std::uint32_t Running(const Schedule& it, BackendServerId id) {
  return static_cast<std::uint32_t>(
      std::ranges::count(it.running, id, &Attempt::server));
}

void CheckDispatch(Schedule& it, const RoutingRequest& request,
                   BackendServerId id) {
  const Candidate& server = Find(it, id);
  if (server.closed) Fail(it, "a closed server was chosen");
  if (it.draining.contains(id)) Fail(it, "a draining server was chosen");
  if (server.state == ServerState::kEjected) {
    Fail(it, "an ejected server was chosen");
  }
  if (server.state == ServerState::kProbation) {
    ++it.result.trials;
    if (request.repeat == RepeatRule::kAtMostOnce || request.is_retry) {
      Fail(it, "a server on probation got more than first idempotent requests");
    }
    if (Running(it, id) > 0) Fail(it, "probation got two requests at once");
  }
  const auto is_tried = [&](const Candidate& other) {
    return std::ranges::count(request.tried, other.id) > 0;
  };
  const auto is_open = [&](const Candidate& other) {
    return !other.closed && !it.draining.contains(other.id) &&
           other.state == ServerState::kHealthy;
  };
  const bool tried = is_tried(server);
  const bool untried = std::ranges::any_of(it.candidates, [&](auto& other) {
    return is_open(other) && !is_tried(other);
  });
  // Uses the router's count of requests in flight, which includes calls that
  // Pump has yet to return. Each step compares it with the model's own count.
  const bool idle = std::ranges::any_of(it.candidates, [&](auto& other) {
    return is_open(other) && !(is_tried(other) && untried) &&
           InFlight(*it.router, other.id) == 0 &&
           it.now - it.paused[other.id] > kMaxPause;
  });
  if (server.state == ServerState::kLastResort) {
    ++it.result.last_resorts;
    if (idle) Fail(it, "last resort was chosen despite an idle server");
  }
  if (tried && untried) Fail(it, "a server was tried twice before others");
  it.running.push_back({id, it.now});
  const std::size_t share = std::max<std::size_t>(
      server.max_connections / it.settings.users_per_server, 1);
  const std::size_t limit = std::min<std::size_t>(server.slots, share);
  if (Running(it, id) > limit) Fail(it, "more in flight than allowed");
  ++it.result.dispatched;
}

void CheckRefusal(Schedule& it, const Refused& refused) {
  ++it.result.refused;
  const bool late = refused.code == ResultCode::kDeadlineBeforeDispatch;
  if (!late && refused.retry_after <= Duration{}) {
    Fail(it, "a refusal has no retry time");
  }
}

void HandlePlacement(Schedule& it, const RoutingRequest& request,
                     const Placement& placement) {
  if (const auto* dispatch = std::get_if<Dispatch>(&placement)) {
    CheckDispatch(it, request, dispatch->server);
  } else if (const auto* refused = std::get_if<Refused>(&placement)) {
    CheckRefusal(it, *refused);
  } else {
    ++it.result.queued;
    it.queued.emplace(request.call.value(), request);
  }
}

void PumpAll(Schedule& it) {
  const bool was_full = it.queued.size() >= it.settings.queue_limit;
  for (const Placed& placed : Pump(*it.router, it.now, it.random)) {
    const auto known = it.queued.find(placed.call.value());
    if (known == it.queued.end()) {
      Fail(it, "Pump returned a call that does not wait");
      continue;
    }
    const RoutingRequest request = known->second;
    it.queued.erase(known);
    if (was_full && std::holds_alternative<Refused>(placed.placement)) {
      ++it.result.displaced;
    }
    HandlePlacement(it, request, placed.placement);
  }
  for (const auto& [call, request] : it.queued) {
    if (request.deadline <= it.now) Fail(it, "a queued call expired");
  }
}

RoutingRequest DrawRequest(Schedule& it) {
  const auto given = Millis(static_cast<std::int64_t>(5 + Draw(it, 500)));
  RoutingRequest request = MakeRequest(it.next_call++, it.now + given,
                                       static_cast<Priority>(Draw(it, 3)));
  if (Draw(it, 2) == 0) request.repeat = RepeatRule::kIdempotent;
  return request;
}

void PlaceOne(Schedule& it, const RoutingRequest& request) {
  const Placement placement = Place(*it.router, request, it.now, it.random);
  const bool refused = std::holds_alternative<Refused>(placement);
  if (!request.is_retry) ++it.first_attempts;
  if (request.is_retry && refused) ++it.result.retries_refused;
  if (request.is_retry && !refused) {
    ++(request.after_shed ? it.shed_retries : it.retries);
  }
  if (100 * it.retries >
      it.settings.retry_percent * it.first_attempts + 100 * kRetryBurst) {
    Fail(it, "the retry budget was exceeded");
  }
  if (it.shed_retries > it.first_attempts + kShedBurst) {
    Fail(it, "the budget after sheds was exceeded");
  }
  HandlePlacement(it, request, placement);
}

void EndOne(Schedule& it) {
  if (it.running.empty()) return;
  const auto index = static_cast<std::ptrdiff_t>(Draw(it, it.running.size()));
  const Attempt attempt = it.running[static_cast<std::size_t>(index)];
  it.running.erase(it.running.begin() + index);
  const auto end = static_cast<AttemptEnd>(Draw(it, 8));
  AttemptEnded(*it.router, attempt.server, end, it.now - attempt.since, it.now);
  const bool shed = end == AttemptEnd::kShed;
  if (shed) ++it.result.sheds;
  if (shed || end == AttemptEnd::kLost || end == AttemptEnd::kConnectFailed) {
    it.paused[attempt.server] = it.now;
  }
  const bool failed = end == AttemptEnd::kLost || end == AttemptEnd::kError;
  if (!shed && !failed) return;
  RoutingRequest retry = DrawRequest(it);
  retry.is_retry = true;
  retry.after_shed = shed;
  retry.tried = {attempt.server};
  PlaceOne(it, retry);
}

void SendLoadReport(Schedule& it) {
  const Candidate& server = it.candidates[Draw(it, it.candidates.size())];
  LoadReport report;
  report.in_flight = static_cast<std::uint16_t>(Draw(it, 8));
  report.slots = static_cast<std::uint16_t>(Draw(it, 6));
  report.draining = Draw(it, 6) == 0;
  report.warming = Draw(it, 4) == 0;
  if (report.draining) {
    it.draining.insert(server.id);
  } else {
    it.draining.erase(server.id);
  }
  ReportLoad(*it.router, server.id, report, it.now);
}

void ChangeServers(Schedule& it) {
  ++it.result.changes;
  Candidate& server = it.candidates[Draw(it, it.candidates.size())];
  const bool was_closed = server.closed;
  server.closed = Draw(it, 4) == 0;
  server.state = static_cast<ServerState>(Draw(it, 4));
  if (was_closed && !server.closed) {
    server.warm_since = it.now;
    it.draining.erase(server.id);
  }
  SetCandidates(*it.router, it.candidates, it.settings.users_per_server,
                it.now);
}

void ForgetOne(Schedule& it) {
  if (it.queued.empty()) return;
  const auto known = it.queued.begin();
  RemoveQueued(*it.router, CallId(known->first));
  it.queued.erase(known);
}

void Wait(Schedule& it) {
  const auto rounds = Draw(it, 6);
  for (std::uint64_t n = 0; n < rounds; ++n) {
    it.now += kPumpInterval;
    PumpAll(it);
  }
}

void Step(Schedule& it) {
  const std::uint64_t draw = Draw(it, 100);
  if (draw < it.settings.arrivals) {
    RoutingRequest request = DrawRequest(it);
    // Adds more retries than any budget allows.
    request.is_retry = Draw(it, 3) == 0;
    request.after_shed = request.is_retry && Draw(it, 4) == 0;
    PlaceOne(it, request);
  } else if (draw < 75) {
    EndOne(it);
  } else if (draw < 82) {
    SendLoadReport(it);
  } else if (draw < 87) {
    ChangeServers(it);
  } else if (draw < 90) {
    ForgetOne(it);
  } else {
    Wait(it);
  }
  PumpAll(it);
  if (QueueLength(*it.router) > it.settings.queue_limit) {
    Fail(it, "the queue exceeded its limit");
  }
  for (const Candidate& server : it.candidates) {
    if (InFlight(*it.router, server.id) != Running(it, server.id)) {
      Fail(it, "requests in flight were miscounted");
    }
  }
}

}  // namespace

ScheduleResult RunSchedule(const ScheduleSettings& settings) {
  Schedule it(settings);
  it.service.queue_limit = settings.queue_limit;
  it.service.retry_budget_percent = settings.retry_percent;
  it.router = MakeRouter(it.service, Here(), it.now);
  it.candidates = MakeServers(settings.servers / 2, settings.servers / 2);
  for (auto& server : it.candidates) {
    server.max_connections = settings.max_connections;
  }
  SetCandidates(*it.router, it.candidates, settings.users_per_server, it.now);
  for (int n = 0; n < settings.steps && it.result.broken.empty(); ++n) Step(it);
  return it.result;
}

}  // namespace ibisladder::routing
