#ifndef LIBS_CONTROLPLANE_PEER_WATCH_H_
#define LIBS_CONTROLPLANE_PEER_WATCH_H_

#include <vector>

#include "libs/controlplane/membership.h"

/// Detection of silent peers and one-directional links. Members stand on a
/// ring in the order of a hash of their ids; each watches its two neighbours,
/// so that the cost per instance does not depend on the fleet's size.
namespace ibisladder::controlplane {

struct Context;

/// Neighbours are watched from now on, and former ones no longer.
void UpdateRing(Context& context);
/// Asks others about silent neighbours, marks down those whom nobody hears.
void EvaluatePeers(Context& context);
/// A datagram goes to `member`.
void RecordSent(Context& context, Member& member);
/// Whom `member` says that it hears.
void RecordHeardList(Context& context, Member& member,
                     const std::vector<InstanceId>& heard);
/// Answers a peer that asked about `instance`, if it was heard lately here.
bool HeardRecently(const Context& context, InstanceId instance);
/// Whom to name in a heartbeat to `target`: it, and a sample of others.
std::vector<InstanceId> HeardList(const Context& context, const Member* target);

/// The neighbours of `instance` on the ring of live members.
std::vector<InstanceId> NeighboursOf(const Context& context,
                                     InstanceId instance);

}  // namespace ibisladder::controlplane

#endif  // LIBS_CONTROLPLANE_PEER_WATCH_H_
