#ifndef LIBS_CONTROLPLANE_MEMBERSHIP_H_
#define LIBS_CONTROLPLANE_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/controlplane/messages.h"

/// State of the fleet's members as known to this instance, and the merging of
/// updates. Updates about one incarnation are ordered by `as_of`: the member's
/// own sequence number, or for a silent member an estimate of it.
namespace ibisladder::controlplane {

struct Context;

struct Member {
  /// The latest update; its `heard_ms_ago` is not used.
  wire::MemberUpdate latest;
  ConfigVersion version;
  /// Latest time at which this instance or a peer heard from it.
  TimePoint alive_at;
  /// Last datagram from the member itself.
  std::optional<TimePoint> direct_at;
  std::uint64_t direct_sequence = 0;
  /// When its era was last confirmed, by itself or through a peer.
  TimePoint era_at;
  TimePoint down_since;
  /// Number of datagrams that still carry the update.
  std::uint32_t sends_left = 0;
  /// The update is not sent on after this time.
  TimePoint spread_until;
  /// Replaced incarnations, newest last.
  std::vector<Incarnation> replaced;

  /// Set while it is one of this instance's neighbours on the ring.
  std::optional<TimePoint> watched_since;
  /// When this instance asked peers whether they hear from it.
  std::optional<TimePoint> suspected_at;
  /// Suspicions refuted by peers since the last datagram from the member.
  std::uint32_t refutations = 0;

  TimePoint added_at;
  /// Since when its `heard` lists have not acknowledged datagrams to it.
  std::optional<TimePoint> unacknowledged_since;
  /// Number of datagrams sent to it since then.
  std::uint32_t unacknowledged = 0;
  /// Peers receive its datagrams, this instance does not.
  bool inbound_lost = false;
  /// It does not receive this instance's datagrams.
  bool outbound_lost = false;
  /// Marked as leaving in the platform's list.
  bool listed_leaving = false;
  /// Considered down by this instance alone, because this instance received no
  /// heartbeats; not passed on.
  bool down_locally = false;
};

struct Membership {
  std::map<InstanceId, Member> members;
  /// The platform's list as last read.
  std::map<InstanceId, ListedInstance> listed;
  /// Sequence number of this incarnation's last datagram, or a higher one that
  /// a peer's false report of this instance being down named.
  std::uint64_t sequence = 0;
  Era era;
  /// Highest configuration version that any member's heartbeat named.
  ConfigVersion highest_version;
  /// Time of the last datagram from any member.
  std::optional<TimePoint> heard_anybody_at;
  /// Members that went down recently; resets to 0 at `recent_downs_until`.
  std::uint32_t recent_downs = 0;
  TimePoint recent_downs_until;
  /// The fleet changed since the last report to the caller path.
  bool changed = true;
  bool era_changed = false;
  /// All instances of the platform's list have been up at once, or the process
  /// has run for longer than a live peer stays silent.
  bool is_complete = false;
  TimePoint reported_at;
  bool ring_changed = true;
};

/// Number of times that an update is sent on: grows with the logarithm of the
/// fleet, so that updates passed on at random reach every member.
std::uint32_t MaxSendsPerUpdate(const Membership& membership);

// Commands.

/// Updates the sending member from its own heartbeat. Returns false for a stale
/// or replayed one, which changes nothing.
bool RecordHeartbeat(Context& context, const wire::Heartbeat& heartbeat);
/// Merges an update from a peer about a third member. Returns true when the
/// sender wrongly holds the member down or up in an incarnation that is not
/// accepted here, and should thus get this instance's state.
bool MergeUpdate(Context& context, const wire::MemberUpdate& update);
/// Merges the era of a third member if it is of the known incarnation.
void MergeEra(Context& context, const wire::EraUpdate& update);
/// `spread`: whether peers are informed. If so, `as_of` is raised by an
/// estimate of the messages that the member may have sent unseen; otherwise
/// only this instance considers the member down.
void MarkDown(Context& context, Member& member, bool spread);
void ReplaceList(Context& context,
                 const std::vector<ListedInstance>& instances);
/// Removes members that have been down for long and are not in the platform's
/// list.
void RemoveOldMembers(Context& context);
/// Reports changes to the caller path.
void UpdateMembership(Context& context);

// Queries.

/// Returns the update about this instance itself, as of its current sequence
/// number.
wire::MemberUpdate MakeSelfUpdate(const Context& context);
/// Whether this instance received heartbeats before, but none recently.
bool ReceivesNothing(const Context& context);
/// Whether the member may be handed out to callers: alive, and receiving
/// heartbeats.
bool IsUp(const Member& member);
bool IsLeaving(const Member& member);
std::size_t CountUp(const Membership& membership);
/// "up", "down", "one-way" or "leaving". "one-way": it receives no heartbeats
/// at all (not handed out), or the link between it and this instance works in
/// one direction only (still handed out).
std::string StateName(const Member& member);

}  // namespace ibisladder::controlplane

#endif  // LIBS_CONTROLPLANE_MEMBERSHIP_H_
