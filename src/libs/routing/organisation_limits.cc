#include <algorithm>
#include <unordered_map>

#include "libs/routing/router.h"

namespace ibisladder::routing {
namespace Internal {
namespace {

/// Minimum rate on one instance, in requests per second. An organisation with
/// few callers uses only few of the instances among which its rate is divided.
constexpr double kMinRate = 1;
/// Maximum burst, in seconds of the rate.
constexpr double kBurstSeconds = 2;
/// In requests.
constexpr double kMinBurst = 5;
/// Below this size, idle organisations are not searched for.
constexpr std::size_t kMinSweepSize = 256;
/// Base wait suggested after too many requests in flight.
constexpr Duration kInFlightRetryAfter = Seconds(1);

/// Token bucket of one organisation.
struct Bucket {
  double rate = 0;
  double burst = 0;
  double tokens = 0;
  std::uint32_t in_flight = 0;
  TimePoint filled_at;
};

void Fill(Bucket& bucket, TimePoint now) {
  const double gained = bucket.rate * ToSeconds(now - bucket.filled_at);
  bucket.tokens = std::min(bucket.tokens + gained, bucket.burst);
  bucket.filled_at = now;
}

void SetRate(Bucket& bucket, const declarations::Organisation& declared,
             std::size_t fleet_size) {
  const double fleet_rate = declared.requests_per_second;
  const double instance_rate =
      fleet_rate / static_cast<double>(std::max<std::size_t>(fleet_size, 1));
  bucket.rate = std::max(instance_rate, std::min(fleet_rate, kMinRate));
  const double min_burst = std::min(fleet_rate, kMinBurst);
  bucket.burst = std::max(bucket.rate * kBurstSeconds, min_burst);
}

}  // namespace
}  // namespace Internal

struct OrganisationLimits {
  std::unordered_map<OrganisationId, Internal::Bucket> buckets;
  /// Size at which idle organisations are erased next.
  std::size_t sweep_size = Internal::kMinSweepSize;
};

namespace Internal {
namespace {

/// Erases full buckets with nothing in flight: they equal new ones.
void EraseIdle(OrganisationLimits& limits, TimePoint now) {
  std::erase_if(limits.buckets, [now](const auto& it) {
    Bucket bucket = it.second;
    Fill(bucket, now);
    return bucket.in_flight == 0 && bucket.tokens >= bucket.burst;
  });
  limits.sweep_size = std::max(limits.buckets.size() * 2, kMinSweepSize);
}

Bucket& FindBucket(OrganisationLimits& limits,
                   const declarations::Organisation& declared,
                   OrganisationId id, std::size_t fleet_size, TimePoint now) {
  if (limits.buckets.size() >= limits.sweep_size) EraseIdle(limits, now);
  const auto [it, is_new] = limits.buckets.try_emplace(id);
  Bucket& bucket = it->second;
  if (is_new) bucket.filled_at = now;
  Fill(bucket, now);
  SetRate(bucket, declared, fleet_size);
  if (is_new) bucket.tokens = bucket.burst;
  return bucket;
}

Refused Refuse(Duration wait, Random& random) {
  const auto bound = static_cast<std::uint64_t>(wait.count()) + 1;
  const auto extra = static_cast<std::int64_t>(UniformBelow(random, bound));
  return {ResultCode::kOrganisationLimit, wait + Micros(extra)};
}

}  // namespace
}  // namespace Internal

void OrganisationLimitsDeleter::operator()(OrganisationLimits* limits) const {
  delete limits;
}

OrganisationLimitsPtr MakeOrganisationLimits() {
  return OrganisationLimitsPtr(new OrganisationLimits);
}

std::optional<Refused> TakeRequest(OrganisationLimits& limits,
                                   const declarations::Organisation& declared,
                                   OrganisationId id, std::size_t fleet_size,
                                   TimePoint now, Random& random) {
  const bool rated = declared.requests_per_second > 0;
  const bool bounded = declared.max_in_flight > 0;
  if (!rated && !bounded) return std::nullopt;
  Internal::Bucket& bucket =
      Internal::FindBucket(limits, declared, id, fleet_size, now);
  if (bounded && bucket.in_flight >= declared.max_in_flight) {
    return Internal::Refuse(Internal::kInFlightRetryAfter, random);
  }
  if (rated && bucket.tokens < 1) {
    const double seconds = (1 - bucket.tokens) / bucket.rate;
    const auto wait = Micros(static_cast<std::int64_t>(seconds * 1e6) + 1);
    return Internal::Refuse(wait, random);
  }
  if (rated) bucket.tokens -= 1;
  ++bucket.in_flight;
  return std::nullopt;
}

std::size_t TrackedOrganisations(const OrganisationLimits& limits) {
  return limits.buckets.size();
}

void ReleaseRequest(OrganisationLimits& limits, OrganisationId id) {
  const auto it = limits.buckets.find(id);
  if (it != limits.buckets.end() && it->second.in_flight > 0) {
    --it->second.in_flight;
  }
}

}  // namespace ibisladder::routing
