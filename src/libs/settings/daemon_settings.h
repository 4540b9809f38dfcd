#ifndef LIBS_SETTINGS_DAEMON_SETTINGS_H_
#define LIBS_SETTINGS_DAEMON_SETTINGS_H_

#include <string>
#include <string_view>
#include <vector>

#include "libs/base/result_code.h"
#include "libs/base/strong_types.h"
#include "libs/base/time.h"

/// Settings of one daemon, read from a JSON file and checked in full before
/// use.
namespace ibisladder::settings {

struct DaemonSettings {
  std::string fleet;
  InstanceId instance;
  ZoneName zone;
  /// HTTP endpoint for callers.
  Endpoint caller_endpoint;
  /// UDP and TCP endpoint for other instances.
  Endpoint peer_endpoint;
  /// HTTP endpoint for operators: remote procedures, metrics and health checks.
  Endpoint operator_endpoint;
  /// Sent by operators as "Authorization: Bearer <token>"; at least 16
  /// characters.
  std::string operator_token;
  /// The platform's store and instance list.
  Endpoint platform_endpoint;
  /// Peers to contact until the instance list is known.
  std::vector<Endpoint> seeds;
  Duration heartbeat_interval = Millis(500);
  Duration peer_timeout = Seconds(3);
  std::size_t peers_per_round = 4;
  Duration list_interval = Seconds(5);
  Duration store_timeout = Seconds(2);
  Duration era_length = Seconds(5);
  std::uint32_t accepted_eras = 12;
  std::size_t max_records = 200000;
  std::size_t max_record_bytes = 64U << 20U;
  /// Maximum duration of a planned stop; calls still open then are aborted.
  Duration stop_limit = Seconds(60);
};

/// Parses and checks the settings. Returns all errors at once, each with its
/// JSON pointer.
tl::expected<DaemonSettings, std::vector<Error>> ParseDaemonSettings(
    std::string_view json);

}  // namespace ibisladder::settings

#endif  // LIBS_SETTINGS_DAEMON_SETTINGS_H_
