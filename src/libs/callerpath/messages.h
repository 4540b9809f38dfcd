#ifndef LIBS_CALLERPATH_MESSAGES_H_
#define LIBS_CALLERPATH_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "libs/base/log_event.h"
#include "libs/base/result_code.h"
#include "libs/base/strong_types.h"
#include "libs/base/time.h"
#include "libs/declarations/configuration.h"
#include "libs/detection/detector.h"
#include "libs/requests/ticket.h"

/// Events and actions of the caller path: `Step(state, event, now, random)`
/// returns actions, which the caller task carries out.
namespace ibisladder::callerpath {

/// Header fields in order; names compare without case.
using Headers = std::vector<std::pair<std::string, std::string>>;

/// What a caller gets.
struct CallerAnswer {
  ResultCode code = ResultCode::kInternal;
  /// HTTP status: the backend server's for kDone.
  int status = 500;
  Headers headers;
  std::string body;
  std::optional<Duration> retry_after;

  template <typename Archive>
  void serialize(Archive& archive) {
    std::int64_t wait = retry_after ? retry_after->count() : -1;
    archive(code, status, headers, body, wait);
    retry_after =
        wait < 0 ? std::nullopt : std::optional<Duration>(Duration(wait));
  }
};

/// A call as a caller sent it, or as another instance relays it.
struct CallRequest {
  std::string method;
  /// Path with query, as received.
  std::string target;
  /// Empty when the caller sent none.
  std::string organisation;
  /// Text of the request id; empty when the caller sent none.
  std::string request_id;
  /// What is left until the caller's deadline; zero: the route's default.
  Duration timeout{};
  /// End-to-end fields to pass on (no hop-by-hop, no Ibisladder-*).
  Headers headers;
  std::string body;

  template <typename Archive>
  void serialize(Archive& archive) {
    std::int64_t micros = timeout.count();
    archive(method, target, organisation, request_id, micros, headers, body);
    timeout = Duration(micros);
  }
};

// Events.

struct CallArrived {
  CallId call;
  CallRequest request;
  /// Set when another instance relays the call here.
  std::optional<InstanceId> relayed_by;
};
/// The caller's connection closed before its answer.
struct CallAbandoned {
  CallId call;
};
/// A whole answer as read; its integrity is checked by the caller path.
struct ServerAnswered {
  AttemptId attempt;
  int status = 0;
  Headers headers;
  std::string body;
};
enum class AttemptFailure : std::uint8_t {
  kConnectFailed,   ///< Certain that no byte of the request left.
  kConnectionLost,  ///< The request may have left.
  kTruncated,       ///< The answer ended early.
  kTooLarge,        ///< The answer passed the size limit.
};
struct AttemptFailed {
  AttemptId attempt;
  AttemptFailure failure;
};
struct ProbeEnded {
  BackendServerId server;
  bool ok = false;
  /// The server's own not_run that it drains.
  bool draining = false;
  /// How long an answer was waited for in vain; none if there was one, or the
  /// connection failed.
  std::optional<Duration> unanswered_for;
};
/// A caller asks for the outcome of a request id; `settle`: one that has not
/// been dispatched by now never will be.
struct OutcomeRequested {
  CallId call;
  std::string request_id;
  bool settle = false;
  std::optional<InstanceId> relayed_by;
};
/// A caller asks which addresses to use for a service (empty: any).
struct AddressesRequested {
  CallId call;
  std::string service;
};
struct RelayAnswered {
  CallId call;
  CallerAnswer answer;
};
/// `sent`: the home may have received the request.
struct RelayFailed {
  CallId call;
  bool sent = false;
};
struct ConfigurationInstalled {
  declarations::ConfigurationPtr configuration;
};
/// One live entry instance, as callers and relays may use it.
struct FleetMember {
  InstanceId instance;
  Incarnation incarnation;
  Era era;
  ZoneName zone;
  Endpoint caller_endpoint;
  Endpoint peer_endpoint;
  /// Not handed out to callers any more, but still reachable for relays.
  bool leaving = false;
};
/// The fleet as membership sees it now, this instance included.
struct FleetChanged {
  std::vector<FleetMember> members;
};
/// Backend servers that leave, by the list, a drain answer or a peer.
struct ServersLeaving {
  std::vector<BackendServerId> servers;
};
struct PeerEvidence {
  InstanceId peer;
  std::vector<detection::Digest> digests;
};
/// Planned stop: publish leaving, serve on, accept no new era.
struct StopRequested {};
/// An operator drains this instance or undoes it; it goes on running.
struct DrainChanged {
  bool drained = false;
};
/// At least every 10 ms.
struct Tick {};

using Event = std::variant<CallArrived, CallAbandoned, ServerAnswered,
                           AttemptFailed, ProbeEnded, OutcomeRequested,
                           AddressesRequested, RelayAnswered, RelayFailed,
                           ConfigurationInstalled, FleetChanged, ServersLeaving,
                           PeerEvidence, StopRequested, DrainChanged, Tick>;

// Actions.

/// Opens or reuses a connection and sends the request.
struct SendAttempt {
  AttemptId attempt;
  BackendServerId server;
  Endpoint endpoint;
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
  /// The caller path cancels earlier; the server is reported the caller's
  /// deadline in a field.
  Duration timeout{};
  std::size_t max_answer_bytes = 0;
  /// Connections that this instance may keep to the server.
  std::uint16_t max_connections = 0;
};
/// Closes the attempt's connection; a late answer is dropped.
struct CancelAttempt {
  AttemptId attempt;
};
struct AnswerCall {
  CallId call;
  CallerAnswer answer;
};
struct RelayCall {
  CallId call;
  InstanceId home;
  Endpoint endpoint;
  CallRequest request;
};
struct RelayOutcome {
  CallId call;
  InstanceId home;
  Endpoint endpoint;
  std::string request_id;
  bool settle = false;
};
struct SendProbe {
  BackendServerId server;
  Endpoint endpoint;
  std::string path;
};
/// For peers: this instance's own evidence, and servers seen leaving.
struct PublishServerUpdate {
  std::vector<detection::Digest> digests;
  std::vector<BackendServerId> leaving;
};
struct WriteLog {
  LogLine line;
};
/// All work that must be finished before a planned stop is finished.
struct Drained {};

using Action = std::variant<SendAttempt, CancelAttempt, AnswerCall, RelayCall,
                            RelayOutcome, SendProbe, PublishServerUpdate,
                            WriteLog, Drained>;
using Actions = std::vector<Action>;

}  // namespace ibisladder::callerpath

#endif  // LIBS_CALLERPATH_MESSAGES_H_
