#ifndef LIBS_LIMITS_PERMITS_H_
#define LIBS_LIMITS_PERMITS_H_

#include <array>
#include <cstdint>
#include <optional>

#include "libs/base/strong_types.h"
#include "libs/base/time.h"
#include "libs/limits/keepers.h"
#include "libs/routing/router.h"

/// Permits that a keeper gives for single requests under a server's limit.
namespace ibisladder::limits {

/// Permits that a keeper has to give for one server.
struct PermitBucket {
  double tokens = 0;
  std::optional<TimePoint> filled_at;
  /// Requests of each priority that were denied since the last permit. They are
  /// told to come one after the other.
  std::array<std::uint32_t, routing::kPriorities> denied{};
};

/// Takes a permit, or returns the times until there is one for requests of each
/// priority. A bucket that is used for the first time starts to fill then, as
/// another keeper may have given permits just before.
std::optional<std::array<Duration, routing::kPriorities>> TakePermit(
    PermitBucket& bucket, RequestsPerSecond limit, KeeperRank rank,
    declarations::Priority priority, TimePoint now);

}  // namespace ibisladder::limits

#endif  // LIBS_LIMITS_PERMITS_H_
