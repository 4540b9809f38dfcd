#ifndef LIBS_GATEWAY_FORWARDER_STATE_H_
#define LIBS_GATEWAY_FORWARDER_STATE_H_

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libs/admission/admission.h"
#include "libs/base/random.h"
#include "libs/gateway/forwarder.h"
#include "libs/gateway/organisation_traffic.h"
#include "libs/gateway/path_state.h"
#include "libs/gateway/request_key.h"
#include "libs/gateway/route_table.h"
#include "libs/gateway/server_limits.h"
#include "libs/limits/credit.h"

/// Internal state and functions of the forwarder, shared by its source files.
namespace ibisladder::gateway {
namespace Internal {

/// Retry-After for refusals without a time of their own: no configuration, no
/// further attempt possible, deadline passed. Startup and a lack of servers
/// usually end within this time.
constexpr Duration kDefaultRetryAfter = Millis(500);
/// Short, since another instance can serve the request immediately.
constexpr Duration kStoppingRetryAfter = Millis(20);

struct KnownServer {
  ServerEntry entry;
  /// An answer has shown that another server or incarnation now uses the
  /// address.
  bool replaced = false;
  /// When the warm-up began, over which the server's fraction of the requests
  /// grows; far enough in the past for servers that are warm.
  TimePoint warm_since;
  LimitKnowledge limit;
  /// Permits that this instance gives as the server's first or fallback keeper.
  PermitBucket permits;
  PermitBucket fallback_permits;
  /// Text of the last limit that could not be read.
  std::string unreadable_limit;
};

/// What a server has asked for in its answers.
struct ServerNotice {
  /// It leaves and gets no new requests.
  bool is_leaving = false;
  /// It wants no requests of this instance until then.
  TimePoint paused_until;
  TimePoint noted_at;
  /// Text of the last notice that could not be read.
  std::string unreadable;
};

struct ServiceState {
  declarations::Service settings;
  /// Whether the installed configuration contains the service.
  bool is_configured = false;
  bool has_idempotent_route = false;
  detection::DetectorPtr detector;
  routing::RouterPtr router;
  std::map<BackendServerId, KnownServer> servers;
  TimePoint evidence_shared_at;
  /// Servers whose passed trials are to be reported again, and when.
  std::vector<std::pair<TimePoint, BackendServerId>> passed;
  PathState path;
  admission::ServiceAdmission admission;
  /// Since when requests are held back, as far as that was logged.
  std::optional<TimePoint> overloaded_since;
};

struct Attempt {
  CallId call;
  ServiceId service;
  BackendServerId server;
  TimePoint sent_at;
  /// Its answer is being streamed. The detector judged the server when the
  /// answer began, since the caller's pace decides when it ends.
  bool is_streaming = false;
  /// The server is in another availability zone.
  bool leaves_zone = false;
  /// Name of the instance to which the request was passed on; empty: it is at a
  /// server.
  std::string peer;
};

/// A request from its arrival to its answer. At most one attempt is in flight;
/// two if an idempotent request was hedged.
struct Call {
  CallerRequestPtr request;
  /// Computed when it is first needed.
  std::optional<RequestKeys> keys;
  Route route;
  /// The organisation's if it has one, otherwise the route's.
  declarations::Priority priority = declarations::Priority::kNormal;
  /// Name of the organisation that holds the caller's key; empty without one.
  std::string organisation;
  bool is_key_checked = false;
  /// Counts as admitted in the organisation's traffic.
  bool is_counted_admitted = false;
  /// Waits for its organisation's credit; or has taken some.
  bool awaits_credit = false;
  bool has_credit = false;
  TimePoint credit_at;
  /// Has passed admission control, and at most waits for credit again.
  bool was_admitted = false;
  ServiceId service;
  TimePoint arrived_at;
  /// The earlier one of the caller's deadline and the route's timeout; while
  /// the call awaits startup, of the caller's deadline and `start_deadline`.
  TimePoint deadline;
  bool is_queued = false;
  /// Waits for the first configuration and the first list of servers.
  bool awaits_startup = false;
  bool caller_left = false;
  /// Parts of an answer may have reached the caller, so that the request cannot
  /// be repeated.
  bool is_streaming = false;
  /// The caller takes the streamed answer more slowly than it arrives; and
  /// until when it last did.
  bool is_held_up = false;
  TimePoint held_up_until;
  /// A server may have started to execute it.
  bool may_have_run = false;
  std::vector<AttemptId> in_flight;
  /// Servers of all attempts so far.
  std::vector<BackendServerId> tried;
  /// Attempts, except those whose connection could not be opened.
  std::uint32_t attempts = 0;
  /// Attempts whose connection could not be opened.
  std::uint32_t connect_failures = 0;
  /// How the last failed attempt ended, and at which server; for the log.
  std::string last_failure;
  /// A server's error answer, which the caller gets if no further attempt
  /// succeeds. At the deadline the caller gets a 504 instead.
  std::optional<CallerAnswer> server_failure;
  /// When a server for a hedge was last looked for.
  TimePoint hedge_tried_at;
  /// Number of the permit that it waits for; 0: it waits for none.
  std::uint64_t permit = 0;
  /// Permits that it did not get since its latest attempt.
  std::uint32_t denials = 0;
  /// How its latest attempt was placed.
  bool is_trial = false;
  bool is_retry = false;
  bool after_shed = false;
  /// Waits at this instance for room or for retry budget.
  bool awaits_admission = false;
  /// Its next attempt has been admitted.
  bool is_admitted = false;
  /// Why admission refused it; empty if it did not.
  std::string refusal;
  /// Instances to which it was passed on so far.
  std::vector<std::string> peers;
  /// One of these may have sent it to servers that declined it.
  bool was_declined_elsewhere = false;
};

/// What this instance knows of another one.
struct PeerState {
  std::size_t in_flight = 0;
  /// It could not be reached, or refused a request.
  TimePoint unusable_until;
  /// Services to which it has no path, and until when that counts.
  std::set<ServiceId> lost;
  TimePoint lost_until;
};

/// A call that is to be sent to a server with a limit and waits for a permit.
struct PermitWait {
  CallId call;
  ServiceId service;
  routing::Dispatch dispatch;
  declarations::Priority priority = declarations::Priority::kNormal;
  /// Instance that was asked.
  std::string keeper;
  TimePoint asked_at;
};

}  // namespace Internal

struct Forwarder {
  ForwarderSettings settings;
  Random random;
  std::optional<RouteTable> routes;
  KeyState keys;
  DirectoryState directory_state;
  /// Callers of different standing compete for the same servers: there are
  /// organisations, or see HasCompetingRoutes.
  bool has_competing_callers = false;
  bool is_stopping = false;
  std::optional<PlannedStop> stop;
  /// Until then, requests wait for the first configuration and list of servers.
  TimePoint start_deadline;
  bool has_servers = false;
  std::vector<ServerEntry> entries;
  std::unordered_map<ServiceId, Internal::ServiceState> services;
  std::unordered_map<CallId, Internal::Call> calls;
  std::unordered_map<AttemptId, Internal::Attempt> attempts;
  std::uint64_t last_attempt = 0;
  std::unordered_map<std::uint64_t, Internal::PermitWait> permit_waits;
  std::uint64_t last_permit = 0;
  /// Instances that did not reply as keepers, and until when they are not
  /// asked.
  std::map<std::string, TimePoint> silent_keepers;
  limits::Quotas quotas;
  /// Quotas of the current configuration.
  std::unordered_map<OrganisationId, limits::Quota> quota_limits;
  OrganisationTraffic organisation_traffic;
  CrashRecords crashes;
  std::map<std::string, Internal::PeerState> peer_states;
  TimePoint paths_shared_at;
  /// How often the latest change of paths is still to be told.
  int path_shares_left = 0;
  /// By incarnation, so that a server that returns under the same name or
  /// address starts without.
  std::unordered_map<BackendServerId, Internal::ServerNotice> notices;
  TimePoint evaluated_at;
  std::vector<Action> actions;
  ForwarderCounters counters;
};

namespace Internal {

/// The forwarder and the time of the running command.
struct Context {
  Forwarder& forwarder;
  TimePoint now;
};

// services.cc

/// Installs the services of the current configuration, and applies the list of
/// servers to them. Logs what cannot be read of it and was not in `before`, the
/// configuration that it replaces; null for the first one.
void ApplyConfiguration(Context& context, const Configuration* before);
/// Replaces the servers of all services by those of the current list. Does
/// nothing before the first configuration.
void ApplyServers(Context& context);
/// Passes the servers, their detection states and the retry allowance to the
/// service's router.
void RefreshRouter(Context& context, ServiceState& service);
/// Evaluates the service's servers, logs and applies state changes, and reports
/// to the other instances which servers have recovered here.
void Evaluate(Context& context, ServiceState& service);
void SendDueProbes(Context& context, ServiceState& service);
/// Stops sending requests to a server whose address another one now uses.
void MarkReplaced(Context& context, ServiceState& service,
                  BackendServerId server);

// evidence.cc

/// Sends the evidence against the service's servers to all instances, about
/// once per second. Leaves out low scores, and servers that are not healthy
/// here.
void ShareDueEvidence(Context& context, ServiceId id, ServiceState& service);
/// Sends the evidence against one server to all instances immediately, unless
/// its score is low.
void ShareEvidenceOf(Context& context, ServiceId id, ServiceState& service,
                     BackendServerId server);
/// Tells the detector and the router what coordinated trials depend on, and
/// reports passed ones again, as datagrams may be lost.
void UpdateTrials(Context& context, ServiceId id, ServiceState& service);
/// Returns which part this instance takes in trials of the server.
detection::TrialRole TrialRoleOf(const Forwarder& forwarder,
                                 BackendServerId server);
/// Returns the fields of the log about who tries the server, if trials are
/// coordinated.
std::vector<LogField> TrialFields(const Forwarder& forwarder,
                                  BackendServerId server);
/// Reports to the other instances that a server has passed a trial here, or has
/// answered failures and leaves regular service.
void ReportChange(Context& context, ServiceState& service,
                  const detection::StateChange& change);

// arrivals.cc

/// Routes a new request, or lets it wait for startup. Refuses it if the process
/// is stopping.
void Accept(Context& context, CallerRequest request);
/// Finds the route of a call and places its first attempt, or refuses it.
void RouteCall(Context& context, CallId id);
/// Routes the requests that wait for startup once configuration and servers are
/// known.
void RouteWaitingCalls(Context& context);
/// Places the first attempt of a call whose organisation has credit, unless the
/// call has to wait for room.
void AdmitCall(Context& context, CallId id);

// quotas.cc

/// Counts a request of an organisation that has arrived, is sent for the first
/// time, or is answered without having been sent.
void CountArrived(Context& context, const Call& call);
void CountAdmitted(Context& context, Call& call);
void CountRefused(Context& context, const Call& call);
/// Takes credit of the call's organisation. Returns whether the call waits for
/// credit or was refused; otherwise it may be placed.
bool AwaitsCredit(Context& context, CallId id);
/// Returns whether a request of the organisation would be denied at once.
bool IsQuotaExhausted(const Forwarder& forwarder,
                      const std::string& organisation, TimePoint now);
/// Refuses a call whose body was not stored if its organisation's quota is
/// exhausted. Takes no credit. Returns whether the call was refused.
bool RefuseOverQuota(Context& context, CallId id);
/// Takes new credit for a call that has waited for room longer than credit
/// lasts, since the quota holds for the time at which requests run. Returns the
/// same as AwaitsCredit.
bool AwaitsRenewedCredit(Context& context, CallId id);
/// Ends the wait of a call for credit, or gives the credit back of a call that
/// has not run and will not.
void ReleaseCredit(Context& context, CallId id);
/// Applies the quotas of a new configuration.
void ApplyQuotas(Context& context);
/// Repeats questions, and ends waits that have lasted too long.
void UpdateQuotas(Context& context);
void HandleCreditRequest(Context& context, const Endpoint& peer,
                         const limits::CreditRequest& request);
void HandleCreditReply(Context& context, const limits::CreditReply& reply);
void HandleProcessStart(Context& context, const limits::ProcessStart& start);

// placement.cc

/// Answers a call for which no further attempt can be made here.
void GiveUp(Context& context, CallId id, const routing::Refused& refused);
/// Sends or queues the next attempt of a call, or gives up. `not_executed`: the
/// previous attempt was declined or its connect failed.
void PlaceAttempt(Context& context, CallId id, bool is_retry,
                  bool not_executed);
/// Places the attempt of a call that has waited for admission.
void PlaceReleased(Context& context, CallId id);
/// Places a call again that got no permit.
void PlaceAgain(Context& context, CallId id);
/// Sends a call to a server.
void Send(Context& context, CallId id, const routing::Dispatch& dispatch);
declarations::Priority PriorityOf(std::uint32_t priority);
/// Sends, refuses or queues a call as the router decided, or lets it wait for a
/// permit.
void ActOnPlacement(Context& context, CallId id,
                    const routing::Placement& placement);
/// Returns whether an attempt that is sent now may still run when the process
/// ends, which would cut it off.
bool MayOutlastStop(const Context& context, const Call& call);
/// Refuses a call that waits for an attempt which may still run when the
/// process ends. Returns whether it did.
bool RefuseBeforeStop(Context& context, CallId id);
/// Starts a second attempt for an idempotent call that has been running for too
/// long or whose server has been ejected.
void TryHedge(Context& context, CallId id);

// call_ends.cc

/// Whether an answer with this status tells the caller that its request has not
/// run and never will.
bool PromisesNotRun(int status);
void HandleCallerLeft(Context& context, CallId id);
/// Answers a call whose deadline has passed. A call that awaits startup is
/// routed instead.
void HandleDeadline(Context& context, CallId id);
/// Answers with one of the gateway's own result codes. `retry_after` is used
/// for statuses 429 and 503 only.
void AnswerWithCode(Context& context, CallId id, ResultCode code,
                    Duration retry_after, bool closes_connection = false);
void CountAnswer(Context& context, const Call& call,
                 const CallerAnswer& answer);
/// Logs and counts the answer, sends it to the caller unless that has left, and
/// removes the call.
void Finish(Context& context, CallId id, CallerAnswer answer);
/// The same for a call whose answer was streamed. `code` tells why the answer
/// breaks off; kDone: it is complete.
void FinishStream(Context& context, CallId id, int status, ResultCode code);

// answers.cc

/// Lets the answer of an attempt be streamed, if it is valid as far as known.
void HandleAnswerStart(Context& context, AttemptId id, ServerAnswer head);
void HandleAnswer(Context& context, AttemptId id, ServerAnswer answer);
void HandleFailure(Context& context, AttemptId id, AttemptFailure failure,
                   std::optional<TimePoint> opened_at);
/// Removes an attempt, and reports its end to the detector and the router.
void EndAttempt(Context& context, AttemptId id, detection::AttemptEnd end);

// limits.cc

/// Records the limit that a server's answer names, or that it names none any
/// more. Only answers that serve a request show the latter: a server may leave
/// the limit out of others.
void RecordLimit(Context& context, ServiceState& service,
                 BackendServerId server, const ServerAnswer& answer,
                 detection::AttemptEnd end);
/// Asks for a permit to send a call as dispatched.
void AwaitPermit(Context& context, CallId id,
                 const routing::Dispatch& dispatch);
/// Ends the wait of a call for a permit, if it waits for one.
void ReleasePermit(Context& context, CallId id);
/// Handles keepers that do not reply.
void CheckPermits(Context& context);
void HandlePermitRequest(Context& context, const Endpoint& peer,
                         const PermitRequest& request);
void HandlePermitReply(Context& context, const PermitReply& reply);
void MergeNews(Context& context, std::span<const LimitNews> news);
std::vector<LimitNews> CollectNews(const Forwarder& forwarder, TimePoint now);

/// Passes the servers and their slots to the service's detector.
void SetDetectorServers(Context& context, ServiceState& service);

// notices.cc

/// Records what a server's answer asks for: no new requests, or none for a
/// while.
void RecordNotices(Context& context, BackendServerId server,
                   const ServerAnswer& answer);
/// Records servers that leave, as other instances tell.
void MergeLeavingServers(Context& context,
                         std::span<const BackendServerId> servers);
std::vector<BackendServerId> CollectLeaving(const Forwarder& forwarder);
bool IsLeaving(const Forwarder& forwarder, BackendServerId server);
bool IsPaused(const Forwarder& forwarder, BackendServerId server,
              TimePoint now);
/// Forgets old notices, and lets servers get requests again whose pause has
/// ended since the last update.
void UpdateNotices(Context& context, TimePoint last_update);

// paths.cc

/// Records that an attempt at the server ended without an answer.
void RecordFailureOnPath(Context& context, ServiceState& service,
                         BackendServerId server);
/// Tests paths that are in doubt, and tells other instances which are lost.
void CheckPaths(Context& context);
void HandlePathTest(Context& context, BackendServerId server, bool is_open);

// relays.cc

/// Passes a call on to an instance that reaches the service's servers, if that
/// is safe and this instance does not. Returns false if it was not passed on.
bool TryRelay(Context& context, CallId id);
/// Passes on a call that waits for a server here or, if it may be repeated, for
/// the answer of one; does nothing if no instance can take it.
void MoveToPeer(Context& context, CallId id);
/// Handles the answer of an instance to which a call was passed on.
void HandleRelayAnswer(Context& context, AttemptId id, ServerAnswer answer);
void HandleRelayFailure(Context& context, AttemptId id, AttemptFailure failure);
/// Removes an attempt at another instance.
void EndRelay(Context& context, AttemptId id);
/// Places a request of another instance, or refuses it.
void RouteRelayed(Context& context, CallId id);

// crashes.cc

/// Records, and tells other instances, that a server's connection ended while
/// it may have executed the call.
void RecordLostRequest(Context& context, CallId id, BackendServerId server,
                       const std::string& server_name);
/// Records that a server has answered an attempt that was sent at `began_at`,
/// or accepted a connection then: it has not crashed before.
void RecordServerContact(Context& context, BackendServerId server,
                         TimePoint began_at);
/// Records that a server has served the call.
void RecordServedCall(Context& context, CallId id);
/// Returns the refusal of a call whose request crashes servers; none if it may
/// be sent.
std::optional<routing::Refused> CrashRefusal(Context& context, CallId id);
/// Returns whether the call's request was lost at a server that may have
/// crashed.
bool MayHaveCrashed(Context& context, CallId id);
/// Tells other instances if the call, which is about to be sent, is the trial
/// after a period of refusal.
void RecordTrialOf(Context& context, CallId id);
void MergeCrashMessage(Context& context, const CrashMessage& message);

void Log(Context& context, LogEvent event, std::vector<LogField> fields);
std::string FormatMillis(Duration duration);

}  // namespace Internal
}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_FORWARDER_STATE_H_
