#ifndef LIBS_ROUTING_SERVER_LOAD_H_
#define LIBS_ROUTING_SERVER_LOAD_H_

#include <cstdint>

#include "libs/base/strong_types.h"
#include "libs/base/time.h"
#include "libs/detection/detector.h"
#include "libs/routing/router.h"

/// What one instance knows of one backend server's load, and the concurrency
/// limit that it keeps towards the server.
namespace ibisladder::routing::Internal {

struct ServerLoad {
  BackendServerId id;
  detection::ServerState state = detection::ServerState::kHealthy;
  bool own_zone = false;
  bool closed = false;
  bool fails_fast = false;
  /// The server's own word; holds until it says otherwise or is reopened.
  bool draining = false;
  bool warming = false;
  std::uint8_t pauses_in_row = 0;
  /// Requests that failed since the last good answer, clamped.
  std::uint8_t failures_in_row = 0;
  std::uint16_t slots = 4;
  std::uint16_t reported_slots = 0;
  /// Connections that this instance may have to the server.
  std::uint16_t connection_limit = 1;
  std::uint16_t in_flight = 0;
  /// Requests of other instances in the last report.
  std::uint16_t reported_others = 0;
  /// Requests in flight that this instance allows itself.
  float limit = 1;
  TimePoint reported_at;
  TimePoint paused_until;
  TimePoint warm_since;
  TimePoint last_trial;
  /// Since when it may be tried.
  TimePoint trial_since;
  /// When its last whole answer arrived.
  TimePoint answered_at;
};

/// Takes over what is declared and listed; load state stays.
void UpdateFrom(ServerLoad& server, const Candidate& candidate, bool own_zone,
                std::size_t fleet_size);

/// Slots by declaration and report, at least one.
std::uint16_t EffectiveSlots(const ServerLoad& server);

/// Share of the full load that the server should get, in (0, 1].
double WarmUpFraction(const ServerLoad& server, Duration warm_up,
                      TimePoint now);

/// Requests that this instance may have in flight to the server now.
std::uint16_t InFlightLimit(const ServerLoad& server, Duration warm_up,
                            TimePoint now);

/// Whether one more request may be sent now.
bool HasCapacity(const ServerLoad& server, Duration warm_up, TimePoint now);

/// Own requests plus those of other instances: the last report, which loses
/// weight with its age to `mean_other_load`, the mean of the service.
double EstimateLoad(const ServerLoad& server, double mean_other_load,
                    Duration report_half_life, TimePoint now);

/// Idle connections are closed after 4 s.
constexpr Duration kMaxIdleConnectionAge = Millis(3500);

/// Whether a connection to it is likely to be open and free.
bool IsConnected(const ServerLoad& server, TimePoint now);

/// Whether its last requests all failed, more than ordinary errors explain.
bool IsFailing(const ServerLoad& server);

/// Moves the limit and the pause after an attempt ended. Sheds lower the limit
/// and pause the server for about the time in which a slot gets free.
void UpdateAfterAttempt(ServerLoad& server, detection::AttemptEnd end,
                        Duration mean_latency, TimePoint now);

}  // namespace ibisladder::routing::Internal

#endif  // LIBS_ROUTING_SERVER_LOAD_H_
