#include "libs/controlplane/leaving_servers.h"

#include <algorithm>

#include "libs/controlplane/plane.h"

namespace ibisladder::controlplane {
namespace {

/// An entry expires this long after `seen_at`, which may be up to kMinRenewal
/// before the last time at which the server was seen leaving.
constexpr Duration kEntryLifetime = Seconds(30);
/// More than the 8,200 backend servers that a fleet is designed for; bounds the
/// entries that a faulty peer can add.
constexpr std::size_t kMaxServers = 16'384;
/// A newer observation renews an entry, and is passed on again, only if it is
/// newer by more than this.
constexpr Duration kMinRenewal = Seconds(10);

void AddLeavingServer(Context& context, BackendServerId server,
                      TimePoint seen_at) {
  auto& leaving_servers = context.plane.leaving_servers;
  if (leaving_servers.entries.size() >= kMaxServers &&
      !leaving_servers.entries.contains(server)) {
    return;
  }
  const auto [it, is_new] = leaving_servers.entries.try_emplace(server);
  auto& entry = it->second;
  if (is_new) {
    leaving_servers.changed = true;
    Log(context, LogEvent::kServerLeaving,
        {{"server", Text(server)}, {"state", "leaving"}});
  }
  if (is_new || seen_at > entry.seen_at + kMinRenewal) {
    entry.sends_left = MaxSendsPerUpdate(context.plane.membership);
    entry.seen_at = seen_at;
  }
}

/// Logs and removes expired entries. Returns whether there were any.
bool RemoveExpired(Context& context) {
  return std::erase_if(
             context.plane.leaving_servers.entries, [&](const auto& it) {
               const bool expired =
                   context.now - it.second.seen_at >= kEntryLifetime;
               if (expired) {
                 Log(context, LogEvent::kServerLeaving,
                     {{"server", Text(it.first)}, {"state", "expired"}});
               }
               return expired;
             }) > 0;
}

}  // namespace

void RecordLeavingServer(Context& context, BackendServerId server) {
  AddLeavingServer(context, server, context.now);
}

void MergeLeavingServers(Context& context,
                         const std::vector<wire::LeavingServer>& servers) {
  for (const auto& it : servers) {
    const auto age = Millis(it.seen_ms_ago);
    if (age < kEntryLifetime)
      AddLeavingServer(context, it.server, context.now - age);
  }
}

std::vector<wire::LeavingServer> TakeLeavingServers(Context& context,
                                                    std::size_t limit) {
  std::vector<std::pair<std::uint32_t, BackendServerId>> waiting;
  for (const auto& [server, entry] : context.plane.leaving_servers.entries) {
    if (entry.sends_left > 0) waiting.emplace_back(entry.sends_left, server);
  }
  // The least sent ones first, so that old entries do not delay new ones.
  std::sort(waiting.rbegin(), waiting.rend());
  if (waiting.size() > limit) waiting.resize(limit);
  std::vector<wire::LeavingServer> taken;
  for (const auto& [_, server] : waiting) {
    auto& entry = context.plane.leaving_servers.entries[server];
    --entry.sends_left;
    const auto age = ToMillis(context.now - entry.seen_at);
    taken.push_back({server, static_cast<std::uint32_t>(age)});
  }
  return taken;
}

void UpdateLeavingServers(Context& context) {
  auto& leaving_servers = context.plane.leaving_servers;
  if (!RemoveExpired(context) && !leaving_servers.changed) return;
  leaving_servers.changed = false;
  ReportServersLeaving report;
  for (const auto& [server, _] : leaving_servers.entries)
    report.servers.push_back(server);
  context.actions.push_back(std::move(report));
}

}  // namespace ibisladder::controlplane
