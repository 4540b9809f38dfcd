#include "libs/callerpath/replies.h"

#include <nlohmann/json.hpp>
#include <string>

namespace ibisladder::callerpath::Internal {
namespace {

constexpr Duration kRetryBase = Seconds(1);

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kContentTooLarge = 413;
constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

}  // namespace

int StatusOfCode(ResultCode code) {
  switch (code) {
    case ResultCode::kInvalidRequest:
    case ResultCode::kTicketMissing:
    case ResultCode::kTicketInvalid:
    case ResultCode::kEraTooNew:
      return kBadRequest;
    case ResultCode::kNoRoute:
      return kNotFound;
    case ResultCode::kSettledNotRun:
    case ResultCode::kRequestIdReused:
    case ResultCode::kStillRunning:
    case ResultCode::kOutcomeUncertain:
    case ResultCode::kAnswerNotKept:
      return kConflict;
    case ResultCode::kRequestTooLarge:
      return kContentTooLarge;
    case ResultCode::kOrganisationLimit:
      return kTooManyRequests;
    case ResultCode::kServerConnectionLost:
    case ResultCode::kServerUnreachable:
    case ResultCode::kAnswerCorrupt:
    case ResultCode::kAnswerTooLarge:
    case ResultCode::kAnswerTruncated:
    case ResultCode::kHomeUnreachable:
    case ResultCode::kHomeReplaced:
    case ResultCode::kEraExpired:
      return kBadGateway;
    case ResultCode::kDeadlineBeforeDispatch:
    case ResultCode::kDeadlineAfterDispatch:
      return kGatewayTimeout;
    default:
      return kServiceUnavailable;
  }
}

CallerAnswer MakeReply(ResultCode code, std::optional<Duration> retry_after) {
  nlohmann::ordered_json body;
  body["code"] = static_cast<int>(code);
  body["outcome"] = OutcomeName(OutcomeOf(code));
  body["message"] = Describe(code);
  CallerAnswer answer;
  answer.code = code;
  answer.status = StatusOfCode(code);
  answer.headers = {{"Content-Type", "application/json"}};
  answer.body = body.dump();
  answer.retry_after = retry_after;
  return answer;
}

Duration SpreadRetry(Duration base, Random& random) {
  const auto n = static_cast<std::uint64_t>(2 * base.count());
  return base + Duration(static_cast<std::int64_t>(UniformBelow(random, n)));
}

std::optional<Duration> RetryAfterOf(ResultCode code, Random& random) {
  switch (code) {
    case ResultCode::kOverloaded:
    case ResultCode::kOrganisationLimit:
    case ResultCode::kDeadlineBeforeDispatch:
    case ResultCode::kNoServerAvailable:
    case ResultCode::kNotReady:
    case ResultCode::kQuotaUnknown:
    case ResultCode::kStopping:
    case ResultCode::kShedByServers:
    case ResultCode::kRequestTableFull:
    case ResultCode::kServerUnreachable:
    case ResultCode::kHomeUnreachable:
    case ResultCode::kStillRunning:
    case ResultCode::kDeadlineAfterDispatch:
      return SpreadRetry(kRetryBase, random);
    default:
      return std::nullopt;
  }
}

}  // namespace ibisladder::callerpath::Internal
