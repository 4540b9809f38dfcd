#include "libs/declarations/configuration.h"

#include <algorithm>

#include "libs/declarations/path_normalization.h"

namespace ibisladder::declarations {
namespace {

bool ListsMethod(const Route& route, std::string_view method) {
  const auto& methods = route.methods;
  return std::find(methods.begin(), methods.end(), method) != methods.end();
}

std::optional<std::uint32_t> FirstRouteWithPrefix(
    const Configuration& configuration, std::string_view prefix) {
  return configuration.routes.Find(
      std::hash<std::string_view>()(prefix), [&](std::uint32_t i) {
        return configuration.declarations.routes[i].prefix == prefix;
      });
}

/// Among routes with the same prefix, one that lists the method takes
/// precedence over one that allows all methods.
const Route* FindByPrefix(const Configuration& configuration,
                          std::string_view method, std::string_view prefix) {
  const auto first = FirstRouteWithPrefix(configuration, prefix);
  if (!first) return nullptr;
  const Route* any_method = nullptr;
  for (std::uint32_t i = *first;;) {
    const Route& route = configuration.declarations.routes[i];
    if (ListsMethod(route, method)) return &route;
    if (route.methods.empty()) any_method = &route;
    const std::uint32_t next = configuration.next_route[i];
    if (next == i) return any_method;
    i = next;
  }
}

void IndexRoutes(Configuration& configuration) {
  const auto& routes = configuration.declarations.routes;
  configuration.routes = CompactIndex(routes.size());
  configuration.next_route.resize(routes.size());
  for (std::uint32_t i = 0; i < routes.size(); ++i) {
    const std::string_view prefix = routes[i].prefix;
    configuration.longest_prefix =
        std::max(configuration.longest_prefix, prefix.size());
    configuration.next_route[i] = i;
    const auto first = configuration.routes.Add(
        std::hash<std::string_view>()(prefix), i,
        [&](std::uint32_t it) { return routes[it].prefix == prefix; });
    if (!first) continue;
    // Inserted after the first route with this prefix.
    std::uint32_t& next = configuration.next_route[*first];
    if (next != *first) configuration.next_route[i] = next;
    next = i;
  }
}

void IndexOrganisations(Configuration& configuration) {
  const auto& organisations = configuration.declarations.organisations;
  configuration.organisations = CompactIndex(organisations.size());
  for (std::uint32_t i = 0; i < organisations.size(); ++i) {
    const auto& name = organisations[i].name;
    configuration.organisations.Add(
        MakeOrganisationId(name).value(), i,
        [&](std::uint32_t it) { return organisations[it].name == name; });
  }
}

/// FindRoute for `path` exactly as spelled; it starts with a slash.
const Route* FindLongestPrefix(const Configuration& configuration,
                               std::string_view method, std::string_view path) {
  // Shortens the path at each slash; a trailing slash counts as a boundary too.
  for (std::size_t end = path.size(); end > 0;) {
    if (end <= configuration.longest_prefix) {
      const auto prefix = path.substr(0, end);
      if (const Route* route = FindByPrefix(configuration, method, prefix)) {
        return route;
      }
    }
    end = path.rfind('/', end - 1);
  }
  return FindByPrefix(configuration, method, "/");
}

}  // namespace

ConfigurationPtr Compile(ConfigVersion version, Declarations declarations) {
  auto configuration = std::make_shared<Configuration>();
  configuration->version = version;
  configuration->declarations = std::move(declarations);
  const auto& services = configuration->declarations.services;
  configuration->services.reserve(services.size());
  for (std::size_t i = 0; i < services.size(); ++i) {
    configuration->services.emplace(MakeServiceId(services[i].name), i);
  }
  IndexRoutes(*configuration);
  IndexOrganisations(*configuration);
  return configuration;
}

const Route* FindRoute(const Configuration& configuration,
                       std::string_view method, std::string_view path) {
  if (path.empty() || path.front() != '/') return nullptr;
  const Route* route = FindLongestPrefix(configuration, method, path);
  if (Internal::IsPlainPath(path)) return route;
  // A backend server may normalize the path, and would then run a request that
  // belongs to another route.
  const std::string normalized = Internal::NormalizePath(path);
  return FindLongestPrefix(configuration, method, normalized) == route
             ? route
             : nullptr;
}

const Service* FindService(const Configuration& configuration, ServiceId id) {
  const auto it = configuration.services.find(id);
  if (it == configuration.services.end()) return nullptr;
  return &configuration.declarations.services[it->second];
}

const Organisation* FindOrganisation(const Configuration& configuration,
                                     OrganisationId id) {
  const auto& organisations = configuration.declarations.organisations;
  const auto i =
      configuration.organisations.Find(id.value(), [&](std::uint32_t it) {
        return MakeOrganisationId(organisations[it].name) == id;
      });
  return i ? &organisations[*i] : nullptr;
}

}  // namespace ibisladder::declarations
