// What servers ask for in their answers: no new requests since they leave, or
// none for a while.
#include <algorithm>
#include <utility>

#include "libs/gateway/forwarder_state.h"

namespace ibisladder::gateway::Internal {
namespace {

/// How long the notice of a server is remembered. Servers that leave end
/// earlier.
constexpr Duration kNoticeMemory = Seconds(1800);
constexpr std::size_t kMaxNotices = 2000;

ServiceState* FindService(Forwarder& forwarder, BackendServerId server) {
  for (auto& [id, service] : forwarder.services) {
    if (service.servers.contains(server)) return &service;
  }
  return nullptr;
}

ServerNotice& NoticeOf(Context& context, BackendServerId server) {
  auto& notices = context.forwarder.notices;
  if (!notices.contains(server) && notices.size() >= kMaxNotices) {
    notices.erase(std::ranges::min_element(
        notices, {}, [](const auto& it) { return it.second.noted_at; }));
  }
  ServerNotice& notice = notices[server];
  notice.noted_at = context.now;
  return notice;
}

/// Returns whether that was not known.
bool MarkLeaving(Context& context, BackendServerId server, const char* source) {
  ServerNotice& notice = NoticeOf(context, server);
  if (std::exchange(notice.is_leaving, true)) return false;
  ServiceState* service = FindService(context.forwarder, server);
  if (service == nullptr) return true;
  Log(context, LogEvent::kServerLeaving,
      {{"service", service->settings.name},
       {"server", service->servers.at(server).entry.name},
       {"source", source}});
  SetDetectorServers(context, *service);
  RefreshRouter(context, *service);
  return true;
}

void Pause(Context& context, BackendServerId server, Duration time) {
  ServerNotice& notice = NoticeOf(context, server);
  const TimePoint until = context.now + time;
  if (until <= notice.paused_until) return;
  const bool was_paused = notice.paused_until > context.now;
  notice.paused_until = until;
  ServiceState* service = FindService(context.forwarder, server);
  if (service == nullptr || was_paused) return;
  Log(context, LogEvent::kServerPaused,
      {{"service", service->settings.name},
       {"server", service->servers.at(server).entry.name},
       {"paused_ms", FormatMillis(time)}});
  RefreshRouter(context, *service);
}

/// Logs each unreadable text of a server once.
void LogUnreadable(Context& context, BackendServerId server,
                   const std::string& text) {
  ServerNotice& notice = NoticeOf(context, server);
  if (notice.unreadable == text) return;
  notice.unreadable = text;
  const ServiceState* service = FindService(context.forwarder, server);
  if (service == nullptr) return;
  Log(context, LogEvent::kServerNoticeInvalid,
      {{"service", service->settings.name},
       {"server", service->servers.at(server).entry.name},
       {"value", text}});
}

}  // namespace

void RecordNotices(Context& context, BackendServerId server,
                   const ServerAnswer& answer) {
  if (answer.wrong_server) return;
  if (!answer.unreadable_notice.empty())
    LogUnreadable(context, server, answer.unreadable_notice);
  if (answer.pause) Pause(context, server, *answer.pause);
  if (answer.is_leaving && MarkLeaving(context, server, "answer")) {
    context.forwarder.actions.emplace_back(ShareLeaving{{server}});
  }
}

void MergeLeavingServers(Context& context,
                         std::span<const BackendServerId> servers) {
  for (const BackendServerId it : servers) MarkLeaving(context, it, "instance");
}

std::vector<BackendServerId> CollectLeaving(const Forwarder& forwarder) {
  std::vector<BackendServerId> servers;
  for (const auto& [id, notice] : forwarder.notices) {
    if (notice.is_leaving) servers.push_back(id);
  }
  return servers;
}

bool IsLeaving(const Forwarder& forwarder, BackendServerId server) {
  const auto it = forwarder.notices.find(server);
  return it != forwarder.notices.end() && it->second.is_leaving;
}

bool IsPaused(const Forwarder& forwarder, BackendServerId server,
              TimePoint now) {
  const auto it = forwarder.notices.find(server);
  return it != forwarder.notices.end() && now < it->second.paused_until;
}

void UpdateNotices(Context& context, TimePoint last_update) {
  std::erase_if(context.forwarder.notices, [&](const auto& it) {
    return context.now - it.second.noted_at > kNoticeMemory &&
           context.now >= it.second.paused_until;
  });
  for (const auto& [id, notice] : context.forwarder.notices) {
    const bool has_ended =
        notice.paused_until > last_update && notice.paused_until <= context.now;
    ServiceState* service = FindService(context.forwarder, id);
    if (has_ended && service != nullptr) RefreshRouter(context, *service);
  }
}

}  // namespace ibisladder::gateway::Internal
