#include "benchmarks/fixture.h"

#include <algorithm>
#include <string>
#include <utility>

namespace ibisladder::benchmarks {
namespace {

constexpr std::uint16_t kPort = 7000;
/// One of this many routes is at-most-once.
constexpr std::size_t kAtMostOnceEvery = 4;
constexpr std::uint64_t kFleet = 0x1B15;

std::string ServiceName(std::size_t index) {
  return "service-" + std::to_string(index);
}

std::string MakeAddress(std::size_t index) {
  return "10." + std::to_string(index >> 16U & 255U) + "." +
         std::to_string(index >> 8U & 255U) + "." +
         std::to_string(index & 255U);
}

std::string PrefixOf(std::size_t index) {
  return "/api/v1/area-" + std::to_string(index % 97) + "/resource-" +
         std::to_string(index);
}

std::size_t ScaleCount(double fraction, std::size_t count) {
  const double scaled = fraction * static_cast<double>(count) + 0.5;
  return std::max<std::size_t>(static_cast<std::size_t>(scaled), 1);
}

}  // namespace

FleetSize Scale(double fraction) {
  FleetSize size;
  size.instances = ScaleCount(fraction, size.instances);
  size.services = ScaleCount(fraction, size.services);
  size.servers = ScaleCount(fraction, size.servers);
  size.routes = ScaleCount(fraction, size.routes);
  size.organisations = ScaleCount(fraction, size.organisations);
  return size;
}

ZoneName MakeZone(std::size_t index, const FleetSize& size) {
  return ZoneName("zone-" + std::to_string(index % size.zones));
}

declarations::Declarations MakeDeclarations(const FleetSize& size) {
  declarations::Declarations all;
  all.subset_size = size.subset_size;
  for (std::size_t n = 0; n < size.services; ++n) {
    declarations::Service service;
    service.name = ServiceName(n);
    all.services.push_back(std::move(service));
  }
  for (std::size_t n = 0; n < size.servers; ++n) {
    declarations::BackendServer server;
    server.name = "server-" + std::to_string(n);
    server.endpoint = {MakeAddress(n), kPort};
    server.zone = MakeZone(n / size.services, size);
    all.services[n % size.services].servers.push_back(std::move(server));
  }
  for (std::size_t n = 0; n < size.routes; ++n) {
    declarations::Route route;
    route.prefix = PrefixOf(n);
    route.service = ServiceName(n % size.services);
    route.repeat = n % kAtMostOnceEvery == 1
                       ? declarations::RepeatRule::kAtMostOnce
                       : declarations::RepeatRule::kIdempotent;
    all.routes.push_back(std::move(route));
  }
  for (std::size_t n = 0; n < size.organisations; ++n) {
    declarations::Organisation it;
    it.name = "organisation-" + std::to_string(n);
    it.requests_per_second = 1000000;
    all.organisations.push_back(std::move(it));
  }
  return all;
}

callerpath::FleetMember MakeMember(std::size_t index, const FleetSize& size) {
  callerpath::FleetMember member;
  member.instance = InstanceId(static_cast<std::uint32_t>(index + 1));
  member.incarnation = Incarnation(index + 1);
  member.era = Era(1);
  member.zone = MakeZone(index, size);
  member.caller_endpoint = {MakeAddress(index), kPort};
  member.peer_endpoint = {MakeAddress(index), kPort + 1};
  return member;
}

callerpath::FleetChanged MakeFleet(const FleetSize& size) {
  callerpath::FleetChanged fleet;
  for (std::size_t n = 0; n < size.instances; ++n) {
    fleet.members.push_back(MakeMember(n, size));
  }
  return fleet;
}

callerpath::CallerPathPtr MakeLoadedPath(const FleetSize& size, TimePoint now,
                                         Random& random) {
  const auto self = MakeMember(0, size);
  callerpath::CallerPathSettings settings;
  settings.instance = self.instance;
  settings.incarnation = self.incarnation;
  settings.zone = self.zone;
  settings.caller_endpoint = self.caller_endpoint;
  auto path = callerpath::MakeCallerPath(settings, now);
  Step(*path,
       callerpath::ConfigurationInstalled{
           declarations::Compile(ConfigVersion(1), MakeDeclarations(size))},
       now, random);
  Step(*path, MakeFleet(size), now, random);
  return path;
}

callerpath::CallRequest MakeRequest(std::size_t index, const FleetSize& size) {
  callerpath::CallRequest request;
  std::size_t route = index % size.routes;
  if (route % kAtMostOnceEvery == 1) route -= 1;
  request.method = "GET";
  request.target = PrefixOf(route) + "/items/7?page=2";
  request.organisation =
      "organisation-" + std::to_string(index % size.organisations);
  request.timeout = Seconds(2);
  request.headers = {{"Accept", "application/json"},
                     {"User-Agent", "camera-sync/4.2"}};
  return request;
}

wire::Heartbeat MakeHeartbeat(std::size_t heard, std::size_t members,
                              std::size_t digests) {
  const FleetSize size;
  const auto make_update = [&size](std::size_t n) {
    const auto member = MakeMember(n, size);
    wire::MemberUpdate update;
    update.instance = member.instance;
    update.incarnation = member.incarnation;
    update.era = member.era;
    update.zone = member.zone;
    update.caller_endpoint = member.caller_endpoint;
    update.peer_endpoint = member.peer_endpoint;
    return update;
  };
  wire::Heartbeat heartbeat;
  heartbeat.self = make_update(0);
  heartbeat.sender.fleet = kFleet;
  heartbeat.sender.instance = heartbeat.self.instance;
  heartbeat.sender.incarnation = heartbeat.self.incarnation;
  heartbeat.sender.sequence = 1;
  heartbeat.version = ConfigVersion(1);
  for (std::size_t n = 0; n < heard; ++n) {
    heartbeat.heard.push_back(InstanceId(static_cast<std::uint32_t>(n)));
  }
  for (std::size_t n = 0; n < members; ++n) {
    heartbeat.members.push_back(make_update(n + 1));
  }
  for (std::size_t n = 0; n < digests; ++n) {
    heartbeat.evidence.push_back({MakeServiceId(ServiceName(n)),
                                  MakeBackendServerId(ServiceName(n), "server"),
                                  16, 10});
  }
  return heartbeat;
}

}  // namespace ibisladder::benchmarks
