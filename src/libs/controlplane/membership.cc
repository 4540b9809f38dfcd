#include "libs/controlplane/membership.h"

#include <algorithm>
#include <bit>

#include "libs/controlplane/plane.h"

namespace ibisladder::controlplane {
namespace {

using wire::MemberState;
using wire::MemberUpdate;

/// Replaced incarnations that are remembered per member.
constexpr std::size_t kReplacedKept = 8;
/// Rounds' worth of messages that a member may send in one interval.
constexpr std::uint64_t kMostRoundsPerInterval = 2;
/// A listed member is tried for ever; one that left the list is forgotten.
constexpr Duration kForgetUnlisted = Seconds(60);
/// When the list is not read, for instance in an outage.
constexpr Duration kForgetAnyway = Seconds(7200);
/// Callers are not given a ticket of an older era than this.
constexpr Duration kEraFreshFor = Seconds(20);
/// Eras change all the time; the caller path is told at this interval.
constexpr Duration kEraReportInterval = Seconds(1);
/// Sends that are saved each time that a piece of news comes back.
constexpr std::uint32_t kHeardAgainCost = 1;
/// News is sent on for so long at the most; what has not arrived by then
/// does so by the refreshes and the probes.
constexpr Duration kSpreadTime = Seconds(8);
constexpr Duration kWaveLength = Seconds(10);

Duration DeafAfter(const Turn& turn) {
  return turn.plane.settings.peer_timeout / 2;
}

void Spread(Turn& turn, Member& member) {
  member.sends_left = RumorSends(turn.plane.membership);
  member.spread_until = turn.now + kSpreadTime;
}

void NoteChange(Turn& turn, Member& member) {
  auto& membership = turn.plane.membership;
  membership.changed = true;
  membership.ring_changed = true;
  Spread(turn, member);
}

void LogState(Turn& turn, LogEvent event, const Member& member,
              const std::string& reason) {
  Log(turn, event,
      {{"peer", Text(member.news.instance)},
       {"incarnation", Text(member.news.incarnation)},
       {"reason", reason}});
}

/// Messages that a silent member may have sent since the judge's newest news
/// of it; that somebody else saw one of these is no proof of life.
std::uint64_t UnseenMessages(const Turn& turn, const Member& member) {
  const auto& settings = turn.plane.settings;
  const auto known_for = turn.now - std::max(member.alive_at, member.added_at);
  const auto rounds =
      static_cast<std::uint64_t>(known_for / settings.heartbeat_interval) + 1;
  return rounds * settings.peers_per_round * kMostRoundsPerInterval;
}

void CountDown(Turn& turn) {
  auto& membership = turn.plane.membership;
  ++membership.recent_downs;
  membership.recent_downs_until = turn.now + kWaveLength;
}

void MarkUp(Turn& turn, Member& member, const std::string& reason) {
  member.asked_at.reset();
  member.down_here = false;
  NoteChange(turn, member);
  LogState(turn, LogEvent::kPeerUp, member, reason);
}

/// Takes a newer state of the same incarnation.
void Adopt(Turn& turn, Member& member, const MemberUpdate& news,
           const std::string& reason) {
  const bool was_up = IsUp(member);
  const bool was_leaving = member.news.leaving;
  member.news.as_of = news.as_of;
  member.news.state = news.state;
  member.news.leaving = news.leaving;
  if (news.state != MemberState::kDown) member.down_here = false;
  if (was_up != IsUp(member)) {
    if (IsUp(member)) {
      MarkUp(turn, member, reason);
    } else {
      member.down_since = turn.now;
      NoteChange(turn, member);
      CountDown(turn);
      const bool is_deaf = news.state == MemberState::kDeaf;
      LogState(turn, is_deaf ? LogEvent::kPeerOneWay : LogEvent::kPeerDown,
               member, is_deaf ? "it hears nobody" : reason);
    }
  }
  if (was_leaving != member.news.leaving) {
    NoteChange(turn, member);
    LogState(turn, LogEvent::kPeerLeaving, member,
             member.news.leaving ? "leaving" : "back");
  }
}

Member& AddMember(Turn& turn, const MemberUpdate& news,
                  const std::string& reason) {
  auto& member = turn.plane.membership.members[news.instance];
  member.news = news;
  member.added_at = turn.now;
  member.era_at = turn.now;
  member.down_since = turn.now;
  if (IsUp(member)) {
    MarkUp(turn, member, reason);
  } else {
    NoteChange(turn, member);
  }
  return member;
}

void Replace(Turn& turn, Member& member, const MemberUpdate& news) {
  auto replaced = std::move(member.replaced);
  replaced.push_back(member.news.incarnation);
  if (replaced.size() > kReplacedKept) replaced.erase(replaced.begin());
  const auto version = member.version;
  member = Member();
  member.replaced = std::move(replaced);
  member.version = version;
  member.news = news;
  member.added_at = turn.now;
  member.era_at = turn.now;
  NoteChange(turn, member);
  LogState(turn, LogEvent::kPeerReplaced, member, "a new incarnation");
}

bool IsReplaced(const Member& member, Incarnation incarnation) {
  return std::find(member.replaced.begin(), member.replaced.end(),
                   incarnation) != member.replaced.end();
}

/// Whether news of another incarnation than the known one is to be believed.
bool OutdatesIncarnation(const Turn& turn, const Member& member,
                         Incarnation incarnation, bool is_direct) {
  const auto timeout = turn.plane.settings.peer_timeout;
  const bool is_silent = turn.now - member.alive_at > timeout;
  if (IsReplaced(member, incarnation)) return is_silent && is_direct;
  const bool is_heard =
      member.direct_at && turn.now - *member.direct_at <= timeout;
  return is_direct || !is_heard;
}

void LearnEra(Turn& turn, Member& member, Era era, TimePoint heard_at) {
  if (era <= member.news.era) return;
  member.news.era = era;
  member.era_at = std::max(member.era_at, heard_at);
  turn.plane.membership.era_changed = true;
}

/// News that others have already is passed on less often.
void NoteHeardAgain(Member& member) {
  member.sends_left -= std::min(member.sends_left, kHeardAgainCost);
}

callerpath::FleetMember ToFleetMember(const MemberUpdate& news) {
  return {news.instance,        news.incarnation,   news.era,    news.zone,
          news.caller_endpoint, news.peer_endpoint, news.leaving};
}

void SendFleetReport(Turn& turn) {
  auto& membership = turn.plane.membership;
  ReportFleet report;
  report.fleet.members.push_back(ToFleetMember(SelfNews(turn)));
  for (const auto& [_, member] : membership.members) {
    if (!IsUp(member)) continue;
    auto member_report = ToFleetMember(member.news);
    member_report.leaving = IsLeaving(member);
    // A ticket of an old era would be refused by its home.
    if (turn.now - member.era_at > kEraFreshFor) member_report.leaving = true;
    report.fleet.members.push_back(std::move(member_report));
  }
  membership.changed = false;
  membership.era_changed = false;
  membership.reported_at = turn.now;
  turn.actions.push_back(std::move(report));
}

}  // namespace

std::uint32_t RumorSends(const Membership& membership) {
  constexpr std::uint32_t kBase = 4;
  const auto n = static_cast<std::uint32_t>(membership.members.size() + 1);
  return kBase + 2 * static_cast<std::uint32_t>(std::bit_width(n));
}

bool NoteDirectNews(Turn& turn, const wire::Heartbeat& heartbeat) {
  auto& membership = turn.plane.membership;
  MemberUpdate news = heartbeat.self;
  news.as_of = heartbeat.sender.sequence;
  const auto it = membership.members.find(news.instance);
  Member* member = it == membership.members.end() ? nullptr : &it->second;
  if (member == nullptr) {
    member = &AddMember(turn, news, "it was heard");
  } else if (member->news.incarnation != news.incarnation) {
    if (!OutdatesIncarnation(turn, *member, news.incarnation, true)) {
      return false;
    }
    Replace(turn, *member, news);
  } else if (heartbeat.sender.sequence <= member->direct_sequence) {
    return false;
  } else if (news.as_of > member->news.as_of) {
    Adopt(turn, *member, news, "it was heard");
  }
  member->news.zone = news.zone;
  member->news.caller_endpoint = news.caller_endpoint;
  member->news.peer_endpoint = news.peer_endpoint;
  member->direct_sequence = heartbeat.sender.sequence;
  member->direct_at = turn.now;
  member->alive_at = turn.now;
  member->refutations = 0;
  member->asked_at.reset();
  if (member->down_here) MarkUp(turn, *member, "it was heard");
  member->version = std::max(member->version, heartbeat.version);
  membership.highest_version =
      std::max(membership.highest_version, member->version);
  LearnEra(turn, *member, news.era, turn.now);
  member->era_at = turn.now;
  membership.heard_anybody_at = turn.now;
  return true;
}

bool MergeNews(Turn& turn, const MemberUpdate& news) {
  auto& membership = turn.plane.membership;
  const auto it = membership.members.find(news.instance);
  const auto heard_at = turn.now - Millis(news.heard_ms_ago);
  const bool is_down = news.state == MemberState::kDown;
  if (it == membership.members.end()) {
    if (is_down) return false;
    auto& added = AddMember(turn, news, "a peer heard it");
    added.alive_at = heard_at;
    added.era_at = heard_at;
    return false;
  }
  auto& member = it->second;
  if (news.incarnation != member.news.incarnation) {
    const bool outdates =
        OutdatesIncarnation(turn, member, news.incarnation, false);
    if (!outdates || is_down) return !is_down;
    Replace(turn, member, news);
    member.alive_at = heard_at;
    member.era_at = heard_at;
    return false;
  }
  if (!is_down) LearnEra(turn, member, news.era, heard_at);
  if (news.as_of > member.news.as_of) {
    if (!is_down && heard_at > member.alive_at) {
      member.alive_at = heard_at;
      if (member.asked_at) ++member.refutations;
      member.asked_at.reset();
    }
    if (news.state == member.news.state) NoteHeardAgain(member);
    Adopt(turn, member, news, "a peer said so");
    return false;
  }
  if (news.state == member.news.state) NoteHeardAgain(member);
  return is_down && IsUp(member) && news.as_of < member.news.as_of;
}

void MergeEra(Turn& turn, const wire::EraUpdate& news) {
  auto& members = turn.plane.membership.members;
  const auto it = members.find(news.instance);
  if (it == members.end()) return;
  const auto low =
      static_cast<std::uint32_t>(it->second.news.incarnation.value());
  if (low != news.incarnation_low) return;
  // Tellers pass on only eras that they have just heard from the member.
  LearnEra(turn, it->second, news.era, turn.now);
}

void MarkDown(Turn& turn, Member& member, bool spread) {
  member.asked_at.reset();
  member.down_since = turn.now;
  if (spread) {
    member.news.state = MemberState::kDown;
    member.news.as_of += UnseenMessages(turn, member);
    CountDown(turn);
  } else {
    member.down_here = true;
  }
  NoteChange(turn, member);
  if (!spread) member.sends_left = 0;
  LogState(turn, LogEvent::kPeerDown, member,
           spread ? "nobody asked hears it" : "this instance hears nobody");
}

void ReplaceList(Turn& turn, const std::vector<ListedInstance>& instances) {
  auto& membership = turn.plane.membership;
  membership.listed.clear();
  for (const auto& it : instances) {
    if (it.instance == turn.plane.settings.instance) continue;
    membership.listed[it.instance] = it;
    const auto known = membership.members.find(it.instance);
    if (known == membership.members.end()) continue;
    auto& member = known->second;
    if (member.listed_leaving == it.leaving) continue;
    member.listed_leaving = it.leaving;
    NoteChange(turn, member);
    LogState(turn, LogEvent::kPeerLeaving, member,
             it.leaving ? "the list says so" : "the list says live");
  }
}

void ForgetOldMembers(Turn& turn) {
  auto& membership = turn.plane.membership;
  if (turn.now >= membership.recent_downs_until) membership.recent_downs = 0;
  std::erase_if(membership.members, [&](const auto& it) {
    const auto& [instance, member] = it;
    if (member.news.state != MemberState::kDown) return false;
    if (membership.listed.contains(instance)) return false;
    const auto since = turn.now - member.down_since;
    return since >
           (membership.listed.empty() ? kForgetAnyway : kForgetUnlisted);
  });
}

void UpdateMembership(Turn& turn) {
  auto& membership = turn.plane.membership;
  const bool era_due = membership.era_changed &&
                       turn.now - membership.reported_at >= kEraReportInterval;
  if (membership.changed || era_due) SendFleetReport(turn);
}

MemberUpdate SelfNews(const Turn& turn) {
  const auto& plane = turn.plane;
  const auto& settings = plane.settings;
  MemberUpdate news;
  news.instance = settings.instance;
  news.incarnation = settings.incarnation;
  news.era = plane.membership.era;
  news.zone = settings.zone;
  news.caller_endpoint = settings.caller_endpoint;
  news.peer_endpoint = settings.peer_endpoint;
  news.leaving = plane.stopping || plane.drained;
  news.as_of = plane.membership.sequence;
  news.state = IsDeaf(turn) ? MemberState::kDeaf : MemberState::kUp;
  return news;
}

bool IsDeaf(const Turn& turn) {
  const auto& membership = turn.plane.membership;
  if (!membership.heard_anybody_at) return false;
  return turn.now - *membership.heard_anybody_at > DeafAfter(turn);
}

bool IsUp(const Member& member) {
  return member.news.state == MemberState::kUp && !member.down_here;
}

bool IsLeaving(const Member& member) {
  return member.news.leaving || member.listed_leaving;
}

std::size_t CountUp(const Membership& membership) {
  return static_cast<std::size_t>(
      std::count_if(membership.members.begin(), membership.members.end(),
                    [](const auto& it) { return IsUp(it.second); }));
}

std::string StateName(const Member& member) {
  if (member.news.state == MemberState::kDown || member.down_here) {
    return "down";
  }
  const bool is_deaf = member.news.state == MemberState::kDeaf;
  if (is_deaf || member.not_heard_here || member.hears_us_not) {
    return "one-way";
  }
  return IsLeaving(member) ? "leaving" : "up";
}

}  // namespace ibisladder::controlplane
