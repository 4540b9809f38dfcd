#ifndef LIBS_CALLERPATH_PATH_STATE_H_
#define LIBS_CALLERPATH_PATH_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libs/callerpath/caller_path.h"
#include "libs/declarations/configuration.h"
#include "libs/detection/detector.h"
#include "libs/requests/request_table.h"
#include "libs/routing/router.h"

/// State of the caller path, shared by the files of this library only.
///
/// A call is one caller's exchange; it waits for a work or for a relay. A work
/// is one request that this instance carries out: one or more calls wait for
/// it (repeats of an id join it), and it has at most one attempt at a backend
/// server at a time.
namespace ibisladder::callerpath {

namespace Internal {

/// Names a work after the call that started it.
using ExecutionId = CallId;

/// Time beyond its deadline that an attempt of an at-most-once request is left
/// open, as its answer tells the outcome to those who ask later.
constexpr Duration kOutcomeGrace = Seconds(10);
/// Servers that one request is tried on.
constexpr std::uint32_t kMaxAttempts = 3;

struct Call {
  enum class Kind : std::uint8_t { kWaiting, kRelayed, kOutcomeRelayed };

  Kind kind = Kind::kWaiting;
  /// For kWaiting.
  ExecutionId execution;
  TimePoint deadline;
  std::string request_id;
};

struct Execution {
  CallRequest request;
  /// Set for an at-most-once request: its record is in the table.
  std::optional<requests::RequestId> id;
  ServiceId service;
  OrganisationId organisation;
  /// The organisation's limit counts this work.
  bool is_counted = false;
  declarations::Priority priority = declarations::Priority::kNormal;
  std::size_t max_answer_bytes = 0;
  /// Not dispatched after it.
  TimePoint deadline;
  /// When the work is looked at next: at its deadline or, for an at-most-once
  /// request in flight, at the end of the grace.
  TimePoint expires;
  std::vector<CallId> waiters;
  std::vector<BackendServerId> tried;
  std::uint32_t attempts = 0;
  std::optional<AttemptId> attempt;
  /// What becomes of the request if it gets no further.
  ResultCode last_failure = ResultCode::kOverloaded;
  /// A byte of an earlier attempt may have left; idempotent requests only.
  bool may_have_run = false;
  /// Whole answer with an error status, in case that no other is to be had.
  std::optional<CallerAnswer> error_answer;
};

struct Attempt {
  ExecutionId execution;
  ServiceId service;
  BackendServerId server;
  TimePoint started;
  /// The detector has been reported of its timeout.
  bool is_timed_out = false;
};

struct Server {
  const declarations::BackendServer* declared = nullptr;
  TimePoint warm_since;
  /// The server's own not_run, or that of the list or a peer.
  bool is_leaving = false;
};

struct ServiceState {
  const declarations::Service* declared = nullptr;
  detection::DetectorPtr detector;
  routing::RouterPtr router;
  std::map<BackendServerId, Server> servers;
  /// Part of `servers` that this instance uses.
  std::vector<BackendServerId> subset;
};

/// What is due at a time: deadlines of calls and of works.
struct Timer {
  enum class Kind : std::uint8_t { kExecution, kCall };

  TimePoint at;
  Kind kind = Kind::kExecution;
  CallId id;

  friend auto operator<=>(const Timer&, const Timer&) = default;
};

}  // namespace Internal

struct CallerPath {
  CallerPathSettings settings;
  TimePoint started;
  declarations::ConfigurationPtr configuration;
  /// Longest deadline of any service.
  Duration longest_deadline = declarations::Service().max_deadline;
  std::unordered_map<ServiceId, Internal::ServiceState> services;
  std::unordered_map<BackendServerId, ServiceId> service_of_server;
  routing::OrganisationLimitsPtr limits;
  requests::RequestTable table;

  std::unordered_map<CallId, Internal::Call> calls;
  std::unordered_map<Internal::ExecutionId, Internal::Execution> executions;
  std::unordered_map<AttemptId, Internal::Attempt> attempts;
  /// Works of at-most-once requests in flight, by the text of their id.
  std::unordered_map<std::string, Internal::ExecutionId> executions_by_id;
  std::set<Internal::Timer> timers;
  std::uint64_t last_attempt = 0;

  std::vector<FleetMember> fleet;
  std::set<BackendServerId> reported_leaving;
  /// Servers whose own not_run is that they drain, and when it was last
  /// last_seen.
  std::map<BackendServerId, TimePoint> seen_draining;

  bool is_drained = false;
  std::optional<TimePoint> stop_at;
  bool has_reported_drained = false;
  TimePoint next_evaluation;
  TimePoint next_update;
  /// Probes on their way, and when they were sent.
  std::map<BackendServerId, TimePoint> probes;
  Counters counters;
};

namespace Internal {

/// What a handler works on: the state, the time and randomness of the step,
/// and the actions that it returns.
struct Context {
  CallerPath& path;
  TimePoint now;
  Random& random;
  Actions actions;
};

// Events; one function each.

void HandleCallArrived(Context& context, const CallArrived& event);
void HandleCallAbandoned(Context& context, const CallAbandoned& event);
void HandleServerAnswered(Context& context, const ServerAnswered& event);
void HandleAttemptFailed(Context& context, const AttemptFailed& event);
void HandleProbeEnded(Context& context, const ProbeEnded& event);
void HandleOutcomeRequested(Context& context, const OutcomeRequested& event);
void HandleAddressesRequested(Context& context,
                              const AddressesRequested& event);
void HandleRelayAnswered(Context& context, const RelayAnswered& event);
void HandleRelayFailed(Context& context, const RelayFailed& event);
void HandleConfigurationInstalled(Context& context,
                                  const ConfigurationInstalled& event);
void HandleFleetChanged(Context& context, const FleetChanged& event);
void HandleServersLeaving(Context& context, const ServersLeaving& event);
void HandlePeerEvidence(Context& context, const PeerEvidence& event);
void HandleStopRequested(Context& context, const StopRequested& event);
void HandleDrainChanged(Context& context, const DrainChanged& event);
void HandleTick(Context& context);

// executions.cc

/// Asks the router for a server and dispatches, queues or gives up.
void PlaceExecution(Context& context, ExecutionId id, bool is_retry);
/// Places the works that the service's router has queued, as far as it can.
void PumpService(Context& context, ServiceState& service);
/// Carries out what the router decided. May end the work.
void ApplyPlacement(Context& context, ExecutionId id,
                    const routing::Placement& placement);
/// The work is given up with `code`, which is made an *unknown* one when the
/// request may have run.
void GiveUp(Context& context, ExecutionId id, ResultCode code,
            std::optional<Duration> retry_after = std::nullopt);
/// All waiting calls get `answer`, and the work is forgotten.
void FinishExecution(Context& context, ExecutionId id,
                     const CallerAnswer& answer);
/// One call gets `answer` and is forgotten.
void FinishCall(Context& context, CallId call, const CallerAnswer& answer);
/// The attempt ended without an answer that can be passed on; the request goes
/// to another server where that is allowed.
void RetryOrGiveUp(Context& context, ExecutionId id, ResultCode code,
                   bool is_certainly_not_run);
/// Closes the attempt's books; returns it when it was known.
std::optional<Attempt> EndAttempt(Context& context, AttemptId id,
                                  detection::AttemptEnd end);
/// The work's deadline has passed.
void ExpireExecution(Context& context, ExecutionId id);

// services.cc

/// Gives detectors and routers the servers as they are now.
void RefreshServers(Context& context, ServiceState& service);
void RefreshAllServers(Context& context);
/// Judges the servers of a service and logs what changed.
void EvaluateService(Context& context, ServiceState& service);
/// The server's own not_run on whether it drains.
void RecordDraining(Context& context, BackendServerId server, bool is_draining);
/// Live instances that share the backend servers, this one included.
std::size_t FleetSize(const CallerPath& path);
/// Those of them whose subsets contain one server of the service.
std::size_t UsersOfServer(const CallerPath& path, const ServiceState& service);

// outcomes.cc

/// The member that is the home of the instance's tickets; null when unknown.
const FleetMember* FindFleetMember(const CallerPath& path, InstanceId instance);
/// What is said of an id by its record.
CallerAnswer AnswerFromRecord(Context& context, const requests::Record& record);

// periodic_tasks.cc

void SetExecutionTimer(CallerPath& path, ExecutionId id, TimePoint at);
void SetCallTimer(CallerPath& path, CallId id, TimePoint at);
void ForgetCall(CallerPath& path, CallId id);
/// True when a planned stop has served all handed-out tickets.
bool IsStopped(const CallerPath& path, TimePoint now);

void Log(Context& context, LogEvent event, std::vector<LogField> fields);
/// Logs an answer of this instance's own: refused when it is *not run*.
void LogAnswer(Context& context, const std::string& request_id,
               ResultCode code);

}  // namespace Internal
}  // namespace ibisladder::callerpath

#endif  // LIBS_CALLERPATH_PATH_STATE_H_
