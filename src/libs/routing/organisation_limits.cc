#include <unordered_map>

#include "libs/routing/router.h"

namespace ibisladder::routing {
namespace {

/// Base wait suggested after too many requests in flight.
constexpr Duration kInFlightRetryAfter = Seconds(1);

}  // namespace

struct OrganisationLimits {
  /// Requests in flight; organisations without any have no entry.
  std::unordered_map<OrganisationId, std::uint32_t> in_flight;
};

void OrganisationLimitsDeleter::operator()(OrganisationLimits* limits) const {
  delete limits;
}

OrganisationLimitsPtr MakeOrganisationLimits() {
  return OrganisationLimitsPtr(new OrganisationLimits);
}

std::optional<Refused> TakeRequest(OrganisationLimits& limits,
                                   const declarations::Organisation& declared,
                                   OrganisationId id, Random& random) {
  if (declared.max_in_flight == 0) return std::nullopt;
  std::uint32_t& in_flight = limits.in_flight[id];
  if (in_flight >= declared.max_in_flight) {
    const auto bound =
        static_cast<std::uint64_t>(kInFlightRetryAfter.count()) + 1;
    const auto extra = static_cast<std::int64_t>(UniformBelow(random, bound));
    return Refused{ResultCode::kOrganisationLimit,
                   kInFlightRetryAfter + Micros(extra)};
  }
  ++in_flight;
  return std::nullopt;
}

std::size_t TrackedOrganisations(const OrganisationLimits& limits) {
  return limits.in_flight.size();
}

void ReleaseRequest(OrganisationLimits& limits, OrganisationId id) {
  const auto it = limits.in_flight.find(id);
  if (it != limits.in_flight.end() && --it->second == 0) {
    limits.in_flight.erase(it);
  }
}

}  // namespace ibisladder::routing
