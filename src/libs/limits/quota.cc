#include "libs/limits/quota.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace ibisladder::limits {
namespace {

constexpr double kMaxRate = 1e6;
constexpr double kMicrosPerSecond = 1e6;
/// Parts of the settings that the uses get. Together they stay within `over`
/// and `slack`: 0.5 + 0.1 + 2 x 0.2 of `over` x window, and
/// 2 x (5 / 20 + 0.1) + 0.05 of the slack.
constexpr double kLifePart = 0.5;
constexpr double kDepthPart = 0.1;
constexpr double kSmallPart = 0.2;
constexpr double kSmallSlackPart = 0.25;
constexpr double kSmallDepthPart = 0.1;
constexpr double kExtraSlackPart = 0.05;

double Number(double value, double max) {
  return std::isfinite(value) ? std::clamp(value, 0.0, max) : 0;
}

}  // namespace

Quota Clamped(const Quota& quota) {
  return {RequestsPerSecond(Number(quota.rate.value(), kMaxRate)),
          Number(quota.burst, kMaxRate)};
}

Allowance AllowanceOf(const QuotaSettings& settings) {
  const double window = std::max(ToSeconds(settings.window), 0.1);
  const double over_seconds = std::max(settings.over, 0.0) * window;
  const double slack = std::max(settings.slack, 0.0);
  Allowance result;
  result.credit_life = Micros(
      static_cast<std::int64_t>(kLifePart * over_seconds * kMicrosPerSecond));
  // Shorter than an exchange with the keeper, credit would never be used.
  constexpr Duration kMinLife = Millis(150);
  result.credit_life = std::max(result.credit_life, kMinLife);
  result.extra_seconds = kDepthPart * over_seconds;
  result.extra_tokens = kExtraSlackPart * slack;
  result.small_part = kSmallPart * settings.over;
  result.small_rate = kSmallSlackPart * slack / window;
  result.small_depth = std::max(kSmallDepthPart * slack, 1.0);
  return result;
}

const std::string& KeeperAt(KeeperPlaces& places, const QuotaMembers& members,
                            OrganisationId organisation, std::size_t n) {
  static const std::string kNobody;
  if (members.names.empty()) return n == 0 ? members.self : kNobody;
  if (places.version != members.version) {
    places = {};
    places.version = members.version;
    std::array<std::uint64_t, KeeperPlaces::kCount> weights{};
    for (std::size_t i = 0; i < members.names.size(); ++i) {
      const std::string& it = members.names[i];
      auto weight = XXH64(it.data(), it.size(), organisation.value());
      auto place = static_cast<std::int32_t>(i);
      for (std::size_t k = 0; k < KeeperPlaces::kCount; ++k) {
        if (places.places[k] >= 0 && weight <= weights[k]) continue;
        std::swap(places.places[k], place);
        std::swap(weights[k], weight);
        if (place < 0) break;
      }
    }
  }
  const std::int32_t place = places.places[n];
  return place < 0 ? kNobody : members.names[static_cast<std::size_t>(place)];
}

}  // namespace ibisladder::limits
