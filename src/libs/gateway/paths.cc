// Finds out whether this instance reaches the servers of its services, and
// tells the other instances.
#include <algorithm>
#include <utility>

#include "libs/gateway/forwarder_state.h"

namespace ibisladder::gateway::Internal {
namespace {

/// A change is told several times, since datagrams may be lost, and lost paths
/// now and then, for instances that have started since.
constexpr int kChangeShares = 3;
constexpr Duration kChangeShareInterval = Millis(500);
constexpr Duration kShareInterval = Seconds(10);
/// Time without any answer after which an attempt counts as unanswered, as a
/// fraction of the route's target latency.
constexpr int kSilenceDivisor = 2;

/// Returns the servers that may get requests, in random order.
std::vector<BackendServerId> TestableServers(Context& context,
                                             const ServiceState& service) {
  Forwarder& forwarder = context.forwarder;
  std::vector<BackendServerId> result;
  for (const auto& [id, server] : service.servers) {
    const bool is_open = !server.entry.draining && !server.replaced &&
                         !IsLeaving(forwarder, id) &&
                         !IsPaused(forwarder, id, context.now);
    if (is_open) result.push_back(id);
  }
  for (std::size_t i = result.size(); i > 1; --i) {
    std::swap(result[i - 1], result[UniformBelow(forwarder.random, i)]);
  }
  return result;
}

void TestIfDue(Context& context, ServiceState& service) {
  PathState& path = service.path;
  const bool may_be_due =
      path.lost_since || path.is_suspected || !path.failed.empty();
  if (!may_be_due || !service.is_configured) return;
  const auto servers = TestableServers(context, service);
  if (!IsPathTestDue(path, servers.size(), context.now)) return;
  const std::size_t n = PathTestSize(path, servers.size());
  const std::set<BackendServerId> tested(
      servers.begin(), servers.begin() + static_cast<std::ptrdiff_t>(n));
  StartPathTest(path, tested, !path.lost_since, context.now);
  for (const BackendServerId it : tested) {
    context.forwarder.actions.emplace_back(
        TestPath{it, service.servers.at(it).entry.endpoint});
  }
}

void ShareLostPaths(Context& context) {
  Forwarder& forwarder = context.forwarder;
  std::vector<ServiceId> lost;
  for (const auto& [id, service] : forwarder.services) {
    if (service.path.lost_since) lost.push_back(id);
  }
  forwarder.paths_shared_at = context.now;
  forwarder.path_shares_left = std::max(forwarder.path_shares_left - 1, 0);
  forwarder.actions.emplace_back(SharePaths{std::move(lost)});
}

void ShareChangedPaths(Context& context) {
  context.forwarder.path_shares_left = kChangeShares;
  ShareLostPaths(context);
}

void MoveCalls(Context& context, ServiceId service) {
  std::vector<CallId> calls;
  for (const auto& [id, call] : context.forwarder.calls) {
    if (call.service == service) calls.push_back(id);
  }
  std::ranges::sort(calls);
  for (const CallId it : calls) MoveToPeer(context, it);
}

void HandleLostPath(Context& context, ServiceId id, ServiceState& service) {
  Forwarder& forwarder = context.forwarder;
  Log(context, LogEvent::kPathLost,
      {{"service", service.settings.name},
       {"failed_servers", std::to_string(service.path.failed.size())},
       {"servers", std::to_string(service.servers.size())},
       {"silent_ms", FormatMillis(context.now - service.path.answered_at)}});
  // When the path is back, the servers may have closed them unnoticed.
  for (const auto& [server, known] : service.servers) {
    forwarder.actions.emplace_back(CloseIdleConnections{server});
  }
  ShareChangedPaths(context);
  for (auto& [other_id, other] : forwarder.services) {
    if (other_id == id) continue;
    SuspectPath(other.path, context.now);
    TestIfDue(context, other);
  }
  MoveCalls(context, id);
}

void HandleRestoredPath(Context& context, ServiceState& service,
                        Duration lost_for) {
  Log(context, LogEvent::kPathRestored,
      {{"service", service.settings.name},
       {"lost_ms", FormatMillis(lost_for)}});
  routing::ForgetFailures(*service.router);
  ShareChangedPaths(context);
}

/// Counts attempts that have been in flight for long without an answer of any
/// server since they were sent.
void RecordSilentAttempts(Context& context) {
  Forwarder& forwarder = context.forwarder;
  for (const auto& [id, attempt] : forwarder.attempts) {
    if (attempt.is_streaming || !attempt.peer.empty()) continue;
    const auto call = forwarder.calls.find(attempt.call);
    if (call == forwarder.calls.end()) continue;
    PathState& path = forwarder.services.at(attempt.service).path;
    const Duration bound = call->second.route.target_latency / kSilenceDivisor;
    const bool is_silent = path.answered_at < attempt.sent_at &&
                           context.now - attempt.sent_at > bound;
    if (is_silent) RecordPathFailure(path, attempt.server);
  }
}

}  // namespace

void RecordFailureOnPath(Context& context, ServiceState& service,
                         BackendServerId server) {
  RecordPathFailure(service.path, server);
  TestIfDue(context, service);
}

void CheckPaths(Context& context) {
  Forwarder& forwarder = context.forwarder;
  RecordSilentAttempts(context);
  bool has_lost = false;
  for (auto& [id, service] : forwarder.services) {
    TestIfDue(context, service);
    has_lost = has_lost || service.path.lost_since.has_value();
  }
  const bool is_change = forwarder.path_shares_left > 0;
  const Duration interval = is_change ? kChangeShareInterval : kShareInterval;
  const bool is_due = (is_change || has_lost) &&
                      context.now - forwarder.paths_shared_at >= interval;
  if (is_due) ShareLostPaths(context);
}

void HandlePathTest(Context& context, BackendServerId server, bool is_open) {
  for (auto& [id, service] : context.forwarder.services) {
    const auto lost_since = service.path.lost_since;
    switch (EndPathTest(service.path, server, is_open, context.now)) {
      case PathChange::kLost:
        HandleLostPath(context, id, service);
        break;
      case PathChange::kRestored:
        HandleRestoredPath(context, service, context.now - *lost_since);
        break;
      case PathChange::kNone:
        break;
    }
  }
}

}  // namespace ibisladder::gateway::Internal
