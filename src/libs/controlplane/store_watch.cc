#include "libs/controlplane/store_watch.h"

#include <algorithm>
#include <set>

#include "libs/controlplane/plane.h"

namespace ibisladder::controlplane {
namespace {

constexpr std::size_t kReadersPerZone = 3;
/// A watch that returns at once does not become a busy loop.
constexpr Duration kWatchDelay = Millis(200);
/// Those that are listed but not heard yet count as live for so long after
/// the start, so that not everybody takes itself for a reader.
constexpr Duration kListedLiveTime = Seconds(10);
constexpr Duration kMinStoreReadDelay = Seconds(4);
constexpr Duration kStoreReadDelaySpread = Seconds(12);
constexpr Duration kUnconfiguredReadDelay = Seconds(60);
constexpr Duration kListTimeout = Seconds(5);

std::uint64_t Rank(InstanceId instance) {
  std::uint64_t x = instance.value() * 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 32U)) * 0xd6e8feb86659fd93ULL;
  return x ^ (x >> 32U);
}

/// Live members of this instance's zone, without itself.
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
  // All who are no readers together read about as often as the readers.
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
        kMinStoreReadDelay + Jittered(kStoreReadDelaySpread, context.random);
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
  // Nothing changed while it waited.
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

bool MayReadStore(const Context& context) {
  const auto& watch = context.plane.watch;
  // The list tells who the readers are; without it, a moment's wait does.
  const bool knows_peers =
      watch.has_list || context.now - context.plane.started_at > kListTimeout;
  if (watch.is_reader && knows_peers) return true;
  if (const auto& behind = context.plane.fetch.behind_since) {
    return context.now - *behind > watch.store_read_delay;
  }
  // A whole fleet without configuration is no reason for all to ask.
  const auto age = context.now - context.plane.started_at;
  return !context.plane.document &&
         age > kUnconfiguredReadDelay + watch.store_read_delay;
}

}  // namespace ibisladder::controlplane
