#include "benchmarks/choice_model.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <numbers>
#include <queue>
#include <string>
#include <utility>

namespace ibisladder::benchmarks {
namespace {

/// One-way network delay between an instance and a server within a zone.
constexpr Duration kNearDelay = Micros(250);
constexpr Duration kPumpInterval = Millis(10);
/// Idle connections are closed after this time.
constexpr Duration kIdleLimit = Seconds(4);

enum class Kind : std::uint8_t {
  kArrival,
  kServerArrival,
  kDone,
  kAnswer,
  kPump
};

struct Event {
  TimePoint at;
  std::uint64_t order = 0;
  Kind kind = Kind::kArrival;
  std::size_t call = 0;
  /// Load that an answer reports, or the instance of a pump.
  std::size_t value = 0;
  bool shed = false;

  bool operator<(const Event& other) const {
    return std::tie(other.at, other.order) < std::tie(at, order);
  }
};

struct Call {
  std::size_t instance = 0;
  std::size_t server = 0;
  TimePoint arrived;
  TimePoint sent;
  TimePoint started;
  routing::RoutingRequest demand;
};

struct Server {
  BackendServerId id;
  std::size_t zone = 0;
  std::uint16_t busy = 0;
  std::deque<std::size_t> backlog;
  bool is_slow = false;
  bool declines = false;
  /// Requests that are on their way, wait or run.
  std::size_t assigned = 0;
  std::uint64_t received = 0;
};

struct Run {
  const ChoiceModel& model;
  Random random;
  std::priority_queue<Event> events;
  std::uint64_t order = 0;
  std::vector<routing::RouterPtr> routers;
  std::vector<Server> servers;
  std::vector<Call> calls;
  std::vector<Duration> waits;
  Duration total_time{};
  std::uint64_t answered = 0;
  /// Time since which each connection is idle, by instance and server.
  std::map<std::pair<std::size_t, std::size_t>, std::vector<TimePoint>> idle;
  ChoiceResult result;

  explicit Run(const ChoiceModel& it) : model(it), random(it.seed) {}
};

void Schedule(Run& run, TimePoint at, Kind kind, std::size_t call,
              std::size_t value, bool shed = false) {
  run.events.push({at, run.order++, kind, call, value, shed});
}

Duration Exponential(Run& run, Duration mean) {
  const double unit = -std::log(1 - UniformUnit(run.random));
  return Micros(
      static_cast<std::int64_t>(unit * static_cast<double>(mean.count())));
}

std::size_t ZoneOf(const Run& run, std::size_t instance) {
  return instance % run.model.zones;
}

ZoneName ZoneNameOf(std::size_t zone) {
  return ZoneName("zone-" + std::to_string(zone));
}

Duration DelayTo(const Run& run, const Call& call) {
  const bool is_near =
      ZoneOf(run, call.instance) == run.servers[call.server].zone;
  return is_near ? kNearDelay : run.model.far_delay;
}

bool IsCounted(const Run& run, const Call& call) {
  return call.arrived >= TimePoint(run.model.warm_up);
}

/// Takes an idle connection; returns false when there is none.
bool TakeConnection(Run& run, const Call& call, TimePoint now) {
  auto& idle = run.idle[{call.instance, call.server}];
  std::erase_if(idle, [now](TimePoint it) { return now - it > kIdleLimit; });
  if (idle.empty()) return false;
  idle.pop_back();
  return true;
}

void ApplyPlacement(Run& run, std::size_t index,
                    const routing::Placement& placement, TimePoint now) {
  Call& call = run.calls[index];
  if (std::holds_alternative<routing::Refused>(placement)) {
    if (IsCounted(run, call)) ++run.result.refused;
    return;
  }
  const auto* dispatch = std::get_if<routing::Dispatch>(&placement);
  if (dispatch == nullptr) return;
  const auto it = std::ranges::find(run.servers, dispatch->server, &Server::id);
  call.server = static_cast<std::size_t>(it - run.servers.begin());
  call.sent = now;
  ++it->assigned;
  ++it->received;
  const bool reused = TakeConnection(run, call, now);
  if (IsCounted(run, call)) {
    ++run.result.attempts;
    if (reused) ++run.result.reused;
    if (it->zone == ZoneOf(run, call.instance)) ++run.result.own_zone;
  }
  Schedule(run, now + DelayTo(run, call), Kind::kServerArrival, index, 0);
}

void PumpRouter(Run& run, std::size_t instance, TimePoint now) {
  for (const auto& it : Pump(*run.routers[instance], now, run.random)) {
    ApplyPlacement(run, it.call.value(), it.placement, now);
  }
}

/// Returns the server at which the call ends first, if all else stays as it is.
const Server& BestServer(const Run& run, const Call& call) {
  const auto time_at = [&](const Server& it) {
    const auto rounds = std::max<double>(
        static_cast<double>(it.assigned + 1) / run.model.slots, 1);
    const double work = ToSeconds(run.model.mean_service) *
                        (it.is_slow ? run.model.slowdown : 1);
    const bool is_near = it.zone == ZoneOf(run, call.instance);
    const double delay =
        is_near ? 0 : 2 * ToSeconds(run.model.far_delay - kNearDelay);
    constexpr double kNever = 1e6;
    return rounds * work + delay + (it.declines ? kNever : 0);
  };
  return *std::ranges::min_element(run.servers, {}, time_at);
}

void PlaceCall(Run& run, std::size_t index, TimePoint now) {
  const Call& call = run.calls[index];
  if (run.model.knows_all) {
    ApplyPlacement(run, index,
                   routing::Dispatch{BestServer(run, call).id, "", false}, now);
    return;
  }
  auto& router = *run.routers[call.instance];
  const auto placement = Place(router, call.demand, now, run.random);
  ApplyPlacement(run, index, placement, now);
  PumpRouter(run, call.instance, now);
}

std::size_t DrawInstance(Run& run, TimePoint now) {
  const ChoiceModel& model = run.model;
  while (true) {
    const std::size_t instance = UniformBelow(run.random, model.instances);
    if (model.zone_swing == 0) return instance;
    const double part = static_cast<double>(ZoneOf(run, instance)) /
                        static_cast<double>(model.zones);
    const double turn =
        ToSeconds(now.time_since_epoch()) / ToSeconds(model.swing_period) +
        part;
    const double weight =
        1 + model.zone_swing * std::sin(2 * std::numbers::pi * turn);
    if (UniformUnit(run.random) * (1 + model.zone_swing) < weight) {
      return instance;
    }
  }
}

void OnArrival(Run& run, TimePoint now) {
  const double rate = run.model.load * static_cast<double>(run.model.servers) *
                      run.model.slots / ToSeconds(run.model.mean_service);
  const auto gap =
      Exponential(run, Micros(static_cast<std::int64_t>(1e6 / rate)));
  if (now + gap < TimePoint(run.model.length)) {
    Schedule(run, now + gap, Kind::kArrival, 0, 0);
  }
  Call call;
  call.instance = DrawInstance(run, now);
  call.arrived = now;
  call.demand.call = CallId(run.calls.size());
  call.demand.deadline = now + run.model.deadline;
  run.calls.push_back(call);
  if (IsCounted(run, call)) ++run.result.calls;
  PlaceCall(run, run.calls.size() - 1, now);
}

void StartExecution(Run& run, std::size_t index, TimePoint now) {
  Call& call = run.calls[index];
  ++run.servers[call.server].busy;
  call.started = now;
  if (IsCounted(run, call)) run.waits.push_back(now - call.arrived);
  const Duration mean =
      run.model.mean_service *
      (run.servers[call.server].is_slow ? run.model.slowdown : 1);
  Schedule(run, now + Exponential(run, mean), Kind::kDone, index, 0);
}

void OnServerArrival(Run& run, std::size_t index, TimePoint now) {
  const Call& call = run.calls[index];
  Server& server = run.servers[call.server];
  const bool is_declined =
      server.declines && UniformUnit(run.random) < run.model.declined_part;
  if (!is_declined && server.busy < run.model.slots) {
    StartExecution(run, index, now);
  } else if (!is_declined && server.backlog.size() < run.model.backlog) {
    server.backlog.push_back(index);
  } else {
    if (IsCounted(run, call)) ++run.result.sheds;
    --server.assigned;
    Schedule(run, now + DelayTo(run, call), Kind::kAnswer, index,
             server.busy + server.backlog.size(), true);
  }
}

void FinishExecution(Run& run, std::size_t index, TimePoint now) {
  const Call& call = run.calls[index];
  Server& server = run.servers[call.server];
  --server.busy;
  --server.assigned;
  if (!server.backlog.empty()) {
    const std::size_t next = server.backlog.front();
    server.backlog.pop_front();
    StartExecution(run, next, now);
  }
  Schedule(run, now + DelayTo(run, call), Kind::kAnswer, index,
           server.busy + server.backlog.size());
}

void OnAnswer(Run& run, const Event& event) {
  Call& call = run.calls[event.call];
  auto& router = *run.routers[call.instance];
  run.idle[{call.instance, call.server}].push_back(event.at);
  const BackendServerId server = run.servers[call.server].id;
  const auto end =
      event.shed ? detection::AttemptEnd::kShed : detection::AttemptEnd::kOk;
  if (!event.shed && IsCounted(run, call)) {
    run.total_time += event.at - call.arrived;
    ++run.answered;
  }
  const Duration usual = router.mean_latency;
  AttemptEnded(router, server, end, event.at - call.sent, event.at);
  routing::LoadReport report;
  report.in_flight = static_cast<std::uint16_t>(event.value);
  report.slots = run.model.slots;
  ReportLoad(router, server, report, event.at);
  if (run.model.choice.learns_from_servers && !event.shed &&
      usual > Duration::zero()) {
    RecordSlowness(router, server,
                   ToSeconds(event.at - call.sent) / ToSeconds(usual),
                   event.at);
  }
  if (!event.shed) {
    PumpRouter(run, call.instance, event.at);
    return;
  }
  call.demand.is_retry = true;
  call.demand.after_shed = true;
  call.demand.tried.push_back(server);
  PlaceCall(run, event.call, event.at);
}

void Handle(Run& run, const Event& event) {
  switch (event.kind) {
    case Kind::kArrival:
      return OnArrival(run, event.at);
    case Kind::kServerArrival:
      return OnServerArrival(run, event.call, event.at);
    case Kind::kDone:
      return FinishExecution(run, event.call, event.at);
    case Kind::kAnswer:
      return OnAnswer(run, event);
    case Kind::kPump:
      PumpRouter(run, event.value, event.at);
      if (event.at < TimePoint(run.model.length)) {
        Schedule(run, event.at + kPumpInterval, Kind::kPump, 0, event.value);
      }
  }
}

void SetUp(Run& run) {
  std::vector<routing::Candidate> candidates;
  for (std::size_t n = 0; n < run.model.servers; ++n) {
    routing::Candidate it;
    it.id = MakeBackendServerId("service", std::to_string(n));
    it.zone = ZoneNameOf(n % run.model.zones);
    it.slots = run.model.slots;
    it.warm_since = TimePoint(Seconds(-1000));
    candidates.push_back(it);
    Server server;
    server.id = it.id;
    server.zone = n % run.model.zones;
    // Evenly over the zones, which take turns.
    const double place = static_cast<double>(n / run.model.zones) *
                         static_cast<double>(run.model.zones) /
                         static_cast<double>(run.model.servers);
    server.declines = place < run.model.declining_part;
    server.is_slow = !server.declines &&
                     place < run.model.declining_part + run.model.slow_part;
    run.servers.push_back(std::move(server));
  }
  for (std::size_t n = 0; n < run.model.instances; ++n) {
    auto router =
        routing::MakeRouter({}, ZoneNameOf(ZoneOf(run, n)), TimePoint());
    routing::SetChoiceSettings(*router, run.model.choice);
    SetCandidates(*router, candidates, run.model.instances, TimePoint());
    run.routers.push_back(std::move(router));
    const auto spread = static_cast<std::int64_t>(UniformBelow(
        run.random, static_cast<std::uint64_t>(kPumpInterval.count())));
    Schedule(run, TimePoint(Micros(spread)), Kind::kPump, 0, n);
  }
  Schedule(run, TimePoint(), Kind::kArrival, 0, 0);
}

Duration Quantile(std::vector<Duration>& waits, double fraction) {
  if (waits.empty()) return {};
  const auto last = static_cast<double>(waits.size() - 1);
  const auto n = static_cast<std::ptrdiff_t>(last * fraction);
  std::nth_element(waits.begin(), waits.begin() + n, waits.end());
  return waits[static_cast<std::size_t>(n)];
}

}  // namespace

ChoiceResult RunChoiceModel(const ChoiceModel& model) {
  Run run(model);
  SetUp(run);
  while (!run.events.empty()) {
    const Event event = run.events.top();
    run.events.pop();
    Handle(run, event);
  }
  std::uint64_t received = 0;
  std::uint64_t most = 0;
  for (const Server& it : run.servers) {
    received += it.received;
    most = std::max(most, it.received);
  }
  run.result.busiest =
      static_cast<double>(most * run.servers.size()) /
      static_cast<double>(std::max<std::uint64_t>(received, 1));
  run.result.mean_time =
      run.total_time /
      static_cast<std::int64_t>(std::max<std::uint64_t>(run.answered, 1));
  run.result.median_wait = Quantile(run.waits, 0.5);
  run.result.p99_wait = Quantile(run.waits, 0.99);
  run.result.p999_wait = Quantile(run.waits, 0.999);
  return run.result;
}

}  // namespace ibisladder::benchmarks
