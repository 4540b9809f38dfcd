#include "libs/controlplane/heartbeats.h"

#include <algorithm>
#include <utility>

#include "libs/controlplane/peer_watch.h"
#include "libs/controlplane/plane.h"

namespace ibisladder::controlplane {
namespace {

using wire::MemberState;
using wire::MemberUpdate;

constexpr std::size_t kNeighbours = 2;
constexpr std::uint32_t kWideRounds = 3;
constexpr std::size_t kWideFactor = 3;
/// One datagram goes to a member that is not up every this many rounds.
constexpr std::uint64_t kProbeRounds = 2;
/// Listed members without any heartbeat so far that are probed per round.
constexpr std::size_t kListedProbes = 2;
/// One in this many datagrams carries an update about a random member, if it
/// carries no other.
constexpr std::uint64_t kRefreshDatagrams = 4;
constexpr std::size_t kEvidencePerDatagram = 4;
constexpr std::size_t kServersPerDatagram = 32;
constexpr std::size_t kErasPerDatagram = 5;
constexpr Duration kEvidenceLifetime = Seconds(5);
constexpr std::uint32_t kRepliesPerRound = 8;
constexpr Duration kDropLogInterval = Seconds(10);
/// Encoded sizes: an update without its texts, one leaving server, and the
/// upper bound of all else in a datagram.
constexpr std::size_t kUpdateBytes = 72;
constexpr std::size_t kServerBytes = 12;
constexpr std::size_t kOtherBytes = 260;

std::size_t SizeOf(const MemberUpdate& update) {
  return kUpdateBytes + update.zone.value().size() +
         update.caller_endpoint.address.size() +
         update.peer_endpoint.address.size();
}

std::size_t UpdateCapacity(const Context& context, std::size_t servers) {
  const std::size_t taken =
      kOtherBytes + SizeOf(MakeSelfUpdate(context)) + servers * kServerBytes;
  return wire::kMaxDatagramBytes - std::min(taken, wire::kMaxDatagramBytes);
}

MemberUpdate MakeUpdate(const Context& context, const Member& member) {
  auto update = member.latest;
  update.heard_ms_ago =
      static_cast<std::uint32_t>(ToMillis(context.now - member.alive_at));
  if (update.state == MemberState::kDown) {
    // Receivers do not add members that are down, so they need no addresses.
    update.zone = ZoneName();
    update.caller_endpoint = Endpoint();
    update.peer_endpoint = Endpoint();
  }
  return update;
}

/// Appends pending updates, the least sent ones first, up to `capacity` bytes.
void AddPendingUpdates(Context& context, InstanceId to,
                       wire::Heartbeat& heartbeat, std::size_t capacity) {
  std::vector<std::pair<std::uint32_t, Member*>> waiting;
  for (auto& [instance, member] : context.plane.membership.members) {
    const bool is_pending =
        member.sends_left > 0 && context.now < member.spread_until;
    if (is_pending && instance != to) {
      waiting.emplace_back(member.sends_left, &member);
    }
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  for (const auto& [_, member] : waiting) {
    auto update = MakeUpdate(context, *member);
    if (SizeOf(update) > capacity) break;
    capacity -= SizeOf(update);
    --member->sends_left;
    heartbeat.members.push_back(std::move(update));
  }
}

void AddRefresh(Context& context, wire::Heartbeat& heartbeat) {
  const auto& members = context.plane.membership.members;
  if (!heartbeat.members.empty() || members.empty()) return;
  if (context.plane.counters.datagrams_sent % kRefreshDatagrams != 0) return;
  const auto index = UniformBelow(context.random, members.size());
  const auto it =
      std::next(members.begin(), static_cast<std::ptrdiff_t>(index));
  heartbeat.members.push_back(MakeUpdate(context, it->second));
}

void AddEras(const Context& context, wire::Heartbeat& heartbeat) {
  const auto& members = context.plane.membership.members;
  for (const auto it : context.plane.heartbeats.fresh_eras) {
    const auto found = members.find(it);
    if (found == members.end()) continue;
    const auto& update = found->second.latest;
    heartbeat.eras.push_back(
        {it, static_cast<std::uint32_t>(update.incarnation.value()),
         update.era});
  }
}

void AddEvidence(const Context& context, wire::Heartbeat& heartbeat) {
  const auto& beats = context.plane.heartbeats;
  if (context.now - beats.evidence_at < kEvidenceLifetime) {
    heartbeat.evidence = beats.evidence;
  }
}

void Send(Context& context, const Endpoint& endpoint, InstanceId to,
          const std::vector<MemberUpdate>& extra) {
  auto& plane = context.plane;
  auto& members = plane.membership.members;
  const auto it = members.find(to);
  Member* member = it == members.end() ? nullptr : &it->second;
  wire::Heartbeat heartbeat;
  heartbeat.sender = {plane.fleet, plane.settings.instance,
                      plane.settings.incarnation, ++plane.membership.sequence};
  heartbeat.self = MakeSelfUpdate(context);
  heartbeat.version = InstalledVersion(plane);
  heartbeat.heard = HeardList(context, member);
  heartbeat.members = extra;
  heartbeat.leaving_servers = TakeLeavingServers(context, kServersPerDatagram);
  std::size_t capacity =
      UpdateCapacity(context, heartbeat.leaving_servers.size());
  for (const auto& update : extra)
    capacity -= std::min(capacity, SizeOf(update));
  AddPendingUpdates(context, to, heartbeat, capacity);
  AddRefresh(context, heartbeat);
  AddEras(context, heartbeat);
  AddEvidence(context, heartbeat);
  auto bytes = wire::EncodeHeartbeat(heartbeat);
  if (member != nullptr) RecordSent(context, *member);
  ++plane.counters.datagrams_sent;
  plane.counters.bytes_sent += bytes.size();
  context.actions.push_back(SendDatagram{endpoint, std::move(bytes)});
}

void DropDatagram(Context& context, const Endpoint& from, ResultCode code) {
  auto& beats = context.plane.heartbeats;
  ++context.plane.counters.datagrams_dropped;
  ++beats.drops_unlogged;
  if (context.now < beats.drop_logged_at + kDropLogInterval) return;
  beats.drop_logged_at = context.now;
  Log(context, LogEvent::kDatagramDropped,
      {{"from", FormatEndpoint(from)},
       {"code", std::to_string(static_cast<int>(code))},
       {"reason", std::string(Describe(code))},
       {"count", std::to_string(std::exchange(beats.drops_unlogged, 0))}});
}

void Reply(Context& context, InstanceId to,
           const std::vector<MemberUpdate>& extra) {
  auto& left = context.plane.heartbeats.replies_left;
  if (left == 0) return;
  --left;
  SendHeartbeat(context, to, extra);
}

/// Handles updates about third parties and suspicions of them.
void ReceiveUpdates(Context& context, InstanceId from,
                    const std::vector<MemberUpdate>& all) {
  auto& plane = context.plane;
  for (const auto& update : all) {
    const bool is_self = update.instance == plane.settings.instance;
    const bool is_ours =
        is_self && update.incarnation == plane.settings.incarnation;
    if (is_ours && update.state == MemberState::kDown) {
      // This instance was declared down while alive: its next heartbeats refute
      // that with a higher sequence number.
      auto& sequence = plane.membership.sequence;
      sequence = std::max(sequence, update.as_of);
      WidenNextRounds(context);
    }
    if (update.state == MemberState::kSuspect) {
      if (is_self) Reply(context, from, {});
      if (!is_self && HeardRecently(context, update.instance)) {
        const auto& member = plane.membership.members.at(update.instance);
        Reply(context, from, {MakeUpdate(context, member)});
      }
    } else if (!is_self && MergeUpdate(context, update)) {
      const auto& member = plane.membership.members.at(update.instance);
      if (HeardRecently(context, update.instance)) {
        Reply(context, from, {MakeUpdate(context, member)});
      }
    }
  }
}

/// Sends a new member updates about as many live members as fit.
void SendKnownMembers(Context& context, InstanceId new_member) {
  std::vector<MemberUpdate> updates;
  std::size_t capacity = UpdateCapacity(context, kServersPerDatagram);
  auto& members = context.plane.membership.members;
  const auto skip = UniformBelow(context.random, members.size());
  auto it = std::next(members.begin(), static_cast<std::ptrdiff_t>(skip));
  for (std::size_t i = 0; i < members.size(); ++i) {
    const auto& [instance, member] = *it;
    if (instance != new_member && IsUp(member)) {
      auto item = MakeUpdate(context, member);
      if (SizeOf(item) > capacity) break;
      capacity -= SizeOf(item);
      updates.push_back(std::move(item));
    }
    if (++it == members.end()) it = members.begin();
  }
  Reply(context, new_member, updates);
}

void Receive(Context& context, const wire::Heartbeat& heartbeat) {
  auto& plane = context.plane;
  const auto from = heartbeat.sender.instance;
  auto& member = plane.membership.members.at(from);
  RecordHeardList(context, member, heartbeat.heard);
  if (member.latest.state == MemberState::kDown) {
    // The member does not know yet that it is considered down.
    Reply(context, from, {MakeUpdate(context, member)});
  }
  auto& fresh = plane.heartbeats.fresh_eras;
  std::erase(fresh, from);
  fresh.insert(fresh.begin(), from);
  if (fresh.size() > kErasPerDatagram) fresh.pop_back();
  ReceiveUpdates(context, from, heartbeat.members);
  for (const auto& it : heartbeat.eras) MergeEra(context, it);
  MergeLeavingServers(context, heartbeat.leaving_servers);
  if (!heartbeat.evidence.empty()) {
    context.actions.push_back(ReportEvidence{{from, heartbeat.evidence}});
  }
}

/// Asks listed members that were never heard from to reply.
void ProbeListed(Context& context) {
  const auto& membership = context.plane.membership;
  std::vector<const ListedInstance*> unheard;
  for (const auto& [instance, it] : membership.listed) {
    if (!membership.members.contains(instance)) unheard.push_back(&it);
  }
  if (unheard.empty()) return;
  MemberUpdate query;
  query.state = MemberState::kSuspect;
  for (std::size_t i = 0; i < std::min(kListedProbes, unheard.size()); ++i) {
    const auto& it = *unheard[UniformBelow(context.random, unheard.size())];
    query.instance = it.instance;
    Send(context, it.peer_endpoint, it.instance, {query});
  }
}

/// Sends a datagram to a member that is down: it may have come back, or a
/// partition may have healed.
void ProbeDown(Context& context) {
  std::vector<const Member*> down;
  for (const auto& [_, member] : context.plane.membership.members) {
    if (!IsUp(member)) down.push_back(&member);
  }
  if (down.empty()) return;
  const auto& update = down[UniformBelow(context.random, down.size())]->latest;
  Send(context, Endpoint(update.peer_endpoint), update.instance, {});
}

/// Sends a datagram to a random seed; used while no member is up.
void ProbeSeed(Context& context) {
  const auto& settings = context.plane.settings;
  if (settings.seeds.empty()) return;
  const auto index = UniformBelow(context.random, settings.seeds.size());
  const auto& seed = settings.seeds[index];
  if (seed != settings.peer_endpoint) Send(context, seed, InstanceId(), {});
}

void Shuffle(Context& context, std::vector<InstanceId>& order) {
  for (std::size_t i = order.size(); i > 1; --i) {
    std::swap(order[i - 1], order[UniformBelow(context.random, i)]);
  }
}

}  // namespace

std::size_t RandomPeers(const Context& context) {
  const auto n = context.plane.settings.peers_per_round;
  return n > kNeighbours ? n - kNeighbours : 1;
}

std::optional<InstanceId> NextRandomPeer(Context& context) {
  const auto& members = context.plane.membership.members;
  auto& rotation = context.plane.heartbeats.rotation;
  for (int pass = 0; pass < 2; ++pass) {
    while (!rotation.empty()) {
      const auto next = rotation.back();
      rotation.pop_back();
      const auto it = members.find(next);
      // Neighbours get a datagram in every round.
      if (it != members.end() && IsUp(it->second) &&
          !it->second.watched_since) {
        return next;
      }
    }
    for (const auto& [instance, member] : members) {
      if (IsUp(member)) rotation.push_back(instance);
    }
    Shuffle(context, rotation);
  }
  return std::nullopt;
}

void WidenNextRounds(Context& context) {
  context.plane.heartbeats.wide_rounds = kWideRounds;
  context.plane.heartbeats.next_round = context.now;
}

void SendHeartbeat(Context& context, InstanceId to,
                   const std::vector<MemberUpdate>& extra) {
  const auto& members = context.plane.membership.members;
  if (const auto it = members.find(to); it != members.end()) {
    const Endpoint endpoint = it->second.latest.peer_endpoint;
    Send(context, endpoint, to, extra);
  }
}

void SendRound(Context& context) {
  auto& beats = context.plane.heartbeats;
  if (context.now < beats.next_round) return;
  const auto interval = context.plane.settings.heartbeat_interval;
  beats.next_round =
      context.now + interval * 9 / 10 + Jittered(interval / 5, context.random);
  beats.replies_left = kRepliesPerRound;
  std::size_t n = RandomPeers(context);
  if (beats.wide_rounds > 0) {
    --beats.wide_rounds;
    n *= kWideFactor;
  }
  for (const auto it : NeighboursOf(context, context.plane.settings.instance)) {
    SendHeartbeat(context, it, {});
  }
  const auto others = CountUp(context.plane.membership);
  n = std::min(n, others - std::min(others, kNeighbours));
  for (std::size_t i = 0; i < n; ++i) {
    if (const auto it = NextRandomPeer(context))
      SendHeartbeat(context, *it, {});
  }
  ProbeListed(context);
  if (others == 0) ProbeSeed(context);
  if (beats.rounds++ % kProbeRounds == 0) ProbeDown(context);
}

void ReceiveDatagram(Context& context, const DatagramReceived& event) {
  auto& plane = context.plane;
  ++plane.counters.datagrams_received;
  const auto heartbeat = wire::DecodeHeartbeat(event.bytes, plane.fleet);
  if (!heartbeat)
    return DropDatagram(context, event.from, heartbeat.error().code);
  const auto from = heartbeat->sender.instance;
  // The instance's own datagram, or one of another instance with the same id.
  if (from == plane.settings.instance) {
    return DropDatagram(context, event.from, ResultCode::kStaleMessage);
  }
  const bool is_new = !plane.membership.members.contains(from);
  if (!RecordHeartbeat(context, *heartbeat)) {
    return DropDatagram(context, event.from, ResultCode::kStaleMessage);
  }
  Receive(context, *heartbeat);
  if (is_new) SendKnownMembers(context, from);
}

}  // namespace ibisladder::controlplane
