// Tracks the limits that servers name, and sends requests to such servers only
// with a permit of the server's keeper.
#include <array>
#include <cstdio>
#include <utility>

#include "libs/gateway/forwarder_state.h"

namespace ibisladder::gateway::Internal {
namespace {

/// Longer than an exchange between loaded instances of different zones.
constexpr Duration kPermitTimeout = Millis(100);
/// An older permit is not used: it may have waited in the socket while the
/// process stalled, and the keeper has given others since.
constexpr Duration kPermitLife = Millis(250);
/// How long a keeper that did not reply is not asked.
constexpr Duration kSilentKeeperPause = Seconds(1);
/// How long no permit is asked for after no keeper replied.
constexpr Duration kNoKeeperPause = Millis(500);
constexpr Duration kMinPermitWait = Millis(1);
constexpr Duration kMaxPermitWait = Seconds(60);
/// How long the end of a limit is told to instances that ask.
constexpr Duration kEndedLimitAge = Seconds(60);
/// Bounds the answer to an instance that asks.
constexpr std::size_t kMaxNews = 1000;

using Waits = std::array<Duration, routing::kPriorities>;

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

/// Returns whether the limit changed.
bool SetLimit(Context& context, ServiceState& service, BackendServerId id,
              KnownServer& server, const LimitKnowledge& known,
              const char* source) {
  const bool is_changed = server.limit.limit != known.limit;
  if (is_changed) {
    Log(context, LogEvent::kServerLimitChanged,
        {{"service", service.settings.name},
         {"server", server.entry.name},
         {"limit", FormatLimit(known.limit)},
         {"before", FormatLimit(server.limit.limit)},
         {"source", source}});
    routing::SetLimited(*service.router, id, known.limit);
    // Nobody has given permits before.
    if (!server.limit.limit) server.permits = {1, context.now};
  }
  server.limit = known;
  return is_changed;
}

struct FoundServer {
  ServiceState* service = nullptr;
  KnownServer* server = nullptr;
};

FoundServer FindServer(Forwarder& forwarder, BackendServerId id) {
  for (auto& [service_id, service] : forwarder.services) {
    const auto it = service.servers.find(id);
    if (it != service.servers.end()) return {&service, &it->second};
  }
  return {};
}

void Merge(Context& context, const LimitNews& news) {
  const auto known = KnowledgeOf(news, context.now);
  if (!known) return;
  const FoundServer it = FindServer(context.forwarder, news.server);
  if (it.server == nullptr || !IsNewer(*known, it.server->limit)) return;
  SetLimit(context, *it.service, news.server, *it.server, *known, "instance");
}

/// Returns this instance's rank as keeper of the server. Without a list of
/// instances it is the only one.
KeeperRank OwnRank(const Forwarder& forwarder, BackendServerId server) {
  const DirectoryState& directory = forwarder.directory_state;
  if (directory.members.empty()) return KeeperRank::kFirst;
  return RankOf(KeepersOf(server, directory.members), directory.self);
}

/// Decides as the server's keeper.
PermitReply Decide(Context& context, const PermitRequest& request) {
  PermitReply reply;
  reply.number = request.number;
  Merge(context, request.news);
  const FoundServer it = FindServer(context.forwarder, request.news.server);
  const KeeperRank rank = OwnRank(context.forwarder, request.news.server);
  if (it.server == nullptr || rank == KeeperRank::kNone) {
    reply.is_unknown = true;
    return reply;
  }
  KnownServer& server = *it.server;
  reply.news = MakeLimitNews(request.news.server, server.limit, context.now);
  reply.has_news = true;
  if (!server.limit.limit) {
    reply.is_granted = true;
    return reply;
  }
  PermitBucket& bucket =
      rank == KeeperRank::kFirst ? server.permits : server.fallback_permits;
  const auto waits = TakePermit(bucket, *server.limit.limit, rank,
                                request.priority, context.now);
  reply.is_granted = !waits.has_value();
  if (waits) reply.waits = *waits;
  return reply;
}

void HandleReply(Context& context, const PermitReply& reply);

/// Asks a keeper, or decides if this instance is the keeper.
void AskKeeper(Context& context, std::uint64_t number,
               const std::string& keeper) {
  Forwarder& forwarder = context.forwarder;
  PermitWait& wait = forwarder.permit_waits.at(number);
  wait.keeper = keeper;
  wait.asked_at = context.now;
  const FoundServer it = FindServer(forwarder, wait.dispatch.server);
  PermitRequest request;
  request.number = number;
  request.priority = wait.priority;
  request.news.server = wait.dispatch.server;
  if (it.server != nullptr) {
    request.news =
        MakeLimitNews(wait.dispatch.server, it.server->limit, context.now);
  }
  if (keeper.empty() || keeper == forwarder.directory_state.self) {
    HandleReply(context, Decide(context, request));
  } else {
    forwarder.actions.emplace_back(AskPermit{keeper, request});
  }
}

bool IsSilent(const Forwarder& forwarder, const std::string& keeper,
              TimePoint now) {
  const auto it = forwarder.silent_keepers.find(keeper);
  return it != forwarder.silent_keepers.end() && now < it->second;
}

/// Asks the fallback keeper in place of the first one. Returns false if that
/// has been done, or there is none.
bool AskFallback(Context& context, std::uint64_t number) {
  PermitWait& wait = context.forwarder.permit_waits.at(number);
  const Keepers keepers = KeepersOf(wait.dispatch.server,
                                    context.forwarder.directory_state.members);
  const bool may_ask =
      !keepers.fallback.empty() && wait.keeper == keepers.first &&
      !IsSilent(context.forwarder, keepers.fallback, context.now);
  if (may_ask) AskKeeper(context, number, keepers.fallback);
  return may_ask;
}

/// Ends the wait of a call for a permit. Returns none if the call has ended.
std::optional<PermitWait> TakeWait(Forwarder& forwarder, std::uint64_t number) {
  const auto it = forwarder.permit_waits.find(number);
  if (it == forwarder.permit_waits.end()) return std::nullopt;
  PermitWait wait = std::move(it->second);
  forwarder.permit_waits.erase(it);
  if (const auto call = forwarder.calls.find(wait.call);
      call != forwarder.calls.end()) {
    call->second.permit = 0;
  }
  return wait;
}

void Deny(Context& context, std::uint64_t number, const Waits& waits,
          const char* reason) {
  Forwarder& forwarder = context.forwarder;
  const auto wait = TakeWait(forwarder, number);
  if (!wait) return;
  ++forwarder.counters.permits[reason];
  ++forwarder.calls.at(wait->call).denials;
  std::array<TimePoint, routing::kPriorities> next{};
  for (std::size_t i = 0; i < next.size(); ++i) {
    next[i] =
        context.now + std::clamp(waits[i], kMinPermitWait, kMaxPermitWait);
  }
  const ServiceState& service = forwarder.services.at(wait->service);
  routing::PermitDenied(*service.router, wait->dispatch.server, next);
  const auto server = service.servers.find(wait->dispatch.server);
  const Duration own_wait =
      next[static_cast<std::size_t>(wait->priority)] - context.now;
  Log(context, LogEvent::kPermitDenied,
      {{"request", forwarder.calls.at(wait->call).request->request_id},
       {"server", server == service.servers.end() ? "unlisted server"
                                                  : server->second.entry.name},
       {"reason", reason},
       {"wait_ms", FormatMillis(own_wait)}});
  PlaceAgain(context, wait->call);
}

Waits EqualWaits(Duration wait) {
  Waits waits;
  waits.fill(wait);
  return waits;
}

void Grant(Context& context, std::uint64_t number) {
  Forwarder& forwarder = context.forwarder;
  const auto wait = TakeWait(forwarder, number);
  if (!wait) return;
  ++forwarder.counters.permits["granted"];
  const ServiceState& service = forwarder.services.at(wait->service);
  const auto server = service.servers.find(wait->dispatch.server);
  const bool is_usable =
      server != service.servers.end() && !server->second.entry.draining &&
      !server->second.replaced && !IsLeaving(forwarder, server->first) &&
      !IsPaused(forwarder, server->first, context.now);
  if (is_usable) {
    Send(context, wait->call, wait->dispatch);
    return;
  }
  routing::CancelDispatch(*service.router, wait->dispatch.server);
  PlaceAgain(context, wait->call);
}

void HandleReply(Context& context, const PermitReply& reply) {
  Forwarder& forwarder = context.forwarder;
  if (reply.has_news) Merge(context, reply.news);
  const auto it = forwarder.permit_waits.find(reply.number);
  if (it == forwarder.permit_waits.end()) return;
  const PermitWait& wait = it->second;
  forwarder.silent_keepers.erase(wait.keeper);
  if (reply.is_unknown) {
    if (AskFallback(context, reply.number)) return;
    Deny(context, reply.number, EqualWaits(kNoKeeperPause), "not_keeper");
  } else if (!reply.is_granted) {
    Deny(context, reply.number, reply.waits, "limit");
  } else if (context.now - wait.asked_at > kPermitLife) {
    Deny(context, reply.number, EqualWaits(kMinPermitWait), "late_reply");
  } else {
    Grant(context, reply.number);
  }
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
  const LimitKnowledge known{answer.limit, context.now};
  if (SetLimit(context, service, server, it->second, known, "answer")) {
    context.forwarder.actions.emplace_back(
        ShareLimits{{MakeLimitNews(server, known, context.now)}});
  }
}

void AwaitPermit(Context& context, CallId id,
                 const routing::Dispatch& dispatch) {
  Forwarder& forwarder = context.forwarder;
  Call& call = forwarder.calls.at(id);
  const std::uint64_t number = ++forwarder.last_permit;
  call.is_queued = false;
  call.permit = number;
  PermitWait& wait = forwarder.permit_waits[number];
  wait.call = id;
  wait.service = call.service;
  wait.dispatch = dispatch;
  wait.priority = call.priority;
  const Keepers keepers =
      KeepersOf(dispatch.server, forwarder.directory_state.members);
  const bool skips_first = !keepers.fallback.empty() &&
                           IsSilent(forwarder, keepers.first, context.now);
  AskKeeper(context, number, skips_first ? keepers.fallback : keepers.first);
}

void ReleasePermit(Context& context, CallId id) {
  Forwarder& forwarder = context.forwarder;
  const auto wait = TakeWait(forwarder, forwarder.calls.at(id).permit);
  if (!wait) return;
  routing::CancelDispatch(*forwarder.services.at(wait->service).router,
                          wait->dispatch.server);
}

void CheckPermits(Context& context) {
  Forwarder& forwarder = context.forwarder;
  std::erase_if(forwarder.silent_keepers,
                [&](const auto& it) { return context.now >= it.second; });
  std::vector<std::uint64_t> late;
  for (const auto& [number, wait] : forwarder.permit_waits) {
    if (context.now - wait.asked_at >= kPermitTimeout) late.push_back(number);
  }
  for (const std::uint64_t number : late) {
    const auto it = forwarder.permit_waits.find(number);
    if (it == forwarder.permit_waits.end()) continue;
    forwarder.silent_keepers[it->second.keeper] =
        context.now + kSilentKeeperPause;
    if (AskFallback(context, number)) continue;
    Deny(context, number, EqualWaits(kNoKeeperPause), "no_reply");
  }
}

void HandlePermitRequest(Context& context, const Endpoint& peer,
                         const PermitRequest& request) {
  context.forwarder.actions.emplace_back(
      AnswerPermit{peer, Decide(context, request)});
}

void HandlePermitReply(Context& context, const PermitReply& reply) {
  HandleReply(context, reply);
}

void MergeNews(Context& context, std::span<const LimitNews> news) {
  for (const LimitNews& it : news) Merge(context, it);
}

std::vector<LimitNews> CollectNews(const Forwarder& forwarder, TimePoint now) {
  std::vector<LimitNews> news;
  for (const auto& [service_id, service] : forwarder.services) {
    for (const auto& [id, server] : service.servers) {
      const LimitKnowledge& known = server.limit;
      const bool is_useful =
          known.heard_at &&
          (known.limit || now - *known.heard_at < kEndedLimitAge);
      if (is_useful && news.size() < kMaxNews) {
        news.push_back(MakeLimitNews(id, known, now));
      }
    }
  }
  return news;
}

}  // namespace ibisladder::gateway::Internal
