#include "libs/limits/process_starts.h"

#include <algorithm>

namespace ibisladder::limits {
namespace {

constexpr Duration kRepeatInterval = Millis(100);
constexpr Duration kRepeatTime = Seconds(1);
constexpr Duration kMaxAge = Seconds(std::int64_t{365} * 24 * 3600);

/// Adopts a changed list. Returns whether it has changed.
bool AdoptMembers(ProcessStarts& starts, const QuotaMembers& members) {
  if (starts.members_version == members.version) return false;
  starts.members_version = members.version;
  starts.have_all_started.reset();
  std::unordered_map<std::string, PeerStart> peers;
  for (const std::string& it : members.names) {
    if (it == members.self) continue;
    const auto known = starts.peers.find(it);
    peers[it] = known == starts.peers.end() ? PeerStart{} : known->second;
  }
  starts.peers = std::move(peers);
  return true;
}

ProcessStart MakeStart(const ProcessStarts& starts, const QuotaMembers& members,
                       TimePoint now) {
  ProcessStart start;
  start.sender = members.self;
  start.incarnation = starts.incarnation;
  start.age = std::max(now - starts.started_at, Duration::zero());
  return start;
}

/// Returns whether the announcement tells more than is known of the instance.
bool IsNews(const PeerStart& peer, const ProcessStart& start,
            TimePoint started_at) {
  if (!peer.incarnation) return true;
  // The message that took least time is the most exact. Of two processes the
  // later one is running.
  return peer.incarnation == start.incarnation ? started_at < peer.started_at
                                               : started_at > peer.started_at;
}

}  // namespace

std::vector<StartMessage> TakeDueStarts(ProcessStarts& starts,
                                        const QuotaMembers& members,
                                        TimePoint now) {
  std::vector<StartMessage> messages;
  const bool has_changed = AdoptMembers(starts, members);
  if (!starts.announced_at && !starts.peers.empty()) starts.announced_at = now;
  const bool repeats =
      starts.announced_at && now - *starts.announced_at < kRepeatTime;
  if (!repeats && !has_changed) return messages;
  const ProcessStart start = MakeStart(starts, members, now);
  for (auto& [name, it] : starts.peers) {
    const bool is_repeat_due = repeats && !it.has_answered && it.sent_at &&
                               now - *it.sent_at >= kRepeatInterval;
    if (it.sent_at && !is_repeat_due) continue;
    it.sent_at = now;
    messages.push_back({name, start});
  }
  return messages;
}

std::optional<StartMessage> HandleProcessStart(ProcessStarts& starts,
                                               const QuotaMembers& members,
                                               const ProcessStart& start,
                                               TimePoint now) {
  if (start.age < Duration::zero() || start.age > kMaxAge) return std::nullopt;
  // Adopted by TakeDueStarts, which sends to the instances that are new.
  const auto it = starts.peers.find(start.sender);
  if (it == starts.peers.end()) return std::nullopt;
  PeerStart& peer = it->second;
  const TimePoint started_at = now - start.age;
  if (IsNews(peer, start, started_at)) {
    peer.incarnation = start.incarnation;
    peer.started_at = started_at;
    starts.have_all_started.reset();
  }
  if (start.is_answer) {
    peer.has_answered = true;
    return std::nullopt;
  }
  StartMessage answer{start.sender, MakeStart(starts, members, now)};
  answer.start.is_answer = true;
  return answer;
}

bool HaveAllStarted(ProcessStarts& starts, const QuotaMembers& members) {
  // A new member counts once it has been sent this process's announcement.
  if (starts.members_version != members.version) return false;
  if (!starts.have_all_started) {
    const auto has_started = [&](const auto& it) {
      return it.second.incarnation &&
             it.second.started_at > starts.started_at - kConfirmationLife;
    };
    starts.have_all_started =
        !starts.peers.empty() && std::ranges::all_of(starts.peers, has_started);
  }
  return *starts.have_all_started;
}

}  // namespace ibisladder::limits
