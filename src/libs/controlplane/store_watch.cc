#include "libs/controlplane/store_watch.h"

#include <algorithm>
#include <set>

#include "libs/controlplane/plane.h"

namespace ibisladder::controlplane {
namespace {

constexpr std::size_t kReadersPerZone = 3;
/// Delay before the next watch, so that watches that return at once do not
/// become a busy loop.
constexpr Duration kWatchDelay = Millis(200);
/// Time after the start in which listed instances count as live without a
/// heartbeat, so that not every starting instance becomes a reader.
constexpr Duration kListedLiveTime = Seconds(10);
/// `store_read_delay` is the base plus half to all of the jitter.
constexpr Duration kStoreReadDelayBase = Seconds(4);
constexpr Duration kStoreReadDelayJitter = Seconds(12);
/// An instance without configuration that is no reader and knows of no version
/// reads the store this long after its start, plus `store_read_delay`.
constexpr Duration kUnconfiguredReadDelay = Seconds(60);
constexpr Duration kListTimeout = Seconds(5);

std::uint64_t Rank(InstanceId instance) {
  std::uint64_t x = instance.value() * 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 32U)) * 0xd6e8feb86659fd93ULL;
  return x ^ (x >> 32U);
}

/// Live members of this instance's availability zone, without itself.
std::set<InstanceId> LiveInZone(const Context& context) {
  const auto& plane = context.plane;
  const auto& zone = plane.settings.zone;
  std::set<InstanceId> live;
  for (const auto& [instance, member] : plane.membership.members) {
    if (IsUp(member) && !IsLeaving(member) && member.latest.zone == zone) {
      live.insert(instance);
    }
  }
  if (context.now - plane.started_at > kListedLiveTime) return live;
  for (const auto& [instance, it] : plane.membership.listed) {
    const bool known = plane.membership.members.contains(instance);
    if (!known && it.zone == zone && !it.leaving) live.insert(instance);
  }
  return live;
}

Duration ListInterval(const Context& context) {
  const auto& plane = context.plane;
  const auto base = plane.settings.list_interval;
  if (plane.watch.is_reader || !plane.watch.has_list) return base;
  // All other instances together read about as often as the readers.
  std::set<ZoneName> zones{plane.settings.zone};
  for (const auto& [_, member] : plane.membership.members) {
    zones.insert(member.latest.zone);
  }
  for (const auto& [_, it] : plane.membership.listed) zones.insert(it.zone);
  const auto readers = kReadersPerZone * zones.size();
  const auto n = std::max(plane.membership.members.size(),
                          plane.membership.listed.size()) +
                 1;
  const auto factor = std::max<std::size_t>(4, (n + readers - 1) / readers);
  return base * static_cast<std::int64_t>(factor);
}

void StartWatch(Context& context) {
  auto& watch = context.plane.watch;
  if (watch.is_watching || context.now < watch.next_watch) return;
  if (!MayReadStore(context) || !StoreIsDue(context)) return;
  watch.is_watching = true;
  WatchKey(context, HeadKey(context), watch.revision);
}

void StartList(Context& context) {
  auto& watch = context.plane.watch;
  if (watch.is_listing) {
    if (context.now < watch.list_deadline) return;
    watch.is_listing = false;
  }
  if (context.now < watch.next_list) return;
  watch.is_listing = true;
  watch.list_deadline = context.now + kListTimeout;
  watch.next_list =
      context.now + Jittered(ListInterval(context) * 4 / 3, context.random);
  ++context.plane.counters.platform_calls;
  context.actions.push_back(ReadList{});
}

}  // namespace

void UpdateReader(Context& context) {
  auto& plane = context.plane;
  const auto own = Rank(plane.settings.instance);
  std::size_t before = 0;
  for (const auto it : LiveInZone(context)) {
    if (Rank(it) < own) ++before;
  }
  const bool leaves = plane.stopping || plane.drained;
  plane.watch.is_reader = before < kReadersPerZone && !leaves;
  if (plane.watch.store_read_delay == Duration()) {
    plane.watch.store_read_delay =
        kStoreReadDelayBase + Jittered(kStoreReadDelayJitter, context.random);
  }
}

void ReadPlatform(Context& context) {
  StartWatch(context);
  StartList(context);
}

void ReceiveHead(Context& context, const StoreReplied& reply) {
  auto& watch = context.plane.watch;
  watch.is_watching = false;
  watch.next_watch = context.now + kWatchDelay;
  if (reply.code == ResultCode::kStoreNotFound) watch.revision = Revision();
  if (reply.code != ResultCode::kDone) return;
  // Nothing changed during the watch.
  if (reply.revision == watch.revision || reply.value.empty()) return;
  watch.revision = reply.revision;
  ConsiderHead(context, reply.value, HeadSource::kStore);
}

void ReceiveList(Context& context, const ListReplied& reply) {
  auto& watch = context.plane.watch;
  watch.is_listing = false;
  watch.list_ok = reply.ok;
  watch.has_list = watch.has_list || reply.ok;
  watch.next_list =
      context.now + Jittered(ListInterval(context) * 4 / 3, context.random);
  if (!reply.ok) return;
  ReplaceList(context, reply.instances);
  for (const auto& it : reply.servers) {
    if (!it.leaving) continue;
    RecordLeavingServer(context, MakeBackendServerId(it.service, it.server));
  }
}

bool HasAllMembers(const Context& context) {
  const auto& plane = context.plane;
  if (context.now - plane.started_at >= plane.settings.peer_timeout) {
    return true;
  }
  const auto& members = plane.membership.members;
  const auto& listed = plane.membership.listed;
  return !listed.empty() &&
         std::all_of(listed.begin(), listed.end(), [&](const auto& it) {
           if (it.first == plane.settings.instance || it.second.leaving) {
             return true;
           }
           const auto member = members.find(it.first);
           return member != members.end() && IsUp(member->second);
         });
}

bool MayReadStore(const Context& context) {
  const auto& watch = context.plane.watch;
  // The choice of readers needs the list or, without one, the heartbeats that
  // arrive within the list's timeout.
  const bool knows_peers =
      watch.has_list || context.now - context.plane.started_at > kListTimeout;
  if (watch.is_reader && knows_peers) return true;
  if (const auto& behind = context.plane.fetch.behind_since) {
    return context.now - *behind > watch.store_read_delay;
  }
  // A fleet that has no configuration must not make all instances read the
  // store at once.
  const auto age = context.now - context.plane.started_at;
  return !context.plane.document &&
         age > kUnconfiguredReadDelay + watch.store_read_delay;
}

}  // namespace ibisladder::controlplane
