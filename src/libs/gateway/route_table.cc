#include "libs/gateway/route_table.h"

#include <algorithm>
#include <cmath>
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

}  // namespace

std::string_view WithoutPort(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  const bool has_port =
      colon != std::string_view::npos && host.find(']', colon) == host.npos;
  return has_port ? host.substr(0, colon) : host;
}

RouteTable MakeRouteTable(ConfigurationPtr configuration, Random& random) {
  RouteTable table;
  table.configuration = std::move(configuration);
  const auto& routes = table.configuration->routes;
  for (std::uint32_t i = 0; i < routes.size(); ++i) {
    table.by_host[LowerCase(WithoutPort(routes[i].host))].push_back(i);
    table.cursors.push_back(UniformUnit(random));
  }
  for (auto& [host, indexes] : table.by_host) {
    std::ranges::stable_sort(indexes, [&](auto a, auto b) {
      return routes[a].prefix.size() > routes[b].prefix.size();
    });
  }
  return table;
}

int FindRoute(const RouteTable& table, std::string_view host,
              std::string_view target) {
  const auto it = table.by_host.find(LowerCase(WithoutPort(host)));
  if (it == table.by_host.end()) return -1;
  const std::string_view path = target.substr(0, target.find('?'));
  for (const std::uint32_t index : it->second) {
    if (path.starts_with(table.configuration->routes[index].prefix)) {
      return static_cast<int>(index);
    }
  }
  return -1;
}

const std::string& NextService(RouteTable& table, int route) {
  const auto& shares = table.configuration->routes[route].services;
  double& cursor = table.cursors[route];
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
