#ifndef TESTS_AUTO_GATEWAY_SERVER_HISTORY_H_
#define TESTS_AUTO_GATEWAY_SERVER_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tests/auto/gateway/fleet_simulation.h"

/// Records of a simulated fleet: how the instances see servers that fail, leave
/// and return, and which servers get requests.
namespace ibisladder::gateway {

/// State of a server at one instance, from the instance's log.
enum class KnownAs : std::uint8_t {
  kUnknown,
  kHealthy,
  kEjected,
  kOnTrial,
  kLastResort,
  kReplaced,
};

struct ServerHistory {
  /// Last time at which something was wrong; none if nothing ever was.
  std::optional<TimePoint> wrong_at;
  /// It answered errors or crashed; its links were in order.
  bool failed_by_itself = false;
  /// When it last returned or started, and the time from then until it got a
  /// request, and until 70% of the instances held it for healthy.
  std::optional<TimePoint> returned_at;
  std::optional<Duration> until_request;
  std::optional<Duration> until_healthy;
  /// By second: whether it was sound all the time, and whether it got a
  /// request.
  std::vector<bool> sound;
  std::vector<bool> used;
};

/// Requests that ended within a second.
struct EndedRequests {
  int all = 0;
  int unserved = 0;
};

/// A fleet under a constant load, and its records.
struct RecordedFleet {
  FleetSimulation fleet;
  double requests_per_second = 0;
  TimePoint start;
  std::map<std::string, ServerHistory> history;
  /// By instance, then by server.
  std::vector<std::map<std::string, KnownAs>> known;
  std::vector<EndedRequests> seconds;
};

RecordedFleet MakeRecordedFleet(const FleetSettings& settings,
                                double requests_per_second);
void Run(RecordedFleet& recorded, Duration time);

/// Changes what a server does; kHealthy: it returns as the same incarnation.
void SetMode(RecordedFleet& recorded, const std::string& name, ServerMode mode);
/// Ends a server and its requests. Its entry stays listed.
void Crash(RecordedFleet& recorded, const std::string& name);
/// Lets a crashed server return as a new incarnation.
void Restart(RecordedFleet& recorded, const std::string& name);
void Start(RecordedFleet& recorded, const std::string& name);
/// Removes the entry of a running server, or lists it again.
void SetListed(RecordedFleet& recorded, const std::string& name,
               bool is_listed);

/// Returns the number of instances that see the server as `known_as`.
int CountInstances(const RecordedFleet& recorded, const std::string& name,
                   KnownAs known_as);

/// Two seconds, from `first_second` after the start on.
struct Window {
  int first_second = 0;
  double unserved_ratio = 0;
  int sound = 0;
  /// Sound servers that got a request.
  int used = 0;
};
/// Returns all windows that begin at `from` or a later second.
std::vector<Window> WindowsFrom(const RecordedFleet& recorded, int from);
/// Whether less than 70% of the sound servers got a request.
bool IsBelowFloor(const Window& window);
/// Whether more than a tenth, but under half, of the requests went unserved.
bool HasManyUnserved(const Window& window);

}  // namespace ibisladder::gateway

#endif  // TESTS_AUTO_GATEWAY_SERVER_HISTORY_H_
