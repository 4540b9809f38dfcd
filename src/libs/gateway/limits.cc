// Tracks the limits that servers name.
#include <array>
#include <cstdio>

#include "libs/gateway/forwarder_state.h"

namespace ibisladder::gateway::Internal {
namespace {

std::string FormatLimit(const std::optional<RequestsPerSecond>& limit) {
  if (!limit) return "none";
  std::array<char, 32> buf{};
  const int n = std::snprintf(buf.data(), buf.size(), "%.6g", limit->value());
  return std::string(buf.data(), static_cast<std::size_t>(n));
}

/// Logs each unreadable text of a server once.
void LogUnreadable(Context& context, const ServiceState& service,
                   KnownServer& server, const std::string& text) {
  if (text.empty() || text == server.unreadable_limit) return;
  server.unreadable_limit = text;
  Log(context, LogEvent::kServerLimitInvalid,
      {{"service", service.settings.name},
       {"server", server.entry.name},
       {"value", text}});
}

void SetLimit(Context& context, const ServiceState& service,
              KnownServer& server, const LimitKnowledge& known,
              const char* source) {
  if (server.limit.limit != known.limit) {
    Log(context, LogEvent::kServerLimitChanged,
        {{"service", service.settings.name},
         {"server", server.entry.name},
         {"limit", FormatLimit(known.limit)},
         {"before", FormatLimit(server.limit.limit)},
         {"source", source}});
  }
  server.limit = known;
}

}  // namespace

void RecordLimit(Context& context, ServiceState& service,
                 BackendServerId server, const ServerAnswer& answer,
                 detection::AttemptEnd end) {
  const auto it = service.servers.find(server);
  if (it == service.servers.end() || answer.wrong_server) return;
  LogUnreadable(context, service, it->second, answer.unreadable_limit);
  const bool ends_limit =
      end == detection::AttemptEnd::kOk && it->second.limit.limit;
  if (!answer.limit && !ends_limit) return;
  SetLimit(context, service, it->second, {answer.limit, context.now}, "answer");
}

}  // namespace ibisladder::gateway::Internal
