#include "libs/gateway/server_limits.h"

#include <cmath>

namespace ibisladder::gateway {
namespace {

constexpr double kMaxLimit = 1e6;
/// Older news are of no use.
constexpr Duration kMaxNewsAge = Seconds(3600);

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

}  // namespace ibisladder::gateway
