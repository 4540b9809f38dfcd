#include "libs/limits/permits.h"

#include <algorithm>

namespace ibisladder::limits {
namespace {

/// Permits that a first keeper saves up, and the seconds of the limit that come
/// on top. Users allow 1.5 times the limit and five requests in any 4 s. Two
/// keepers, while one takes over from the other, give at most
/// 2 * (2 + N / 4) + (4 + 1) * N in that time.
constexpr double kSavedPermits = 2;
constexpr double kSavedSeconds = 0.25;
/// The part of the limit that a fallback keeper admits, beside a first keeper
/// that may admit the whole of it.
constexpr double kFallbackPart = 1.0 / 3;
/// Requests of lower priority leave this much to those of higher ones.
constexpr std::array<double, routing::kPriorities> kReserved = {0, 0.5, 1};
/// Maximum wait that a denial tells, since demand may fall meanwhile.
constexpr Duration kMaxWait = Seconds(5);

double RateOf(RequestsPerSecond limit, KeeperRank rank) {
  const double rate = std::max(limit.value(), routing::kMinServerLimit);
  return rank == KeeperRank::kFallback ? rate * kFallbackPart : rate;
}

double CapacityOf(RequestsPerSecond limit, KeeperRank rank) {
  if (rank == KeeperRank::kFallback) return 1 + kReserved.back();
  return kSavedPermits + RateOf(limit, rank) * kSavedSeconds;
}

void Fill(PermitBucket& bucket, RequestsPerSecond limit, KeeperRank rank,
          TimePoint now) {
  const TimePoint since = bucket.filled_at.value_or(now);
  const double gained =
      std::max(ToSeconds(now - since), 0.0) * RateOf(limit, rank);
  bucket.tokens = std::min(bucket.tokens + gained, CapacityOf(limit, rank));
  bucket.filled_at = now;
}

Duration WaitFor(const PermitBucket& bucket, double tokens, double rate) {
  constexpr double kMicrosPerSecond = 1e6;
  const double seconds = std::max(tokens - bucket.tokens, 0.0) / rate;
  const Duration wait =
      Micros(static_cast<std::int64_t>(seconds * kMicrosPerSecond) + 1);
  return std::min(wait, kMaxWait);
}

}  // namespace

std::optional<std::array<Duration, routing::kPriorities>> TakePermit(
    PermitBucket& bucket, RequestsPerSecond limit, KeeperRank rank,
    declarations::Priority priority, TimePoint now) {
  Fill(bucket, limit, rank, now);
  const auto index = static_cast<std::size_t>(priority);
  if (bucket.tokens >= 1 + kReserved[index]) {
    bucket.tokens -= 1;
    bucket.denied = {};
    return std::nullopt;
  }
  std::array<Duration, routing::kPriorities> waits{};
  double ahead = 0;
  for (std::size_t i = 0; i < waits.size(); ++i) {
    ahead += bucket.denied[i];
    waits[i] = WaitFor(bucket, 1 + kReserved[i] + ahead, RateOf(limit, rank));
  }
  ++bucket.denied[index];
  return waits;
}

}  // namespace ibisladder::limits
