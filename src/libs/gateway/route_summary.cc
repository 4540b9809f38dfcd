#include "libs/gateway/route_summary.h"

#include <algorithm>
#include <set>

namespace ibisladder::gateway {
namespace {

/// Returns the services of a route, each one once.
std::set<std::string> ServicesOf(const Route& route) {
  std::set<std::string> services;
  for (const auto& it : route.services) services.insert(it.service);
  return services;
}

/// Returns host and service of most of the route's requests. The other services
/// of a split are usually a small part of it, which is moved for a while.
std::pair<std::string, std::string> MainServiceOf(const Route& route) {
  const auto main_service =
      std::ranges::max_element(route.services, {}, &WeightedService::weight);
  return {route.host, main_service->service};
}

template <typename Key>
void Decrement(std::map<Key, std::size_t>& counts, const Key& key) {
  const auto it = counts.find(key);
  if (--it->second == 0) counts.erase(it);
}

}  // namespace

void AddRoute(RouteSummary& summary, const Route& route) {
  if (route.services.empty()) return;
  for (const std::string& name : ServicesOf(route)) {
    ServiceRoutes& service = summary.services[name];
    if (route.repeat == RepeatRule::kIdempotent) ++service.idempotent;
    ++service.target_latencies[route.target_latency];
  }
  auto& priorities = summary.priorities[MainServiceOf(route)];
  const auto [it, is_new] = priorities.try_emplace(route.priority, 0);
  ++it->second;
  if (is_new && priorities.size() == 2) ++summary.competing;
}

void RemoveRoute(RouteSummary& summary, const Route& route) {
  if (route.services.empty()) return;
  for (const std::string& name : ServicesOf(route)) {
    const auto it = summary.services.find(name);
    ServiceRoutes& service = it->second;
    if (route.repeat == RepeatRule::kIdempotent) --service.idempotent;
    Decrement(service.target_latencies, route.target_latency);
    if (service.target_latencies.empty()) summary.services.erase(it);
  }
  const auto it = summary.priorities.find(MainServiceOf(route));
  const std::size_t before = it->second.size();
  Decrement(it->second, route.priority);
  if (before == 2 && it->second.size() == 1) --summary.competing;
  if (it->second.empty()) summary.priorities.erase(it);
}

bool HasCompetingRoutes(const RouteSummary& summary) {
  return summary.competing > 0;
}

bool HasIdempotentRoute(const RouteSummary& summary,
                        const std::string& service) {
  const auto it = summary.services.find(service);
  return it != summary.services.end() && it->second.idempotent > 0;
}

Duration TargetLatency(const RouteSummary& summary,
                       const std::string& service) {
  constexpr Duration kMax = Seconds(1);
  const auto it = summary.services.find(service);
  if (it == summary.services.end()) return kMax;
  return std::min(kMax, it->second.target_latencies.begin()->first);
}

}  // namespace ibisladder::gateway
