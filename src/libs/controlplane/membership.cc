#include "libs/controlplane/membership.h"

#include <algorithm>
#include <bit>

#include "libs/controlplane/plane.h"

namespace ibisladder::controlplane {
namespace {

using wire::MemberState;
using wire::MemberUpdate;

/// Replaced incarnations remembered per member.
constexpr std::size_t kMaxReplaced = 8;
/// Assumed number of messages that a member sends per heartbeat interval, in
/// rounds of `peers_per_round`. Wide rounds, probes and replies may exceed it
/// for a short time.
constexpr std::uint64_t kAssumedRoundsPerInterval = 2;
/// Listed members are probed without limit. One that is down and not listed is
/// removed after this time.
constexpr Duration kUnlistedLifetime = Seconds(60);
/// The same while no list was read since the start, or the list is empty.
constexpr Duration kLifetimeWithoutList = Seconds(7200);
/// A member whose era was last confirmed longer ago is reported as leaving, so
/// that callers get no ticket of an old era.
constexpr Duration kEraLifetime = Seconds(20);
/// Eras advance often; the caller path gets them at this interval.
constexpr Duration kEraReportInterval = Seconds(1);
/// A received duplicate of an update reduces its remaining sends by this.
constexpr std::uint32_t kSendsSavedPerDuplicate = 1;
/// Limit on the time for which an update is sent on. Members that missed it get
/// it later by refreshes and probes.
constexpr Duration kSpreadTime = Seconds(8);
constexpr Duration kRecentDownsWindow = Seconds(10);

Duration ReceiveTimeout(const Context& context) {
  return context.plane.settings.peer_timeout / 2;
}

void Spread(Context& context, Member& member) {
  member.sends_left = MaxSendsPerUpdate(context.plane.membership);
  member.spread_until = context.now + kSpreadTime;
}

void MarkChanged(Context& context, Member& member) {
  auto& membership = context.plane.membership;
  membership.changed = true;
  membership.ring_changed = true;
  Spread(context, member);
}

void LogState(Context& context, LogEvent event, const Member& member,
              const std::string& reason) {
  Log(context, event,
      {{"peer", Text(member.latest.instance)},
       {"incarnation", Text(member.latest.incarnation)},
       {"reason", reason}});
}

/// Estimates the most messages that a silent member has sent since the latest
/// update about it. That a peer received one of them does not prove that the
/// member is alive.
std::uint64_t UnseenMessages(const Context& context, const Member& member) {
  const auto& settings = context.plane.settings;
  const auto known_for =
      context.now - std::max(member.alive_at, member.added_at);
  const auto rounds =
      static_cast<std::uint64_t>(known_for / settings.heartbeat_interval) + 1;
  return rounds * settings.peers_per_round * kAssumedRoundsPerInterval;
}

void CountRecentDown(Context& context) {
  auto& membership = context.plane.membership;
  ++membership.recent_downs;
  membership.recent_downs_until = context.now + kRecentDownsWindow;
}

void MarkUp(Context& context, Member& member, const std::string& reason) {
  member.suspected_at.reset();
  member.down_locally = false;
  MarkChanged(context, member);
  LogState(context, LogEvent::kPeerUp, member, reason);
}

/// Takes over a newer state of the same incarnation.
void ApplyUpdate(Context& context, Member& member, const MemberUpdate& update,
                 const std::string& reason) {
  const bool was_up = IsUp(member);
  const bool was_leaving = member.latest.leaving;
  member.latest.as_of = update.as_of;
  member.latest.state = update.state;
  member.latest.leaving = update.leaving;
  if (update.state != MemberState::kDown) member.down_locally = false;
  if (was_up != IsUp(member)) {
    if (IsUp(member)) {
      MarkUp(context, member, reason);
    } else {
      member.down_since = context.now;
      MarkChanged(context, member);
      CountRecentDown(context);
      const bool receives_nothing =
          update.state == MemberState::kReceivesNothing;
      LogState(context,
               receives_nothing ? LogEvent::kPeerOneWay : LogEvent::kPeerDown,
               member, receives_nothing ? "it receives no heartbeats" : reason);
    }
  }
  if (was_leaving != member.latest.leaving) {
    MarkChanged(context, member);
    LogState(context, LogEvent::kPeerLeaving, member,
             member.latest.leaving ? "leaving" : "back");
  }
}

Member& AddMember(Context& context, const MemberUpdate& update,
                  const std::string& reason) {
  auto& member = context.plane.membership.members[update.instance];
  member.latest = update;
  member.added_at = context.now;
  member.era_at = context.now;
  member.down_since = context.now;
  if (IsUp(member)) {
    MarkUp(context, member, reason);
  } else {
    MarkChanged(context, member);
  }
  return member;
}

void ReplaceIncarnation(Context& context, Member& member,
                        const MemberUpdate& update) {
  auto replaced = std::move(member.replaced);
  replaced.push_back(member.latest.incarnation);
  if (replaced.size() > kMaxReplaced) replaced.erase(replaced.begin());
  const auto version = member.version;
  member = Member();
  member.replaced = std::move(replaced);
  member.version = version;
  member.latest = update;
  member.added_at = context.now;
  member.era_at = context.now;
  MarkChanged(context, member);
  LogState(context, LogEvent::kPeerReplaced, member, "new incarnation");
}

bool IsReplaced(const Member& member, Incarnation incarnation) {
  return std::find(member.replaced.begin(), member.replaced.end(),
                   incarnation) != member.replaced.end();
}

/// Whether an update about another incarnation than the known one is accepted.
bool SupersedesIncarnation(const Context& context, const Member& member,
                           Incarnation incarnation, bool is_direct) {
  const auto timeout = context.plane.settings.peer_timeout;
  const bool is_silent = context.now - member.alive_at > timeout;
  if (IsReplaced(member, incarnation)) return is_silent && is_direct;
  const bool is_heard =
      member.direct_at && context.now - *member.direct_at <= timeout;
  return is_direct || !is_heard;
}

void UpdateEra(Context& context, Member& member, Era era, TimePoint heard_at) {
  if (era <= member.latest.era) return;
  member.latest.era = era;
  member.era_at = std::max(member.era_at, heard_at);
  context.plane.membership.era_changed = true;
}

/// An update that others already have is sent less often.
void RecordDuplicate(Member& member) {
  member.sends_left -= std::min(member.sends_left, kSendsSavedPerDuplicate);
}

callerpath::FleetMember ToFleetMember(const MemberUpdate& update) {
  return {update.instance, update.incarnation,     update.era,
          update.zone,     update.caller_endpoint, update.peer_endpoint,
          update.leaving};
}

void SendFleetReport(Context& context) {
  auto& membership = context.plane.membership;
  ReportFleet report;
  report.fleet.is_complete = membership.is_complete;
  report.fleet.members.push_back(ToFleetMember(MakeSelfUpdate(context)));
  for (const auto& [_, member] : membership.members) {
    if (!IsUp(member)) continue;
    auto member_report = ToFleetMember(member.latest);
    member_report.leaving = IsLeaving(member);
    // The home of a ticket refuses it when its era is old.
    if (context.now - member.era_at > kEraLifetime)
      member_report.leaving = true;
    report.fleet.members.push_back(std::move(member_report));
  }
  membership.changed = false;
  membership.era_changed = false;
  membership.reported_at = context.now;
  context.actions.push_back(std::move(report));
}

}  // namespace

std::uint32_t MaxSendsPerUpdate(const Membership& membership) {
  constexpr std::uint32_t kBase = 4;
  const auto n = static_cast<std::uint32_t>(membership.members.size() + 1);
  return kBase + 2 * static_cast<std::uint32_t>(std::bit_width(n));
}

bool RecordHeartbeat(Context& context, const wire::Heartbeat& heartbeat) {
  auto& membership = context.plane.membership;
  MemberUpdate update = heartbeat.self;
  update.as_of = heartbeat.sender.sequence;
  const auto it = membership.members.find(update.instance);
  Member* member = it == membership.members.end() ? nullptr : &it->second;
  if (member == nullptr) {
    member = &AddMember(context, update, "heartbeat received");
  } else if (member->latest.incarnation != update.incarnation) {
    if (!SupersedesIncarnation(context, *member, update.incarnation, true)) {
      return false;
    }
    ReplaceIncarnation(context, *member, update);
  } else if (heartbeat.sender.sequence <= member->direct_sequence) {
    return false;
  } else if (update.as_of > member->latest.as_of) {
    ApplyUpdate(context, *member, update, "heartbeat received");
  }
  member->latest.zone = update.zone;
  member->latest.caller_endpoint = update.caller_endpoint;
  member->latest.peer_endpoint = update.peer_endpoint;
  member->direct_sequence = heartbeat.sender.sequence;
  member->direct_at = context.now;
  member->alive_at = context.now;
  member->refutations = 0;
  member->suspected_at.reset();
  if (member->down_locally) MarkUp(context, *member, "heartbeat received");
  member->version = std::max(member->version, heartbeat.version);
  membership.highest_version =
      std::max(membership.highest_version, member->version);
  UpdateEra(context, *member, update.era, context.now);
  member->era_at = context.now;
  membership.heard_anybody_at = context.now;
  return true;
}

bool MergeUpdate(Context& context, const MemberUpdate& update) {
  auto& membership = context.plane.membership;
  const auto it = membership.members.find(update.instance);
  const auto heard_at = context.now - Millis(update.heard_ms_ago);
  const bool is_down = update.state == MemberState::kDown;
  if (it == membership.members.end()) {
    if (is_down) return false;
    auto& added = AddMember(context, update, "reported up by a peer");
    added.alive_at = heard_at;
    added.era_at = heard_at;
    return false;
  }
  auto& member = it->second;
  if (update.incarnation != member.latest.incarnation) {
    const bool supersedes =
        SupersedesIncarnation(context, member, update.incarnation, false);
    if (!supersedes || is_down) return !is_down;
    ReplaceIncarnation(context, member, update);
    member.alive_at = heard_at;
    member.era_at = heard_at;
    return false;
  }
  if (!is_down) UpdateEra(context, member, update.era, heard_at);
  if (update.as_of > member.latest.as_of) {
    if (!is_down && heard_at > member.alive_at) {
      member.alive_at = heard_at;
      if (member.suspected_at) ++member.refutations;
      member.suspected_at.reset();
    }
    if (update.state == member.latest.state) RecordDuplicate(member);
    ApplyUpdate(context, member, update, "reported by a peer");
    return false;
  }
  if (update.state == member.latest.state) RecordDuplicate(member);
  return is_down && IsUp(member) && update.as_of < member.latest.as_of;
}

void MergeEra(Context& context, const wire::EraUpdate& update) {
  auto& members = context.plane.membership.members;
  const auto it = members.find(update.instance);
  if (it == members.end()) return;
  const auto low =
      static_cast<std::uint32_t>(it->second.latest.incarnation.value());
  if (low != update.incarnation_low) return;
  // Peers pass on only eras that they have just received from the member.
  UpdateEra(context, it->second, update.era, context.now);
}

void MarkDown(Context& context, Member& member, bool spread) {
  member.suspected_at.reset();
  member.down_since = context.now;
  if (spread) {
    member.latest.state = MemberState::kDown;
    member.latest.as_of += UnseenMessages(context, member);
    CountRecentDown(context);
  } else {
    member.down_locally = true;
  }
  MarkChanged(context, member);
  if (!spread) member.sends_left = 0;
  LogState(context, LogEvent::kPeerDown, member,
           spread
               ? "silent, and no peer that was asked has heard from it recently"
               : "silent while this instance receives no heartbeats");
}

void ReplaceList(Context& context,
                 const std::vector<ListedInstance>& instances) {
  auto& membership = context.plane.membership;
  membership.listed.clear();
  for (const auto& it : instances) {
    if (it.instance == context.plane.settings.instance) continue;
    membership.listed[it.instance] = it;
    const auto known = membership.members.find(it.instance);
    if (known == membership.members.end()) continue;
    auto& member = known->second;
    if (member.listed_leaving == it.leaving) continue;
    member.listed_leaving = it.leaving;
    MarkChanged(context, member);
    LogState(context, LogEvent::kPeerLeaving, member,
             it.leaving ? "leaving in the instance list"
                        : "live in the instance list");
  }
}

void RemoveOldMembers(Context& context) {
  auto& membership = context.plane.membership;
  if (context.now >= membership.recent_downs_until) membership.recent_downs = 0;
  std::erase_if(membership.members, [&](const auto& it) {
    const auto& [instance, member] = it;
    if (member.latest.state != MemberState::kDown) return false;
    if (membership.listed.contains(instance)) return false;
    const auto since = context.now - member.down_since;
    return since > (membership.listed.empty() ? kLifetimeWithoutList
                                              : kUnlistedLifetime);
  });
}

void UpdateMembership(Context& context) {
  auto& membership = context.plane.membership;
  if (!membership.is_complete && HasAllMembers(context)) {
    membership.is_complete = true;
    membership.changed = true;
  }
  const bool era_due =
      membership.era_changed &&
      context.now - membership.reported_at >= kEraReportInterval;
  if (membership.changed || era_due) SendFleetReport(context);
}

MemberUpdate MakeSelfUpdate(const Context& context) {
  const auto& plane = context.plane;
  const auto& settings = plane.settings;
  MemberUpdate update;
  update.instance = settings.instance;
  update.incarnation = settings.incarnation;
  update.era = plane.membership.era;
  update.zone = settings.zone;
  update.caller_endpoint = settings.caller_endpoint;
  update.peer_endpoint = settings.peer_endpoint;
  update.leaving = plane.stopping || plane.drained;
  update.as_of = plane.membership.sequence;
  update.state = ReceivesNothing(context) ? MemberState::kReceivesNothing
                                          : MemberState::kUp;
  return update;
}

bool ReceivesNothing(const Context& context) {
  const auto& membership = context.plane.membership;
  if (!membership.heard_anybody_at) return false;
  return context.now - *membership.heard_anybody_at > ReceiveTimeout(context);
}

bool IsUp(const Member& member) {
  return member.latest.state == MemberState::kUp && !member.down_locally;
}

bool IsLeaving(const Member& member) {
  return member.latest.leaving || member.listed_leaving;
}

std::size_t CountUp(const Membership& membership) {
  return static_cast<std::size_t>(
      std::count_if(membership.members.begin(), membership.members.end(),
                    [](const auto& it) { return IsUp(it.second); }));
}

std::string StateName(const Member& member) {
  if (member.latest.state == MemberState::kDown || member.down_locally) {
    return "down";
  }
  const bool receives_nothing =
      member.latest.state == MemberState::kReceivesNothing;
  if (receives_nothing || member.inbound_lost || member.outbound_lost) {
    return "one-way";
  }
  return IsLeaving(member) ? "leaving" : "up";
}

}  // namespace ibisladder::controlplane
