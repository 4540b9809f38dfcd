#include "libs/gateway/server_limits.h"

#include <xxhash.h>

#include <cmath>

namespace ibisladder::gateway {
namespace {

constexpr double kMaxLimit = 1e6;
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
/// Older news are of no use.
constexpr Duration kMaxNewsAge = Seconds(3600);

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

std::uint64_t WeightOf(BackendServerId server, const std::string& member) {
  return XXH64(member.data(), member.size(), server.value());
}

}  // namespace

LimitNews MakeLimitNews(BackendServerId server, const LimitKnowledge& known,
                        TimePoint now) {
  LimitNews news;
  news.server = server;
  news.is_limited = known.limit.has_value();
  if (known.limit) news.limit = *known.limit;
  news.age = known.heard_at ? now - *known.heard_at : kMaxNewsAge;
  return news;
}

std::optional<LimitKnowledge> KnowledgeOf(const LimitNews& news,
                                          TimePoint now) {
  const double rate = news.limit.value();
  const bool is_plausible = news.age >= Duration::zero() &&
                            news.age < kMaxNewsAge && std::isfinite(rate) &&
                            rate >= 0 && rate <= kMaxLimit;
  if (!is_plausible) return std::nullopt;
  LimitKnowledge known;
  if (news.is_limited) known.limit = news.limit;
  known.heard_at = now - news.age;
  return known;
}

bool IsNewer(const LimitKnowledge& other, const LimitKnowledge& known) {
  return other.heard_at &&
         (!known.heard_at || *other.heard_at > *known.heard_at);
}

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

Keepers KeepersOf(BackendServerId server,
                  const std::vector<std::string>& members) {
  Keepers keepers;
  std::uint64_t first_weight = 0;
  std::uint64_t fallback_weight = 0;
  for (const std::string& it : members) {
    const std::uint64_t weight = WeightOf(server, it);
    if (keepers.first.empty() || weight > first_weight) {
      keepers.fallback = std::move(keepers.first);
      fallback_weight = first_weight;
      keepers.first = it;
      first_weight = weight;
    } else if (keepers.fallback.empty() || weight > fallback_weight) {
      keepers.fallback = it;
      fallback_weight = weight;
    }
  }
  return keepers;
}

KeeperRank RankOf(const Keepers& keepers, const std::string& member) {
  if (member == keepers.first) return KeeperRank::kFirst;
  return member == keepers.fallback ? KeeperRank::kFallback : KeeperRank::kNone;
}

}  // namespace ibisladder::gateway
