#ifndef LIBS_CONTROLPLANE_HEARTBEATS_H_
#define LIBS_CONTROLPLANE_HEARTBEATS_H_

#include <optional>
#include <vector>

#include "libs/controlplane/messages.h"

/// Rounds of heartbeats with piggybacked news, and what is done with those of
/// peers.
namespace ibisladder::controlplane {

struct Context;

struct Heartbeats {
  TimePoint next_round;
  std::uint64_t rounds = 0;
  /// Rounds that still go to more peers, after news of this instance itself.
  std::uint32_t wide_rounds = 0;
  /// A shuffled order of peers, walked so that each is reached evenly.
  std::vector<InstanceId> rotation;
  /// This instance's own evidence, as last told by the caller path.
  std::vector<detection::Digest> evidence;
  TimePoint evidence_at;
  /// Members whose era was heard from themselves lately.
  std::vector<InstanceId> fresh_eras;
  /// Replies outside of rounds that may still be sent before the next round.
  std::uint32_t replies_left = 0;
  TimePoint drop_logged_at;
  std::uint64_t drops_unlogged = 0;
};

// Commands.

/// A datagram from a peer, of any bytes.
void ReceiveDatagram(Context& context, const DatagramReceived& event);
/// Sends a round when it is due.
void SendRound(Context& context);
/// The next rounds go to more peers.
void WidenNextRounds(Context& context);
/// One heartbeat out of turn, with extra news.
void SendHeartbeat(Context& context, InstanceId to,
                   const std::vector<wire::MemberUpdate>& extra);
std::optional<InstanceId> NextRandomPeer(Context& context);

// Queries.

/// Peers of a round that are not neighbours.
std::size_t RandomPeers(const Context& context);

}  // namespace ibisladder::controlplane

#endif  // LIBS_CONTROLPLANE_HEARTBEATS_H_
