#ifndef LIBS_GATEWAY_MESSAGES_H_
#define LIBS_GATEWAY_MESSAGES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libs/admission/pressure.h"
#include "libs/base/log_event.h"
#include "libs/base/strong_types.h"
#include "libs/base/time.h"
#include "libs/detection/detector.h"
#include "libs/gateway/crash_records.h"
#include "libs/gateway/relay.h"
#include "libs/gateway/server_limits.h"
#include "libs/limits/process_starts.h"
#include "libs/limits/quota.h"
#include "libs/net/http_types.h"
#include "libs/routing/router.h"

/// Messages between the forwarder, which makes the decisions, and the tasks
/// that own the sockets.
namespace ibisladder::gateway {

using net::Headers;

/// A caller's request as decoded from its connection.
struct CallerRequest {
  CallId call;
  /// Chosen by the caller; empty if it sent none.
  std::string request_id;
  std::string method;
  std::string host;
  /// Path with query, as received.
  std::string target;
  /// All header fields as received.
  Headers headers;
  std::string body;
  /// The body was not stored, so that the request must not be sent.
  bool is_body_dropped = false;
  /// The caller sent it together with others on the same connection, without
  /// waiting for an answer.
  bool is_pipelined = false;
  /// Key of the caller's organisation. Empty, so that no organisation holds it,
  /// if the request has several; nullopt if it has none. Servers and other
  /// instances don't get it.
  std::optional<std::string> key;
  /// By the clock that also counts the time for which the machine is suspended.
  TimePoint received_at;
  /// IP address that the request came from; empty if not known.
  std::string caller_address;
  /// IP address of the instance that passed the request on; empty if not known.
  std::string relay_address;
  /// How long the caller waits; nullopt if the request does not say.
  std::optional<Duration> timeout;
  /// Set if another instance has passed the request on.
  std::optional<RelayOrigin> relayed;
};
using CallerRequestPtr = std::shared_ptr<const CallerRequest>;

/// What decides whether the body of a request is stored.
struct RequestHead {
  std::string_view host;
  std::string_view target;
  /// As in CallerRequest.
  std::optional<std::string> key;
  TimePoint received_at;
};

/// A complete answer of a backend server, as decoded from its connection.
struct ServerAnswer {
  int status = 0;
  Headers headers;
  std::string body;
  /// The server states that it did not execute the request.
  bool not_run = false;
  /// The answer comes from another server or incarnation at the address.
  bool wrong_server = false;
  /// Carries a server's signature. An answer without one counts as corrupt,
  /// unless it is an error (status 500 or above) or the request was not run.
  bool is_signed = false;
  /// Has a Content-Encoding. Servers do not apply one, so the answer counts as
  /// corrupt, unless the request was not run.
  bool is_encoded = false;
  /// ID of the request that the answer belongs to; empty if not stated.
  std::string request_id;
  /// The server's current load, if the answer states it.
  std::optional<routing::LoadReport> load;
  /// The requests that the server takes from all instances together, if it
  /// names a limit.
  std::optional<RequestsPerSecond> limit;
  /// Text of a limit that cannot be read; empty without one.
  std::string unreadable_limit;
  /// The server leaves and wants no new requests.
  bool is_leaving = false;
  /// The server turned the request away and wants none from this instance for
  /// so long.
  std::optional<Duration> pause;
  /// Text of a statement about leaving or a pause that cannot be read.
  std::string unreadable_notice;
  /// Set if the instance to which the request was passed on generated the
  /// answer itself; `pause` is then when the caller should return.
  std::optional<ResultCode> relay_result;
};

/// Why an attempt ended without a complete answer.
enum class AttemptFailure : std::uint8_t {
  kConnectFailed,   ///< No byte of the request was sent.
  kConnectionLost,  ///< The request may have been executed.
  kTruncated,  ///< The answer was cut off or malformed; treated as corrupt.
  kTimeout,    ///< Deadline passed; the request may have been executed.
};

/// Returns the failure's name, such as "connect_failed".
const char* FailureName(AttemptFailure failure);

/// An answer to a caller.
struct CallerAnswer {
  int status = 0;
  /// Empty for answers that the gateway generated.
  Headers headers;
  std::string body;
  /// Only set in answers with status 429 and 503 by the gateway, which promise
  /// that the request was not executed.
  std::optional<Duration> retry_after;
  /// Result of answers that the gateway generated; kDone for a server's answer.
  ResultCode code = ResultCode::kDone;
  /// Asks the caller to close the connection and open another one.
  bool close = false;
};

// Actions of the forwarder.

struct SendAttempt {
  AttemptId attempt;
  BackendServerId server;
  Endpoint endpoint;
  /// Server that is to execute the request.
  std::string server_name;
  CallerRequestPtr request;
  /// Time until the request's deadline.
  Duration time_left{};
  /// The server is in another availability zone.
  bool leaves_zone = false;
  /// Set if the request is passed on to another instance, whose endpoint and
  /// key are in place of the server's.
  std::optional<RelayOrigin> relay;
  /// Name of the caller's organisation, empty without one; nullopt if the
  /// configuration has no organisations, and the request's fields pass as they
  /// came.
  std::optional<std::string> organisation;
};
/// Closes the attempt's connection, so that the server stops executing it.
struct CancelAttempt {
  AttemptId attempt;
};
struct AnswerCaller {
  CallId call;
  CallerAnswer answer;
};
/// Passes an answer to the caller while it arrives. `answer` has no body; its
/// parts follow, and then EndAnswer or BreakAnswer.
struct StreamAnswer {
  CallId call;
  AttemptId attempt;
  CallerAnswer answer;
};
/// The streamed answer is complete.
struct EndAnswer {
  CallId call;
};
/// The streamed answer cannot be completed; the caller must notice that.
struct BreakAnswer {
  CallId call;
};
struct SendProbe {
  BackendServerId server;
  Endpoint endpoint;
  std::string server_name;
  std::string path;
};
/// Sends the digests to all other instances immediately.
struct ShareEvidence {
  std::vector<detection::Digest> digests;
};

/// Opens a connection to the server and closes it again, to find out whether
/// this instance reaches it. PathTested must follow.
struct TestPath {
  BackendServerId server;
  Endpoint endpoint;
};
/// Closes the server's connections that carry no request.
struct CloseIdleConnections {
  BackendServerId server;
};
/// Tells all other instances to which services this one has no path.
struct SharePaths {
  std::vector<ServiceId> lost;
};

/// Asks another instance, the keeper of a server, for a permit.
struct AskPermit {
  std::string keeper;
  PermitRequest request;
};
/// Answers another instance's request for a permit.
struct AnswerPermit {
  Endpoint peer;
  PermitReply reply;
};
/// Sends the news to all other instances immediately.
struct ShareLimits {
  std::vector<LimitNews> news;
};

/// Asks another instance, a keeper of an organisation's quota, for credit.
using AskCredit = limits::CreditQuestion;
/// Answers another instance's request for credit.
struct AnswerCredit {
  Endpoint peer;
  limits::CreditReply reply;
};

/// Tells another instance when this process started.
using TellStart = limits::StartMessage;

/// Sends the message to all other instances immediately.
struct ShareCrashes {
  CrashMessage message;
};

/// Tells the other advertised instances what this one sees of services that
/// lack room.
struct SharePressure {
  admission::PressureMessage message;
};

/// Tells all other instances that the servers leave.
struct ShareLeaving {
  std::vector<BackendServerId> servers;
};

using Action =
    std::variant<SendAttempt, CancelAttempt, AnswerCaller, StreamAnswer,
                 EndAnswer, BreakAnswer, SendProbe, ShareEvidence, AskPermit,
                 AnswerPermit, AskCredit, AnswerCredit, ShareLimits,
                 ShareCrashes, ShareLeaving, TestPath, CloseIdleConnections,
                 SharePaths, SharePressure, TellStart, LogLine>;

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_MESSAGES_H_
