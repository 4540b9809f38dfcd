#ifndef LIBS_CONTROLPLANE_MEMBERSHIP_H_
#define LIBS_CONTROLPLANE_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/controlplane/messages.h"

/// What this instance knows of the fleet's members, and how pieces of news
/// of different age are merged. The order of news of one incarnation is the
/// member's own sequence number.
namespace ibisladder::controlplane {

struct Context;

struct Member {
  /// The newest news; its `heard_ms_ago` is not used here.
  wire::MemberUpdate latest;
  ConfigVersion version;
  /// Newest evidence that it lives, from whomever.
  TimePoint alive_at;
  /// Last datagram from the member itself.
  std::optional<TimePoint> direct_at;
  std::uint64_t direct_sequence = 0;
  TimePoint era_at;
  TimePoint down_since;
  /// Datagrams that still carry news of it.
  std::uint32_t sends_left = 0;
  TimePoint spread_until;
  /// Incarnations that a newer one has replaced, newest last.
  std::vector<Incarnation> replaced;

  /// Set while it is one of this instance's neighbours on the ring.
  std::optional<TimePoint> watched_since;
  /// When this instance asked others whether they hear it.
  std::optional<TimePoint> suspected_at;
  /// Others heard it when this instance did not, since it was heard directly.
  std::uint32_t refutations = 0;

  TimePoint added_at;
  /// Since when datagrams to it went unacknowledged in its `heard` lists.
  std::optional<TimePoint> unacknowledged_since;
  std::uint32_t unacknowledged = 0;
  /// Others hear it, this instance does not.
  bool inbound_lost = false;
  /// It does not hear this instance.
  bool outbound_lost = false;
  /// The platform's list says that it leaves.
  bool listed_leaving = false;
  /// Judged by this instance alone while it heard nobody; not passed on.
  bool down_locally = false;
};

struct Membership {
  std::map<InstanceId, Member> members;
  /// The platform's list as last read.
  std::map<InstanceId, ListedInstance> listed;
  /// Number of the last message of this incarnation.
  std::uint64_t sequence = 0;
  Era era;
  /// Highest version of the configuration that a live member has.
  ConfigVersion highest_version;
  /// Last datagram from anybody.
  std::optional<TimePoint> heard_anybody_at;
  /// Members went down lately, so many.
  std::uint32_t recent_downs = 0;
  TimePoint recent_downs_until;
  /// The fleet changed since the caller path was last told.
  bool changed = true;
  bool era_changed = false;
  TimePoint reported_at;
  bool ring_changed = true;
};

/// Most times that one piece of news is sent on: enough that a push epidemic
/// reaches everybody, and grows with the logarithm of the fleet.
std::uint32_t MaxSendsPerUpdate(const Membership& membership);

// Commands.

/// A datagram of the member itself. False for a stale or replayed one, which
/// changes nothing.
bool RecordHeartbeat(Context& context, const wire::Heartbeat& heartbeat);
/// News from a third party. True when the teller should be told otherwise.
bool MergeUpdate(Context& context, const wire::MemberUpdate& update);
void MergeEra(Context& context, const wire::EraUpdate& update);
/// `spread`: tell others.
void MarkDown(Context& context, Member& member, bool spread);
void ReplaceList(Context& context,
                 const std::vector<ListedInstance>& instances);
/// Forgets members that are long down, and what only they had.
void RemoveOldMembers(Context& context);
/// Tells the caller path of changes.
void UpdateMembership(Context& context);

// Queries.

/// News of this instance itself, as of its current sequence number.
wire::MemberUpdate MakeSelfUpdate(const Context& context);
/// Whether this instance has lately heard nobody, though it knows of others.
bool ReceivesNothing(const Context& context);
/// Whether the member is to be handed out: alive and able to hear.
bool IsUp(const Member& member);
bool IsLeaving(const Member& member);
std::size_t CountUp(const Membership& membership);
/// "up", "down", "one-way", "leaving".
std::string StateName(const Member& member);

}  // namespace ibisladder::controlplane

#endif  // LIBS_CONTROLPLANE_MEMBERSHIP_H_
