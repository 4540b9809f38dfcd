#ifndef LIBS_BASE_RESULT_CODE_H_
#define LIBS_BASE_RESULT_CODE_H_

#include <string>
#include <string_view>
#include <system_error>
#include <tl/expected.hpp>

/// Numbered result codes of every interface; docs/RESULT-CODES.md is the table.
namespace ibisladder {

/// Numbers by topic: 1xxx done, 2xxx not run, 3xxx unknown, 5xxx operators'
/// procedures, 6xxx settings and declarations, 7xxx messages between instances,
/// 8xxx platform.
enum class ResultCode {
  kDone = 1000,

  kInvalidRequest = 2001,
  kNoRoute = 2002,
  kTicketMissing = 2003,
  kTicketInvalid = 2004,
  kEraTooNew = 2005,
  kOverloaded = 2006,
  kOrganisationLimit = 2007,
  kDeadlineBeforeDispatch = 2008,
  kNoServerAvailable = 2009,
  kSettledNotRun = 2010,
  kNotReady = 2011,
  kStopping = 2012,
  kShedByServers = 2013,
  kRequestTableFull = 2014,
  kCancelledBeforeDispatch = 2015,
  kRequestTooLarge = 2016,
  kServerUnreachable = 2018,
  kServersLimited = 2019,
  kRequestCrashesServers = 2020,
  kRouteUnreadable = 2021,
  kKeyUnknown = 2022,
  kKeyUnverified = 2023,
  kQuotaUnknown = 2027,

  kDeadlineAfterDispatch = 3001,
  kServerConnectionLost = 3002,
  kAnswerCorrupt = 3003,
  kHomeUnreachable = 3004,
  kHomeReplaced = 3005,
  kEraExpired = 3006,
  kCancelledAfterDispatch = 3007,
  kAnswerTooLarge = 3008,
  kAnswerTruncated = 3009,
  kStillRunning = 3010,
  kStopCutRequest = 3011,
  kAnswerNotKept = 3012,
  kRequestIdReused = 3013,
  kOutcomeUncertain = 3014,

  kConflict = 5001,
  kInvalidArgument = 5002,
  kUnavailable = 5003,
  kWriteUnknown = 5004,
  kUnauthorised = 5005,
  kNotFound = 5006,
  kInternal = 5007,

  kFileUnreadable = 6001,
  kNotJson = 6002,
  kUnknownField = 6003,
  kFieldMissing = 6004,
  kWrongType = 6005,
  kOutOfRange = 6006,
  kDuplicateName = 6007,
  kUnknownReference = 6008,
  kBadAddress = 6009,
  kIdCollision = 6010,
  kTooLarge = 6011,
  kNotToml = 6012,

  kMalformedMessage = 7001,
  kForeignFleet = 7002,
  kOversizedMessage = 7003,
  kStaleMessage = 7004,
  kUnknownMessage = 7005,

  kStoreUnavailable = 8001,
  kStoreConflict = 8002,
  kStoreNotFound = 8003,
  kStoreReplyInvalid = 8004,
};

/// Whether the caller's request was run, according to a result code.
enum class Outcome { kDone, kNotRun, kUnknown };

/// Returns the outcome for a caller-facing code (1xxx to 3xxx); codes above
/// that range map to kUnknown.
Outcome OutcomeOf(ResultCode code);

/// Returns "done", "not-run" or "unknown", as in the Ibisladder-Outcome header.
std::string_view OutcomeName(Outcome outcome);

/// Returns a short English description of `code`, without a full stop.
std::string_view Describe(ResultCode code);

std::error_code make_error_code(ResultCode code);

/// A result code with the location and the reason of the failure.
struct Error {
  ResultCode code = ResultCode::kInternal;
  /// A JSON pointer, a file, an endpoint or the like; may be empty.
  std::string place;
  std::string message;
};

/// A value, or the error if there is none.
template <typename T>
using Expected = tl::expected<T, Error>;

inline tl::unexpected<Error> Fail(ResultCode code, std::string place,
                                  std::string message) {
  return tl::unexpected<Error>(
      Error{code, std::move(place), std::move(message)});
}

}  // namespace ibisladder

template <>
struct std::is_error_code_enum<ibisladder::ResultCode> : std::true_type {};

#endif  // LIBS_BASE_RESULT_CODE_H_
