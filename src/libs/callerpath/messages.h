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
#include "libs/limits/quota.h"
#include "libs/requests/ticket.h"

/// Events and actions of the caller path. `Step` handles an event and returns
/// actions, which the caller task carries out.
namespace ibisladder::callerpath {

/// Header fields in order; names compare case-insensitively.
using Headers = std::vector<std::pair<std::string, std::string>>;

/// The answer to a caller.
struct CallerAnswer {
  ResultCode code = ResultCode::kInternal;
  /// HTTP status; for a request with kDone that of the backend server.
  int status = 500;
  Headers headers;
  std::string body;
  /// For the Retry-After field.
  std::optional<Duration> retry_after;

  template <typename Archive>
  void serialize(Archive& archive) {
    std::int64_t wait = retry_after ? retry_after->count() : -1;
    archive(code, status, headers, body, wait);
    retry_after =
        wait < 0 ? std::nullopt : std::optional<Duration>(Duration(wait));
  }
};

/// A call from a caller or relayed by another instance.
struct CallRequest {
  std::string method;
  /// Path with query, as received.
  std::string target;
  /// Empty when the caller sent none.
  std::string organisation;
  /// Text of the request id; empty when the caller sent none.
  std::string request_id;
  /// Time until the caller's deadline; zero selects the route's default, which
  /// the home applies to a relayed call. Limited to the service's max_deadline.
  /// A call that joins an execution or is relayed waits at most the longest
  /// deadline of all services, which is also its default wait.
  Duration timeout{};
  /// End-to-end fields to pass on, without hop-by-hop and Ibisladder-* fields.
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
/// The caller closed its connection before the answer.
struct CallAbandoned {
  CallId call;
};
/// A completely read answer; the caller path checks its integrity.
struct ServerAnswered {
  AttemptId attempt;
  int status = 0;
  Headers headers;
  std::string body;
};
enum class AttemptFailure : std::uint8_t {
  kConnectFailed,   ///< No byte of the request was sent.
  kConnectionLost,  ///< The request may have been sent.
  kTruncated,       ///< The answer ended early.
  kTooLarge,        ///< The answer exceeds the size limit.
};
struct AttemptFailed {
  AttemptId attempt;
  AttemptFailure failure;
};
struct ProbeEnded {
  BackendServerId server;
  /// The server answered with status 200.
  bool ok = false;
  /// The server reports that it is draining.
  bool draining = false;
  /// How long the probe waited without an answer; none when the server answered
  /// or the connection failed.
  std::optional<Duration> unanswered_for;
};
/// A caller requests the outcome of a request id. `settle` also ensures that an
/// id which has not been dispatched never will be.
struct OutcomeRequested {
  CallId call;
  std::string request_id;
  bool settle = false;
  std::optional<InstanceId> relayed_by;
};
/// A caller requests addresses of instances. `service` must be declared or
/// empty; the addresses do not depend on it.
struct AddressesRequested {
  CallId call;
  std::string service;
};
struct RelayAnswered {
  CallId call;
  CallerAnswer answer;
};
/// `sent`: the home may have received the request; the caller path answers with
/// an *unknown* code in either case.
struct RelayFailed {
  CallId call;
  bool sent = false;
};
struct ConfigurationInstalled {
  declarations::ConfigurationPtr configuration;
};
/// A live instance with its endpoints for callers and relays.
struct FleetMember {
  InstanceId instance;
  Incarnation incarnation;
  Era era;
  ZoneName zone;
  Endpoint caller_endpoint;
  Endpoint peer_endpoint;
  /// Not advertised to callers any more, but reachable for relays.
  bool leaving = false;
};
/// The current members of the fleet, this instance included.
struct FleetChanged {
  std::vector<FleetMember> members;
  /// Not while a process that has just started may lack members: each of them
  /// could regard itself as the keeper of every organisation's quota.
  bool is_complete = true;
};
/// All backend servers that the server list, a peer or this instance's own
/// PublishServerUpdate reports as leaving; replaces the previous set.
struct ServersLeaving {
  std::vector<BackendServerId> servers;
};
/// A peer's evidence about backend servers, one digest for each.
struct PeerEvidence {
  InstanceId peer;
  std::vector<detection::Digest> digests;
};
/// Another instance's question about an organisation's quota.
struct CreditRequested {
  Endpoint peer;
  limits::CreditRequest request;
};
struct CreditReplied {
  limits::CreditReply reply;
};
/// Planned stop: the instance is not advertised any more, but still serves the
/// callers that have its address.
struct StopRequested {};
/// An operator drains or undrains this instance; it keeps running.
struct DrainChanged {
  bool drained = false;
};
/// Runs timers and periodic tasks; expected at least every 10 ms.
struct Tick {};

using Event =
    std::variant<CallArrived, CallAbandoned, ServerAnswered, AttemptFailed,
                 ProbeEnded, OutcomeRequested, AddressesRequested,
                 RelayAnswered, RelayFailed, ConfigurationInstalled,
                 FleetChanged, ServersLeaving, PeerEvidence, CreditRequested,
                 CreditReplied, StopRequested, DrainChanged, Tick>;

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
  /// Time until the execution's deadline, for an at-most-once request until the
  /// end of its grace period. The caller path cancels the attempt at the first
  /// Tick after that. Ibisladder-Timeout-Ms tells the server the time left
  /// without the grace period.
  Duration timeout{};
  std::size_t max_answer_bytes = 0;
  /// Maximum number of connections that this instance may keep to the server.
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
/// Forwards a call to its home; the result arrives as RelayAnswered or
/// RelayFailed.
struct RelayCall {
  CallId call;
  InstanceId home;
  Endpoint endpoint;
  CallRequest request;
};
/// Forwards an OutcomeRequested to the home of its id; the result arrives as
/// RelayAnswered or RelayFailed.
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
/// For peers: this instance's own digests with the highest scores, and servers
/// that report themselves draining. The length of both lists is limited.
struct PublishServerUpdate {
  std::vector<detection::Digest> digests;
  std::vector<BackendServerId> leaving;
};
/// Asks a keeper of an organisation's quota; the reply may arrive as
/// CreditReplied.
struct AskCredit {
  Endpoint to;
  limits::CreditRequest request;
};
/// Answers a CreditRequested.
struct AnswerCredit {
  Endpoint to;
  limits::CreditReply reply;
};
struct WriteLog {
  LogLine line;
};
/// The serving time of a planned stop is over and no call or execution is left.
struct StopCompleted {};

using Action = std::variant<SendAttempt, CancelAttempt, AnswerCall, RelayCall,
                            RelayOutcome, SendProbe, PublishServerUpdate,
                            AskCredit, AnswerCredit, WriteLog, StopCompleted>;
using Actions = std::vector<Action>;

}  // namespace ibisladder::callerpath

#endif  // LIBS_CALLERPATH_MESSAGES_H_
