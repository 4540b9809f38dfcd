#ifndef LIBS_GATEWAY_FORWARDER_H_
#define LIBS_GATEWAY_FORWARDER_H_

#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "libs/gateway/configuration.h"
#include "libs/gateway/directory.h"
#include "libs/gateway/messages.h"
#include "libs/metrics/families.h"

/// Forwards callers' requests to backend servers: which server, when to try
/// another one, when to give up. No sockets, clocks or random devices: events
/// and the time go in, actions come out.
namespace ibisladder::gateway {

struct ForwarderSettings {
  ZoneName zone;
  /// Least share of a service's servers that stays in service, percent.
  std::uint8_t floor_percent = 70;
  /// Tolerated false ejections per healthy server-day.
  double false_ejections_per_server_day = 2000;
  /// Requests of one service that wait for a server here, at the most.
  std::uint16_t queue_limit = 64;
  /// Second attempts over the fleet, percent of first ones, and how many more
  /// may be made in a row.
  std::uint8_t retry_percent = 16;
  std::uint16_t retry_slack = 40;
  /// After the start, requests wait so long for the first configuration and
  /// the first list of servers; from then on they are refused without both.
  Duration start_timeout{};
  std::uint64_t seed = 1;
};

/// Requests are counted by these; the rarest routes of a large configuration
/// share the name "other".
struct TrafficKey {
  std::string service;
  std::string route;
  /// "delivered", "server_failure", "refused" or "failed".
  std::string outcome;

  friend auto operator<=>(const TrafficKey&, const TrafficKey&) = default;
};

/// Totals since the start.
struct ForwarderCounters {
  /// Time from the arrival of requests to their answers.
  std::map<TrafficKey, metrics::Histogram> answers;
  /// The gateway's own answers, by result code.
  std::map<int, std::uint64_t> own_answers;
  /// Second attempts, by the end of the first one.
  std::map<std::string, std::uint64_t> second_attempts;
  std::uint64_t arrived = 0;
  std::uint64_t abandoned = 0;
  std::uint64_t ejections = 0;
};

struct Forwarder;
struct ForwarderDeleter {
  void operator()(Forwarder* it) const;
};
using ForwarderPtr = std::unique_ptr<Forwarder, ForwarderDeleter>;

ForwarderPtr MakeForwarder(const ForwarderSettings& settings, TimePoint now);

// Commands.

/// Does nothing unless the version is higher than the one in force.
void InstallConfiguration(Forwarder& forwarder, ConfigurationPtr configuration,
                          TimePoint now);
/// Replaces the list of servers; known incarnations keep their state.
void SetServers(Forwarder& forwarder, std::span<const ServerEntry> entries,
                TimePoint now);
void SetDirectoryState(Forwarder& forwarder, const DirectoryState& state,
                       TimePoint now);
/// New requests are refused from now on.
void StopAccepting(Forwarder& forwarder);

void RequestArrived(Forwarder& forwarder, CallerRequest request, TimePoint now);
/// The caller's connection is closed.
void CallerLeft(Forwarder& forwarder, CallId call, TimePoint now);
void AttemptAnswered(Forwarder& forwarder, AttemptId attempt,
                     ServerAnswer answer, TimePoint now);
void AttemptFailed(Forwarder& forwarder, AttemptId attempt,
                   AttemptFailure failure, TimePoint now);
void ProbeEnded(Forwarder& forwarder, BackendServerId server, bool ok,
                TimePoint now);
void MergeEvidence(Forwarder& forwarder, InstanceId peer,
                   std::span<const detection::Digest> digests, TimePoint now);
/// Deadlines, queues, second attempts; call it every 20 ms or so.
void Tick(Forwarder& forwarder, TimePoint now);

/// What is to be done now, in order.
std::vector<Action> TakeActions(Forwarder& forwarder);

// Queries.

bool HasConfiguration(const Forwarder& forwarder);
ConfigurationPtr CurrentConfiguration(const Forwarder& forwarder);
/// Requests that have no answer yet.
std::size_t OpenCalls(const Forwarder& forwarder);
const ForwarderCounters& CountersOf(const Forwarder& forwarder);

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_FORWARDER_H_
