// Services and their backend servers, as described by the configuration, the
// fleet and the servers themselves.
#include <algorithm>
#include <string_view>

#include "libs/callerpath/path_state.h"

namespace ibisladder::callerpath::Internal {
namespace {

bool HasIdempotentRoute(const declarations::Configuration& configuration,
                        std::string_view service) {
  const auto& routes = configuration.declarations.routes;
  return std::any_of(routes.begin(), routes.end(), [&](const auto& it) {
    return it.service == service &&
           it.repeat == declarations::RepeatRule::kIdempotent;
  });
}

/// Known servers keep their warm-up; servers of a new service count as warm.
void SetServers(Context& context, ServiceState& service, bool is_new_service) {
  CallerPath& path = context.path;
  const auto known = std::move(service.servers);
  service.servers.clear();
  const Duration warm_up = service.declared->warm_up;
  for (const auto& it : service.declared->servers) {
    const BackendServerId id =
        MakeBackendServerId(service.declared->name, it.name);
    Server server;
    server.declared = &it;
    server.warm_since = is_new_service ? context.now - warm_up : context.now;
    if (const auto old = known.find(id); old != known.end()) {
      server.warm_since = old->second.warm_since;
    }
    // The server may have been reported as leaving before it was declared here.
    server.is_leaving =
        path.reported_leaving.contains(id) || path.seen_draining.contains(id);
    service.servers.emplace(id, server);
    path.service_of_server[id] = MakeServiceId(service.declared->name);
  }
}

void InstallService(Context& context, const declarations::Service& declared) {
  CallerPath& path = context.path;
  const bool is_idempotent =
      HasIdempotentRoute(*path.configuration, declared.name);
  ServiceState& service = path.services[MakeServiceId(declared.name)];
  const bool is_new = service.declared == nullptr;
  service.declared = &declared;
  if (is_new) {
    service.detector =
        detection::MakeDetector(declared, is_idempotent, context.now);
    service.router =
        routing::MakeRouter(declared, path.settings.zone, context.now);
  } else {
    detection::UpdateSettings(*service.detector, declared, is_idempotent);
    routing::UpdateSettings(*service.router, declared);
  }
  SetServers(context, service, is_new);
}

/// Removes services that are no longer declared. Queued requests are ended;
/// dispatched requests finish with their attempts.
void RemoveServices(Context& context) {
  CallerPath& path = context.path;
  std::vector<ServiceId> removed;
  for (const auto& [id, service] : path.services) {
    if (!path.configuration->services.contains(id)) removed.push_back(id);
  }
  for (const ServiceId id : removed) {
    std::vector<ExecutionId> waiting;
    for (const auto& [execution_id, execution] : path.executions) {
      if (execution.service == id && !execution.attempt)
        waiting.push_back(execution_id);
    }
    for (const ExecutionId it : waiting) {
      GiveUp(context, it, ResultCode::kNoServerAvailable);
    }
    path.services.erase(id);
  }
}

std::uint32_t CountEras(const CallerPath& path, Duration time) {
  const auto n = time / path.settings.era_length;
  return static_cast<std::uint32_t>(n) + 1;
}

/// Updates the longest deadline and the eras of the request table. A ticket
/// must stay valid while callers keep it and then retry; a record must be kept
/// as long as its request may take.
void UpdateTimeLimits(CallerPath& path) {
  const auto& declared = path.configuration->declarations;
  path.longest_deadline = Duration::zero();
  for (const auto& it : declared.services) {
    path.longest_deadline = std::max(path.longest_deadline, it.max_deadline);
  }
  const std::uint32_t accepted =
      CountEras(path, declared.keep_addresses + path.longest_deadline);
  requests::SetWindow(path.table,
                      std::max(path.settings.accepted_eras, accepted),
                      CountEras(path, path.longest_deadline + kOutcomeGrace));
}

bool IsClosed(const Server& server) {
  return server.is_leaving || server.declared->drained;
}

std::vector<routing::Candidate> MakeCandidates(const ServiceState& service) {
  std::vector<routing::Candidate> candidates;
  for (const auto& [id, server] : service.servers) {
    routing::Candidate it;
    it.id = id;
    it.zone = server.declared->zone;
    it.slots = server.declared->slots;
    it.max_connections = server.declared->max_connections;
    it.state = detection::StateOf(*service.detector, id);
    it.closed = IsClosed(server);
    it.warm_since = server.warm_since;
    candidates.push_back(std::move(it));
  }
  return candidates;
}

void SetMembers(const Context& context, ServiceState& service) {
  std::vector<detection::Member> members;
  for (const BackendServerId id : service.subset) {
    const Server& server = service.servers.at(id);
    members.push_back({id, server.declared->slots, IsClosed(server)});
  }
  detection::SetMembers(*service.detector, members, context.now);
}

/// Sets whether a server is leaving; returns whether that changed.
bool MarkLeaving(Context& context, BackendServerId id, bool is_leaving) {
  CallerPath& path = context.path;
  const auto it = path.service_of_server.find(id);
  if (it == path.service_of_server.end()) return false;
  const auto service = path.services.find(it->second);
  if (service == path.services.end()) return false;
  const auto found = service->second.servers.find(id);
  if (found == service->second.servers.end()) return false;
  Server& server = found->second;
  if (server.is_leaving == is_leaving) return false;
  server.is_leaving = is_leaving;
  if (!is_leaving) server.warm_since = context.now;
  Log(context, LogEvent::kServerLeaving,
      {{"service", service->second.declared->name},
       {"server", server.declared->name},
       {"leaving", is_leaving ? "yes" : "no"}});
  RefreshServers(context, service->second);
  return true;
}

}  // namespace

std::size_t FleetSize(const CallerPath& path) {
  return std::max<std::size_t>(path.fleet.size(), 1);
}

std::size_t UsersOfServer(const CallerPath& path, const ServiceState& service) {
  return routing::InstancesPerServer(
      FleetSize(path), service.servers.size(),
      path.configuration->declarations.subset_size);
}

void RefreshServers(Context& context, ServiceState& service) {
  auto candidates = MakeCandidates(service);
  service.subset = routing::ChooseSubset(
      candidates, context.path.settings.instance, context.path.settings.zone,
      context.path.configuration->declarations.subset_size);
  SetMembers(context, service);
  for (auto& it : candidates) {
    it.state = detection::StateOf(*service.detector, it.id);
    if (std::find(service.subset.begin(), service.subset.end(), it.id) ==
        service.subset.end()) {
      it.closed = true;
    }
  }
  routing::SetCandidates(*service.router, candidates,
                         UsersOfServer(context.path, service), context.now);
}

void RefreshAllServers(Context& context) {
  if (!context.path.configuration) return;
  for (auto& [id, service] : context.path.services) {
    RefreshServers(context, service);
  }
}

void EvaluateService(Context& context, ServiceState& service) {
  const auto changes =
      detection::Evaluate(*service.detector, context.now, context.random);
  if (changes.empty()) return;
  for (const auto& it : changes) {
    const auto server = service.servers.find(it.server);
    if (server == service.servers.end()) continue;
    if (it.to == detection::ServerState::kEjected) {
      ++context.path.counters.ejections;
    }
    if (it.to == detection::ServerState::kHealthy) {
      server->second.warm_since = context.now;
    }
    Log(context, detection::EventOf(it.to),
        {{"service", service.declared->name},
         {"server", server->second.declared->name},
         {"reason", it.reason}});
  }
  RefreshServers(context, service);
}

void SetDraining(Context& context, BackendServerId server, bool is_draining) {
  CallerPath& path = context.path;
  if (is_draining) {
    path.seen_draining[server] = context.now;
    MarkLeaving(context, server, true);
    return;
  }
  path.seen_draining.erase(server);
  if (!path.reported_leaving.contains(server)) {
    MarkLeaving(context, server, false);
  }
}

void HandleConfigurationInstalled(Context& context,
                                  const ConfigurationInstalled& event) {
  CallerPath& path = context.path;
  // Versions only grow.
  if (path.configuration &&
      event.configuration->version <= path.configuration->version) {
    return;
  }
  // Services point into the configuration: the old one is kept until all of
  // them point into the new one.
  const declarations::ConfigurationPtr old = path.configuration;
  path.configuration = event.configuration;
  path.service_of_server.clear();
  RemoveServices(context);
  for (const auto& it : path.configuration->declarations.services) {
    InstallService(context, it);
  }
  UpdateTimeLimits(path);
  RefreshAllServers(context);
  ApplyQuotas(context);
  Log(context, LogEvent::kConfigurationInstalled,
      {{"version", std::to_string(path.configuration->version.value())}});
}

void HandleFleetChanged(Context& context, const FleetChanged& event) {
  const std::size_t before = FleetSize(context.path);
  context.path.fleet = event.members;
  SetQuotaMembers(context, event.is_complete);
  if (FleetSize(context.path) != before) RefreshAllServers(context);
}

void HandleServersLeaving(Context& context, const ServersLeaving& event) {
  CallerPath& path = context.path;
  const std::set<BackendServerId> reported(event.servers.begin(),
                                           event.servers.end());
  const auto before = std::exchange(path.reported_leaving, reported);
  for (const BackendServerId it : reported) MarkLeaving(context, it, true);
  for (const BackendServerId it : before) {
    if (!reported.contains(it) && !path.seen_draining.contains(it)) {
      MarkLeaving(context, it, false);
    }
  }
}

void HandlePeerEvidence(Context& context, const PeerEvidence& event) {
  std::map<ServiceId, std::vector<detection::Digest>> by_service;
  for (const auto& it : event.digests) by_service[it.service].push_back(it);
  for (const auto& [id, digests] : by_service) {
    const auto it = context.path.services.find(id);
    if (it == context.path.services.end()) continue;
    detection::MergePeerDigests(*it->second.detector, event.peer, digests,
                                context.now);
  }
}

}  // namespace ibisladder::callerpath::Internal
