#ifndef LIBS_GATEWAY_CONFIGURATION_H_
#define LIBS_GATEWAY_CONFIGURATION_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/strong_types.h"
#include "libs/base/time.h"
#include "libs/declarations/declarations.h"

/// The gateway's model of routes, services and backend servers, independent of
/// the platform's format.
namespace ibisladder::gateway {

using declarations::RepeatRule;

/// A service that a route sends requests to, and its weight.
struct WeightedService {
  std::string service;
  /// Relative to the weights of the route's other services.
  double weight = 1;
};

struct Route {
  std::string name;
  /// Value of the Host field, without port.
  std::string host;
  /// Path prefix; begins and ends with a slash.
  std::string prefix;
  RepeatRule repeat = RepeatRule::kAtMostOnce;
  /// Maximum time from a request's arrival to its answer.
  Duration timeout = Seconds(5);
  /// Time within which answers should arrive. The time before a hedge and the
  /// detector's expected latency are derived from it.
  Duration target_latency = Seconds(1);
  /// Maximum number of attempts per request. Attempts whose connection could
  /// not be opened don't count, but the fourth of them ends the request.
  std::uint32_t max_attempts = 1;
  /// Priority: 0 is high, 1 is normal, all others are low.
  std::uint32_t priority = 1;
  /// Whether requests need no key where the configuration has organisations.
  bool is_public = false;
  /// Empty if none could be read. Requests are refused then, since a route with
  /// a shorter prefix must not get them.
  std::vector<WeightedService> services;
};

/// Routes are shared by the configurations that contain them.
using RoutePtr = std::shared_ptr<const Route>;

struct ServiceConfig {
  std::string name;
  /// Path that probes request.
  std::string health_path;
  /// Maximum number of connections from the whole fleet to each backend server.
  std::uint16_t max_connections = 300;
};

/// An organisation on whose behalf callers send requests.
struct Organisation {
  std::string name;
  /// Keys by which its callers identify themselves.
  std::vector<std::string> keys;
  /// Precedes the routes' priority.
  std::optional<std::uint32_t> priority;
  /// Requests of the whole fleet; 0: no limit.
  RequestsPerSecond rate;
  /// Requests beyond the rate that may come at once.
  double burst = 0;
};

/// Limits for callers' requests and connections. Requests beyond them are
/// rejected.
struct CallerLimits {
  std::size_t header_bytes = 16U << 10U;
  std::size_t body_bytes = 16U << 20U;
  /// Number of header fields.
  std::size_t fields = 128;
  /// How long an incomplete request, header or body, may make no progress.
  Duration header_timeout = Seconds(5);
  /// How long a connection without a pending answer may be idle.
  Duration idle_timeout = Seconds(15);
};

/// What it costs that a part of a configuration cannot be read.
enum class ProblemEffect : std::uint8_t {
  kAtMostOnce,    ///< The route's requests are not repeated.
  kRouteRefused,  ///< The route's requests are refused.
  kLeftOut,       ///< The item, or the part of it, is left out.
  kDefaultUsed,   ///< A field has its default value.
};
constexpr std::size_t kProblemEffects = 4;

/// Returns the name for logs and metrics, such as "at_most_once".
const char* EffectName(ProblemEffect effect);

/// A part of a configuration that cannot be read.
struct ConfigurationProblem {
  /// Kind and name of the item, such as "routes/r1".
  std::string item;
  /// What is wrong, with the value.
  std::string reason;
  ProblemEffect effect = ProblemEffect::kLeftOut;

  friend bool operator==(const ConfigurationProblem&,
                         const ConfigurationProblem&) = default;
};

/// The problems of one configuration. Bounded, since a configuration may hold
/// a hundred thousand unreadable items.
struct ConfigurationProblems {
  static constexpr std::size_t kMaxKept = 100;

  /// The first ones, in the order of the configuration.
  std::vector<ConfigurationProblem> first;
  /// Numbers of all, by effect.
  std::array<std::size_t, kProblemEffects> counts{};
};

void AddProblem(ConfigurationProblems& problems, ConfigurationProblem problem);
/// Adds the problems of a part of the configuration.
void AddProblems(ConfigurationProblems& problems,
                 const ConfigurationProblems& part);
std::size_t CountOf(const ConfigurationProblems& problems,
                    ProblemEffect effect);
std::size_t CountAll(const ConfigurationProblems& problems);

struct Configuration {
  ConfigVersion version;
  std::vector<RoutePtr> routes;
  std::vector<ServiceConfig> services;
  std::vector<Organisation> organisations;
  CallerLimits limits;
  ConfigurationProblems problems;
};
using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// One incarnation of a backend server, as it registered itself.
struct ServerEntry {
  /// Name of the server. Requests carry it, and the server rejects requests for
  /// another name.
  std::string name;
  /// Start of this incarnation, Unix time in milliseconds; 0 if unknown.
  std::int64_t started_ms = 0;
  std::string service;
  Endpoint endpoint;
  ZoneName zone;
  /// Number of requests that it runs concurrently.
  std::uint16_t slots = 1;
  /// Is shutting down and gets no new requests.
  bool draining = false;
  /// Remaining warm-up time, during which the server is slow.
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

/// Returns whether the entries are equal except for `warm_up_left`, which
/// changes as time passes.
bool EqualExceptWarmUp(const ServerEntry& a, const ServerEntry& b);

/// Returns a hash of service, name and start, which differs between
/// incarnations of the same name.
BackendServerId IdOf(const ServerEntry& entry);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_CONFIGURATION_H_
