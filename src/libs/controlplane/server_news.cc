#include "libs/controlplane/server_news.h"

#include <algorithm>

#include "libs/controlplane/plane.h"

namespace ibisladder::controlplane {
namespace {

/// A word is good for so long after the first-hand sight.
constexpr Duration kWordLifetime = Seconds(30);
/// More than the target's 8,200 servers; bounds what a faulty peer can fill.
constexpr std::size_t kMostServers = 16'384;
/// A newer first-hand sight is passed on when it is newer by this much.
constexpr Duration kRenewAfter = Seconds(10);

void Learn(Turn& turn, BackendServerId server, TimePoint seen_at) {
  auto& news = turn.plane.servers;
  if (news.leaving.size() >= kMostServers && !news.leaving.contains(server)) {
    return;
  }
  const auto [it, is_new] = news.leaving.try_emplace(server);
  auto& entry = it->second;
  if (is_new) {
    news.changed = true;
    Log(turn, LogEvent::kServerLeaving,
        {{"server", Text(server)}, {"state", "leaving"}});
  }
  if (is_new || seen_at > entry.seen_at + kRenewAfter) {
    entry.sends_left = RumorSends(turn.plane.membership);
    entry.seen_at = seen_at;
  }
}

/// Logs the servers whose words have expired, and forgets them.
bool ForgetExpired(Turn& turn) {
  return std::erase_if(turn.plane.servers.leaving, [&](const auto& it) {
           const bool expired = turn.now - it.second.seen_at >= kWordLifetime;
           if (expired) {
             Log(turn, LogEvent::kServerLeaving,
                 {{"server", Text(it.first)}, {"state", "expired"}});
           }
           return expired;
         }) > 0;
}

}  // namespace

void NoteServerLeaving(Turn& turn, BackendServerId server) {
  Learn(turn, server, turn.now);
}

void MergeLeavingServers(Turn& turn,
                         const std::vector<wire::LeavingServer>& servers) {
  for (const auto& it : servers) {
    const auto age = Millis(it.seen_ms_ago);
    if (age < kWordLifetime) Learn(turn, it.server, turn.now - age);
  }
}

std::vector<wire::LeavingServer> TakeLeavingServers(Turn& turn,
                                                    std::size_t limit) {
  std::vector<std::pair<std::uint32_t, BackendServerId>> waiting;
  for (const auto& [server, entry] : turn.plane.servers.leaving) {
    if (entry.sends_left > 0) waiting.emplace_back(entry.sends_left, server);
  }
  // The least sent ones first: a late word is not held up by old ones.
  std::sort(waiting.rbegin(), waiting.rend());
  if (waiting.size() > limit) waiting.resize(limit);
  std::vector<wire::LeavingServer> taken;
  for (const auto& [_, server] : waiting) {
    auto& entry = turn.plane.servers.leaving[server];
    --entry.sends_left;
    const auto age = ToMillis(turn.now - entry.seen_at);
    taken.push_back({server, static_cast<std::uint32_t>(age)});
  }
  return taken;
}

void UpdateServerNews(Turn& turn) {
  auto& news = turn.plane.servers;
  if (!ForgetExpired(turn) && !news.changed) return;
  news.changed = false;
  ReportServersLeaving tell;
  for (const auto& [server, _] : news.leaving) tell.servers.push_back(server);
  turn.actions.push_back(std::move(tell));
}

}  // namespace ibisladder::controlplane
