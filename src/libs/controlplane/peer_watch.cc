#include "libs/controlplane/peer_watch.h"

#include <algorithm>
#include <utility>

#include "libs/controlplane/plane.h"

namespace ibisladder::controlplane {
namespace {

/// Time for peers to refute a suspicion.
constexpr Duration kSuspicionTimeout = Seconds(1);
/// Delay before a suspicion is sent again; from then on it is sent at every
/// review.
constexpr Duration kSuspicionResendDelay = Millis(400);
/// Each refutation doubles the delay before the next suspicion, at most this
/// often.
constexpr std::uint32_t kMaxDelayDoublings = 3;
/// Recently failed members that count as a mass failure. New neighbours on the
/// ring are then suspected at once instead of after the whole timeout.
constexpr std::uint32_t kMassFailure = 3;
/// Links between members that exchange datagrams less often are not evaluated.
constexpr Duration kMaxPairGap = Seconds(10);
/// A link counts as lost after the peer timeout and this many such gaps.
constexpr int kPairGaps = 3;
/// Datagrams to a member without acknowledgement before the link to it counts
/// as lost.
constexpr std::uint32_t kUnacknowledged = 3;
/// Members listed as heard besides the target.
constexpr std::size_t kHeardSample = 3;

/// Position on the ring. The hash spreads the members of an availability zone.
std::uint64_t RingPosition(InstanceId instance) {
  std::uint64_t x = instance.value() + 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31U);
}

Duration SuspicionDelay(const Context& context) {
  return std::max(context.plane.settings.peer_timeout - kSuspicionTimeout,
                  context.plane.settings.heartbeat_interval * 2);
}

/// Time within which a pair is expected to have exchanged datagrams; nullopt
/// for pairs that do so too rarely to be evaluated.
std::optional<Duration> PairWindow(const Context& context,
                                   const Member& member) {
  const auto& settings = context.plane.settings;
  Duration gap = settings.heartbeat_interval;
  if (!member.watched_since) {
    const auto others = context.plane.membership.members.size();
    const auto slots = std::max<std::size_t>(RandomPeers(context), 1);
    gap *= static_cast<std::int64_t>((others + slots - 1) / slots);
  }
  if (gap > kMaxPairGap) return std::nullopt;
  return settings.peer_timeout + kPairGaps * gap;
}

void LogOneWay(Context& context, const Member& member,
               const std::string& reason) {
  Log(context, LogEvent::kPeerOneWay,
      {{"peer", Text(member.latest.instance)}, {"reason", reason}});
}

void EvaluateLink(Context& context, Member& member) {
  const auto window = PairWindow(context, member);
  if (!window && !member.inbound_lost && !member.outbound_lost) return;
  const auto last =
      std::max(member.direct_at.value_or(member.added_at), member.added_at);
  const bool inbound_lost = window && IsUp(member) &&
                            !ReceivesNothing(context) &&
                            context.now - last > *window;
  if (inbound_lost && !member.inbound_lost) {
    LogOneWay(context, member,
              "no datagrams arrive from it, though peers report it up");
  }
  member.inbound_lost = inbound_lost;
  const bool outbound_lost =
      window && member.unacknowledged >= kUnacknowledged &&
      context.now - *member.unacknowledged_since > *window;
  if (outbound_lost && !member.outbound_lost) {
    LogOneWay(context, member, "it does not receive this instance's datagrams");
  }
  member.outbound_lost = outbound_lost;
}

void SendSuspicion(Context& context, const Member& member) {
  auto update = member.latest;
  update.state = wire::MemberState::kSuspect;
  SendHeartbeat(context, member.latest.instance, {update});
  for (const auto it : NeighboursOf(context, member.latest.instance)) {
    SendHeartbeat(context, it, {update});
  }
  if (const auto helper = NextRandomPeer(context)) {
    SendHeartbeat(context, *helper, {update});
  }
}

void EvaluateSilence(Context& context, Member& member) {
  const auto since = std::max(member.alive_at, *member.watched_since);
  const auto delay = SuspicionDelay(context) *
                     (1U << std::min(member.refutations, kMaxDelayDoublings));
  if (!member.suspected_at) {
    if (context.now - since < delay) return;
    member.suspected_at = context.now;
    SendSuspicion(context, member);
    return;
  }
  const auto waited = context.now - *member.suspected_at;
  if (waited >= kSuspicionTimeout) {
    MarkDown(context, member, true);
  } else if (waited >= kSuspicionResendDelay) {
    SendSuspicion(context, member);
  }
}

}  // namespace

std::vector<InstanceId> NeighboursOf(const Context& context,
                                     InstanceId instance) {
  using Position = std::pair<std::uint64_t, InstanceId>;
  const auto& plane = context.plane;
  const Position own{RingPosition(instance), instance};
  // The closest members on both sides; the ring's ends are used when a side has
  // none.
  std::optional<Position> next;
  std::optional<Position> previous;
  std::optional<Position> first;
  std::optional<Position> last;
  const auto consider = [&](InstanceId other) {
    const Position it{RingPosition(other), other};
    if (it == own) return;
    if (it > own && (!next || it < *next)) next = it;
    if (it < own && (!previous || it > *previous)) previous = it;
    if (!first || it < *first) first = it;
    if (!last || it > *last) last = it;
  };
  consider(plane.settings.instance);
  for (const auto& [other, member] : plane.membership.members) {
    if (IsUp(member)) consider(other);
  }
  std::vector<InstanceId> neighbours;
  if (!first) return neighbours;
  neighbours.push_back((next ? next : first)->second);
  const auto other = (previous ? previous : last)->second;
  if (other != neighbours.front()) neighbours.push_back(other);
  return neighbours;
}

void UpdateRing(Context& context) {
  auto& membership = context.plane.membership;
  if (!membership.ring_changed) return;
  membership.ring_changed = false;
  const auto neighbours =
      NeighboursOf(context, context.plane.settings.instance);
  const bool is_mass_failure = membership.recent_downs >= kMassFailure;
  for (auto& [instance, member] : membership.members) {
    const bool is_neighbour = std::find(neighbours.begin(), neighbours.end(),
                                        instance) != neighbours.end();
    if (!is_neighbour) {
      member.watched_since.reset();
      member.suspected_at.reset();
    } else if (!member.watched_since) {
      member.watched_since =
          is_mass_failure ? context.now - SuspicionDelay(context) : context.now;
    }
  }
}

void EvaluatePeers(Context& context) {
  const bool receives_nothing = ReceivesNothing(context);
  const auto timeout = context.plane.settings.peer_timeout;
  for (auto& [_, member] : context.plane.membership.members) {
    EvaluateLink(context, member);
    if (!IsUp(member)) continue;
    if (receives_nothing) {
      // The silence is probably this instance's own fault: not passed on.
      const auto since = std::max(member.alive_at, member.added_at);
      if (context.now - since > timeout) MarkDown(context, member, false);
    } else if (member.watched_since) {
      EvaluateSilence(context, member);
    }
  }
}

void RecordSent(Context& context, Member& member) {
  if (!member.unacknowledged_since) member.unacknowledged_since = context.now;
  ++member.unacknowledged;
}

void RecordHeardList(Context& context, Member& member,
                     const std::vector<InstanceId>& heard) {
  const bool names_us =
      std::find(heard.begin(), heard.end(), context.plane.settings.instance) !=
      heard.end();
  if (!names_us) return;
  member.unacknowledged = 0;
  member.unacknowledged_since.reset();
}

bool HeardRecently(const Context& context, InstanceId instance) {
  const auto& members = context.plane.membership.members;
  const auto it = members.find(instance);
  if (it == members.end() || !it->second.direct_at) return false;
  return context.now - *it->second.direct_at < SuspicionDelay(context);
}

std::vector<InstanceId> HeardList(const Context& context,
                                  const Member* target) {
  std::vector<InstanceId> heard;
  const auto within = [&](const Member& member, Duration window) {
    return member.direct_at && context.now - *member.direct_at <= window;
  };
  const auto timeout = context.plane.settings.peer_timeout;
  if (target != nullptr &&
      within(*target, PairWindow(context, *target).value_or(timeout))) {
    heard.push_back(target->latest.instance);
  }
  for (const auto& [instance, member] : context.plane.membership.members) {
    if (heard.size() > kHeardSample) break;
    if (&member != target && within(member, timeout)) heard.push_back(instance);
  }
  return heard;
}

}  // namespace ibisladder::controlplane
