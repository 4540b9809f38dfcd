#include "libs/controlplane/control_plane.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdlib>

#include "libs/controlplane/peer_watch.h"
#include "libs/controlplane/plane.h"

namespace ibisladder::controlplane {
namespace {

constexpr std::size_t kMostEvidence = 4;
/// Interval at which all members are looked at.
constexpr Duration kReviewInterval = Millis(200);
constexpr double kFirstServeBytes = 8.0 * 1024 * 1024;

void HandleStoreReply(Turn& turn, const StoreReplied& reply) {
  const auto call = TakePending(turn, reply.exchange);
  if (!call) return;
  NoteStoreReply(turn, reply.code);
  switch (call->purpose) {
    case Purpose::kWatchHead:
      return ReceiveHead(turn, reply);
    case Purpose::kFetchChunkFromStore:
      return ReceiveChunk(turn, *call, reply);
    case Purpose::kApplyReadHead:
    case Purpose::kApplyWriteChunk:
    case Purpose::kApplyWriteHead:
      return ReceiveApplyReply(turn, *call, reply);
    default:
      return;
  }
}

void HandlePeerFailure(Turn& turn, ExchangeId exchange) {
  if (TakePending(turn, exchange)) PeerFetchFailed(turn);
}

void EndOverdueCalls(Turn& turn) {
  for (const auto exchange : OverdueCalls(turn)) {
    const auto& pending = turn.plane.exchanges.pending;
    // The end of one call may have ended others.
    const auto it = pending.find(exchange);
    if (it == pending.end()) continue;
    const auto purpose = it->second.purpose;
    if (purpose == Purpose::kFetchHeadFromPeer ||
        purpose == Purpose::kFetchChunksFromPeer) {
      HandlePeerFailure(turn, exchange);
    } else {
      HandleStoreReply(turn, {exchange, ResultCode::kStoreUnavailable, "", {}});
    }
  }
}

void SetLeaving(Turn& turn, bool& flag, bool value) {
  if (flag == value) return;
  flag = value;
  turn.plane.membership.changed = true;
  SendWidely(turn);
  Log(turn, LogEvent::kInstanceLeaving,
      {{"instance", Text(turn.plane.settings.instance)},
       {"state", value ? "leaving" : "back"}});
}

void Handle(Turn& turn, const DatagramReceived& event) {
  ReceiveDatagram(turn, event);
}
void Handle(Turn& turn, const ConfigFetchRequested& event) {
  ServeFetch(turn, event);
}
void Handle(Turn& turn, const PeerReplied& event) {
  if (const auto call = TakePending(turn, event.exchange)) {
    ReceiveFromPeer(turn, *call, event.frame);
  }
}
void Handle(Turn& turn, const PeerFailed& event) {
  HandlePeerFailure(turn, event.exchange);
}
void Handle(Turn& turn, const StoreReplied& event) {
  HandleStoreReply(turn, event);
}
void Handle(Turn& turn, const ListReplied& event) { ReceiveList(turn, event); }
void Handle(Turn& turn, const ServerUpdateReady& event) {
  auto& beats = turn.plane.heartbeats;
  beats.evidence = event.digests;
  // The strongest words first: few fit into a datagram.
  std::sort(beats.evidence.begin(), beats.evidence.end(),
            [](const auto& a, const auto& b) {
              return std::abs(a.score) > std::abs(b.score);
            });
  if (beats.evidence.size() > kMostEvidence) {
    beats.evidence.resize(kMostEvidence);
  }
  beats.evidence_at = turn.now;
  for (const auto it : event.leaving) RecordLeavingServer(turn, it);
}
void Handle(Turn& turn, const EraAdvanced& event) {
  turn.plane.membership.era = event.era;
  turn.plane.membership.era_changed = true;
}
void Handle(Turn& turn, const ApplyRequested& event) {
  QueueApply(turn, event);
}
void Handle(Turn& turn, const StopRequested& /*event*/) {
  SetLeaving(turn, turn.plane.stopping, true);
}
void Handle(Turn& turn, const DrainChanged& event) {
  SetLeaving(turn, turn.plane.drained, event.drained);
}
void Handle(Turn& turn, const Tick& /*event*/) {
  EndOverdueCalls(turn);
  if (turn.now >= turn.plane.next_review) {
    turn.plane.next_review = turn.now + kReviewInterval;
    ForgetOldMembers(turn);
    UpdateRing(turn);
    JudgePeers(turn);
    UpdateReader(turn);
  }
  ReadPlatform(turn);
  ContinueFetch(turn);
  ContinueApply(turn);
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
  plane->fetch.serve_bytes = kFirstServeBytes;
  plane->fetch.serve_refilled_at = now;
  plane->membership.reported_at = now;
  return plane;
}

Actions Step(ControlPlane& plane, const Event& event, TimePoint now,
             Random& random) {
  Actions actions;
  Turn turn{plane, now, random, actions};
  std::visit([&](const auto& it) { Handle(turn, it); }, event);
  UpdateLeavingServers(turn);
  UpdateMembership(turn);
  SendRound(turn);
  return actions;
}

ControlStatus StatusOf(const ControlPlane& plane, TimePoint now) {
  ControlStatus status;
  status.version = InstalledVersion(plane);
  // Those that are no readers seldom call the store; the list tells them.
  const auto& store_up = plane.exchanges.store_up;
  status.store_up =
      plane.watch.is_reader && store_up ? *store_up : plane.watch.list_ok;
  status.is_store_reader = plane.watch.is_reader;
  status.stopping = plane.stopping;
  status.counters = plane.counters;
  for (const auto& [_, member] : plane.membership.members) {
    status.peers.push_back({member.news.instance, member.news.incarnation,
                            member.news.zone, member.news.caller_endpoint,
                            StateName(member), member.version,
                            now - member.alive_at});
  }
  return status;
}

}  // namespace ibisladder::controlplane
