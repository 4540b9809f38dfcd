#include "libs/gateway/route_table.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <utility>

namespace ibisladder::gateway {
namespace {

/// Multiples of it modulo 1 are evenly distributed.
constexpr double kGoldenRatio = 0.6180339887498949;

std::string LowerCase(std::string_view text) {
  std::string result(text);
  for (char& it : result) {
    if (it >= 'A' && it <= 'Z') it = static_cast<char>(it - 'A' + 'a');
  }
  return result;
}

std::string HostOf(const Route& route) {
  return LowerCase(WithoutPort(route.host));
}

void Insert(HostRoutes& host, const Route& route) {
  const bool is_new = host.by_prefix.emplace(route.prefix, &route).second;
  if (is_new) {
    ++host.lengths[route.prefix.size()];
  } else {
    host.has_duplicates = true;
  }
}

void Erase(HostRoutes& host, const Route& route) {
  host.by_prefix.erase(route.prefix);
  const auto it = host.lengths.find(route.prefix.size());
  if (--it->second == 0) host.lengths.erase(it);
}

/// Fills in the hosts from all routes, in the order of the configuration.
void RebuildHosts(RouteTable& table, const std::set<std::string>& names) {
  if (names.empty()) return;
  for (const std::string& it : names) table.by_host.erase(it);
  for (const RoutePtr& it : table.configuration->routes) {
    const std::string name = HostOf(*it);
    if (names.contains(name)) Insert(table.by_host[name], *it);
  }
}

std::vector<const Route*> Sorted(const std::vector<RoutePtr>& routes) {
  std::vector<const Route*> sorted;
  sorted.reserve(routes.size());
  for (const RoutePtr& it : routes) sorted.push_back(it.get());
  std::ranges::sort(sorted);
  return sorted;
}

}  // namespace

std::string_view WithoutPort(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  const bool has_port =
      colon != std::string_view::npos && host.find(']', colon) == host.npos;
  return has_port ? host.substr(0, colon) : host;
}

RouteTable MakeRouteTable(ConfigurationPtr configuration, Random& random) {
  RouteTable table;
  ReplaceConfiguration(table, std::move(configuration), random);
  return table;
}

void ReplaceConfiguration(RouteTable& table, ConfigurationPtr configuration,
                          Random& random) {
  std::vector<const Route*> sorted = Sorted(configuration->routes);
  std::vector<const Route*> removed;
  std::vector<const Route*> added;
  std::ranges::set_difference(table.sorted, sorted,
                              std::back_inserter(removed));
  std::ranges::set_difference(sorted, table.sorted, std::back_inserter(added));
  // Holds the removed routes until the end.
  const ConfigurationPtr before =
      std::exchange(table.configuration, std::move(configuration));
  table.sorted = std::move(sorted);
  std::set<std::string> with_duplicates;
  for (const Route* it : removed) {
    RemoveRoute(table.summary, *it);
    // The configuration may list it more than once.
    if (!std::ranges::binary_search(table.sorted, it)) table.cursors.erase(it);
    const std::string name = HostOf(*it);
    HostRoutes& host = table.by_host.at(name);
    if (host.has_duplicates) {
      with_duplicates.insert(name);
      continue;
    }
    Erase(host, *it);
    if (host.by_prefix.empty()) table.by_host.erase(name);
  }
  for (const Route* it : added) {
    AddRoute(table.summary, *it);
    const std::string name = HostOf(*it);
    HostRoutes& host = table.by_host[name];
    Insert(host, *it);
    if (host.has_duplicates) with_duplicates.insert(name);
  }
  RebuildHosts(table, with_duplicates);
  // In the order of the configuration, so that runs can be repeated.
  for (const RoutePtr& it : table.configuration->routes) {
    if (std::ranges::binary_search(added, it.get()))
      table.cursors[it.get()] = UniformUnit(random);
  }
}

const Route* FindRoute(const RouteTable& table, std::string_view host,
                       std::string_view target) {
  const auto it = table.by_host.find(LowerCase(WithoutPort(host)));
  if (it == table.by_host.end()) return nullptr;
  const std::string_view path = target.substr(0, target.find('?'));
  const HostRoutes& routes = it->second;
  for (const auto& [length, n] : routes.lengths) {
    if (length > path.size()) continue;
    const auto found = routes.by_prefix.find(path.substr(0, length));
    if (found != routes.by_prefix.end()) return found->second;
  }
  return nullptr;
}

const std::string& NextService(RouteTable& table, const Route& route) {
  const auto& shares = route.services;
  double& cursor = table.cursors[&route];
  cursor = std::fmod(cursor + kGoldenRatio, 1.0);
  double total = 0;
  for (const auto& it : shares) total += it.weight;
  double rest = cursor * total;
  for (const auto& it : shares) {
    if (rest < it.weight) return it.service;
    rest -= it.weight;
  }
  return shares.back().service;
}

}  // namespace ibisladder::gateway
