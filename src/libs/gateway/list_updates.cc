#include "libs/gateway/list_updates.h"

#include <xxhash.h>

#include <algorithm>

namespace ibisladder::gateway {
namespace {

/// How long changes are repeated. With the heartbeats they are sent about four
/// times, so datagrams may be lost.
constexpr Duration kRepeatTime = Millis(1000);
/// Interval of updates while the lists do not change. They repeat recent
/// changes and show that the sender watches.
constexpr Duration kHeartbeatInterval = Millis(250);
/// Time without updates before another instance takes over; tolerates one lost
/// heartbeat. kTakeoverStep is added for each earlier instance, up to
/// kMaxTakeoverSteps times.
constexpr Duration kTakeoverTimeout = Millis(600);
/// Each further instance waits this much longer, so that usually only one takes
/// over.
constexpr Duration kTakeoverStep = Millis(100);
/// Limits the wait of instances late in the order; these may take over
/// at the same time.
constexpr std::size_t kMaxTakeoverSteps = 5;
/// After the start no instance watches for this long: all read the lists once
/// and get to know each other.
constexpr Duration kStartupTime = Millis(1500);

class Hasher {
 public:
  void Add(const std::string& text) { Add(text.data(), text.size()); }
  void Add(std::uint64_t number) { Add(&number, sizeof(number)); }
  std::uint64_t value() const { return value_; }

 private:
  void Add(const void* bytes, std::size_t n) {
    value_ = XXH64(bytes, n, value_);
  }

  std::uint64_t value_ = 0;
};

template <typename Same, typename T>
void RecordChanges(const std::map<std::string, T>& before,
                   const std::map<std::string, T>& after, Same same,
                   std::map<std::string, TimePoint>& changes, TimePoint now) {
  for (const auto& [name, value] : after) {
    const auto it = before.find(name);
    if (it == before.end() || !same(it->second, value)) changes[name] = now;
  }
  for (const auto& [name, value] : before) {
    if (!after.contains(name)) changes[name] = now;
  }
}

template <typename T>
void CollectChanges(const std::map<std::string, TimePoint>& changes,
                    const std::map<std::string, T>& values,
                    std::vector<T>& announced,
                    std::vector<std::string>& removed) {
  for (const auto& [name, time] : changes) {
    const auto it = values.find(name);
    if (it != values.end()) {
      announced.push_back(it->second);
    } else {
      removed.push_back(name);
    }
  }
}

void EraseExpired(std::map<std::string, TimePoint>& changes, TimePoint now) {
  std::erase_if(
      changes, [now](const auto& it) { return now - it.second > kRepeatTime; });
}

/// Returns the position of `name` in the order in which the instances of `zone`
/// take over.
std::size_t TakeoverPositionOf(const SharedLists& lists, const ZoneName& zone,
                               const std::string& name) {
  const auto order = [](const std::string& it) {
    constexpr std::uint64_t kSeed = 1;
    return XXH64(it.data(), it.size(), kSeed);
  };
  std::size_t position = 0;
  for (const auto& [it, member] : lists.members) {
    if (member.zone == zone && order(it) < order(name)) ++position;
  }
  return position;
}

}  // namespace

std::uint64_t HashOf(const SharedLists& lists) {
  Hasher hasher;
  for (const auto& [name, it] : lists.servers) {
    hasher.Add(name);
    hasher.Add(static_cast<std::uint64_t>(it.started_ms));
    hasher.Add(it.service);
    hasher.Add(FormatEndpoint(it.endpoint));
    hasher.Add(it.slots);
    hasher.Add(it.draining ? 1 : 0);
  }
  for (const auto& [name, it] : lists.members) {
    hasher.Add(name);
    hasher.Add(it.incarnation.value());
  }
  return hasher.value();
}

UpdateLog StartUpdateLog(const SharedLists& before, const SharedLists& lists) {
  UpdateLog log;
  log.announced = lists;
  for (const auto& [name, entry] : before.servers) {
    const auto it = lists.servers.find(name);
    const bool ends = it == lists.servers.end() ||
                      (it->second.draining && !entry.draining &&
                       it->second.started_ms == entry.started_ms);
    if (ends) log.announced.servers[name] = entry;
  }
  return log;
}

bool IsUpdateDue(const UpdateLog& log, const SharedLists& lists,
                 TimePoint now) {
  if (now - log.announced_at >= kHeartbeatInterval) return true;
  return HashOf(log.announced) != HashOf(lists);
}

ListUpdate MakeUpdate(UpdateLog& log, const SharedLists& lists, TimePoint now) {
  RecordChanges(log.announced.servers, lists.servers, &EqualExceptWarmUp,
                log.server_changes, now);
  RecordChanges(
      log.announced.members, lists.members,
      [](const Member& a, const Member& b) { return a == b; },
      log.member_changes, now);
  EraseExpired(log.server_changes, now);
  EraseExpired(log.member_changes, now);
  ListUpdate update;
  CollectChanges(log.server_changes, lists.servers, update.servers,
                 update.removed_servers);
  CollectChanges(log.member_changes, lists.members, update.members,
                 update.removed_members);
  update.lists_hash = HashOf(lists);
  log.announced = lists;
  log.announced_at = now;
  return update;
}

bool ApplyUpdate(SharedLists& lists, const ListUpdate& update) {
  for (const auto& it : update.servers) {
    lists.servers.insert_or_assign(it.name, it);
  }
  for (const auto& it : update.removed_servers) lists.servers.erase(it);
  for (const auto& it : update.members) {
    lists.members.insert_or_assign(it.name, it);
  }
  for (const auto& it : update.removed_members) lists.members.erase(it);
  return HashOf(lists) == update.lists_hash;
}

std::vector<Member> FirstWatchers(const SharedLists& lists,
                                  const ZoneName& zone, std::size_t n) {
  std::vector<Member> result(n);
  std::size_t found = 0;
  for (const auto& [name, member] : lists.members) {
    if (member.zone != zone) continue;
    const std::size_t position = TakeoverPositionOf(lists, zone, name);
    if (position >= n) continue;
    result[position] = member;
    ++found;
  }
  result.resize(std::min(found, n));
  return result;
}

void RecordUpdate(WatchDuty& duty, const std::string& sender, TimePoint now) {
  duty.last_updates[sender] = now;
}

bool MustWatch(const WatchDuty& duty, const SharedLists& lists, TimePoint now) {
  if (now - duty.started_at < kStartupTime) return false;
  const std::size_t position = TakeoverPositionOf(lists, duty.zone, duty.self);
  if (position == 0) return true;
  TimePoint last = duty.started_at + kStartupTime - kTakeoverTimeout;
  for (const auto& [sender, time] : duty.last_updates) {
    if (TakeoverPositionOf(lists, duty.zone, sender) < position)
      last = std::max(last, time);
  }
  const auto steps =
      static_cast<std::int64_t>(std::min(position, kMaxTakeoverSteps));
  return now - last >= kTakeoverTimeout + kTakeoverStep * steps;
}

}  // namespace ibisladder::gateway
