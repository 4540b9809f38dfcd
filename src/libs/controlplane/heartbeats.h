#ifndef LIBS_CONTROLPLANE_HEARTBEATS_H_
#define LIBS_CONTROLPLANE_HEARTBEATS_H_

#include <optional>
#include <vector>

#include "libs/controlplane/messages.h"

/// Sends rounds of heartbeats with piggybacked updates, and handles those of
/// peers.
namespace ibisladder::controlplane {

struct Context;

struct Heartbeats {
  TimePoint next_round;
  std::uint64_t rounds = 0;
  /// Remaining rounds that go to more peers; see WidenNextRounds.
  std::uint32_t wide_rounds = 0;
  /// Shuffled peers still to be reached, so that all are reached evenly often.
  std::vector<InstanceId> rotation;
  /// This instance's own evidence about the health of backend servers, as last
  /// published by the caller path.
  std::vector<detection::Digest> evidence;
  TimePoint evidence_at;
  /// The members that last sent a heartbeat themselves, newest first;
  /// heartbeats pass on their eras.
  std::vector<InstanceId> fresh_eras;
  /// Replies that may still be sent before the next round.
  std::uint32_t replies_left = 0;
  TimePoint drop_logged_at;
  std::uint64_t drops_unlogged = 0;
};

// Commands.

/// Handles a datagram from a peer; its bytes are not trusted.
void ReceiveDatagram(Context& context, const DatagramReceived& event);
/// Sends a round of heartbeats when it is due.
void SendRound(Context& context);
/// Makes the next rounds go to more peers, and the first of them due now.
void WidenNextRounds(Context& context);
/// Sends one heartbeat at once, with `extra` updates. Does nothing when `to` is
/// not a member.
void SendHeartbeat(Context& context, InstanceId to,
                   const std::vector<wire::MemberUpdate>& extra);
/// Returns the next live member of the shuffled rotation that is not a
/// neighbour on the ring; nullopt if there is none.
std::optional<InstanceId> NextRandomPeer(Context& context);

// Queries.

/// Number of random peers in a normal round, besides the neighbours.
std::size_t RandomPeers(const Context& context);

}  // namespace ibisladder::controlplane

#endif  // LIBS_CONTROLPLANE_HEARTBEATS_H_
