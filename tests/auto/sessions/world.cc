#include "tests/auto/sessions/world.h"

namespace ibisladder::sessions {
namespace {

constexpr Duration kTick = Millis(20);
constexpr Duration kFleetInterval = Seconds(1);
/// Charges that start together, at the most.
constexpr std::uint32_t kBurst = 12;
constexpr std::uint32_t kForms = 3;
/// Longer than any copy, grace or deadline.
constexpr Duration kSettling = Seconds(45);
constexpr std::uint16_t kPeerPort = 7000;

declarations::Service MakeService(const std::string& name) {
  declarations::Service service;
  service.name = name;
  for (std::uint16_t i = 0; i < kServers; ++i) {
    declarations::BackendServer server;
    server.name = "s" + std::to_string(i);
    server.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(8000 + i)};
    server.zone = ZoneName("quito-a");
    server.slots = 1;
    service.servers.push_back(server);
  }
  service.max_deadline = Seconds(3);
  service.retry_budget_percent = 50;
  service.queue_limit = 2;
  return service;
}

/// Form 0 has everything, form 1 lacks a server, form 2 the whole service.
declarations::Declarations MakeDeclarations(std::uint32_t form) {
  declarations::Declarations it;
  it.services = {MakeService("billing"), MakeService("library")};
  declarations::Route charge;
  charge.prefix = "/billing";
  charge.service = "billing";
  declarations::Route browse;
  browse.prefix = "/library";
  browse.service = "library";
  browse.repeat = declarations::RepeatRule::kIdempotent;
  it.routes = {charge, browse};
  declarations::Organisation riders;
  riders.name = "riders";
  riders.requests_per_second = 6;
  it.organisations = {riders};
  it.keep_addresses = Seconds(2);
  if (form == 1) it.services[0].servers.pop_back();
  if (form == 2) {
    it.services.erase(it.services.begin());
    it.routes.erase(it.routes.begin());
  }
  return it;
}

void StartNode(World& world, std::uint32_t n) {
  Node& node = world.nodes[n];
  auto& settings = node.settings;
  settings.instance = InstanceId(n + 1);
  settings.incarnation = Incarnation(0x100UL * (n + 1) + node.generation);
  settings.zone = ZoneName(std::string("quito-") + "abc"[n]);
  settings.caller_endpoint = {"10.1.0.1", static_cast<std::uint16_t>(n)};
  settings.era_length = Seconds(1);
  settings.accepted_eras = 3;
  settings.max_records = world.plan.max_records;
  settings.max_record_bytes = world.plan.max_record_bytes;
  node.clock_offset = Seconds(17L * n);
  node.path =
      callerpath::MakeCallerPath(settings, world.now + node.clock_offset);
}

void Configure(World& world, std::uint32_t n) {
  Feed(world, n,
       callerpath::ConfigurationInstalled{declarations::Compile(
           ConfigVersion(world.version), MakeDeclarations(world.form))});
}

void TickNode(World& world, std::uint32_t n) {
  if (world.now >= world.nodes[n].paused_until) {
    Feed(world, n, callerpath::Tick{});
  }
  Schedule(world, kTick, [&world, n] { TickNode(world, n); });
}

void TellFleetRegularly(World& world) {
  ReportFleet(world);
  Schedule(world, kFleetInterval, [&world] { TellFleetRegularly(world); });
}

void CutDirection(World& world, const Step& step) {
  constexpr std::uint32_t kParties[] = {0, 1, 2, kCallers, kBackEnds};
  const std::uint32_t from = kParties[step.a % std::size(kParties)];
  const std::uint32_t to = kParties[step.b % std::size(kParties)];
  world.cuts[{from, to}] = world.now + step.length;
  ++world.tally["cuts"];
}

void ChangeMode(World& world, const Step& step) {
  const int count = static_cast<int>(ServerMode::kCount);
  // One server or, as often, all of them.
  const std::size_t first = step.a % (2 * kServers);
  for (std::size_t it = 0; it < kServers; ++it) {
    if (first < kServers && it != first) continue;
    world.modes[it] = static_cast<ServerMode>(step.b % count);
    Schedule(world, step.length,
             [&world, it] { world.modes[it] = ServerMode::kOk; });
  }
}

std::uint32_t Burst(const World& world, const Step& step) {
  return world.plan.is_orderly ? 0 : step.b % kBurst;
}

void Stop(World& world, std::uint32_t n) {
  world.nodes[n].is_leaving = true;
  ++world.tally["stops"];
  Feed(world, n, callerpath::StopRequested{});
}

/// Each instance installs the version at another time.
void ChangeDeclarations(World& world, const Step& step) {
  ++world.version;
  world.form = step.b % kForms;
  ++world.tally["changes of declarations"];
  for (std::uint32_t n = 0; n < kInstances; ++n) {
    const auto wait =
        static_cast<std::int64_t>(UniformBelow(world.random, 2000));
    Schedule(world, Millis(wait), [&world, n] { Configure(world, n); });
  }
}

void Take(World& world, const Step& step) {
  const std::uint32_t n = step.a % kInstances;
  switch (step.kind) {
    case Step::Kind::kCharge:
      for (std::uint32_t it = 0; it <= Burst(world, step); ++it) {
        StartCharge(world, n);
      }
      return;
    case Step::Kind::kBrowse:
      StartBrowse(world, n);
      return;
    case Step::Kind::kMode:
      ChangeMode(world, step);
      return;
    case Step::Kind::kPause:
      world.nodes[n].paused_until = world.now + step.length;
      ++world.tally["pauses"];
      return;
    case Step::Kind::kRestart:
      Restart(world, n);
      return;
    case Step::Kind::kCut:
      CutDirection(world, step);
      return;
    case Step::Kind::kLateCopy:
      SendLateCopy(world, step.b);
      return;
    case Step::Kind::kStop:
      Stop(world, n);
      return;
    case Step::Kind::kReplace:
      world.nodes[n].is_replaced_when_drained = true;
      Stop(world, n);
      return;
    case Step::Kind::kChange:
      ChangeDeclarations(world, step);
      return;
    case Step::Kind::kCount:
      return;
  }
}

}  // namespace

World::World(const Plan& it)
    : plan(it), random(it.seed), nodes(kInstances), modes(kServers) {
  for (std::uint32_t n = 0; n < kInstances; ++n) {
    StartNode(*this, n);
    Configure(*this, n);
    Schedule(*this, kTick, [this, n] { TickNode(*this, n); });
  }
  TellFleetRegularly(*this);
}

void Schedule(World& world, Duration wait, std::function<void()> act) {
  world.queue.emplace(world.now + wait, std::move(act));
}

void RunUntil(World& world, TimePoint end) {
  while (!world.queue.empty() && world.queue.begin()->first <= end) {
    auto node = world.queue.extract(world.queue.begin());
    world.now = node.key();
    node.mapped()();
  }
  world.now = end;
}

void RunPlan(World& world) {
  Duration last{};
  for (const auto& it : world.plan.steps) {
    Schedule(world, it.at, [&world, it] { Take(world, it); });
    last = std::max(last, it.at + it.length);
  }
  RunUntil(world, world.now + last + kSettling);
}

void Restart(World& world, std::uint32_t n) {
  ++world.nodes[n].generation;
  world.nodes[n].is_leaving = false;
  world.nodes[n].is_replaced_when_drained = false;
  world.nodes[n].paused_until = world.now;
  ++world.tally["restarts"];
  StartNode(world, n);
  // Callers that know the address come before the configuration does.
  Schedule(world, Millis(300), [&world, n] { Configure(world, n); });
}

/// Each instance hears of the fleet late, and at another time.
void ReportFleet(World& world) {
  callerpath::FleetChanged fleet;
  for (const auto& it : world.nodes) {
    callerpath::FleetMember member;
    member.instance = it.settings.instance;
    member.incarnation = it.settings.incarnation;
    member.era = callerpath::CurrentEra(*it.path, world.now + it.clock_offset);
    member.zone = it.settings.zone;
    member.leaving = it.is_leaving;
    member.caller_endpoint = it.settings.caller_endpoint;
    const auto port = kPeerPort + it.settings.instance.value() - 1;
    member.peer_endpoint = {"10.1.0.1", static_cast<std::uint16_t>(port)};
    fleet.members.push_back(member);
  }
  for (std::uint32_t n = 0; n < kInstances; ++n) {
    const auto wait =
        Millis(static_cast<std::int64_t>(UniformBelow(world.random, 1500)));
    Schedule(world, wait, [&world, n, fleet] { Feed(world, n, fleet); });
  }
}

}  // namespace ibisladder::sessions
