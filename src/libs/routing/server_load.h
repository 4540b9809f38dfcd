#ifndef LIBS_ROUTING_SERVER_LOAD_H_
#define LIBS_ROUTING_SERVER_LOAD_H_

#include <array>
#include <cstdint>

#include "libs/base/strong_types.h"
#include "libs/base/time.h"
#include "libs/detection/detector.h"
#include "libs/routing/router.h"

/// One instance's view of a backend server's load, and the concurrency limit
/// that it keeps for the server.
namespace ibisladder::routing::Internal {

struct ServerLoad {
  BackendServerId id;
  detection::ServerState state = detection::ServerState::kHealthy;
  bool own_zone = false;
  bool closed = false;
  bool fails_fast = false;
  /// Reported by the server; holds until it reports otherwise or is reopened.
  bool draining = false;
  bool warming = false;
  /// Pauses since the last good answer, clamped.
  std::uint8_t pauses_in_row = 0;
  /// Failed requests since the last good answer, clamped.
  std::uint8_t failures_in_row = 0;
  std::uint16_t slots = 4;
  std::uint16_t reported_slots = 0;
  /// Number of connections that this instance may have to the server.
  std::uint16_t connection_limit = 1;
  std::uint16_t in_flight = 0;
  /// Other instances' requests in the last report, or all slots after a shed.
  std::uint16_t reported_others = 0;
  /// Requests of all instances in the last report.
  std::uint16_t reported_in_flight = 0;
  /// Requests that this instance allows itself in flight; adapted after each
  /// good answer and shed.
  float limit = 1;
  TimePoint reported_at;
  TimePoint paused_until;
  TimePoint warm_since;
  TimePoint last_trial;
  /// When its current trial began.
  TimePoint trial_since;
  TimePoint last_sent_at;
  /// When its last good answer arrived.
  TimePoint answered_at;
  /// Requests that it takes from all instances together; 0: no limit.
  double limit_per_second = 0;
  /// When a permit may be available to requests of each priority.
  std::array<TimePoint, kPriorities> next_permits{};
  /// When the next refused caller should return.
  TimePoint next_return;
  /// Moving averages: fractions of the requests that it declined and failed.
  float decline_ratio = 0;
  float failure_ratio = 0;
  TimePoint failed_at;
  /// Requests declined since the last good answer, and long pauses since then.
  std::uint8_t declines_in_row = 0;
  std::uint8_t long_pauses = 0;
  /// When a request was last declined here and at another instance, and when
  /// one was answered after declines.
  TimePoint declined_at;
  TimePoint declined_elsewhere_at;
  TimePoint recovered_at;
  /// Moving average of the latency under its own load, divided by what is
  /// usual; and when it was updated.
  float slowness = 1;
  TimePoint slowness_at;
};

/// Applies the declared and listed properties; the load state stays.
void UpdateFrom(ServerLoad& server, const Candidate& candidate, bool own_zone,
                std::size_t users_per_server);

/// Returns the smaller of the declared and the reported slots, at least one.
std::uint16_t EffectiveSlots(const ServerLoad& server);

/// Returns the fraction of the full load that the server should get, in (0, 1].
double WarmUpFraction(const ServerLoad& server, Duration warm_up,
                      TimePoint now);

/// Returns the number of requests that this instance may have in flight to the
/// server now.
std::uint16_t InFlightLimit(const ServerLoad& server, Duration warm_up,
                            TimePoint now);

/// Whether one more request may be sent now.
bool HasCapacity(const ServerLoad& server, Duration warm_up, TimePoint now);

/// Whether a limit that the server named keeps the request from being sent now.
bool IsHeldByLimit(const ServerLoad& server, const RoutingRequest& request,
                   TimePoint now);

/// Returns own requests plus those of other instances. The latter come from the
/// last report, which loses weight with its age in favour of `mean_other_load`,
/// the mean of the service. A report as old as `report_half_life` has half the
/// weight.
double EstimateLoad(const ServerLoad& server, double mean_other_load,
                    Duration report_half_life, TimePoint now);

/// Below the 4 s after which idle connections are closed.
constexpr Duration kMaxIdleConnectionAge = Millis(3500);

/// Whether a connection to the server is probably open and free.
bool IsConnected(const ServerLoad& server, TimePoint now);

/// Whether its latest attempts failed, more in a row than ordinary errors
/// explain.
bool FailsRepeatedly(const ServerLoad& server);

/// Adjusts the limit and the pause after an attempt ended. A shed lowers the
/// limit and pauses the server; a failed or lost connection only pauses it. The
/// first pause is about the time in which two slots become free; pauses double
/// up to a bound until the next good answer.
void UpdateAfterAttempt(ServerLoad& server, detection::AttemptEnd end,
                        Duration mean_latency, TimePoint now);

}  // namespace ibisladder::routing::Internal

#endif  // LIBS_ROUTING_SERVER_LOAD_H_
