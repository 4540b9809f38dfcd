#ifndef LIBS_GATEWAY_CONFIGURATION_H_
#define LIBS_GATEWAY_CONFIGURATION_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "libs/base/strong_types.h"
#include "libs/base/time.h"
#include "libs/declarations/declarations.h"

/// What a gateway needs to know of routes, services and backend servers,
/// whatever the platform's own form of it is.
namespace ibisladder::gateway {

using declarations::RepeatRule;

/// A service that a route sends to, with its part of the requests.
struct WeightedService {
  std::string service;
  /// Relative to the other shares of the route.
  double weight = 1;
};

struct Route {
  std::string name;
  /// Value of the Host field, without port.
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  RepeatRule repeat = RepeatRule::kAtMostOnce;
  /// Longest time that a request may be kept waiting.
  Duration timeout = Seconds(5);
  /// Time within which an answer is worth most.
  Duration target_latency = Seconds(1);
  /// Backend servers that one request may be sent to.
  std::uint32_t max_attempts = 1;
  /// Urgency; 0 comes first.
  std::uint32_t rank = 1;
  /// At least one.
  std::vector<WeightedService> services;
};

struct ServiceConfig {
  std::string name;
  std::string health_path;
  /// Connections that each backend server accepts from the whole fleet.
  std::uint16_t max_connections = 300;
};

/// What a caller may send, and how long it may take.
struct CallerLimits {
  std::size_t header_bytes = 16U << 10U;
  std::size_t body_bytes = 16U << 20U;
  Duration header_timeout = Seconds(5);
  Duration idle_timeout = Seconds(15);
};

struct Configuration {
  ConfigVersion version;
  std::vector<Route> routes;
  std::vector<ServiceConfig> services;
  CallerLimits limits;
};
using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// One incarnation of a backend server, as it describes itself.
struct ServerEntry {
  /// Name that the server goes by; it checks it itself.
  std::string name;
  /// Start of this incarnation, Unix time in milliseconds; zero: not told.
  std::int64_t started_ms = 0;
  std::string service;
  Endpoint endpoint;
  ZoneName zone;
  /// Requests that it runs at the same time.
  std::uint16_t slots = 1;
  /// Leaves: gets no new requests.
  bool draining = false;
  /// How much longer it is slow after its start.
  Duration warm_up_left{};

  template <typename Archive>
  void serialize(Archive& archive) {
    std::int64_t warm_up_us = warm_up_left.count();
    archive(name, started_ms, service, endpoint, zone, slots, draining,
            warm_up_us);
    warm_up_left = Duration(warm_up_us);
  }
  friend bool operator==(const ServerEntry&, const ServerEntry&) = default;
};

/// Whether two entries say the same but for the time that passes.
bool EqualExceptWarmUp(const ServerEntry& a, const ServerEntry& b);

/// Differs between incarnations of the same name.
BackendServerId IdOf(const ServerEntry& entry);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_CONFIGURATION_H_
