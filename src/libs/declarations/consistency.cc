#include "libs/declarations/consistency.h"

#include <algorithm>
#include <map>
#include <unordered_set>
#include <utility>

#include "libs/declarations/declaration_fields.h"

namespace ibisladder::declarations {
namespace {

using json::AddError;
using json::Errors;
using json::PointerTo;

void CheckServers(const Service& service, const std::string& pointer,
                  IdRegistry& ids, Errors& errors) {
  std::map<Endpoint, std::size_t> endpoints;
  for (std::size_t i = 0; i < service.servers.size(); ++i) {
    const auto& server = service.servers[i];
    const std::string place = PointerTo(pointer, i);
    // Names and endpoints that failed their own checks are empty.
    if (!service.name.empty() && !server.name.empty()) {
      ids.Add(MakeBackendServerId(service.name, server.name).value(),
              service.name + "/" + server.name, PointerTo(place, "name"));
    }
    if (server.endpoint.port == 0) continue;
    const auto [it, added] = endpoints.emplace(server.endpoint, i);
    if (added) continue;
    AddError(errors, ResultCode::kDuplicateName, PointerTo(place, "endpoint"),
             "the endpoint is already used by " +
                 PointerTo(pointer, it->second) +
                 "; each backend server of a service needs its own");
  }
}

void CheckServices(const Declarations& declarations, Errors& errors) {
  IdRegistry services(errors);
  IdRegistry servers(errors);
  for (std::size_t i = 0; i < declarations.services.size(); ++i) {
    const auto& service = declarations.services[i];
    const std::string place = PointerTo("/services", i);
    if (!service.name.empty()) {
      services.Add(MakeServiceId(service.name).value(), service.name,
                   PointerTo(place, "name"));
    }
    CheckServers(service, PointerTo(place, "servers"), servers, errors);
  }
}

void CheckOrganisations(const Declarations& declarations, Errors& errors) {
  IdRegistry ids(errors);
  for (std::size_t i = 0; i < declarations.organisations.size(); ++i) {
    const auto& name = declarations.organisations[i].name;
    if (name.empty()) continue;
    ids.Add(MakeOrganisationId(name).value(), name,
            PointerTo(PointerTo("/organisations", i), "name"));
  }
}

using ServicesByName = std::unordered_map<std::string_view, const Service*>;

void CheckReference(const Route& route, const std::string& place,
                    const ServicesByName& services, Errors& errors) {
  if (route.service.empty()) return;
  const auto it = services.find(route.service);
  if (it == services.end()) {
    AddError(errors, ResultCode::kUnknownReference, PointerTo(place, "service"),
             "no service is named \"" + route.service +
                 "\"; declare it under /services or correct the name");
    return;
  }
  if (const auto limit = it->second->max_deadline; route.deadline > limit) {
    AddError(errors, ResultCode::kOutOfRange, PointerTo(place, "deadline_ms"),
             "expected at most " + std::to_string(ToMillis(limit)) +
                 ", the max_deadline_ms of service \"" + route.service +
                 "\", found " + std::to_string(ToMillis(route.deadline)));
  }
}

/// Reports routes that have both prefix and method in common.
class RouteRegistry {
 public:
  explicit RouteRegistry(Errors& errors) : errors_(errors) {}

  /// An empty method means all methods that no other route with this prefix
  /// lists. `index` is the position of the route.
  void Add(const Route& route, std::string_view method, std::size_t index,
           const std::string& pointer) {
    const auto [it, added] = seen_.try_emplace({route.prefix, method}, index);
    if (added) return;
    const std::string what =
        method.empty() ? "any method" : "method " + std::string(method);
    AddError(errors_, ResultCode::kDuplicateName, pointer,
             "prefix \"" + route.prefix + "\" with " + what +
                 " is already declared in " + PointerTo("/routes", it->second) +
                 "; keep one");
  }

 private:
  Errors& errors_;
  std::map<std::pair<std::string_view, std::string_view>, std::size_t> seen_;
};

void CheckRoutes(const Declarations& declarations, Errors& errors) {
  ServicesByName services;
  for (const auto& it : declarations.services) services.emplace(it.name, &it);
  RouteRegistry routes(errors);
  for (std::size_t i = 0; i < declarations.routes.size(); ++i) {
    const auto& route = declarations.routes[i];
    const std::string place = PointerTo("/routes", i);
    CheckReference(route, place, services, errors);
    if (route.prefix.empty()) continue;
    if (route.methods.empty()) {
      routes.Add(route, "", i, PointerTo(place, "prefix"));
    }
    for (std::size_t n = 0; n < route.methods.size(); ++n) {
      routes.Add(route, route.methods[n], i,
                 PointerTo(PointerTo(place, "methods"), n));
    }
  }
}

}  // namespace

void IdRegistry::Add(std::uint64_t id, std::string_view name,
                     const std::string& pointer) {
  const auto [it, added] =
      entries_.try_emplace(id, Entry{std::string(name), pointer});
  if (added) return;
  const auto& [other, place] = it->second;
  if (other == name) {
    AddError(errors_, ResultCode::kDuplicateName, pointer,
             "\"" + other + "\" is already used at " + place +
                 "; names must be unique");
  } else {
    AddError(errors_, ResultCode::kIdCollision, pointer,
             "\"" + std::string(name) + "\" has the same id as \"" + other +
                 "\" at " + place + "; rename one of them");
  }
}

void CheckConsistency(const Declarations& declarations, Errors& errors) {
  CheckServices(declarations, errors);
  CheckRoutes(declarations, errors);
  CheckOrganisations(declarations, errors);
}

}  // namespace ibisladder::declarations
