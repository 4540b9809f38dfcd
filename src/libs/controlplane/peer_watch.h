#ifndef LIBS_CONTROLPLANE_PEER_WATCH_H_
#define LIBS_CONTROLPLANE_PEER_WATCH_H_

#include <vector>

#include "libs/controlplane/membership.h"

/// Detection of silent peers and one-way links. Members form a ring in the
/// order of a hash of their ids. Each watches its two neighbours, so that the
/// cost per instance does not depend on the fleet's size.
namespace ibisladder::controlplane {

struct Context;

/// Starts watching new neighbours and stops watching former ones.
void UpdateRing(Context& context);
/// Asks peers about silent neighbours, and marks down those that no peer hears
/// from. Detects one-way links. While this instance receives no heartbeats at
/// all, it marks silent members down for itself only.
void EvaluatePeers(Context& context);
/// Counts a datagram sent to `member`.
void RecordSent(Context& context, Member& member);
/// Handles the instances that `member` lists as heard: when this one is among
/// them, the datagrams sent to `member` are acknowledged.
void RecordHeardList(Context& context, Member& member,
                     const std::vector<InstanceId>& heard);
/// Whether `instance` was heard from so recently that this refutes a
/// suspicion.
bool HeardRecently(const Context& context, InstanceId instance);
/// The instances to list as heard in a heartbeat to `target` (may be null):
/// `target`, if recently heard from, and the first few other members by id that
/// were.
std::vector<InstanceId> HeardList(const Context& context, const Member* target);

/// The neighbours of `instance` on the ring of live members.
std::vector<InstanceId> NeighboursOf(const Context& context,
                                     InstanceId instance);

}  // namespace ibisladder::controlplane

#endif  // LIBS_CONTROLPLANE_PEER_WATCH_H_
