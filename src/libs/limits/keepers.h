#ifndef LIBS_LIMITS_KEEPERS_H_
#define LIBS_LIMITS_KEEPERS_H_

#include <cstdint>
#include <string>
#include <vector>

/// Keepers: the instances that admit requests on behalf of all instances where
/// a limit holds for all of them together. They are chosen by rendezvous
/// hashing, so that instances with the same members choose the same ones, and a
/// change of one member moves few limits.
namespace ibisladder::limits {

/// The part of a limit that an instance admits.
enum class KeeperRank : std::uint8_t {
  kFirst,     ///< Admits the whole limit.
  kFallback,  ///< Admits a part of it, for instances that the first one does
              ///< not answer.
  kNone,
};

/// The instances that may admit requests under one limit, first and fallback.
struct Keepers {
  std::string first;
  std::string fallback;
};

/// Returns the keepers of what has this id. Empty names if there are too few
/// members.
Keepers KeepersOf(std::uint64_t id, const std::vector<std::string>& members);
KeeperRank RankOf(const Keepers& keepers, const std::string& member);

}  // namespace ibisladder::limits

#endif  // LIBS_LIMITS_KEEPERS_H_
