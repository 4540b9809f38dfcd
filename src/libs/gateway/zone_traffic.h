#ifndef LIBS_GATEWAY_ZONE_TRAFFIC_H_
#define LIBS_GATEWAY_ZONE_TRAFFIC_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "libs/base/log_event.h"

/// Counts the bytes that an instance exchanges with other availability zones.
namespace ibisladder::gateway {

/// What the bytes carry.
enum class Cargo : std::uint8_t {
  kRequests,  ///< Requests to backend servers.
  kAnswers,   ///< Answers of backend servers.
  kEvidence,  ///< Datagrams about servers that fail.
  kLimits,    ///< Datagrams about limits of servers, permits included.
  kOther,     ///< All other datagrams.
};
constexpr std::size_t kCargoKinds = 5;

/// Returns the name for logs and metrics, such as "requests".
const char* CargoName(Cargo cargo);

/// Contents of messages, without the headers of TCP, UDP and IP.
struct ZoneTraffic {
  std::array<std::uint64_t, kCargoKinds> bytes{};

  friend bool operator==(const ZoneTraffic&, const ZoneTraffic&) = default;
};

void CountBytes(ZoneTraffic& traffic, Cargo cargo, std::size_t n);
ZoneTraffic Sum(const ZoneTraffic& a, const ZoneTraffic& b);
/// Returns the log line for the bytes since `before`.
LogLine DescribeSince(const ZoneTraffic& traffic, const ZoneTraffic& before);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_ZONE_TRAFFIC_H_
