#ifndef LIBS_GATEWAY_SERVER_LIMITS_H_
#define LIBS_GATEWAY_SERVER_LIMITS_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/strong_types.h"
#include "libs/base/time.h"
#include "libs/limits/permits.h"
#include "libs/routing/router.h"

/// Limits that backend servers name for the requests of all instances together.
/// One instance, the keeper, admits the requests to a server with a limit; the
/// others ask it for a permit for each request.
namespace ibisladder::gateway {

/// What an instance knows of a server's limit. Newer knowledge replaces older.
struct LimitKnowledge {
  /// None: the server names no limit.
  std::optional<RequestsPerSecond> limit;
  /// When the server last stated this, as far as known; nullopt if never.
  std::optional<TimePoint> heard_at;
};

/// Knowledge of one server's limit, as sent to other instances.
struct LimitNews {
  BackendServerId server;
  bool is_limited = false;
  RequestsPerSecond limit;
  /// Time since the server stated it, instead of a time, as clocks differ.
  Duration age{};

  template <typename Archive>
  void serialize(Archive& archive) {
    std::int64_t age_us = age.count();
    archive(server, is_limited, limit, age_us);
    age = Duration(age_us);
  }
};

LimitNews MakeLimitNews(BackendServerId server, const LimitKnowledge& known,
                        TimePoint now);
/// Returns the sender's knowledge, or none if the news cannot be true.
std::optional<LimitKnowledge> KnowledgeOf(const LimitNews& news, TimePoint now);
/// Returns whether `other` is newer than `known`.
bool IsNewer(const LimitKnowledge& other, const LimitKnowledge& known);

/// Asks a keeper for a permit to send one request to one server.
struct PermitRequest {
  /// Unique at the asking instance.
  std::uint64_t number = 0;
  /// The asking instance's knowledge of the limit.
  LimitNews news;
  declarations::Priority priority = declarations::Priority::kNormal;

  template <typename Archive>
  void serialize(Archive& archive) {
    auto class_number = static_cast<std::uint8_t>(priority);
    archive(number, news, class_number);
    const std::uint8_t max = routing::kPriorities - 1;
    priority = static_cast<declarations::Priority>(std::min(class_number, max));
  }
};

/// A keeper's answer.
struct PermitReply {
  std::uint64_t number = 0;
  bool is_granted = false;
  /// The keeper does not know the server or is not one of its keepers.
  bool is_unknown = false;
  /// The keeper's knowledge of the limit, if `has_news`.
  LimitNews news;
  bool has_news = false;
  /// Times until a permit is available for requests of each priority.
  std::array<Duration, routing::kPriorities> waits{};

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, is_granted, is_unknown, news, has_news);
    for (Duration& it : waits) {
      std::int64_t wait_us = it.count();
      archive(wait_us);
      it = Duration(wait_us);
    }
  }
};

using limits::KeeperRank;
using limits::Keepers;
using limits::PermitBucket;
using limits::TakePermit;

/// Returns the server's keepers.
inline Keepers KeepersOf(BackendServerId server,
                         const std::vector<std::string>& members) {
  return limits::KeepersOf(server.value(), members);
}

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_SERVER_LIMITS_H_
