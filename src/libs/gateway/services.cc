// Manages services and their servers: settings, lists, detection states and the
// exchange of evidence.
#include <algorithm>
#include <utility>

#include "libs/gateway/forwarder_state.h"

namespace ibisladder::gateway::Internal {
namespace {

/// Time over which a new server's fraction of the requests grows. Servers
/// report a warm-up of about three seconds.
constexpr Duration kWarmUp = Seconds(3);
/// Maximum number of unreadable items that are logged of each configuration.
constexpr std::size_t kMaxLoggedProblems = 16;
/// At-most-once requests are sent to a server only after this time on trial
/// (see IsOnTrial), or if the other servers are busy or many requests go
/// unserved. Failures last about 9 s, and an ejection of 2 to 4 s precedes the
/// trial.
constexpr Duration kAtMostOnceTrialDelay = Seconds(5);

/// Answers usually take the target latency divided by this.
constexpr int kExpectedLatencyDivisor = 3;

/// Servers fail for seconds only. They are ejected quickly, and soon tried
/// again with any request, not just idempotent ones.
detection::DetectorTuning MakeDetectorTuning(Duration target_latency) {
  detection::DetectorTuning tuning;
  tuning.expected_latency = target_latency / kExpectedLatencyDivisor;
  tuning.first_interval = Seconds(2);
  tuning.max_interval = Seconds(4);
  tuning.interval_jitter = 0.5;
  tuning.passes_to_restore = 2;
  tuning.min_threshold = 5;
  tuning.answered_peer_cap = 1.25F;
  tuning.peers_affect_probation = true;
  tuning.trials_allow_any_request = true;
  tuning.service_score_counts_peers = false;
  tuning.counts_warming_capacity = true;
  tuning.weighs_answered_failures = true;
  tuning.records_unfinished_latencies = true;
  // Within a second, several instances notice that an answer is overdue, and
  // probes would occupy the server's slots.
  tuning.probe_suspects = false;
  return tuning;
}

routing::ChoiceSettings MakeChoiceSettings(const Forwarder& forwarder,
                                           const ServiceState& service) {
  routing::ChoiceSettings choice;
  choice.learns_from_servers = forwarder.has_competing_callers;
  choice.coordinates_trials = forwarder.has_competing_callers;
  choice.has_idempotent_route = service.has_idempotent_route;
  choice.trial_spacing = 2;
  choice.trials_allow_any_request = true;
  choice.at_most_once_trial_delay = kAtMostOnceTrialDelay;
  return choice;
}

declarations::Service MakeServiceSettings(const Forwarder& forwarder,
                                          const ServiceConfig& declared) {
  declarations::Service settings;
  settings.name = declared.name;
  settings.floor_percent = forwarder.settings.floor_percent;
  settings.false_ejections_per_server_day =
      forwarder.settings.false_ejections_per_server_day;
  settings.warm_up = kWarmUp;
  settings.queue_limit = forwarder.settings.queue_limit;
  settings.health_path = declared.health_path;
  return settings;
}

/// Divides the fleet's retry burst among the advertised instances, 1 to 100 for
/// each; other instances get a burst of one.
routing::RetryAllowance AllowanceOf(const Forwarder& forwarder) {
  const DirectoryState& directory = forwarder.directory_state;
  const std::size_t instances =
      std::max<std::size_t>(directory.advertised_instances, 1);
  const std::size_t burst =
      directory.is_advertised ? forwarder.settings.retry_slack / instances : 1;
  routing::RetryAllowance allowance;
  allowance.percent = forwarder.settings.retry_percent;
  allowance.burst =
      static_cast<std::uint8_t>(std::clamp<std::size_t>(burst, 1, 100));
  allowance.by_priority = forwarder.has_competing_callers;
  return allowance;
}

void SetDetectorTuning(const Forwarder& forwarder, ServiceState& service) {
  detection::DetectorTuning tuning = MakeDetectorTuning(
      TargetLatency(forwarder.routes->summary, service.settings.name));
  tuning.coordinates_trials = forwarder.has_competing_callers;
  tuning.instances =
      std::max<std::size_t>(forwarder.directory_state.advertised_instances, 1);
  detection::SetTuning(*service.detector, tuning);
}

void ApplyTuning(const Forwarder& forwarder, ServiceState& service) {
  routing::SetChoiceSettings(*service.router,
                             MakeChoiceSettings(forwarder, service));
  SetDetectorTuning(forwarder, service);
}

void InstallService(Context& context, const ServiceConfig& declared) {
  Forwarder& forwarder = context.forwarder;
  ServiceState& service = forwarder.services[MakeServiceId(declared.name)];
  const bool has_idempotent_route =
      HasIdempotentRoute(forwarder.routes->summary, declared.name);
  service.settings = MakeServiceSettings(forwarder, declared);
  service.settings.servers.clear();
  service.has_idempotent_route = has_idempotent_route;
  service.is_configured = true;
  if (service.detector == nullptr) {
    service.detector = detection::MakeDetector(
        service.settings, has_idempotent_route, context.now);
    service.router = routing::MakeRouter(service.settings,
                                         forwarder.settings.zone, context.now);
  } else {
    detection::UpdateSettings(*service.detector, service.settings,
                              has_idempotent_route);
    routing::UpdateSettings(*service.router, service.settings);
  }
  ApplyTuning(forwarder, service);
}

/// Whether most servers state when they started.
bool KnowsStarts(const std::vector<ServerEntry>& entries) {
  const auto n = std::ranges::count_if(
      entries, [](const ServerEntry& it) { return it.started_ms != 0; });
  return 2 * static_cast<std::size_t>(n) > entries.size();
}

/// Decides anew whether callers compete. Returns whether that has changed.
bool UpdateCompetition(Forwarder& forwarder) {
  const Configuration& current = *forwarder.routes->configuration;
  bool is_competing = !current.organisations.empty() ||
                      HasCompetingRoutes(forwarder.routes->summary);
  // Verdicts that instances share must name an incarnation. Without it, a
  // server that starts again under its name would be held for the one that
  // failed.
  if (current.organisations.empty() && forwarder.settings.needs_server_starts) {
    is_competing = is_competing && KnowsStarts(forwarder.entries);
  }
  return std::exchange(forwarder.has_competing_callers, is_competing) !=
         is_competing;
}

std::uint16_t MaxConnections(const Forwarder& forwarder,
                             const ServiceState& service) {
  for (const auto& it : forwarder.routes->configuration->services) {
    if (it.name == service.settings.name) return it.max_connections;
  }
  return ServiceConfig{}.max_connections;
}

bool IsClosed(const Forwarder& forwarder, BackendServerId id,
              const KnownServer& server) {
  return server.entry.draining || server.replaced || IsLeaving(forwarder, id);
}

std::string NameOf(const ServiceState& service, BackendServerId id) {
  const auto it = service.servers.find(id);
  return it == service.servers.end() ? "unknown" : it->second.entry.name;
}

/// Logs the problems of `current` that `before` did not have, up to a bound.
void LogNewProblems(Context& context, const Configuration& current,
                    const Configuration* before) {
  static const std::vector<ConfigurationProblem> kNone;
  const auto& known = before != nullptr ? before->problems.first : kNone;
  std::size_t n = 0;
  for (const auto& it : current.problems.first) {
    if (std::ranges::find(known, it) != known.end()) continue;
    if (++n > kMaxLoggedProblems) return;
    Log(context, LogEvent::kConfigurationItemUnreadable,
        {{"version", std::to_string(current.version.value())},
         {"item", it.item},
         {"reason", it.reason},
         {"effect", EffectName(it.effect)}});
  }
}

/// Replaces the servers of one service by those of the current list.
void ReplaceServers(Context& context, ServiceState& service) {
  auto known = std::move(service.servers);
  const bool is_first = known.empty();
  service.servers.clear();
  for (const auto& entry : context.forwarder.entries) {
    if (entry.service != service.settings.name) continue;
    const BackendServerId id = IdOf(entry);
    KnownServer server;
    server.warm_since = context.now - kWarmUp;
    if (!is_first || entry.warm_up_left > Duration::zero()) {
      server.warm_since = context.now - kWarmUp + entry.warm_up_left;
    }
    if (const auto it = known.find(id); it != known.end()) {
      server = it->second;
    } else if (!is_first) {
      Log(context, LogEvent::kServerListed,
          {{"service", entry.service}, {"server", entry.name}});
    }
    if (entry.draining && !server.entry.draining) {
      Log(context, LogEvent::kServerLeaving,
          {{"service", entry.service}, {"server", entry.name}});
    }
    server.entry = entry;
    service.servers.insert_or_assign(id, std::move(server));
  }
  for (const auto& [id, server] : known) {
    if (service.servers.contains(id)) continue;
    Log(context, LogEvent::kServerRemoved,
        {{"service", service.settings.name}, {"server", server.entry.name}});
  }
}

}  // namespace

void SetDetectorServers(Context& context, ServiceState& service) {
  std::vector<detection::Member> members;
  for (const auto& [id, server] : service.servers) {
    members.push_back({id, server.entry.slots,
                       IsClosed(context.forwarder, id, server),
                       TrialRoleOf(context.forwarder, id)});
  }
  if (context.forwarder.has_competing_callers) {
    SetDetectorTuning(context.forwarder, service);
  }
  detection::SetMembers(*service.detector, members, context.now);
}

void RefreshRouter(Context& context, ServiceState& service) {
  const Forwarder& forwarder = context.forwarder;
  const std::uint16_t connections = MaxConnections(forwarder, service);
  std::vector<routing::Candidate> candidates;
  for (const auto& [id, server] : service.servers) {
    routing::Candidate it;
    it.id = id;
    it.zone = server.entry.zone;
    it.slots = server.entry.slots;
    it.max_connections = connections;
    it.state = detection::StateOf(*service.detector, id);
    it.fails_fast = detection::FailsFast(*service.detector, id);
    it.closed =
        IsClosed(forwarder, id, server) || IsPaused(forwarder, id, context.now);
    it.warm_since = server.warm_since;
    candidates.push_back(std::move(it));
  }
  routing::SetCandidates(*service.router, candidates,
                         forwarder.directory_state.advertised_instances,
                         context.now);
  routing::SetRetryAllowance(*service.router, AllowanceOf(forwarder));
  routing::SetShare(*service.router, {forwarder.directory_state.zone_instances,
                                      forwarder.directory_state.zone_place});
}

void ApplyServers(Context& context) {
  Forwarder& forwarder = context.forwarder;
  if (!forwarder.routes) return;
  if (UpdateCompetition(forwarder)) {
    for (auto& [id, service] : forwarder.services)
      ApplyTuning(forwarder, service);
  }
  for (auto& [id, service] : context.forwarder.services) {
    ReplaceServers(context, service);
    SetDetectorServers(context, service);
    RefreshRouter(context, service);
  }
}

void ApplyConfiguration(Context& context, const Configuration* before) {
  Forwarder& forwarder = context.forwarder;
  const Configuration& current = *forwarder.routes->configuration;
  UpdateCompetition(forwarder);
  for (auto& [id, service] : forwarder.services) service.is_configured = false;
  for (const auto& it : current.services) InstallService(context, it);
  ApplyServers(context);
  LogNewProblems(context, current, before);
  Log(context, LogEvent::kConfigurationInstalled,
      {{"version", std::to_string(current.version.value())},
       {"routes", std::to_string(current.routes.size())},
       {"problems", std::to_string(CountAll(current.problems))}});
}

void Evaluate(Context& context, ServiceState& service) {
  const auto changes = detection::Evaluate(*service.detector, context.now,
                                           context.forwarder.random);
  if (changes.empty()) return;
  for (const auto& it : changes) {
    if (it.to == detection::ServerState::kEjected) {
      ++context.forwarder.counters.ejections;
    }
    ReportChange(context, service, it);
    std::vector<LogField> fields = {{"service", service.settings.name},
                                    {"server", NameOf(service, it.server)},
                                    {"reason", it.reason}};
    for (auto& field : TrialFields(context.forwarder, it.server)) {
      fields.push_back(std::move(field));
    }
    Log(context, detection::EventOf(it.to), std::move(fields));
  }
  RefreshRouter(context, service);
}

void SendDueProbes(Context& context, ServiceState& service) {
  for (const auto id : detection::ProbesDue(*service.detector, context.now)) {
    const auto it = service.servers.find(id);
    // Probes would need permits, too; requests show its health.
    if (it == service.servers.end() || it->second.limit.limit) continue;
    if (IsPaused(context.forwarder, id, context.now)) continue;
    const ServerEntry& entry = it->second.entry;
    context.forwarder.actions.emplace_back(SendProbe{
        id, entry.endpoint, entry.name, service.settings.health_path});
  }
}

void MarkReplaced(Context& context, ServiceState& service,
                  BackendServerId server) {
  const auto it = service.servers.find(server);
  if (it == service.servers.end() || it->second.replaced) return;
  it->second.replaced = true;
  Log(context, LogEvent::kServerReplaced,
      {{"service", service.settings.name}, {"server", it->second.entry.name}});
  SetDetectorServers(context, service);
  RefreshRouter(context, service);
}

}  // namespace ibisladder::gateway::Internal
