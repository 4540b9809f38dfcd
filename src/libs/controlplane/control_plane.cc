#include "libs/controlplane/control_plane.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdlib>

#include "libs/controlplane/peer_watch.h"
#include "libs/controlplane/plane.h"

namespace ibisladder::controlplane {
namespace {

/// Entries kept for the heartbeats, each of which carries all of them.
constexpr std::size_t kMaxEvidence = 4;
/// Interval at which all members are evaluated.
constexpr Duration kReviewInterval = Millis(200);
/// Same as kServeBurst in config_fetch.cc: the budget is full at the start.
constexpr double kInitialServeBytes = 8.0 * 1024 * 1024;

void HandleStoreReply(Context& context, const StoreReplied& reply) {
  const auto call = TakePending(context, reply.exchange);
  if (!call) return;
  UpdateStoreState(context, reply.code);
  switch (call->purpose) {
    case Purpose::kWatchHead:
      return ReceiveHead(context, reply);
    case Purpose::kFetchChunkFromStore:
      return ReceiveChunk(context, *call, reply);
    case Purpose::kApplyReadHead:
    case Purpose::kApplyWriteChunk:
    case Purpose::kApplyWriteHead:
      return ReceiveApplyReply(context, *call, reply);
    default:
      return;
  }
}

void HandlePeerFailure(Context& context, ExchangeId exchange) {
  if (TakePending(context, exchange)) PeerFetchFailed(context);
}

void EndOverdueCalls(Context& context) {
  for (const auto exchange : OverdueCalls(context)) {
    const auto& pending = context.plane.exchanges.pending;
    // Ending one call may have ended others.
    const auto it = pending.find(exchange);
    if (it == pending.end()) continue;
    const auto purpose = it->second.purpose;
    if (purpose == Purpose::kFetchHeadFromPeer ||
        purpose == Purpose::kFetchChunksFromPeer) {
      HandlePeerFailure(context, exchange);
    } else {
      HandleStoreReply(context,
                       {exchange, ResultCode::kStoreUnavailable, "", {}});
    }
  }
}

void SetLeaving(Context& context, bool& flag, bool value) {
  if (flag == value) return;
  flag = value;
  context.plane.membership.changed = true;
  WidenNextRounds(context);
  Log(context, LogEvent::kInstanceLeaving,
      {{"instance", Text(context.plane.settings.instance)},
       {"state", value ? "leaving" : "back"}});
}

void Handle(Context& context, const DatagramReceived& event) {
  ReceiveDatagram(context, event);
}
void Handle(Context& context, const ConfigFetchRequested& event) {
  ServeFetch(context, event);
}
void Handle(Context& context, const PeerReplied& event) {
  if (const auto call = TakePending(context, event.exchange)) {
    ReceiveFromPeer(context, *call, event.frame);
  }
}
void Handle(Context& context, const PeerFailed& event) {
  HandlePeerFailure(context, event.exchange);
}
void Handle(Context& context, const StoreReplied& event) {
  HandleStoreReply(context, event);
}
void Handle(Context& context, const ListReplied& event) {
  ReceiveList(context, event);
}
void Handle(Context& context, const ServerUpdateReady& event) {
  auto& beats = context.plane.heartbeats;
  beats.evidence = event.evidence;
  // The scores farthest from 0 first: few entries fit into a datagram.
  std::sort(beats.evidence.begin(), beats.evidence.end(),
            [](const auto& a, const auto& b) {
              return std::abs(a.score) > std::abs(b.score);
            });
  if (beats.evidence.size() > kMaxEvidence) {
    beats.evidence.resize(kMaxEvidence);
  }
  beats.evidence_at = context.now;
  for (const auto it : event.leaving) RecordLeavingServer(context, it);
}
void Handle(Context& context, const EraAdvanced& event) {
  context.plane.membership.era = event.era;
  context.plane.membership.era_changed = true;
}
void Handle(Context& context, const ApplyRequested& event) {
  QueueApply(context, event);
}
void Handle(Context& context, const StopRequested& /*event*/) {
  SetLeaving(context, context.plane.stopping, true);
}
void Handle(Context& context, const DrainChanged& event) {
  SetLeaving(context, context.plane.drained, event.drained);
}
void Handle(Context& context, const Tick& /*event*/) {
  EndOverdueCalls(context);
  if (context.now >= context.plane.next_review) {
    context.plane.next_review = context.now + kReviewInterval;
    RemoveOldMembers(context);
    UpdateRing(context);
    EvaluatePeers(context);
    UpdateReader(context);
  }
  ReadPlatform(context);
  ContinueFetch(context);
  ContinueApply(context);
}

}  // namespace

void ControlPlaneDeleter::operator()(ControlPlane* plane) const {
  delete plane;
}

ControlPlanePtr MakeControlPlane(const ControlPlaneSettings& settings,
                                 TimePoint now) {
  ControlPlanePtr plane(new ControlPlane);
  plane->settings = settings;
  plane->fleet = XXH64(settings.fleet.data(), settings.fleet.size(), 0);
  plane->started_at = now;
  plane->fetch.serve_bytes = kInitialServeBytes;
  plane->fetch.serve_refilled_at = now;
  plane->membership.reported_at = now;
  return plane;
}

Actions Step(ControlPlane& plane, const Event& event, TimePoint now,
             Random& random) {
  Actions actions;
  Context context{plane, now, random, actions};
  std::visit([&](const auto& it) { Handle(context, it); }, event);
  UpdateLeavingServers(context);
  UpdateMembership(context);
  SendRound(context);
  return actions;
}

ControlStatus StatusOf(const ControlPlane& plane, TimePoint now) {
  ControlStatus status;
  status.version = InstalledVersion(plane);
  // Instances that are no readers rarely call the store; their last read of the
  // list stands for the platform.
  const auto& store_up = plane.exchanges.store_up;
  status.store_up =
      plane.watch.is_reader && store_up ? *store_up : plane.watch.list_ok;
  status.is_store_reader = plane.watch.is_reader;
  status.stopping = plane.stopping;
  status.counters = plane.counters;
  for (const auto& [_, member] : plane.membership.members) {
    status.peers.push_back({member.latest.instance, member.latest.incarnation,
                            member.latest.zone, member.latest.caller_endpoint,
                            StateName(member), member.version,
                            now - member.alive_at});
  }
  return status;
}

}  // namespace ibisladder::controlplane
