#ifndef LIBS_GATEWAY_FORWARDER_STATE_H_
#define LIBS_GATEWAY_FORWARDER_STATE_H_

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "libs/base/random.h"
#include "libs/gateway/forwarder.h"
#include "libs/gateway/route_table.h"

/// State of the forwarder, shared by the library's modules.
namespace ibisladder::gateway {
namespace Internal {

struct KnownServer {
  ServerEntry entry;
  /// It answered that another incarnation has its address.
  bool replaced = false;
  /// When its share starts to grow; in the past for warm ones.
  TimePoint warm_since;
};

struct ServiceState {
  declarations::Service settings;
  bool is_configured = false;
  bool has_idempotent_route = false;
  detection::DetectorPtr detector;
  routing::RouterPtr router;
  std::map<BackendServerId, KnownServer> servers;
  TimePoint evidence_shared_at;
};

struct Attempt {
  CallId call;
  ServiceId service;
  BackendServerId server;
  TimePoint sent_at;
};

/// A request from its arrival to its answer; at most one attempt is in flight,
/// or two of an idempotent request that takes long.
struct Call {
  CallerRequestPtr request;
  Route route;
  ServiceId service;
  TimePoint arrived_at;
  /// The caller's deadline or the route's time-out, whichever is earlier.
  TimePoint deadline;
  bool is_queued = false;
  /// Waits for the first configuration and list of servers.
  bool awaits_startup = false;
  bool caller_left = false;
  /// Some server may have begun to work on it.
  bool may_have_run = false;
  std::vector<AttemptId> in_flight;
  std::vector<BackendServerId> tried;
  /// Attempts that reached a server.
  std::uint32_t attempts = 0;
  /// Attempts whose connection was never opened.
  std::uint32_t connect_failures = 0;
  /// How the last attempt that failed ended, and at which server.
  std::string last_failure;
  /// A server's own failure, delivered when nothing better comes.
  std::optional<CallerAnswer> server_failure;
  TimePoint hedge_tried_at;
};

}  // namespace Internal

struct Forwarder {
  ForwarderSettings settings;
  Random random;
  std::optional<RouteTable> routes;
  DirectoryState directory_state;
  bool is_stopping = false;
  /// Requests wait until then for what is read first.
  TimePoint start_deadline;
  bool has_servers = false;
  std::vector<ServerEntry> entries;
  std::unordered_map<ServiceId, Internal::ServiceState> services;
  std::unordered_map<CallId, Internal::Call> calls;
  std::unordered_map<AttemptId, Internal::Attempt> attempts;
  std::uint64_t last_attempt = 0;
  TimePoint evaluated_at;
  std::vector<Action> actions;
  ForwarderCounters counters;
};

namespace Internal {

/// A command's surroundings.
struct Context {
  Forwarder& forwarder;
  TimePoint now;
};

// services.cc

void ApplyConfiguration(Context& context);
void ApplyServers(Context& context);
/// Passes lists and detection states on to the service's router.
void RefreshRouter(Context& context, ServiceState& service);
/// Judges the service's servers, and acts on the changes.
void Evaluate(Context& context, ServiceState& service);
/// Tells all instances, about each second, what speaks against servers.
void ShareDueEvidence(Context& context, ServiceId id, ServiceState& service);
/// Tells all instances at once what speaks against one server.
void ShareEvidenceOf(Context& context, ServiceId id, ServiceState& service,
                     BackendServerId server);
void SendDueProbes(Context& context, ServiceState& service);
void MarkReplaced(Context& context, ServiceState& service,
                  BackendServerId server);

// requests.cc

void Accept(Context& context, CallerRequest request);
/// Routes the requests that waited for the start, once it is over.
void RouteWaitingCalls(Context& context);
/// Places the next attempt of a call: sends it, queues it or gives up.
void PlaceAttempt(Context& context, CallId id, bool is_retry, bool after_shed);
/// Sends, refuses or keeps waiting as the router decided for a queued call.
void ActOnPlacement(Context& context, CallId id,
                    const routing::Placement& placement);
void TryHedge(Context& context, CallId id);
void HandleCallerLeft(Context& context, CallId id);
void GiveUpAtDeadline(Context& context, CallId id);
/// Answers with a code of the gateway's own.
void AnswerWithCode(Context& context, CallId id, ResultCode code,
                    Duration retry_after);
void CountAnswer(Context& context, const Call& call,
                 const CallerAnswer& answer);
/// Answers the caller and forgets the call.
void Finish(Context& context, CallId id, CallerAnswer answer);

// answers.cc

void HandleAnswer(Context& context, AttemptId id, ServerAnswer answer);
void HandleFailure(Context& context, AttemptId id, AttemptFailure failure);
/// Ends an attempt for the detector and the router.
void EndAttempt(Context& context, AttemptId id, detection::AttemptEnd end);

void Log(Context& context, LogEvent event, std::vector<LogField> fields);
std::string FormatMillis(Duration duration);

}  // namespace Internal
}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_FORWARDER_STATE_H_
