#ifndef LIBS_DECLARATIONS_DECLARATIONS_H_
#define LIBS_DECLARATIONS_DECLARATIONS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/strong_types.h"
#include "libs/base/time.h"

/// The operators' declarations as plain data with defaults. parse.h reads and
/// checks them; configuration.h has the compiled form for lookups.
namespace ibisladder::declarations {

/// Whether a request may be sent to a backend server more than once.
enum class RepeatRule : std::uint8_t { kIdempotent, kAtMostOnce };

/// Queued requests of a service are served by priority, high first.
enum class Priority : std::uint8_t { kHigh, kNormal, kLow };

struct BackendServer {
  std::string name;
  Endpoint endpoint;
  ZoneName zone;
  /// Requests that the server runs concurrently.
  std::uint16_t slots = 4;
  /// Connections that it accepts from the whole fleet together.
  std::uint16_t max_connections = 300;
  /// Set by operators: the server gets no new requests.
  bool drained = false;
};

struct Service {
  std::string name;
  std::vector<BackendServer> servers;
  /// Minimum percentage of the live capacity that ejections must leave in use.
  std::uint8_t floor_percent = 70;
  /// Accepted rate of false ejections per healthy server and day; a lower rate
  /// makes the detection of failures slower.
  double false_ejections_per_server_day = 0.1;
  /// Time over which the load on a new or restored server rises to normal.
  Duration warm_up = Seconds(10);
  /// Retries allowed per 100 first attempts.
  std::uint8_t retry_budget_percent = 10;
  /// Requests that one instance queues for the service.
  std::uint16_t queue_limit = 64;
  /// Upper bound for a request's deadline, also when the caller asks for more.
  Duration max_deadline = Seconds(30);
  std::size_t max_request_bytes = 1U << 20U;
  std::size_t max_answer_bytes = 4U << 20U;
  /// Path of the health endpoint; empty if there is none.
  std::string health_path = "/health";
};

struct Route {
  /// Path prefix that ends on a segment boundary; the longest match wins.
  std::string prefix;
  /// Upper-case HTTP methods; empty means all.
  std::vector<std::string> methods;
  std::string service;
  RepeatRule repeat = RepeatRule::kAtMostOnce;
  Priority priority = Priority::kNormal;
  /// Deadline for requests without one of their own.
  Duration deadline = Seconds(5);
};

struct Organisation {
  std::string name;
  /// Requests per second over the whole fleet; 0 means no limit.
  std::uint32_t requests_per_second = 0;
  /// Requests in flight per instance; 0 means no limit.
  std::uint32_t max_in_flight = 0;
};

struct Declarations {
  std::vector<Service> services;
  std::vector<Route> routes;
  std::vector<Organisation> organisations;
  /// How long callers may cache an address list.
  Duration keep_addresses = Seconds(20);
  /// Number of instances in an address list.
  std::uint8_t address_count = 3;
  /// Maximum number of a service's backend servers that one instance uses; 0
  /// means all.
  std::uint16_t subset_size = 0;
};

}  // namespace ibisladder::declarations

#endif  // LIBS_DECLARATIONS_DECLARATIONS_H_
