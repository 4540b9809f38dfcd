#include "libs/limits/keepers.h"

#include <xxhash.h>

#include <utility>

namespace ibisladder::limits {
namespace {

std::uint64_t WeightOf(std::uint64_t id, const std::string& member) {
  return XXH64(member.data(), member.size(), id);
}

}  // namespace

Keepers KeepersOf(std::uint64_t id, const std::vector<std::string>& members) {
  Keepers keepers;
  std::uint64_t first_weight = 0;
  std::uint64_t fallback_weight = 0;
  for (const std::string& it : members) {
    const std::uint64_t weight = WeightOf(id, it);
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

}  // namespace ibisladder::limits
