#ifndef TOOLS_IBISLADDER_FAILURE_CAUSE_H_
#define TOOLS_IBISLADDER_FAILURE_CAUSE_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "tools/ibisladder/log_records.h"

/// Why requests were not served, by the logs.
namespace ibisladder::tool {

/// Whether the record ends a request: answered, refused or left by its caller.
bool IsFinal(const LogRecord& record);

/// Whether the request of a final record was served: a status below 400.
bool IsServed(const LogRecord& final_record);

/// Why the request of a final record was not served, in words that are the same
/// for all requests of that cause; empty when the record does not tell.
std::string CauseOf(const LogRecord& final_record);

/// Cause of a request without a final record whose instance started again.
constexpr std::string_view kInstanceEndedCause =
    "the instance ended while it held the request";

struct RequestSummary {
  /// Requests of which the logs have any line.
  std::size_t requests = 0;
  std::size_t served = 0;
  /// Requests by what CauseOf says.
  std::map<std::string, std::size_t> unserved_by_cause;
  /// Requests whose final record is missing or tells no cause.
  std::size_t unknown_cause = 0;
  /// Of the served: those that had a second attempt.
  std::size_t served_after_retry = 0;
  /// Failures of single attempts that led to another one, by reason.
  std::map<std::string, std::size_t> retries_by_reason;
};

RequestSummary Summarise(const LogRecords& logs);

}  // namespace ibisladder::tool

#endif  // TOOLS_IBISLADDER_FAILURE_CAUSE_H_
