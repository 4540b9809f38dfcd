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
#include "libs/limits/credit.h"
#include "libs/requests/request_table.h"
#include "libs/routing/router.h"

/// State of the caller path, shared by the files of this library only.
///
/// A call is one caller's exchange; it waits for an execution or for a relay.
/// An execution is one request that this instance carries out. Calls wait for
/// it (repeats of an id join it); a dispatched at-most-once request continues
/// without any. It has at most one attempt at a backend server at a time.
namespace ibisladder::callerpath {

namespace Internal {

/// An execution has the id of the call that started it.
using ExecutionId = CallId;

/// Time after its deadline for which an attempt of an at-most-once request is
/// kept open: a late answer still gives the outcome to callers that ask for it.
constexpr Duration kOutcomeGrace = Seconds(10);
/// Per request.
constexpr std::uint32_t kMaxAttempts = 3;

struct Call {
  enum class Kind : std::uint8_t { kWaiting, kRelayed, kOutcomeRelayed };

  Kind kind = Kind::kWaiting;
  /// Set for kWaiting.
  ExecutionId execution;
  TimePoint deadline;
  std::string request_id;
};

struct Execution {
  CallRequest request;
  /// Set for an at-most-once request, which has a record in the table.
  std::optional<requests::RequestId> id;
  ServiceId service;
  OrganisationId organisation;
  /// The execution counts towards its organisation's limit in flight.
  bool is_counted = false;
  /// It waits for credit of its organisation's quota, and is not placed.
  bool awaits_credit = false;
  /// It has credit, since `credit_at`.
  bool has_credit = false;
  TimePoint credit_at;
  /// The server that it was given while it awaits renewed credit. The router
  /// counts the attempt as started.
  std::optional<routing::Dispatch> reserved;
  declarations::Priority priority = declarations::Priority::kNormal;
  std::size_t max_answer_bytes = 0;
  /// The request is not dispatched after this time.
  TimePoint deadline;
  /// When ExpireExecution runs next: at the deadline and, for a dispatched
  /// at-most-once request, again at the end of the grace period.
  TimePoint expires;
  std::vector<CallId> waiters;
  std::vector<BackendServerId> tried;
  std::uint32_t attempts = 0;
  std::optional<AttemptId> attempt;
  /// Result if no further attempt is possible.
  ResultCode last_failure = ResultCode::kOverloaded;
  /// An earlier attempt may have run the request; set for idempotent requests
  /// only.
  bool may_have_run = false;
  /// Answer with an error status, used when no further attempt succeeds.
  std::optional<CallerAnswer> error_answer;
};

struct Attempt {
  ExecutionId execution;
  ServiceId service;
  BackendServerId server;
  TimePoint started;
  /// The timeout has been reported to the detector.
  bool is_timed_out = false;
};

struct Server {
  const declarations::BackendServer* declared = nullptr;
  /// Start of the warm-up, which may be over.
  TimePoint warm_since;
  /// Reported by the server itself, the server list or a peer.
  bool is_leaving = false;
};

struct ServiceState {
  const declarations::Service* declared = nullptr;
  detection::DetectorPtr detector;
  routing::RouterPtr router;
  std::map<BackendServerId, Server> servers;
  /// The servers that this instance uses.
  std::vector<BackendServerId> subset;
};

/// Deadline of a call, or `expires` of an execution.
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
  /// The longest deadline of all services.
  Duration longest_deadline = declarations::Service().max_deadline;
  std::unordered_map<ServiceId, Internal::ServiceState> services;
  std::unordered_map<BackendServerId, ServiceId> service_of_server;
  routing::OrganisationLimitsPtr limits;
  limits::Quotas quotas;
  /// Of its own, so that quotas don't change the decisions about other calls.
  Random quota_random;
  TimePoint next_quota_update;
  requests::RequestTable table;

  std::unordered_map<CallId, Internal::Call> calls;
  std::unordered_map<Internal::ExecutionId, Internal::Execution> executions;
  std::unordered_map<AttemptId, Internal::Attempt> attempts;
  /// Executions of at-most-once requests, by the text of the request id.
  std::unordered_map<std::string, Internal::ExecutionId> executions_by_id;
  std::set<Internal::Timer> timers;
  std::uint64_t last_attempt = 0;

  std::vector<FleetMember> fleet;
  std::set<BackendServerId> reported_leaving;
  /// Servers that report themselves draining, and the time of the latest
  /// report.
  std::map<BackendServerId, TimePoint> seen_draining;

  bool is_drained = false;
  /// End of the serving time of a planned stop; set when the stop begins.
  std::optional<TimePoint> stop_at;
  bool has_reported_stop_completed = false;
  TimePoint next_evaluation;
  TimePoint next_update;
  /// Open probes, and when they were sent.
  std::map<BackendServerId, TimePoint> probes;
  Counters counters;
};

namespace Internal {

/// Arguments of a step that handlers share, and the actions that they return.
struct Context {
  CallerPath& path;
  TimePoint now;
  Random& random;
  Actions actions;
};

// One handler for each event.

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
void HandleCreditRequested(Context& context, const CreditRequested& event);
void HandleCreditReplied(Context& context, const CreditReplied& event);
void HandleStopRequested(Context& context, const StopRequested& event);
void HandleDrainChanged(Context& context, const DrainChanged& event);
void HandleTick(Context& context);

// executions.cc

/// Asks the router for a server, then dispatches, queues or ends the execution.
void PlaceExecution(Context& context, ExecutionId id, bool is_retry);
/// Asks the router to place the service's queued executions and carries out its
/// decisions.
void PlaceQueued(Context& context, ServiceState& service);
/// Carries out the router's decision. May end the execution.
void ApplyPlacement(Context& context, ExecutionId id,
                    const routing::Placement& placement);
/// Ends the execution: with its error answer if it has one, else with `code`
/// or, when an earlier attempt may have run the request, with an *unknown*
/// code. For an at-most-once request the code of the record takes precedence.
void GiveUp(Context& context, ExecutionId id, ResultCode code,
            std::optional<Duration> retry_after = std::nullopt);
/// Cancels an open attempt, removes the execution and answers all its calls.
void FinishExecution(Context& context, ExecutionId id,
                     const CallerAnswer& answer);
/// Answers and removes one call.
void FinishCall(Context& context, CallId call, const CallerAnswer& answer);
/// Handles an attempt without a usable answer. Tries to place the execution
/// again if a call still waits for it and the request is idempotent or
/// certainly did not run; else ends the execution.
void RetryOrGiveUp(Context& context, ExecutionId id, ResultCode code,
                   bool is_certainly_not_run);
/// Removes the attempt and reports its end to the router and, unless its
/// timeout was reported before, to the detector. Returns none when the attempt
/// is unknown.
std::optional<Attempt> EndAttempt(Context& context, AttemptId id,
                                  detection::AttemptEnd end);
/// Reports a timeout of an open attempt to the detector and ends the execution.
/// A dispatched at-most-once request first gets a grace period of
/// kOutcomeGrace after its deadline.
void ExpireExecution(Context& context, ExecutionId id);

/// Sends the execution to the server, which the router has counted as started.
void DispatchExecution(Context& context, ExecutionId id,
                       const routing::Dispatch& dispatch);

// quotas.cc

/// Takes credit for an execution whose organisation declares a rate. Returns
/// whether the execution may go on; else it waits or has ended.
bool TakeCredit(Context& context, ExecutionId id);
/// Renews credit that is older than its life before the first attempt, as the
/// quota holds for the times at which requests run. Returns as TakeCredit.
bool RenewCredit(Context& context, ExecutionId id,
                 const routing::Dispatch& dispatch);
/// Ends an execution's wait for credit and its reservation of a server. Gives
/// its credit back if it did not run.
void ReleaseCredit(Context& context, ExecutionId id, Execution& execution,
                   bool did_run);
/// Passes the members to the quotas, once they are complete.
void SetQuotaMembers(Context& context, bool is_complete);
/// Forgets organisations that no longer declare a rate.
void ApplyQuotas(Context& context);
void UpdateQuotas(Context& context);

// services.cc

/// Chooses the subset again and passes the servers to detector and router.
void RefreshServers(Context& context, ServiceState& service);
void RefreshAllServers(Context& context);
/// Evaluates the servers of a service and logs state changes.
void EvaluateService(Context& context, ServiceState& service);
/// Sets whether a server counts as draining by its own reports, and updates
/// whether it is leaving.
void SetDraining(Context& context, BackendServerId server, bool is_draining);
/// Returns the number of live instances, this one included.
std::size_t FleetSize(const CallerPath& path);
/// Returns the mean number of instances whose subsets contain a given server of
/// the service, with a margin, as subsets are only nearly even.
std::size_t UsersOfServer(const CallerPath& path, const ServiceState& service);

// outcomes.cc

/// Returns null when the instance is not in the fleet.
const FleetMember* FindFleetMember(const CallerPath& path, InstanceId instance);
/// Builds the answer to a caller from the record of an id; kStillRunning when
/// the record is unfinished.
CallerAnswer AnswerFromRecord(Context& context, const requests::Record& record);

// periodic_tasks.cc

void SetExecutionTimer(CallerPath& path, ExecutionId id, TimePoint at);
void SetCallTimer(CallerPath& path, CallId id, TimePoint at);
void ForgetCall(CallerPath& path, CallId id);
/// Whether the time is over in which a planned stop still serves callers that
/// hold this instance's tickets. New requests are refused from then on.
bool IsStopped(const CallerPath& path, TimePoint now);

void Log(Context& context, LogEvent event, std::vector<LogField> fields);
/// Logs an answer that the instance gives itself; *not run* is logged as
/// refused.
void LogAnswer(Context& context, const std::string& request_id,
               ResultCode code);

}  // namespace Internal
}  // namespace ibisladder::callerpath

#endif  // LIBS_CALLERPATH_PATH_STATE_H_
