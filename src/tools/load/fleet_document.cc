#include "tools/load/fleet_document.h"

#include <nlohmann/json.hpp>

namespace ibisladder::load {
namespace {

using nlohmann::json;

constexpr std::size_t kZones = 3;
constexpr std::size_t kPortsPerAddress = 50000;
constexpr std::size_t kFirstPort = 10000;
constexpr int kOrganisationRate = 36;

std::string Numbered(const char* name, std::size_t n) {
  return name + std::to_string(n);
}

json MakeServer(std::size_t n) {
  const std::string address = Numbered("127.9.0.", n / kPortsPerAddress + 1);
  const std::size_t port = kFirstPort + n % kPortsPerAddress;
  return {{"name", Numbered("server-", n)},
          {"endpoint", address + ":" + std::to_string(port)},
          {"zone", Numbered("zone-", n % kZones)}};
}

json MakeServices(const FleetSize& size) {
  json result = json::array();
  for (std::size_t n = 0; n < size.services; ++n) {
    result.push_back(
        {{"name", Numbered("service-", n)}, {"servers", json::array()}});
  }
  for (std::size_t n = 0; n < size.servers; ++n) {
    result[n % size.services]["servers"].push_back(MakeServer(n));
  }
  return result;
}

json MakeRoutes(const FleetSize& size) {
  json result = json::array();
  for (std::size_t n = 0; n < size.routes; ++n) {
    const std::size_t service = n % size.services;
    result.push_back(
        {{"prefix", Numbered("/service-", service) + Numbered("/path-", n)},
         {"service", Numbered("service-", service)},
         {"repeat", n % 2 == 0 ? "idempotent" : "at-most-once"}});
  }
  return result;
}

json MakeOrganisations(const FleetSize& size) {
  json result = json::array();
  for (std::size_t n = 0; n < size.organisations; ++n) {
    result.push_back({{"name", Numbered("organisation-", n)},
                      {"requests_per_second", kOrganisationRate}});
  }
  return result;
}

}  // namespace

std::string MakeFleetDocument(const FleetSize& size) {
  return json{{"services", MakeServices(size)},
              {"routes", MakeRoutes(size)},
              {"organisations", MakeOrganisations(size)}}
      .dump();
}

}  // namespace ibisladder::load
