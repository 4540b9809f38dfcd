#include "libs/callerpath/caller_path.h"

#include <algorithm>
#include <utility>

#include "libs/callerpath/path_state.h"

namespace ibisladder::callerpath {
namespace {

using Internal::Context;

/// Dispatches each event type to its handler.
struct EventHandler {
  Context& context;

  void operator()(const CallArrived& it) const {
    HandleCallArrived(context, it);
  }
  void operator()(const CallAbandoned& it) const {
    HandleCallAbandoned(context, it);
  }
  void operator()(const ServerAnswered& it) const {
    HandleServerAnswered(context, it);
  }
  void operator()(const AttemptFailed& it) const {
    HandleAttemptFailed(context, it);
  }
  void operator()(const ProbeEnded& it) const { HandleProbeEnded(context, it); }
  void operator()(const OutcomeRequested& it) const {
    HandleOutcomeRequested(context, it);
  }
  void operator()(const AddressesRequested& it) const {
    HandleAddressesRequested(context, it);
  }
  void operator()(const RelayAnswered& it) const {
    HandleRelayAnswered(context, it);
  }
  void operator()(const RelayFailed& it) const {
    HandleRelayFailed(context, it);
  }
  void operator()(const ConfigurationInstalled& it) const {
    HandleConfigurationInstalled(context, it);
  }
  void operator()(const FleetChanged& it) const {
    HandleFleetChanged(context, it);
  }
  void operator()(const ServersLeaving& it) const {
    HandleServersLeaving(context, it);
  }
  void operator()(const PeerEvidence& it) const {
    HandlePeerEvidence(context, it);
  }
  void operator()(const CreditRequested& it) const {
    HandleCreditRequested(context, it);
  }
  void operator()(const CreditReplied& it) const {
    HandleCreditReplied(context, it);
  }
  void operator()(const StopRequested& it) const {
    HandleStopRequested(context, it);
  }
  void operator()(const DrainChanged& it) const {
    HandleDrainChanged(context, it);
  }
  void operator()(const Tick& /*tick*/) const { HandleTick(context); }
};

std::string StateName(detection::ServerState state) {
  switch (state) {
    case detection::ServerState::kHealthy:
      return "healthy";
    case detection::ServerState::kEjected:
      return "ejected";
    case detection::ServerState::kProbation:
      return "probation";
    case detection::ServerState::kLastResort:
    case detection::ServerState::kLastResortOnTrial:
      break;
  }
  return "last-resort";
}

void AddServers(const Internal::ServiceState& service, PathStatus& status) {
  std::map<BackendServerId, detection::ServerReport> reports;
  for (auto& it : detection::Report(*service.detector)) {
    reports.emplace(it.server, std::move(it));
  }
  for (const auto& [id, server] : service.servers) {
    ServerStatus line;
    line.service = service.declared->name;
    line.server = server.declared->name;
    line.zone = server.declared->zone;
    line.in_flight = routing::InFlight(*service.router, id);
    line.state = "healthy";
    if (const auto it = reports.find(id); it != reports.end()) {
      line.state = StateName(it->second.state);
      line.reason = it->second.reason;
      line.score = it->second.score;
    }
    if (server.is_leaving) line.state = "leaving";
    if (server.declared->drained) line.state = "drained";
    status.servers.push_back(std::move(line));
  }
}

}  // namespace

void CallerPathDeleter::operator()(CallerPath* path) const { delete path; }

CallerPathPtr MakeCallerPath(const CallerPathSettings& settings,
                             TimePoint now) {
  CallerPathPtr path(new CallerPath);
  path->settings = settings;
  path->started = now;
  path->limits = routing::MakeOrganisationLimits();
  path->quota_random.seed(settings.incarnation.value() ^
                          settings.instance.value());
  // A keeper gives the same answer to the same number: those of an earlier
  // process must not be used again.
  path->quotas.last_number = path->quota_random() >> 2U;
  path->quotas.keeper.last_check = path->quota_random() >> 2U;
  requests::TableSettings table;
  table.instance = settings.instance;
  table.incarnation = settings.incarnation;
  table.accepted_eras = settings.accepted_eras;
  table.kept_eras = settings.accepted_eras;
  table.max_records = settings.max_records;
  table.max_refusals = settings.max_records / 4;
  table.max_kept_answer_bytes = settings.max_record_bytes;
  path->table = requests::MakeRequestTable(table, CurrentEra(*path, now));
  path->next_evaluation = now;
  path->next_update = now;
  path->next_quota_update = now;
  return path;
}

Actions Step(CallerPath& path, const Event& event, TimePoint now,
             Random& random) {
  // Must come first: after a pause the first event may be a late copy of a
  // call, which must not be admitted under an era that has passed.
  requests::AdvanceEra(path.table, CurrentEra(path, now));
  Context context{path, now, random, {}};
  std::visit(EventHandler{context}, event);
  return std::move(context.actions);
}

Era CurrentEra(const CallerPath& path, TimePoint now) {
  const auto n = (now - path.started) / path.settings.era_length;
  return Era(static_cast<std::uint32_t>(std::max<std::int64_t>(n, 0)) + 1);
}

PathStatus StatusOf(const CallerPath& path, TimePoint /*now*/) {
  PathStatus status;
  if (path.configuration) status.version = path.configuration->version;
  status.stopping = path.stop_at.has_value();
  status.records = path.table.accepted + path.table.refused;
  status.record_bytes = path.table.answer_bytes;
  status.in_flight = path.attempts.size();
  status.counters = path.counters;
  for (const auto& [id, service] : path.services) {
    status.queued += routing::QueueLength(*service.router);
    AddServers(service, status);
  }
  std::sort(status.servers.begin(), status.servers.end(),
            [](const ServerStatus& left, const ServerStatus& right) {
              return std::tie(left.service, left.server) <
                     std::tie(right.service, right.server);
            });
  return status;
}

}  // namespace ibisladder::callerpath
