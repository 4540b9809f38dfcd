#include "libs/gateway/organisation_traffic.h"

#include <chrono>
#include <utility>

namespace ibisladder::gateway {
namespace {

constexpr auto kWindow =
    static_cast<std::int64_t>(OrganisationTraffic::kSeconds);

std::int64_t SecondOf(TimePoint time) {
  return std::chrono::floor<std::chrono::seconds>(time.time_since_epoch())
      .count();
}

RequestCounts& CountsAt(OrganisationTraffic::Recent& recent,
                        std::int64_t second) {
  return recent.by_second[static_cast<std::size_t>(second % kWindow)];
}

/// Sets the seconds to zero that have passed since the latest count.
void PassTime(OrganisationTraffic::Recent& recent, std::int64_t second) {
  if (second - recent.second >= kWindow) recent.by_second = {};
  for (auto it = recent.second + 1;
       it <= second && second - recent.second < kWindow; ++it) {
    CountsAt(recent, it) = {};
  }
  recent.second = second;
}

void RemoveIdle(OrganisationTraffic& traffic, std::int64_t second) {
  if (std::exchange(traffic.cleaned_second, second) == second) return;
  std::erase_if(traffic.organisations, [&](const auto& it) {
    return second - it.second.second >= kWindow;
  });
}

}  // namespace

void AddRequests(OrganisationTraffic& traffic, const std::string& organisation,
                 const RequestCounts& counts, TimePoint now) {
  const std::int64_t second = SecondOf(now);
  RemoveIdle(traffic, second);
  auto& recent = traffic.organisations[organisation];
  PassTime(recent, second);
  RequestCounts& sum = CountsAt(recent, second);
  sum.arrived += counts.arrived;
  sum.admitted += counts.admitted;
  sum.refused += counts.refused;
}

RequestCounts SumOf(const OrganisationTraffic::Recent& recent, TimePoint now) {
  OrganisationTraffic::Recent copy = recent;
  PassTime(copy, SecondOf(now));
  RequestCounts sum;
  for (const RequestCounts& it : copy.by_second) {
    sum.arrived += it.arrived;
    sum.admitted += it.admitted;
    sum.refused += it.refused;
  }
  return sum;
}

}  // namespace ibisladder::gateway
