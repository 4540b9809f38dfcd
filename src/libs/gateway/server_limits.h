#ifndef LIBS_GATEWAY_SERVER_LIMITS_H_
#define LIBS_GATEWAY_SERVER_LIMITS_H_

#include <optional>

#include "libs/base/strong_types.h"
#include "libs/base/time.h"

/// Limits that backend servers name for the requests of all instances together.
namespace ibisladder::gateway {

/// What an instance knows of a server's limit. Newer knowledge replaces older.
struct LimitKnowledge {
  /// None: the server names no limit.
  std::optional<RequestsPerSecond> limit;
  /// When the server last stated this, as far as known; nullopt if never.
  std::optional<TimePoint> heard_at;
};

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_SERVER_LIMITS_H_
