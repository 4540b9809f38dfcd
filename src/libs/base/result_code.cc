#include "libs/base/result_code.h"

namespace ibisladder {
namespace {

constexpr int kFirstNotRun = 2000;
constexpr int kFirstUnknown = 3000;

class ResultCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "ibisladder"; }

  std::string message(int condition) const override {
    return std::string(Describe(static_cast<ResultCode>(condition)));
  }
};

}  // namespace

Outcome OutcomeOf(ResultCode code) {
  const int n = static_cast<int>(code);
  if (n < kFirstNotRun) return Outcome::kDone;
  if (n < kFirstUnknown) return Outcome::kNotRun;
  return Outcome::kUnknown;
}

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kDone:
      return "done";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      break;
  }
  return "unknown";
}

std::string_view Describe(ResultCode code) {
  switch (code) {
    case ResultCode::kDone:
      return "the request was run and the whole answer is attached";
    case ResultCode::kInvalidRequest:
      return "the request is malformed";
    case ResultCode::kNoRoute:
      return "no route matches the path and method";
    case ResultCode::kTicketMissing:
      return "an at-most-once request needs a request id with a ticket";
    case ResultCode::kTicketInvalid:
      return "the request id or its ticket is malformed";
    case ResultCode::kEraTooNew:
      return "the ticket's era has not been issued";
    case ResultCode::kOverloaded:
      return "the service has no room for the request within its deadline";
    case ResultCode::kServersLimited:
      return "the backend servers named limits that leave no room now";
    case ResultCode::kRequestCrashesServers:
      return "at least three backend servers crashed while they ran the same "
             "request of this caller; this attempt was not sent";
    case ResultCode::kRouteUnreadable:
      return "the configuration names no service for the route that this "
             "instance can read";
    case ResultCode::kKeyUnknown:
      return "no organisation holds the request's key, or the request has none";
    case ResultCode::kKeyUnverified:
      return "this instance cannot tell whether the request's key still holds";
    case ResultCode::kQuotaUnknown:
      return "no keeper of the organisation's quota granted the request";
    case ResultCode::kOrganisationLimit:
      return "the organisation is over its limit";
    case ResultCode::kDeadlineBeforeDispatch:
      return "the deadline passed before the request was dispatched";
    case ResultCode::kNoServerAvailable:
      return "no backend server of the service is available";
    case ResultCode::kSettledNotRun:
      return "the request id was settled before dispatch and will never run";
    case ResultCode::kNotReady:
      return "this instance has no configuration yet";
    case ResultCode::kStopping:
      return "this instance is stopping and takes no new work";
    case ResultCode::kShedByServers:
      return "the backend servers declined the request without running it";
    case ResultCode::kRequestTableFull:
      return "the request table is full";
    case ResultCode::kCancelledBeforeDispatch:
      return "the caller left before the request was dispatched";
    case ResultCode::kRequestTooLarge:
      return "the request is larger than the limit";
    case ResultCode::kServerUnreachable:
      return "no connection to a backend server could be opened";
    case ResultCode::kDeadlineAfterDispatch:
      return "the deadline passed while the request may have been running";
    case ResultCode::kServerConnectionLost:
      return "the backend server's connection was lost after dispatch";
    case ResultCode::kAnswerCorrupt:
      return "the backend server's answer failed its integrity check";
    case ResultCode::kHomeUnreachable:
      return "the request's home instance cannot be reached";
    case ResultCode::kHomeReplaced:
      return "the request's home instance was replaced";
    case ResultCode::kEraExpired:
      return "the ticket's era is too old to know the request";
    case ResultCode::kCancelledAfterDispatch:
      return "the caller left after the request was dispatched";
    case ResultCode::kAnswerTooLarge:
      return "the backend server's answer is larger than the limit";
    case ResultCode::kAnswerTruncated:
      return "the backend server's answer ended early";
    case ResultCode::kStillRunning:
      return "the request was dispatched and has no answer yet";
    case ResultCode::kStopCutRequest:
      return "the instance ended before the answer arrived";
    case ResultCode::kAnswerNotKept:
      return "the request was run but its answer is no longer kept";
    case ResultCode::kRequestIdReused:
      return "the request id was used for a different request";
    case ResultCode::kOutcomeUncertain:
      return "nothing certain is known of the request";
    case ResultCode::kConflict:
      return "the configuration was changed by somebody else";
    case ResultCode::kInvalidArgument:
      return "the procedure's argument is invalid";
    case ResultCode::kUnavailable:
      return "the platform's store is not available; nothing was changed";
    case ResultCode::kWriteUnknown:
      return "the write's reply was lost; its effect is not known yet";
    case ResultCode::kUnauthorised:
      return "the token is missing or wrong";
    case ResultCode::kNotFound:
      return "no such item";
    case ResultCode::kInternal:
      return "internal error";
    case ResultCode::kFileUnreadable:
      return "the file cannot be read";
    case ResultCode::kNotJson:
      return "the text is not valid JSON";
    case ResultCode::kUnknownField:
      return "unknown field";
    case ResultCode::kFieldMissing:
      return "a required field is missing";
    case ResultCode::kWrongType:
      return "the value has the wrong type";
    case ResultCode::kOutOfRange:
      return "the value is out of range";
    case ResultCode::kDuplicateName:
      return "the name is used twice";
    case ResultCode::kUnknownReference:
      return "the name refers to nothing";
    case ResultCode::kBadAddress:
      return "not an IP number with a port";
    case ResultCode::kIdCollision:
      return "two names have the same id; rename one";
    case ResultCode::kTooLarge:
      return "the document is too large";
    case ResultCode::kNotToml:
      return "the text is not TOML";
    case ResultCode::kMalformedMessage:
      return "the message cannot be decoded";
    case ResultCode::kForeignFleet:
      return "the message belongs to another fleet";
    case ResultCode::kOversizedMessage:
      return "the message is larger than the limit";
    case ResultCode::kStaleMessage:
      return "the message is older than one already seen";
    case ResultCode::kUnknownMessage:
      return "the message is of an unknown kind";
    case ResultCode::kStoreUnavailable:
      return "the platform's store did not answer";
    case ResultCode::kStoreConflict:
      return "the key has another revision";
    case ResultCode::kStoreNotFound:
      return "the key does not exist";
    case ResultCode::kStoreReplyInvalid:
      return "the platform's reply cannot be understood";
  }
  return "unlisted result code";
}

std::error_code make_error_code(ResultCode code) {
  static const ResultCategory kCategory;
  return {static_cast<int>(code), kCategory};
}

}  // namespace ibisladder
