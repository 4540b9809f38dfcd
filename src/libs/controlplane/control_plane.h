#ifndef LIBS_CONTROLPLANE_CONTROL_PLANE_H_
#define LIBS_CONTROLPLANE_CONTROL_PLANE_H_

#include <memory>
#include <string>
#include <vector>

#include "libs/base/random.h"
#include "libs/controlplane/messages.h"

/// Membership and configuration of one instance, without sockets, threads and
/// clocks.
namespace ibisladder::controlplane {

struct ControlPlaneSettings {
  std::string fleet;
  InstanceId instance;
  Incarnation incarnation;
  ZoneName zone;
  Endpoint caller_endpoint;
  Endpoint peer_endpoint;
  /// Peer endpoints tried while no member is up.
  std::vector<Endpoint> seeds;
  Duration heartbeat_interval = Millis(500);
  /// Mean interval of a reader's reads of the instance list. Others that have
  /// read it once read it at most a fourth as often.
  Duration list_interval = Seconds(5);
  /// About this long after this instance or a peer last heard from a member, it
  /// is no longer handed out to callers; later if peers refuted suspicions.
  Duration peer_timeout = Seconds(3);
  /// Number of peers that a normal round of heartbeats goes to; wide rounds and
  /// probes add to it.
  std::size_t peers_per_round = 4;
  /// Timeout of one call to the store and of one request to a peer.
  Duration store_timeout = Seconds(2);
  /// Waiting time of one watch call. Short, because a call that hangs in an
  /// outage delays the detection of the store's return by this time and the
  /// timeout.
  Duration watch_wait = Seconds(3);
};

struct ControlPlane;
struct ControlPlaneDeleter {
  void operator()(ControlPlane* plane) const;
};
using ControlPlanePtr = std::unique_ptr<ControlPlane, ControlPlaneDeleter>;

ControlPlanePtr MakeControlPlane(const ControlPlaneSettings& settings,
                                 TimePoint now);

/// Handles an event and returns the actions to carry out.
Actions Step(ControlPlane& plane, const Event& event, TimePoint now,
             Random& random);

// Queries.

struct PeerStatus {
  InstanceId instance;
  Incarnation incarnation;
  ZoneName zone;
  Endpoint caller_endpoint;
  /// "up", "down", "one-way" or "leaving"; see StateName.
  std::string state;
  ConfigVersion version;
  /// Time since this instance or a peer last heard from it.
  Duration heard_ago{};
};

struct ControlCounters {
  std::uint64_t datagrams_sent = 0;
  std::uint64_t datagrams_received = 0;
  std::uint64_t datagrams_dropped = 0;
  /// Datagrams, and configuration served to peers.
  std::uint64_t bytes_sent = 0;
  std::uint64_t platform_calls = 0;
};

struct ControlStatus {
  ConfigVersion version;
  /// Whether this instance's last call to the platform succeeded: to the store
  /// for readers that have called it, otherwise the read of the instance list.
  bool store_up = false;
  bool is_store_reader = false;
  /// A stop was requested; false while an operator only drains the instance.
  bool stopping = false;
  std::vector<PeerStatus> peers;
  ControlCounters counters;
};

ControlStatus StatusOf(const ControlPlane& plane, TimePoint now);

}  // namespace ibisladder::controlplane

#endif  // LIBS_CONTROLPLANE_CONTROL_PLANE_H_
