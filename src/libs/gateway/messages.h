#ifndef LIBS_GATEWAY_MESSAGES_H_
#define LIBS_GATEWAY_MESSAGES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libs/base/log_event.h"
#include "libs/base/strong_types.h"
#include "libs/base/time.h"
#include "libs/detection/detector.h"
#include "libs/net/http_types.h"
#include "libs/routing/router.h"

/// Messages between the forwarder, which decides, and the tasks that own
/// sockets.
namespace ibisladder::gateway {

using net::Headers;

/// One attempt of a caller, as decoded from its connection.
struct CallerRequest {
  CallId call;
  /// Chosen by the caller; empty when it sent none.
  std::string request_id;
  std::string method;
  std::string host;
  /// Path with query, as received.
  std::string target;
  /// All fields as received.
  Headers headers;
  std::string body;
  /// How long the caller will wait; none: it does not say.
  std::optional<Duration> timeout;
};
using CallerRequestPtr = std::shared_ptr<const CallerRequest>;

/// A whole answer of a backend server, as decoded from its connection.
struct ServerAnswer {
  int status = 0;
  Headers headers;
  std::string body;
  /// The server states that it did not run the request.
  bool not_run = false;
  /// Another incarnation has the address.
  bool wrong_server = false;
  /// Bears the server's signature.
  bool is_signed = false;
  /// The body is not as the server made it.
  bool is_encoded = false;
  /// Of the request that the answer belongs to; empty when it does not say.
  std::string request_id;
  std::optional<routing::LoadReport> load;
};

/// Why there is no whole answer.
enum class AttemptFailure : std::uint8_t {
  kConnectFailed,   ///< No byte of the request left.
  kConnectionLost,  ///< The request may have run.
  kTruncated,       ///< The answer broke off, or was no answer.
  kTimeout,         ///< The time given has passed; the request may have run.
};

const char* FailureName(AttemptFailure failure);

/// The answer for a caller.
struct CallerAnswer {
  int status = 0;
  /// Empty for answers of the gateway's own.
  Headers headers;
  std::string body;
  /// For answers that promise that the request has not run.
  std::optional<Duration> retry_after;
  /// Of the gateway's own answers; kDone for a server's.
  ResultCode code = ResultCode::kDone;
  /// Ask the caller to use another connection from now on.
  bool close = false;
};

// Actions of the forwarder.

struct SendAttempt {
  AttemptId attempt;
  BackendServerId server;
  Endpoint endpoint;
  /// The incarnation that is to run the request.
  std::string server_name;
  CallerRequestPtr request;
  /// What is left until the request is given up.
  Duration time_left{};
};
/// Its connection is closed, so that the server stops working on it.
struct CancelAttempt {
  AttemptId attempt;
};
struct AnswerCaller {
  CallId call;
  CallerAnswer answer;
};
struct SendProbe {
  BackendServerId server;
  Endpoint endpoint;
  std::string server_name;
  std::string path;
};
/// For all other instances, now.
struct ShareEvidence {
  std::vector<detection::Digest> digests;
};

using Action = std::variant<SendAttempt, CancelAttempt, AnswerCaller, SendProbe,
                            ShareEvidence, LogLine>;

}  // namespace ibisladder::gateway

#endif  // LIBS_GATEWAY_MESSAGES_H_
