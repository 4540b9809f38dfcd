#include "libs/gateway/ended_entries.h"

#include <string_view>
#include <unordered_map>

namespace ibisladder::gateway {
namespace {

/// Longer than the copy is old from which a store is restored.
constexpr Duration kMemory = Seconds(60);
/// Longer than a silent server's entry lasts, and than a server takes to write
/// its state again.
constexpr Duration kDoubtTime = Seconds(10);

template <typename Ended>
void EraseOld(std::map<std::string, Ended>& ended, TimePoint now) {
  std::erase_if(ended, [now](const auto& it) {
    return now - it.second.ended_at > kMemory;
  });
}

const EndedServer* Find(const EndedEntries& ended, const ServerEntry& entry) {
  const auto it = ended.servers.find(entry.name);
  const bool is_ended =
      it != ended.servers.end() && it->second.started_ms == entry.started_ms;
  return is_ended ? &it->second : nullptr;
}

bool HasEnded(const EndedEntries& ended, const Member& member) {
  const auto it = ended.members.find(member.name);
  return it != ended.members.end() &&
         it->second.incarnation == member.incarnation;
}

template <typename Entry, typename IsEnded>
void ReplaceEnded(const std::map<std::string, Entry>& known,
                  std::map<std::string, Entry>& listed, IsEnded is_ended) {
  for (auto it = listed.begin(); it != listed.end();) {
    if (!is_ended(it->second)) {
      ++it;
      continue;
    }
    if (const auto other = known.find(it->first); other != known.end()) {
      it->second = other->second;
      ++it;
    } else {
      it = listed.erase(it);
    }
  }
}

}  // namespace

void RecordServerEnds(EndedEntries& ended, std::span<const ServerEntry> before,
                      std::span<const ServerEntry> after, TimePoint now) {
  EraseOld(ended.servers, now);
  auto found = after.begin();
  for (const ServerEntry& it : before) {
    while (found != after.end() && found->name < it.name) ++found;
    const bool is_removed = found == after.end() || found->name != it.name ||
                            found->started_ms != it.started_ms;
    const bool is_draining = it.draining || (!is_removed && found->draining);
    if (is_removed || (is_draining && !it.draining)) {
      ended.servers[it.name] = {it.started_ms, is_draining, now};
    }
  }
  if (ended.servers.empty()) return;
  for (const ServerEntry& it : after) {
    if (!it.draining && Find(ended, it) != nullptr)
      ended.servers.erase(it.name);
  }
}

void RecordMemberEnds(EndedEntries& ended, std::span<const Member> before,
                      std::span<const Member> after, TimePoint now) {
  EraseOld(ended.members, now);
  std::unordered_map<std::string_view, Incarnation> now_listed;
  for (const Member& it : after) now_listed.emplace(it.name, it.incarnation);
  for (const Member& it : before) {
    const auto found = now_listed.find(it.name);
    const bool is_removed =
        found == now_listed.end() || found->second != it.incarnation;
    if (is_removed) ended.members[it.name] = {it.incarnation, now};
  }
  for (const Member& it : after) {
    if (HasEnded(ended, it)) ended.members.erase(it.name);
  }
}

void BeginDoubt(EndedEntries& ended, TimePoint now) {
  ended.doubted_until = now + kDoubtTime;
}

bool TakeDoubtEnd(EndedEntries& ended, TimePoint now) {
  if (!ended.doubted_until || now < *ended.doubted_until) return false;
  ended.doubted_until.reset();
  return true;
}

bool IsDoubted(const EndedEntries& ended, TimePoint now) {
  return ended.doubted_until && now < *ended.doubted_until;
}

void RecordWritten(EndedEntries& ended, const ServerEntry& entry) {
  const EndedServer* it = Find(ended, entry);
  if (it != nullptr && !it->was_draining) ended.servers.erase(entry.name);
}

void RecordWritten(EndedEntries& ended, const Member& member) {
  if (HasEnded(ended, member)) ended.members.erase(member.name);
}

void KeepServerEnds(const EndedEntries& ended,
                    const std::map<std::string, ServerEntry>& known,
                    std::map<std::string, ServerEntry>& listed, TimePoint now) {
  if (!IsDoubted(ended, now)) return;
  ReplaceEnded(known, listed, [&](const ServerEntry& it) {
    return Find(ended, it) != nullptr;
  });
}

void KeepMemberEnds(const EndedEntries& ended,
                    const std::map<std::string, Member>& known,
                    std::map<std::string, Member>& listed, TimePoint now) {
  if (!IsDoubted(ended, now)) return;
  ReplaceEnded(known, listed,
               [&](const Member& it) { return HasEnded(ended, it); });
}

}  // namespace ibisladder::gateway
